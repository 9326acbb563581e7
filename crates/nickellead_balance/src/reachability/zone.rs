//! What a VM knows of one zone: the rule of
//! [`ReachRules::AllFailures`](super::ReachRules::AllFailures).

use std::collections::HashMap;
use std::time::Duration;

use nickellead_core::Timestamp;

use super::{
    ATTEMPT_INTERVAL, FAILURE_TTL, FailedTry, MIN_SILENT_TARGETS, ReachFailure, ReachReport,
};

/// Number of different targets that must have failed in any way before a zone is out of reach.
const MIN_FAILED_TARGETS: usize = 3;
/// Zones with at most this many targets are closed by this many failures.
const SMALL_ZONE_TARGETS: usize = 2;
/// Fraction of the recently tried targets that must have failed. A partition affects all of them, a
/// crash of some targets only these.
const MIN_FAILED_FRACTION: f64 = 0.5;
/// Number of responses after which a zone that was out of reach is used without restriction.
const MIN_RESPONSES: u32 = 3;
/// Longest time that a zone is used with restriction after it was out of reach. Slow responses must
/// not prolong the outage.
const OPENING_TIMEOUT: Duration = Duration::from_millis(2_000);

/// How a zone is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReachPhase {
    /// Without restriction.
    Open,
    /// Out of reach: one try in each [`ATTEMPT_INTERVAL`]. `renewed` is the time of the last
    /// evidence.
    Closed { renewed: Timestamp },
    /// One try at a time. There were no `responses` yet if the evidence of the outage has expired.
    Opening { since: Timestamp, responses: u32 },
}

impl ReachPhase {
    /// The phase after `now` was reached without further evidence.
    fn at(self, now: Timestamp) -> Self {
        match self {
            Self::Closed { renewed } if now.since(renewed) >= FAILURE_TTL => {
                Self::Opening { since: renewed + FAILURE_TTL, responses: 0 }.at(now)
            }
            Self::Opening { since, .. } if now.since(since) >= OPENING_TIMEOUT => Self::Open,
            phase => phase,
        }
    }
}

/// The last failure of a target.
#[derive(Clone, Copy)]
struct TargetFailure {
    at: Timestamp,
    failure: ReachFailure,
}

/// A change of whether a zone is in reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PhaseChange {
    pub(super) in_reach: bool,
    pub(super) first_hand: bool,
}

/// Evidence about one zone and the phase that follows from it.
pub(super) struct ZoneReach {
    phase: ReachPhase,
    /// Number of listed targets, if known.
    targets: Option<usize>,
    /// When each target was last tried.
    tried: HashMap<String, Timestamp>,
    /// Failures since the last response from the zone.
    failures: HashMap<String, TargetFailure>,
    /// When other VMs saw the zone go out of reach, since the last response from it.
    reports: HashMap<u64, Timestamp>,
    /// Failures of tries that began earlier don't count: the zone has responded or was closed since.
    counted_from: Timestamp,
    last_response: Option<Timestamp>,
    last_attempt: Option<Timestamp>,
    /// Whether the last try has not ended yet.
    attempt_pending: bool,
    /// Whether the zone was in reach according to the last [`PhaseChange`].
    announced_in_reach: bool,
}

impl Default for ZoneReach {
    fn default() -> Self {
        Self {
            phase: ReachPhase::Open,
            targets: None,
            tried: HashMap::new(),
            failures: HashMap::new(),
            reports: HashMap::new(),
            counted_from: Timestamp::ZERO,
            last_response: None,
            last_attempt: None,
            attempt_pending: false,
            announced_in_reach: true,
        }
    }
}

impl ZoneReach {
    pub(super) fn set_targets(&mut self, targets: usize) {
        self.targets = Some(targets);
    }

    /// Whether its targets may be used like those of other zones.
    pub(super) fn is_in_reach(&self, now: Timestamp) -> bool {
        !matches!(self.phase.at(now), ReachPhase::Closed { .. })
    }

    /// Whether the zone is out of reach according to the last change.
    pub(super) fn is_announced_out(&self) -> bool {
        !self.announced_in_reach
    }

    /// Whether a request may be sent to the zone.
    pub(super) fn may_attempt(&self, now: Timestamp) -> bool {
        let is_due = self.last_attempt.is_none_or(|at| now.since(at) >= ATTEMPT_INTERVAL);
        match self.phase.at(now) {
            ReachPhase::Open => true,
            ReachPhase::Closed { .. } => is_due,
            ReachPhase::Opening { .. } => is_due || !self.attempt_pending,
        }
    }

    pub(super) fn record_attempt(&mut self, target: &str, now: Timestamp) {
        self.last_attempt = Some(now);
        self.attempt_pending = true;
        if let Some(at) = self.tried.get_mut(target) {
            *at = now;
            return;
        }
        self.tried.retain(|_, at| now.since(*at) < FAILURE_TTL);
        self.tried.insert(target.to_owned(), now);
    }

    pub(super) fn record_response(&mut self, now: Timestamp) -> Option<PhaseChange> {
        self.attempt_pending = false;
        self.last_response = Some(now);
        self.counted_from = now;
        self.failures.clear();
        self.reports.clear();
        self.phase = match self.phase.at(now) {
            ReachPhase::Open => ReachPhase::Open,
            ReachPhase::Closed { .. } => ReachPhase::Opening { since: now, responses: 1 },
            ReachPhase::Opening { since, responses: 0 } => {
                ReachPhase::Opening { since, responses: 1 }
            }
            ReachPhase::Opening { responses, .. } if responses + 1 >= MIN_RESPONSES => {
                ReachPhase::Open
            }
            ReachPhase::Opening { since, responses } => {
                ReachPhase::Opening { since, responses: responses + 1 }
            }
        };
        self.announce(true)
    }

    pub(super) fn record_failure(
        &mut self,
        tried: &FailedTry<'_>,
        now: Timestamp,
    ) -> Option<PhaseChange> {
        self.phase = self.phase.at(now);
        self.attempt_pending = false;
        if tried.began < self.counted_from {
            return None;
        }
        let failure = TargetFailure { at: now, failure: tried.failure };
        self.failures.insert(tried.target.to_owned(), failure);
        match self.phase {
            ReachPhase::Closed { .. } => {
                self.phase = ReachPhase::Closed { renewed: now };
                None
            }
            // The expired evidence is confirmed.
            ReachPhase::Opening { responses: 0, .. } => self.close(true, now, now),
            ReachPhase::Open | ReachPhase::Opening { .. } => self.weigh(now),
        }
    }

    /// Applies another VM's report of a change at `seen`.
    pub(super) fn record_report(
        &mut self,
        report: &ReachReport,
        now: Timestamp,
    ) -> Option<PhaseChange> {
        self.phase = self.phase.at(now);
        if report.in_reach {
            self.reports.remove(&report.vm);
            // The next try is due at once.
            self.last_attempt = self.last_attempt.filter(|at| *at >= report.seen);
            return None;
        }
        let is_refuted = self.last_response.is_some_and(|at| at >= report.seen);
        if is_refuted || now.since(report.seen) >= FAILURE_TTL {
            return None;
        }
        self.reports.retain(|_, at| now.since(*at) < FAILURE_TTL);
        self.reports.insert(report.vm, report.seen);
        match self.phase {
            ReachPhase::Closed { .. } => None,
            ReachPhase::Open | ReachPhase::Opening { .. } => self.weigh(now),
        }
    }

    /// Announces the end of an outage whose evidence has expired.
    pub(super) fn expire(&mut self, now: Timestamp) -> Option<PhaseChange> {
        self.phase = self.phase.at(now);
        match self.phase {
            ReachPhase::Open => self.announce(false),
            ReachPhase::Closed { .. } | ReachPhase::Opening { .. } => None,
        }
    }

    /// The change when the zone is no longer watched.
    pub(super) fn forget(&mut self) -> Option<PhaseChange> {
        self.announce(false)
    }

    /// Closes the zone if failures and reports together are sufficient evidence.
    fn weigh(&mut self, now: Timestamp) -> Option<PhaseChange> {
        let recent = self.failures.values().filter(|one| now.since(one.at) < FAILURE_TTL);
        let failed = recent.clone().count();
        let silent = recent.filter(|one| one.failure == ReachFailure::TimedOut).count();
        let first_hand = silent >= MIN_SILENT_TARGETS || self.suffices(failed, now);
        if first_hand {
            return self.close(true, now, now);
        }
        let fresh = self.reports.values().filter(|at| now.since(**at) < FAILURE_TTL);
        let newest = fresh.clone().max().copied()?;
        if !self.suffices(failed + fresh.count(), now) {
            return None;
        }
        let renewed = if failed > 0 { now } else { newest };
        self.close(false, renewed, now)
    }

    /// Whether this number of failed targets tells a partition from crashed targets.
    fn suffices(&self, failed: usize, now: Timestamp) -> bool {
        let needed = match self.targets {
            Some(listed) if listed <= SMALL_ZONE_TARGETS => SMALL_ZONE_TARGETS,
            _ => MIN_FAILED_TARGETS,
        };
        let tried = self.tried.values().filter(|at| now.since(**at) < FAILURE_TTL).count();
        failed >= needed && failed as f64 >= tried as f64 * MIN_FAILED_FRACTION
    }

    fn close(
        &mut self,
        first_hand: bool,
        renewed: Timestamp,
        now: Timestamp,
    ) -> Option<PhaseChange> {
        self.phase = ReachPhase::Closed { renewed };
        self.counted_from = now;
        let changed = std::mem::take(&mut self.announced_in_reach);
        changed.then_some(PhaseChange { in_reach: false, first_hand })
    }

    /// The change if the zone was announced as out of reach.
    fn announce(&mut self, first_hand: bool) -> Option<PhaseChange> {
        let changed = !std::mem::replace(&mut self.announced_in_reach, true);
        changed.then_some(PhaseChange { in_reach: true, first_hand })
    }
}
