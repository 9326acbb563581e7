//! Whether a dispatcher is asked, by what happened to earlier messages.

use std::time::Duration;

use nickellead_core::Timestamp;

/// How long a lost dispatcher is avoided before another request tries it.
const AVOID_TIME: Duration = Duration::from_secs(1);

/// Whether a dispatcher is asked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerHealth {
    /// While it is lost: when the next message may be sent.
    retry_at: Option<Timestamp>,
}

impl PeerHealth {
    /// Whether the dispatcher counts as lost.
    #[must_use]
    pub const fn is_lost(&self) -> bool {
        self.retry_at.is_some()
    }

    /// Whether a message may be sent now. While the dispatcher is lost, one message at a time may.
    pub fn may_ask(&mut self, now: Timestamp) -> bool {
        match &mut self.retry_at {
            None => true,
            Some(at) if now < *at => false,
            Some(at) => {
                *at = now + AVOID_TIME;
                true
            }
        }
    }

    /// Records that it did not acknowledge a message; returns whether this is new.
    pub fn record_lost(&mut self, now: Timestamp) -> bool {
        self.retry_at.replace(now + AVOID_TIME).is_none()
    }

    /// Records that it answered a message.
    pub fn record_answer(&mut self) {
        self.retry_at = None;
    }
}
