//! How often keys are asked for, as one VM sees it.

use std::collections::BTreeMap;

/// Decayed counts of requests by key.
///
/// Callers are spread over VMs by a hash, so one VM's counts are a fair sample
/// of the whole traffic; no VM has to ask another.
#[derive(Clone, Debug, Default)]
pub struct KeyLoad {
    counts: BTreeMap<u16, f64>,
}

/// Counts below this are forgotten.
const FORGOTTEN: f64 = 0.05;

impl KeyLoad {
    /// Notes requests for a key.
    pub fn record(&mut self, key: u16, count: u32) {
        *self.counts.entry(key).or_default() += f64::from(count);
    }

    /// Multiplies every count by `factor`, once a period.
    pub fn decay(&mut self, factor: f64) {
        self.counts.retain(|_, count| {
            *count *= factor;
            *count > FORGOTTEN
        });
    }

    /// Load of the keys from `first` to `last`, both included.
    #[must_use]
    pub fn between(&self, first: u16, last: u16) -> f64 {
        self.counts.range(first..=last).map(|(_, count)| count).sum()
    }

    /// The keys from `first` to `last`, both included, that were asked for, with their loads.
    pub fn counts(&self, first: u16, last: u16) -> impl Iterator<Item = (u16, f64)> {
        self.counts.range(first..=last).map(|(key, count)| (*key, *count))
    }

    /// Load of all keys.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.counts.values().sum()
    }

    /// The first key from `first` on at which the load summed from `first` reaches `wanted`.
    #[must_use]
    pub fn key_reaching(&self, first: u16, last: u16, wanted: f64) -> Option<u16> {
        let mut sum = 0.0;
        self.counts.range(first..=last).find_map(|(key, count)| {
            sum += count;
            (sum >= wanted).then_some(*key)
        })
    }
}
