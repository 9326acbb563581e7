//! Detects availability zones that this VM cannot reach.
//!
//! Behind a network partition every try fails: connections are refused or reset, or time out, which
//! uses up much of a request's deadline. A zone counts as out of reach once tries to several of its
//! targets have failed and none has responded since. Until a target responds, only occasional
//! requests are sent to the zone. [`ReachRules`] tells which failures count.
//!
//! See `docs/design/reach.md`.

mod timeouts;
mod zone;

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use nickellead_core::Timestamp;

use self::timeouts::ZoneTimeouts;
use self::zone::{PhaseChange, ZoneReach};

/// Number of targets with connect timeouts from which a zone counts as out of reach. A single target
/// may have failed on its own.
const MIN_SILENT_TARGETS: usize = 2;
/// Time for which a failure counts; further tries renew it.
const FAILURE_TTL: Duration = Duration::from_millis(2_000);
/// Interval between tries to reach a zone that is out of reach: it is used again within this time of its
/// return.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(300);

/// Which failures count for the reachability of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReachRules {
    /// Connect timeouts only.
    #[default]
    Timeouts,
    /// Failures of all kinds, and reports of other VMs. A zone that was out of reach gets one request
    /// at a time until several targets have responded.
    AllFailures,
}

/// How a try failed before anything was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachFailure {
    /// The connection was refused.
    Refused,
    /// The connection was reset or broke.
    Broken,
    /// The connection attempt timed out.
    TimedOut,
}

/// A try that failed before anything was sent.
#[derive(Clone, Copy, Debug)]
pub struct FailedTry<'a> {
    /// Identity of the target.
    pub target: &'a str,
    /// How the try failed.
    pub failure: ReachFailure,
    /// When the try began.
    pub began: Timestamp,
}

/// What another VM of this VM's zone saw of a zone.
#[derive(Clone, Copy, Debug)]
pub struct ReachReport {
    /// Identifies the other VM.
    pub vm: u64,
    /// Whether the zone is in reach of the other VM.
    pub in_reach: bool,
    /// When the other VM saw it, on this VM's clock.
    pub seen: Timestamp,
}

/// A change of whether a zone is in reach of this VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReachChange {
    /// The availability zone.
    pub zone: String,
    /// Whether the zone is in reach now.
    pub in_reach: bool,
    /// Whether this VM's own tries are sufficient evidence, without reports of other VMs.
    pub first_hand: bool,
}

/// Evidence by availability zone.
enum ReachState {
    Timeouts(HashMap<String, ZoneTimeouts>),
    AllFailures(HashMap<String, ZoneReach>),
}

impl ReachState {
    /// All zones are in reach.
    fn new(rules: ReachRules) -> Self {
        match rules {
            ReachRules::Timeouts => Self::Timeouts(HashMap::new()),
            ReachRules::AllFailures => Self::AllFailures(HashMap::new()),
        }
    }
}

/// Reachability of availability zones.
pub struct ZoneReachability {
    state: RefCell<ReachState>,
    changes: RefCell<Vec<ReachChange>>,
}

impl Default for ZoneReachability {
    fn default() -> Self {
        Self::new(ReachRules::default())
    }
}

impl ZoneReachability {
    /// All zones are in reach.
    #[must_use]
    pub fn new(rules: ReachRules) -> Self {
        Self { state: RefCell::new(ReachState::new(rules)), changes: RefCell::default() }
    }

    /// The rules by which failures are counted.
    #[must_use]
    pub fn rules(&self) -> ReachRules {
        match &*self.state.borrow() {
            ReachState::Timeouts(_) => ReachRules::Timeouts,
            ReachState::AllFailures(_) => ReachRules::AllFailures,
        }
    }

    /// Changes the rules, given the number of listed targets by zone. What was learned by other rules is
    /// forgotten.
    pub fn set_rules(&self, rules: ReachRules, listed: &HashMap<&str, usize>) {
        if self.rules() == rules {
            return;
        }
        self.state.replace(ReachState::new(rules));
        self.set_targets(listed);
    }

    /// Sets the number of listed targets by zone; zones without targets are forgotten.
    pub fn set_targets(&self, listed: &HashMap<&str, usize>) {
        let mut state = self.state.borrow_mut();
        let ReachState::AllFailures(zones) = &mut *state else { return };
        let unlisted = zones.extract_if(|zone, _| !listed.contains_key(zone.as_str()));
        unlisted.for_each(|(zone, mut reach)| self.note(&zone, reach.forget()));
        for (zone, targets) in listed {
            zones.entry((*zone).to_owned()).or_default().set_targets(*targets);
        }
    }

    /// Records that a try failed before anything was sent.
    pub fn record_failure(&self, zone: &str, tried: &FailedTry<'_>, now: Timestamp) {
        let change = match &mut *self.state.borrow_mut() {
            ReachState::Timeouts(zones) => {
                if tried.failure == ReachFailure::TimedOut {
                    let timeouts = zones.entry(zone.to_owned()).or_default();
                    timeouts.record_timeout(tried.target, now);
                }
                None
            }
            ReachState::AllFailures(zones) => {
                zones.entry(zone.to_owned()).or_default().record_failure(tried, now)
            }
        };
        self.note(zone, change);
    }

    /// Records that a target of the zone responded.
    pub fn record_response(&self, zone: &str, now: Timestamp) {
        let change = match &mut *self.state.borrow_mut() {
            ReachState::Timeouts(zones) => {
                zones.remove(zone);
                None
            }
            ReachState::AllFailures(zones) => {
                zones.get_mut(zone).and_then(|reach| reach.record_response(now))
            }
        };
        self.note(zone, change);
    }

    /// Applies the report of another VM; it has no effect on a zone without listed targets.
    pub fn record_report(&self, zone: &str, report: &ReachReport, now: Timestamp) {
        let change = match &mut *self.state.borrow_mut() {
            ReachState::Timeouts(_) => None,
            ReachState::AllFailures(zones) => {
                zones.get_mut(zone).and_then(|reach| reach.record_report(report, now))
            }
        };
        self.note(zone, change);
    }

    /// Whether the zone's targets may be used like those of other zones.
    #[must_use]
    pub fn is_in_reach(&self, zone: &str, now: Timestamp) -> bool {
        match &*self.state.borrow() {
            ReachState::Timeouts(zones) => {
                zones.get(zone).is_none_or(|timeouts| !timeouts.is_unreachable(now))
            }
            ReachState::AllFailures(zones) => {
                zones.get(zone).is_none_or(|reach| reach.is_in_reach(now))
            }
        }
    }

    /// Whether a request may be sent to the zone: the zone is in reach, or a try is due.
    #[must_use]
    pub fn may_attempt(&self, zone: &str, now: Timestamp) -> bool {
        match &*self.state.borrow() {
            ReachState::Timeouts(zones) => {
                zones.get(zone).is_none_or(|timeouts| timeouts.may_attempt(now))
            }
            ReachState::AllFailures(zones) => {
                zones.get(zone).is_none_or(|reach| reach.may_attempt(now))
            }
        }
    }

    /// Records that a request is sent to a target of the zone.
    pub fn record_attempt(&self, zone: &str, target: &str, now: Timestamp) {
        match &mut *self.state.borrow_mut() {
            ReachState::Timeouts(zones) => {
                if let Some(timeouts) = zones.get_mut(zone) {
                    timeouts.record_attempt(now);
                }
            }
            ReachState::AllFailures(zones) => match zones.get_mut(zone) {
                Some(reach) => reach.record_attempt(target, now),
                None => zones.entry(zone.to_owned()).or_default().record_attempt(target, now),
            },
        }
    }

    /// Takes the changes since the last call, in their order. [`ReachRules::Timeouts`] reports none.
    #[must_use]
    pub fn take_changes(&self, now: Timestamp) -> Vec<ReachChange> {
        if let ReachState::AllFailures(zones) = &mut *self.state.borrow_mut() {
            for (zone, reach) in zones {
                self.note(zone, reach.expire(now));
            }
        }
        self.changes.take()
    }

    /// Number of zones that are out of reach.
    #[must_use]
    pub fn count_out_of_reach(&self, now: Timestamp) -> usize {
        match &*self.state.borrow() {
            ReachState::Timeouts(zones) => {
                zones.values().filter(|timeouts| timeouts.is_unreachable(now)).count()
            }
            ReachState::AllFailures(zones) => {
                zones.values().filter(|reach| reach.is_announced_out()).count()
            }
        }
    }

    fn note(&self, zone: &str, change: Option<PhaseChange>) {
        let Some(PhaseChange { in_reach, first_hand }) = change else { return };
        let zone = zone.to_owned();
        self.changes.borrow_mut().push(ReachChange { zone, in_reach, first_hand });
    }
}
