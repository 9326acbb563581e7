//! Metrics of gateways, added up over their lives.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::http_get::http_get;

/// Longest time until the metrics of a VM are read. A VM that stands still may need a few periods.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Values of counters by name and labels, added up over VMs and their lives.
#[derive(Clone, Debug, Default)]
pub struct VmMetrics(BTreeMap<String, f64>);

impl VmMetrics {
    /// Reads the metrics of several VMs at once; VMs that do not answer count as 0.
    pub(super) fn read_all(addresses: &[SocketAddr]) -> Self {
        let mut sum = Self::default();
        std::thread::scope(|scope| {
            let readers: Vec<_> = addresses
                .iter()
                .map(|address| scope.spawn(|| http_get(*address, "/metrics", READ_TIMEOUT)))
                .collect();
            for text in readers.into_iter().filter_map(|reader| reader.join().ok().flatten()) {
                sum.add_text(&text);
            }
        });
        sum
    }

    /// Adds the metrics of other VMs or lives.
    pub(super) fn add(&mut self, other: &Self) {
        for (name, value) in &other.0 {
            *self.0.entry(name.clone()).or_default() += value;
        }
    }

    fn add_text(&mut self, text: &str) {
        let lines = text.lines().filter(|line| !line.starts_with('#'));
        for (name, value) in lines.filter_map(|line| line.rsplit_once(' ')) {
            let value: f64 = value.parse().unwrap_or_default();
            *self.0.entry(name.to_owned()).or_default() += value;
        }
    }

    /// The sum of a metric over all of its labels.
    #[must_use]
    pub fn sum(&self, name: &str) -> f64 {
        self.labels(name).map(|(_, value)| value).sum()
    }

    /// The values of a metric by its labels.
    pub fn labels<'a>(&'a self, name: &'a str) -> impl Iterator<Item = (&'a str, f64)> {
        self.0.iter().filter_map(move |(full, value)| {
            let labels = full.strip_prefix(name)?;
            (labels.is_empty() || labels.starts_with('{')).then_some((labels, *value))
        })
    }
}
