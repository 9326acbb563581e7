//! What one life of a target told a VM of itself, and whether it may be asked after that.
//!
//! A target knows before anybody else that it leaves or is overrun, and says so on its answers. That binds the
//! VM that was told, at once and until the end of that life, whatever a list says meanwhile: an entry in a
//! list comes later, and may not come while the store is away.

use std::time::Duration;

use nickellead_core::Timestamp;

/// What a VM heard of a limit itself counts for so long against what the mandate's holder tells, who learns it
/// within a second.
const HEARD_FRESH: Duration = Duration::from_millis(1_500);

/// What the mandate's holder tells of the limit of one life of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ReportedLimit {
    /// Nothing.
    #[default]
    Unknown,
    /// No VM hears of one any more.
    Unlimited,
    /// So many requests a second from all VMs together.
    Limited(f64),
}

/// Signs of one life of one target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetSignals {
    leaving_since: Option<Timestamp>,
    paused_until: Timestamp,
    limit: Option<NamedLimit>,
    /// When the last answer came that named no limit.
    unlimited: Timestamp,
}

/// A limit that a target named, and still names as far as this VM knows.
#[derive(Clone, Copy, Debug, PartialEq)]
struct NamedLimit {
    /// Requests a second from all VMs together.
    rate: f64,
    /// When the last answer came that named it.
    heard: Timestamp,
}

impl TargetSignals {
    /// Notes that the target said that it leaves; tells whether that is new.
    pub fn observe_leaving(&mut self, now: Timestamp) -> bool {
        let new = self.leaving_since.is_none();
        self.leaving_since.get_or_insert(now);
        new
    }

    /// Notes that the target wants nothing for so long; tells whether it was not paused already.
    ///
    /// Of several such wishes the latest end counts.
    pub fn observe_pause(&mut self, pause: Duration, now: Timestamp) -> bool {
        let new = !self.is_paused(now);
        self.paused_until = self.paused_until.max(now + pause);
        new
    }

    /// Notes the requests a second that the target takes from all VMs together, or that it names no limit,
    /// as an answer says to a request that was sent at `sent`; tells whether that is new.
    ///
    /// Answers overtake each other, so one that allows more counts only if its request was sent after the last
    /// answer came that allowed less.
    pub fn observe_limit(&mut self, limit: Option<f64>, sent: Timestamp, now: Timestamp) -> bool {
        let known = self.limit;
        if known
            .is_some_and(|known| limit.is_none_or(|rate| rate > known.rate) && sent <= known.heard)
        {
            return false;
        }
        self.limit = limit.map(|rate| NamedLimit { rate, heard: now });
        if limit.is_none() {
            self.unlimited = now;
        }
        known.map(|known| known.rate) != limit
    }

    /// Requests a second that the target takes from all VMs together, if it names a limit.
    #[must_use]
    pub fn limit(&self) -> Option<f64> {
        self.limit.map(|limit| limit.rate)
    }

    /// The same, where the mandate's holder tells what other VMs heard. What this VM heard itself stands for as
    /// long as the holder may not have learned it; after that its word is the newer one.
    #[must_use]
    pub fn effective_limit(&self, told: ReportedLimit, now: Timestamp) -> Option<f64> {
        let fresh = |heard: Timestamp| now.since(heard) < HEARD_FRESH;
        match (self.limit, told) {
            (Some(own), _) if fresh(own.heard) => Some(own.rate),
            (None, _) if fresh(self.unlimited) && self.unlimited > Timestamp::ZERO => None,
            (own, ReportedLimit::Unknown) => own.map(|own| own.rate),
            (_, ReportedLimit::Unlimited) => None,
            (_, ReportedLimit::Limited(rate)) => Some(rate),
        }
    }

    /// Since when the target is known to leave.
    #[must_use]
    pub fn leaving_since(&self) -> Option<Timestamp> {
        self.leaving_since
    }

    /// Whether the target wants nothing now.
    #[must_use]
    pub fn is_paused(&self, now: Timestamp) -> bool {
        now < self.paused_until
    }

    /// How much longer the target wants nothing.
    #[must_use]
    pub fn pause_remaining(&self, now: Timestamp) -> Duration {
        self.paused_until.since(now)
    }

    /// Whether anything that it told still counts.
    #[must_use]
    pub fn has_active_signal(&self, now: Timestamp) -> bool {
        self.leaving_since.is_some() || self.limit.is_some() || self.is_paused(now)
    }

    /// Whether the target still serves what it alone can: it does for `stay` after it said that it leaves.
    #[must_use]
    pub fn serves_owned_keys(&self, stay: Duration, now: Timestamp) -> bool {
        self.leaving_since.is_none_or(|since| now.since(since) < stay)
    }

    /// Whether a request that nobody else can serve may be sent now: for `stay` after it said that it leaves
    /// the target goes on serving what it alone can.
    #[must_use]
    pub fn may_send(&self, stay: Duration, now: Timestamp) -> bool {
        self.serves_owned_keys(stay, now) && !self.is_paused(now)
    }
}
