//! Signals that one instance of a target sends about itself on its responses.
//!
//! A target reports on its responses that it is leaving, that it requests a pause, or that it limits
//! the request rate. The VM that receives a signal follows it at once and for as long as the instance
//! runs, whatever a list of targets says: lists are updated later, and not at all while the store is
//! unavailable.

use std::time::Duration;

use nickellead_core::Timestamp;

/// Time for which a limit that this VM observed itself overrides the one that the mandate holder
/// publishes, which may not yet include the observation.
const OBSERVED_LIMIT_TTL: Duration = Duration::from_millis(1_500);

/// Limit of one target instance that the mandate holder publishes from the reports of all VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ReportedLimit {
    /// The mandate holder publishes nothing about the instance.
    #[default]
    Unknown,
    /// The target no longer reports a limit to any VM.
    Unlimited,
    /// Requests per second from all VMs together.
    Limited(f64),
}

/// Signals of one target instance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetSignals {
    leaving_since: Option<Timestamp>,
    paused_until: Timestamp,
    limit: Option<ObservedLimit>,
    /// Time of the last accepted response without a limit.
    unlimited_at: Timestamp,
}

/// Limit on a response of the target.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ObservedLimit {
    /// Requests per second from all VMs together.
    rate: f64,
    /// Time of the last response with this limit.
    observed_at: Timestamp,
}

impl TargetSignals {
    /// Records that the target reports that it is leaving. Returns whether this is new.
    pub fn observe_leaving(&mut self, now: Timestamp) -> bool {
        let is_new = self.leaving_since.is_none();
        self.leaving_since.get_or_insert(now);
        is_new
    }

    /// Records that the target requests a pause. Returns whether it was not paused before.
    ///
    /// Overlapping pauses end with the latest one.
    pub fn observe_pause(&mut self, pause: Duration, now: Timestamp) -> bool {
        let is_new = !self.is_paused(now);
        self.paused_until = self.paused_until.max(now + pause);
        is_new
    }

    /// Records the limit on a response, in requests per second from all VMs together. `sent` is the
    /// time at which the request was sent. Returns whether the limit has changed.
    ///
    /// Responses can overtake each other. A response with a higher limit, or with none, is ignored
    /// unless its request was sent after the last response with the lower limit arrived.
    pub fn observe_limit(&mut self, limit: Option<f64>, sent: Timestamp, now: Timestamp) -> bool {
        let previous = self.limit;
        if previous.is_some_and(|previous| {
            limit.is_none_or(|rate| rate > previous.rate) && sent <= previous.observed_at
        }) {
            return false;
        }
        self.limit = limit.map(|rate| ObservedLimit { rate, observed_at: now });
        if limit.is_none() {
            self.unlimited_at = now;
        }
        previous.map(|previous| previous.rate) != limit
    }

    /// Limit that this VM observed, in requests per second from all VMs together.
    #[must_use]
    pub fn limit(&self) -> Option<f64> {
        self.limit.map(|limit| limit.rate)
    }

    /// Limit to apply, in requests per second from all VMs together.
    ///
    /// A recent observation of this VM overrides the limit that the mandate holder publishes, which in
    /// turn overrides an older observation.
    #[must_use]
    pub fn effective_limit(&self, reported: ReportedLimit, now: Timestamp) -> Option<f64> {
        let is_recent = |observed_at: Timestamp| now.since(observed_at) < OBSERVED_LIMIT_TTL;
        match (self.limit, reported) {
            (Some(own), _) if is_recent(own.observed_at) => Some(own.rate),
            (None, _) if is_recent(self.unlimited_at) && self.unlimited_at > Timestamp::ZERO => {
                None
            }
            (own, ReportedLimit::Unknown) => own.map(|own| own.rate),
            (_, ReportedLimit::Unlimited) => None,
            (_, ReportedLimit::Limited(rate)) => Some(rate),
        }
    }

    /// Time at which the target first reported that it is leaving.
    #[must_use]
    pub fn leaving_since(&self) -> Option<Timestamp> {
        self.leaving_since
    }

    /// Whether the target's pause has not ended.
    #[must_use]
    pub fn is_paused(&self, now: Timestamp) -> bool {
        now < self.paused_until
    }

    /// Time until the target's pause ends.
    #[must_use]
    pub fn pause_remaining(&self, now: Timestamp) -> Duration {
        self.paused_until.since(now)
    }

    /// Whether any signal is still active.
    #[must_use]
    pub fn has_active_signal(&self, now: Timestamp) -> bool {
        self.leaving_since.is_some() || self.limit.is_some() || self.is_paused(now)
    }

    /// Whether the target serves requests for the keys that it owns. A leaving target does so for
    /// `linger` after its report.
    #[must_use]
    pub fn serves_owned_keys(&self, linger: Duration, now: Timestamp) -> bool {
        self.leaving_since.is_none_or(|since| now.since(since) < linger)
    }

    /// Whether a request for a key that the target owns may be sent now: the target serves its keys,
    /// see [`Self::serves_owned_keys`], and is not paused.
    #[must_use]
    pub fn may_send(&self, linger: Duration, now: Timestamp) -> bool {
        self.serves_owned_keys(linger, now) && !self.is_paused(now)
    }
}
