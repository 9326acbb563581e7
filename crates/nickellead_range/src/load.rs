//! Sampled request load per key.

use std::collections::BTreeMap;

/// Decayed request counts by key, as one VM observes them.
///
/// A hash spreads callers over VMs, so the counts of one VM are a representative sample of all
/// traffic.
#[derive(Clone, Debug, Default)]
pub struct KeyLoad {
    counts: BTreeMap<u16, f64>,
}

/// Decay drops the entry of a key whose count is not above this.
const MIN_REQUEST_COUNT: f64 = 0.05;

impl KeyLoad {
    /// Adds `count` requests for `key`.
    pub fn record(&mut self, key: u16, count: u32) {
        *self.counts.entry(key).or_default() += f64::from(count);
    }

    /// Multiplies every count by `factor`; to be called once per period.
    pub fn decay(&mut self, factor: f64) {
        self.counts.retain(|_, count| {
            *count *= factor;
            *count > MIN_REQUEST_COUNT
        });
    }

    /// Total load of the keys from `first` to `last`, both included.
    #[must_use]
    pub fn between(&self, first: u16, last: u16) -> f64 {
        self.counts.range(first..=last).map(|(_, count)| count).sum()
    }

    /// The requested keys from `first` to `last`, both included, with their loads.
    pub fn counts(&self, first: u16, last: u16) -> impl Iterator<Item = (u16, f64)> {
        self.counts.range(first..=last).map(|(key, count)| (*key, *count))
    }

    /// Total load of all keys.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.counts.values().sum()
    }

    /// The smallest key at which the cumulative load from `first` on reaches `load`; `None` when
    /// it stays below up to `last`.
    #[must_use]
    pub fn key_reaching(&self, first: u16, last: u16, load: f64) -> Option<u16> {
        let mut sum = 0.0;
        self.counts.range(first..=last).find_map(|(key, count)| {
            sum += count;
            (sum >= load).then_some(*key)
        })
    }
}
