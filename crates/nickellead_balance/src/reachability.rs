//! Whether the targets of an availability zone can be reached from this VM.
//!
//! Behind a cut each connection to a target meets silence, which costs a request 0.4 s, often all that it
//! has. Two targets of a zone that were silent, and none that answered since, speak for all of them: until
//! one answers, only a request now and then is sent there.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use nickellead_core::Timestamp;

/// Silent targets of a zone, with none that answered since, from which the zone counts as out of reach: one
/// may have been lost for itself.
const SILENT_TARGETS: usize = 2;
/// How long a silence counts; tries meanwhile renew it.
const SILENCE_KEPT: Duration = Duration::from_millis(2_000);
/// Between two tries to reach a zone out of reach: a healed one is used again within this time.
const TRY_PAUSE: Duration = Duration::from_millis(300);

/// Silences of one zone's targets since one of them last answered.
#[derive(Default)]
struct ZoneSilence {
    /// Targets, each with its last silence.
    targets: HashMap<String, Timestamp>,
    tried: Timestamp,
}

impl ZoneSilence {
    fn is_out(&self, now: Timestamp) -> bool {
        let fresh = self.targets.values().filter(|at| now.since(**at) < SILENCE_KEPT);
        fresh.count() >= SILENT_TARGETS
    }
}

/// The zones of which targets were silent.
#[derive(Default)]
pub struct ZoneReachability(RefCell<HashMap<String, ZoneSilence>>);

impl ZoneReachability {
    /// Notes that a connection to a target met silence.
    pub fn record_connect_timeout(&self, zone: &str, target: &str, now: Timestamp) {
        let mut zones = self.0.borrow_mut();
        let silence = zones.entry(zone.to_owned()).or_default();
        silence.targets.insert(target.to_owned(), now);
    }

    /// Notes that a target answered.
    pub fn record_response(&self, zone: &str) {
        self.0.borrow_mut().remove(zone);
    }

    /// Whether a request may be sent to a zone now: it is in reach, or a try is due.
    #[must_use]
    pub fn may_attempt(&self, zone: &str, now: Timestamp) -> bool {
        let zones = self.0.borrow();
        let tries = |silence: &ZoneSilence| now.since(silence.tried) >= TRY_PAUSE;
        zones.get(zone).is_none_or(|silence| !silence.is_out(now) || tries(silence))
    }

    /// Notes that a request is sent to a zone.
    pub fn record_attempt(&self, zone: &str, now: Timestamp) {
        if let Some(silence) = self.0.borrow_mut().get_mut(zone) {
            silence.tried = now;
        }
    }
}
