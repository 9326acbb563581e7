//! Detects availability zones that this VM cannot reach.
//!
//! Behind a network partition every connection attempt runs into its timeout, which uses up much of a
//! request's deadline. A zone counts as unreachable once connections to several of its targets have
//! timed out and none has responded since. Until a target responds, only occasional requests are sent
//! to the zone.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use nickellead_core::Timestamp;

/// Number of targets with connect timeouts from which a zone counts as unreachable. A single target
/// may have failed on its own.
const MIN_TIMED_OUT_TARGETS: usize = 2;
/// Time for which a connect timeout counts; further attempts renew it.
const TIMEOUT_TTL: Duration = Duration::from_millis(2_000);
/// Interval between attempts to reach an unreachable zone.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(300);

/// Connect timeouts of one zone's targets since the last response from the zone.
#[derive(Default)]
struct ZoneTimeouts {
    /// Time of the last connect timeout by target.
    targets: HashMap<String, Timestamp>,
    last_attempt: Timestamp,
}

impl ZoneTimeouts {
    fn is_unreachable(&self, now: Timestamp) -> bool {
        let recent = self.targets.values().filter(|at| now.since(**at) < TIMEOUT_TTL);
        recent.count() >= MIN_TIMED_OUT_TARGETS
    }
}

/// Connect timeouts by availability zone.
#[derive(Default)]
pub struct ZoneReachability(RefCell<HashMap<String, ZoneTimeouts>>);

impl ZoneReachability {
    /// Records that a connection attempt to a target timed out.
    pub fn record_connect_timeout(&self, zone: &str, target: &str, now: Timestamp) {
        let mut zones = self.0.borrow_mut();
        let timeouts = zones.entry(zone.to_owned()).or_default();
        timeouts.targets.insert(target.to_owned(), now);
    }

    /// Records that a target of the zone responded, which makes the zone reachable.
    pub fn record_response(&self, zone: &str) {
        self.0.borrow_mut().remove(zone);
    }

    /// Whether a request may be sent to the zone: the zone is reachable, or an attempt is due.
    #[must_use]
    pub fn may_attempt(&self, zone: &str, now: Timestamp) -> bool {
        let zones = self.0.borrow();
        let is_due = |timeouts: &ZoneTimeouts| now.since(timeouts.last_attempt) >= ATTEMPT_INTERVAL;
        zones.get(zone).is_none_or(|timeouts| !timeouts.is_unreachable(now) || is_due(timeouts))
    }

    /// Records that a request is sent to the zone.
    pub fn record_attempt(&self, zone: &str, now: Timestamp) {
        if let Some(timeouts) = self.0.borrow_mut().get_mut(zone) {
            timeouts.last_attempt = now;
        }
    }
}
