//! Points in time, as the pure state machines see them.

use std::time::Duration;

/// Milliseconds on one process's own clock; comparable only within that process.
///
/// The clock counts the time a machine was suspended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// The start of the clock.
    pub const ZERO: Self = Self(0);

    /// How long after `earlier` this is; zero when it is not after it.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl std::ops::Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, length: Duration) -> Self {
        Self(self.0.saturating_add(length.as_millis() as u64))
    }
}

/// How far the rates of two clocks may differ: the one assumption about time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DriftBound {
    /// Difference of rates, in parts per million.
    pub parts_per_million: u32,
}

impl DriftBound {
    /// What `length` on another clock may last on this one, rounded up to a millisecond.
    #[must_use]
    pub fn stretch(self, length: Duration) -> Duration {
        let millis = length.as_millis() as u64;
        let extra = millis * u64::from(self.parts_per_million) / 1_000_000;
        Duration::from_millis(millis + extra + 1)
    }
}

impl Default for DriftBound {
    /// 1%: far above what any working clock shows.
    fn default() -> Self {
        Self { parts_per_million: 10_000 }
    }
}
