//! Telling targets that carry orders out late from targets that are lost or overloaded.
//!
//! A target that leaves an order unanswered and answers the next one works on,
//! so the unanswered order may be carried out seconds later. One such sign may
//! also be a target too busy to take a connection; orders that are late all
//! over show at several targets at once, and in a good part of all orders.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use nickellead_core::Timestamp;

use crate::OrderOutcome;

/// How far back outcomes count.
const WINDOW: Duration = Duration::from_millis(4_000);
/// Targets that must show the sign within the window.
const TARGETS_LEAST: usize = 2;
/// Part of the grants in the window that must be silent.
const SILENT_PART: f64 = 0.08;

/// What the last grants came to.
#[derive(Clone, Debug, Default)]
pub(crate) struct LatenessWatch {
    /// Targets whose last grant was silent.
    silent: BTreeSet<String>,
    /// Silent grants, and all that were sent, by time.
    outcomes: VecDeque<(Timestamp, bool)>,
    /// Targets that answered after a silence, by time.
    signs: VecDeque<(Timestamp, String)>,
}

impl LatenessWatch {
    /// Takes in the outcome of a grant; tells whether orders are seen to be carried out late.
    pub(crate) fn note(&mut self, target: &str, outcome: &OrderOutcome, now: Timestamp) -> bool {
        let recent = |at: Timestamp| now.since(at) < WINDOW;
        while self.outcomes.front().is_some_and(|(at, _)| !recent(*at)) {
            self.outcomes.pop_front();
        }
        while self.signs.front().is_some_and(|(at, _)| !recent(*at)) {
            self.signs.pop_front();
        }
        match outcome {
            OrderOutcome::Unanswered => {
                self.outcomes.push_back((now, true));
                self.silent.insert(target.to_owned());
                false
            }
            OrderOutcome::Done(_) | OrderOutcome::Outranked => {
                self.outcomes.push_back((now, false));
                self.silent.remove(target) && self.note_sign(target, now)
            }
            // It can't be reached, or breaks off: its silence was not that of a target that works on.
            OrderOutcome::Broken | OrderOutcome::NotSent | OrderOutcome::Ended => {
                self.silent.remove(target);
                false
            }
        }
    }

    fn note_sign(&mut self, target: &str, now: Timestamp) -> bool {
        self.signs.push_back((now, target.to_owned()));
        let targets: BTreeSet<&String> = self.signs.iter().map(|(_, target)| target).collect();
        let silent = self.outcomes.iter().filter(|(_, silent)| *silent).count();
        targets.len() >= TARGETS_LEAST && silent as f64 >= SILENT_PART * self.outcomes.len() as f64
    }
}
