//! Telling targets that carry orders out late from targets that are lost or overloaded.
//!
//! A target that leaves an order unanswered and answers the next one works on,
//! so the unanswered order may be carried out seconds later. One such sign may
//! also be a target too busy to take a connection; orders that are late all
//! over show at several targets at once, and in a good part of the orders to
//! targets that work. Targets that answer nothing are lost or cut off, however
//! many they are: their silence says nothing of the others.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use nickellead_core::Timestamp;

use crate::{OrderKind, OrderOutcome, RangeOrder};

/// How far back outcomes count.
const WINDOW: Duration = Duration::from_millis(4_000);
/// Targets that must show the sign within the window.
const TARGETS_LEAST: usize = 2;
/// Part of the grants to targets that work on, in the window, that must be silent.
const SILENT_PART: f64 = 0.08;

/// What became of one grant.
#[derive(Clone, Debug)]
struct GrantOutcome {
    at: Timestamp,
    target: String,
    silent: bool,
}

/// What one process knows of late orders; it outlives the keepers that the process makes.
#[derive(Clone, Debug, Default)]
pub struct LateOrderDetector {
    /// Targets whose last grant was silent.
    silent: BTreeSet<String>,
    /// Grants that were answered or met silence, by time.
    outcomes: VecDeque<GrantOutcome>,
    /// Targets that answered after a silence, by time.
    signs: VecDeque<(Timestamp, String)>,
    /// Until when any unanswered order may still be carried out.
    late_until: Timestamp,
    /// Targets that answered after a silence, and until when their unanswered orders may be
    /// carried out.
    late_targets: BTreeMap<String, Timestamp>,
}

impl LateOrderDetector {
    /// Whether any target may still carry out an order that it left unanswered.
    #[must_use]
    pub fn is_late(&self, now: Timestamp) -> bool {
        now < self.late_until
    }

    /// Whether this target may.
    #[must_use]
    pub fn is_target_late(&self, target: &str, now: Timestamp) -> bool {
        self.is_late(now) || self.late_targets.get(target).is_some_and(|until| now < *until)
    }

    /// Reckons with late orders of all targets until then.
    pub fn assume_late_until(&mut self, until: Timestamp) {
        self.late_until = self.late_until.max(until);
    }

    /// Takes in the outcome of an order; the debts of those sent until now end at `longest`.
    pub fn observe_outcome(
        &mut self,
        order: &RangeOrder,
        outcome: &OrderOutcome,
        now: Timestamp,
        longest: Timestamp,
    ) {
        if order.kind == OrderKind::Release {
            // A release is answered when the work that ran has ended; its silence says nothing.
            return;
        }
        let recent = |at: Timestamp| now.since(at) < WINDOW;
        while self.outcomes.front().is_some_and(|one| !recent(one.at)) {
            self.outcomes.pop_front();
        }
        while self.signs.front().is_some_and(|(at, _)| !recent(*at)) {
            self.signs.pop_front();
        }
        let target = &order.target.id;
        match outcome {
            OrderOutcome::Unanswered => {
                self.note_grant(target, true, now);
                self.silent.insert(target.clone());
                if self.is_late(now) {
                    self.assume_late_until(longest);
                }
            }
            OrderOutcome::Done(_) | OrderOutcome::Outranked => {
                self.note_grant(target, false, now);
                if self.silent.remove(target) {
                    self.note_sign(target, now, longest);
                }
            }
            // It can't be reached, or breaks off: its silence was not that of a target that works on.
            OrderOutcome::Broken | OrderOutcome::NotSent | OrderOutcome::Ended => {
                self.silent.remove(target);
            }
        }
    }

    /// A target works on that had left an order unanswered.
    fn note_sign(&mut self, target: &str, now: Timestamp, longest: Timestamp) {
        self.late_targets.retain(|_, until| now < *until);
        self.late_targets.insert(target.to_owned(), longest);
        self.signs.push_back((now, target.to_owned()));
        let targets: BTreeSet<&String> = self.signs.iter().map(|(_, target)| target).collect();
        if targets.len() >= TARGETS_LEAST && self.are_many_silent() {
            self.assume_late_until(longest);
        }
    }

    fn note_grant(&mut self, target: &str, silent: bool, at: Timestamp) {
        self.outcomes.push_back(GrantOutcome { at, target: target.to_owned(), silent });
    }

    /// Whether a good part of the grants to targets that work on met silence.
    ///
    /// A target's silence counts once it has answered after it: one that was lost answered before.
    fn are_many_silent(&self) -> bool {
        let mut works_on = BTreeSet::new();
        let (mut silent, mut all) = (0_u32, 0_u32);
        for outcome in self.outcomes.iter().rev() {
            if !outcome.silent {
                works_on.insert(outcome.target.as_str());
            }
            let counts = works_on.contains(outcome.target.as_str());
            silent += u32::from(counts && outcome.silent);
            all += u32::from(counts);
        }
        f64::from(silent) >= SILENT_PART * f64::from(all)
    }
}
