//! Detection of targets that execute orders late, as opposed to lost or overloaded ones.
//!
//! A target that leaves an order unanswered and answers the next one is still running, so it may
//! execute the unanswered order seconds later. A single such target may just be too busy to accept
//! a connection. Late execution everywhere is assumed only when several targets show this pattern
//! and a significant fraction of the orders to running targets stay unanswered. Targets that
//! answer nothing are lost or disconnected and do not count, however many they are.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use nickellead_core::Timestamp;

use crate::{OrderKind, OrderOutcome, RangeOrder};

/// Age up to which outcomes are considered.
const OUTCOME_WINDOW: Duration = Duration::from_millis(4_000);
/// Minimum number of targets that answer after an unanswered grant within the window.
const MIN_LATE_TARGETS: usize = 2;
/// Minimum fraction, of the grants to running targets in the window, that is unanswered.
const MIN_UNANSWERED_FRACTION: f64 = 0.08;

#[derive(Clone, Debug)]
struct GrantOutcome {
    at: Timestamp,
    target: String,
    unanswered: bool,
}

/// Late-order statistics of one process; they outlive the controllers that the process creates.
#[derive(Clone, Debug, Default)]
pub struct LateOrderDetector {
    /// Targets that left their last grant unanswered.
    unanswered: BTreeSet<String>,
    /// Grants that were answered or left unanswered, by time.
    outcomes: VecDeque<GrantOutcome>,
    /// Targets that answered after an unanswered grant, by time of the answer.
    recoveries: VecDeque<(Timestamp, String)>,
    /// Until when any target may execute an unanswered order.
    late_until: Timestamp,
    /// Until when single targets that answered after an unanswered grant may execute one.
    late_targets: BTreeMap<String, Timestamp>,
}

impl LateOrderDetector {
    /// Whether any target may still execute an order that it left unanswered.
    #[must_use]
    pub fn is_late(&self, now: Timestamp) -> bool {
        now < self.late_until
    }

    /// Whether `target` may still execute an order that it left unanswered.
    #[must_use]
    pub fn is_target_late(&self, target: &str, now: Timestamp) -> bool {
        self.is_late(now) || self.late_targets.get(target).is_some_and(|until| now < *until)
    }

    /// Assumes late orders at all targets until the given time.
    pub fn assume_late_until(&mut self, until: Timestamp) {
        self.late_until = self.late_until.max(until);
    }

    /// Processes the outcome of an order.
    ///
    /// Late orders that were sent until `now` have no effect after `late_lease_bound`.
    pub fn observe_outcome(
        &mut self,
        order: &RangeOrder,
        outcome: &OrderOutcome,
        now: Timestamp,
        late_lease_bound: Timestamp,
    ) {
        if order.kind == OrderKind::Release {
            // A target answers a release once its running requests end, so a missing answer is
            // no evidence.
            return;
        }
        let recent = |at: Timestamp| now.since(at) < OUTCOME_WINDOW;
        while self.outcomes.front().is_some_and(|outcome| !recent(outcome.at)) {
            self.outcomes.pop_front();
        }
        while self.recoveries.front().is_some_and(|(at, _)| !recent(*at)) {
            self.recoveries.pop_front();
        }
        let target = &order.target.id;
        match outcome {
            OrderOutcome::Unanswered => {
                self.record_grant(target, true, now);
                self.unanswered.insert(target.clone());
                if self.is_late(now) {
                    self.assume_late_until(late_lease_bound);
                }
            }
            OrderOutcome::Done(_) | OrderOutcome::Outranked => {
                self.record_grant(target, false, now);
                if self.unanswered.remove(target) {
                    self.record_recovery(target, now, late_lease_bound);
                }
            }
            // The target is unreachable or has ended, so its earlier missing answer does not show
            // late execution.
            OrderOutcome::Broken | OrderOutcome::NotSent | OrderOutcome::Ended => {
                self.unanswered.remove(target);
            }
        }
    }

    /// Records that a target answered after it had left a grant unanswered.
    fn record_recovery(&mut self, target: &str, now: Timestamp, late_lease_bound: Timestamp) {
        self.late_targets.retain(|_, until| now < *until);
        self.late_targets.insert(target.to_owned(), late_lease_bound);
        self.recoveries.push_back((now, target.to_owned()));
        let targets: BTreeSet<&String> = self.recoveries.iter().map(|(_, target)| target).collect();
        if targets.len() >= MIN_LATE_TARGETS && self.are_many_unanswered() {
            self.assume_late_until(late_lease_bound);
        }
    }

    fn record_grant(&mut self, target: &str, unanswered: bool, at: Timestamp) {
        self.outcomes.push_back(GrantOutcome { at, target: target.to_owned(), unanswered });
    }

    /// Whether enough of the grants to running targets are unanswered.
    ///
    /// An unanswered grant counts only if the target answered a later one, because the last answer
    /// of a lost target precedes its unanswered grants.
    fn are_many_unanswered(&self) -> bool {
        let mut running = BTreeSet::new();
        let (mut unanswered, mut total) = (0_u32, 0_u32);
        for outcome in self.outcomes.iter().rev() {
            if !outcome.unanswered {
                running.insert(outcome.target.as_str());
            }
            let counts = running.contains(outcome.target.as_str());
            unanswered += u32::from(counts && outcome.unanswered);
            total += u32::from(counts);
        }
        f64::from(unanswered) >= MIN_UNANSWERED_FRACTION * f64::from(total)
    }
}
