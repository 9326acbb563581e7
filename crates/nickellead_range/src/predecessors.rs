//! What those who held the mandate before may have done, and may do yet.

use std::time::Duration;

use nickellead_core::Timestamp;

/// When an order is sent at the latest, beside the moment at which the mandate is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LastOrder {
    /// This long ago.
    Before(Duration),
    /// This long from now on.
    After(Duration),
}

impl LastOrder {
    /// An order that is sent when this moment comes at the latest.
    pub const NOW: Self = Self::After(Duration::ZERO);

    /// The latest moment, `now` being when the mandate is taken or later.
    #[must_use]
    pub fn latest(self, now: Timestamp) -> Timestamp {
        match self {
            Self::Before(length) => Timestamp(now.0.saturating_sub(length.as_millis() as u64)),
            Self::After(length) => now + length,
        }
    }

    pub(crate) fn at_least_now(self) -> Self {
        match self {
            Self::Before(_) => Self::NOW,
            Self::After(_) => self,
        }
    }

    /// The end of a power that lasts for `power`, of which `passed` is over.
    pub(crate) fn of_power(power: Duration, passed: Duration) -> Self {
        match passed.checked_sub(power) {
            Some(over) => Self::Before(over),
            None => Self::After(power - passed),
        }
    }
}

/// What those who held the mandate before may have done that the store does not tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PredecessorBounds {
    /// When the last one, and so any of them, sends its last renewal at the latest.
    pub last_holder: LastOrder,
    /// When the last one sent its last order to holders that it was about to replace, and those
    /// before it their last renewal, at the latest.
    pub earlier_holders: LastOrder,
    /// Whether the last one may have met late orders while it could not write this down.
    pub late_orders_unknown: bool,
}
