//! Points in time and the bound on clock drift, without access to a clock.

use std::time::Duration;

/// Milliseconds on a process's own clock; comparable only within that process.
///
/// The clock includes time during which the machine was suspended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// The start of the clock.
    pub const ZERO: Self = Self(0);

    /// Time elapsed since `earlier`; zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// The time `duration` before this, rounded down to a millisecond; `None` if it is before the
    /// start of the clock.
    #[must_use]
    pub fn checked_sub(self, duration: Duration) -> Option<Self> {
        let millis = duration.as_nanos().div_ceil(1_000_000);
        self.0.checked_sub(u64::try_from(millis).ok()?).map(Self)
    }
}

impl std::ops::Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration.as_millis() as u64))
    }
}

/// Maximum difference between the rates of two clocks.
///
/// The router makes no other assumption about clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DriftBound {
    /// Difference in parts per million.
    pub parts_per_million: u32,
}

impl DriftBound {
    /// Longest time on this clock during which another clock advances by `duration`, rounded up to a
    /// millisecond.
    #[must_use]
    pub fn stretch(self, duration: Duration) -> Duration {
        let millis = duration.as_millis() as u64;
        let extra = millis * u64::from(self.parts_per_million) / 1_000_000;
        Duration::from_millis(millis + extra + 1)
    }
}

impl Default for DriftBound {
    /// 1%, which exceeds the drift of working clocks.
    fn default() -> Self {
        Self { parts_per_million: 10_000 }
    }
}
