//! Connect timeouts of one zone: the rule of [`ReachRules::Timeouts`](super::ReachRules::Timeouts).

use std::collections::HashMap;

use nickellead_core::Timestamp;

use super::{ATTEMPT_INTERVAL, FAILURE_TTL, MIN_SILENT_TARGETS};

/// Connect timeouts of one zone's targets since the last response from the zone.
#[derive(Default)]
pub(super) struct ZoneTimeouts {
    /// Time of the last connect timeout by target.
    targets: HashMap<String, Timestamp>,
    last_attempt: Timestamp,
}

impl ZoneTimeouts {
    pub(super) fn record_timeout(&mut self, target: &str, now: Timestamp) {
        self.targets.insert(target.to_owned(), now);
    }

    pub(super) fn record_attempt(&mut self, now: Timestamp) {
        self.last_attempt = now;
    }

    pub(super) fn is_unreachable(&self, now: Timestamp) -> bool {
        let recent = self.targets.values().filter(|at| now.since(**at) < FAILURE_TTL);
        recent.count() >= MIN_SILENT_TARGETS
    }

    pub(super) fn may_attempt(&self, now: Timestamp) -> bool {
        !self.is_unreachable(now) || now.since(self.last_attempt) >= ATTEMPT_INTERVAL
    }
}
