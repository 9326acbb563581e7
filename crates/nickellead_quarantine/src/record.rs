//! What is known of the requests with one mark.

use std::time::Duration;

use nickellead_core::Timestamp;

/// A target that fell while it had a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetFall {
    /// Identity of the target.
    pub target: String,
    /// When the request was sent to it.
    pub sent: Timestamp,
    /// When the connection broke.
    pub fell: Timestamp,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestVerdict {
    /// No target is known to have fallen with such a request.
    Unsuspected,
    /// So many targets fell with such requests.
    Suspected {
        /// Number of targets.
        falls: usize,
    },
    /// Such requests are refused until then.
    Quarantined {
        /// End of the quarantine.
        until: Timestamp,
    },
}

/// Falls that put a mark into quarantine, if they did not all happen at one moment.
const QUARANTINE_FALLS: usize = 3;
/// Moments at which these falls happened. One cause outside may take many targets at one moment.
const QUARANTINE_MOMENTS: usize = 2;
/// A fall belongs to the moment of an earlier one unless its request was sent this long after it.
const MOMENT_GAP: Duration = Duration::from_millis(100);
/// Falls of one target, and answers, that are reported with times closer than this are the same.
const SAME_EVENT: Duration = Duration::from_secs(1);
/// Most error of a time that VMs tell each other back and forth.
const TIME_ERROR: Duration = Duration::from_millis(5);
/// First length of a quarantine; it doubles with each further fall, up to [`MAX_DOUBLINGS`] times.
const QUARANTINE_TIME: Duration = Duration::from_secs(600);
const MAX_DOUBLINGS: usize = 4;
/// How long falls are remembered that put nothing into quarantine, and those that did after its end.
const SUSPICION_TIME: Duration = Duration::from_secs(1_800);
/// How long an answer is remembered, so that older falls of other VMs' reports count no more.
const ANSWER_TIME: Duration = Duration::from_secs(30);
/// Most falls that are kept; the oldest go first.
const MAX_FALLS: usize = QUARANTINE_FALLS + MAX_DOUBLINGS;

/// Falls of targets with the requests of one mark, none of which a target has answered since.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashRecord {
    /// In the order of their times.
    falls: Vec<TargetFall>,
    /// When a target last answered such a request.
    answered: Option<Timestamp>,
}

impl CrashRecord {
    pub(crate) fn falls(&self) -> &[TargetFall] {
        &self.falls
    }

    pub(crate) const fn answered(&self) -> Option<Timestamp> {
        self.answered
    }

    /// Adds a fall; returns whether that changes anything.
    pub(crate) fn add_fall(&mut self, fall: TargetFall) -> bool {
        if self.answered.is_some_and(|answered| answered >= fall.fell) {
            return false;
        }
        let is_same = |known: &TargetFall| {
            let apart = known.fell.since(fall.fell).max(fall.fell.since(known.fell));
            known.target == fall.target && apart < SAME_EVENT
        };
        let Some(index) = self.falls.iter().position(is_same) else { return self.insert(fall) };
        // The earliest report, so that all VMs keep the same one.
        let is_earlier = fall.fell + TIME_ERROR < self.falls[index].fell;
        if is_earlier {
            self.falls[index] = fall;
            self.falls.sort_by_key(|fall| fall.fell);
        }
        is_earlier
    }

    /// Inserts a fall that is not known; returns whether it is kept.
    fn insert(&mut self, fall: TargetFall) -> bool {
        let is_full = self.falls.len() >= MAX_FALLS;
        if is_full && self.falls.first().is_some_and(|oldest| fall.fell < oldest.fell) {
            return false;
        }
        let index = self.falls.partition_point(|known| known.fell <= fall.fell);
        self.falls.insert(index, fall);
        if self.falls.len() > MAX_FALLS {
            self.falls.remove(0);
        }
        true
    }

    /// Records an answer to such a request, which clears it of all falls before; returns whether it cleared
    /// any.
    pub(crate) fn add_answer(&mut self, answered: Timestamp) -> bool {
        self.answered = self.answered.max(Some(answered));
        let before = self.falls.len();
        self.falls.retain(|fall| fall.fell > answered);
        self.falls.len() < before
    }

    /// Records an answer that another VM told; returns whether that is news to be told on. Others may know
    /// falls that this record does not.
    pub(crate) fn add_told_answer(&mut self, answered: Timestamp) -> bool {
        let is_later = self.answered.is_none_or(|known| answered > known + SAME_EVENT);
        self.add_answer(answered) || is_later
    }

    pub(crate) fn verdict(&self, now: Timestamp) -> RequestVerdict {
        match self.quarantine_end() {
            Some(until) if now < until => RequestVerdict::Quarantined { until },
            _ if self.falls.is_empty() => RequestVerdict::Unsuspected,
            _ => RequestVerdict::Suspected { falls: self.falls.len() },
        }
    }

    /// When the quarantine ends, or ended; `None` if the falls call for none.
    fn quarantine_end(&self) -> Option<Timestamp> {
        let last = self.falls.last()?;
        let doublings = self.falls.len().checked_sub(QUARANTINE_FALLS)?;
        let is_due = self.moments() >= QUARANTINE_MOMENTS;
        is_due.then(|| last.fell + QUARANTINE_TIME * (1 << doublings.min(MAX_DOUBLINGS)))
    }

    /// Number of falls one after the other, each with a request that was sent after the one before.
    pub(crate) fn moments(&self) -> usize {
        let mut count = 0;
        let mut last_end: Option<Timestamp> = None;
        for fall in &self.falls {
            if last_end.is_none_or(|end| fall.sent >= end + MOMENT_GAP) {
                count += 1;
                last_end = Some(fall.fell);
            }
        }
        count
    }

    /// Whether nothing of it matters any more.
    pub(crate) fn is_forgotten(&self, now: Timestamp) -> bool {
        let answer_counts = self.answered.is_some_and(|at| now.since(at) < ANSWER_TIME);
        let last = self.falls.last().map(|last| self.quarantine_end().unwrap_or(last.fell));
        let falls_count = last.is_some_and(|last| now < last + SUSPICION_TIME);
        !answer_counts && !falls_count
    }

    /// Rank among records of which some must be dropped; the lowest goes first.
    pub(crate) fn rank(&self) -> (usize, Timestamp) {
        let last = self.falls.last().map_or(Timestamp::ZERO, |last| last.fell);
        (self.moments(), last)
    }
}
