//! Bounds on what earlier holders of the mandate (leader lease) have sent or may still send.

use std::time::Duration;

use nickellead_core::Timestamp;

/// Latest time at which an order is sent, relative to when the mandate is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LastOrder {
    /// This long before the mandate is taken.
    Before(Duration),
    /// This long after the mandate is taken.
    After(Duration),
}

impl LastOrder {
    /// No order is sent once the mandate is taken.
    pub const NOW: Self = Self::After(Duration::ZERO);

    /// The latest time at which the order is sent; `now` is when the mandate is taken or later.
    #[must_use]
    pub fn latest(self, now: Timestamp) -> Timestamp {
        match self {
            Self::Before(elapsed) => Timestamp(now.0.saturating_sub(elapsed.as_millis() as u64)),
            Self::After(remaining) => now + remaining,
        }
    }

    pub(crate) fn at_least_now(self) -> Self {
        match self {
            Self::Before(_) => Self::NOW,
            Self::After(_) => self,
        }
    }

    /// The end of an authority that lasts for `duration`, of which `elapsed` has passed.
    pub(crate) fn at_authority_end(duration: Duration, elapsed: Duration) -> Self {
        match elapsed.checked_sub(duration) {
            Some(since_end) => Self::Before(since_end),
            None => Self::After(duration - elapsed),
        }
    }
}

/// Bounds on the orders of earlier mandate holders that the store does not record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PredecessorBounds {
    /// When the last mandate holder, and so every earlier one, sends its last renewal at the
    /// latest.
    pub last_holder: LastOrder,
    /// When the last mandate holder sent its last order to owners that it was replacing, and the
    /// mandate holders before it sent their last renewal, at the latest.
    pub earlier_holders: LastOrder,
    /// Whether the last mandate holder may have seen late orders that it could not record in the
    /// store.
    pub late_orders_unknown: bool,
}
