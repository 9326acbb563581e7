//! What one life of a target told a VM of itself, and whether it may be asked after that.
//!
//! A target knows before anybody else that it leaves or is overrun, and says so on its answers. That binds the
//! VM that was told, at once and until the end of that life, whatever a list says meanwhile: an entry in a
//! list comes later, and may not come while the store is away.

use std::time::Duration;

use nickellead_core::Timestamp;

/// Signs of one life of one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetSigns {
    leaving_since: Option<Timestamp>,
    rest_until: Timestamp,
}

impl TargetSigns {
    /// Notes that the target said that it leaves; tells whether that is new.
    pub fn note_leaving(&mut self, now: Timestamp) -> bool {
        let new = self.leaving_since.is_none();
        self.leaving_since.get_or_insert(now);
        new
    }

    /// Notes that the target wants nothing for so long; tells whether it did not rest already.
    ///
    /// Of several such wishes the latest end counts.
    pub fn note_rest(&mut self, rest: Duration, now: Timestamp) -> bool {
        let new = !self.rests(now);
        self.rest_until = self.rest_until.max(now + rest);
        new
    }

    /// Since when the target is known to leave.
    #[must_use]
    pub fn leaving_since(&self) -> Option<Timestamp> {
        self.leaving_since
    }

    /// Whether the target wants nothing now.
    #[must_use]
    pub fn rests(&self, now: Timestamp) -> bool {
        now < self.rest_until
    }

    /// How much longer the target wants nothing.
    #[must_use]
    pub fn rest_left(&self, now: Timestamp) -> Duration {
        self.rest_until.since(now)
    }

    /// Whether anything that it told still counts.
    #[must_use]
    pub fn is_told(&self, now: Timestamp) -> bool {
        self.leaving_since.is_some() || self.rests(now)
    }

    /// Whether a request that nobody else can serve may be sent now: for `stay` after it said that it leaves
    /// the target goes on serving what it alone can.
    #[must_use]
    pub fn may_send(&self, stay: Duration, now: Timestamp) -> bool {
        let stays = self.leaving_since.is_none_or(|since| now.since(since) < stay);
        stays && !self.rests(now)
    }
}
