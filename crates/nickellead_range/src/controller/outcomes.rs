//! What became of orders.

use nickellead_core::{Timestamp, enforced};

use super::{ControllerSettings, OrderKind, OrderOutcome, RangeController, RangeOrder, RangeWork};
use crate::RangeRecord;

/// Silences in a row from which a target's own debts count: a lost target takes no connection, so
/// only the first order after its loss meets silence.
const SILENCES_LATE: u32 = 2;

/// Releases that are not answered are sent again after at most this many times the retry time.
const RELEASE_SLOWEST: u32 = 5;

impl RangeController {
    /// Takes in what became of an order that this keeper decided.
    pub fn apply_outcome(&mut self, order: &RangeOrder, outcome: OrderOutcome, now: Timestamp) {
        let bound = self.lease_bound(now);
        let settings = self.settings;
        let key = (order.service.clone(), order.first);
        let Some(work) = self.work.get_mut(&key) else { return };
        let ranges = self.map.services.get_mut(&order.service);
        let found =
            ranges.and_then(|ranges| ranges.iter_mut().find(|one| one.first == order.first));
        let Some(range) = found else { return };
        if outcome == OrderOutcome::Ended {
            self.ended.insert(order.target.clone());
        }
        let stands = work.standing.is_some_and(|standing| standing.fence == order.fence);
        if range.fence != order.fence && !stands {
            // The range went on to another owner; its own orders follow.
            return;
        }
        work.in_flight = false;
        if order.kind == OrderKind::Release {
            work.note_release(range, outcome, now, settings);
            return;
        }
        match outcome {
            OrderOutcome::Done(_) => {
                work.is_doubted = false;
                work.is_refused = false;
                work.note_granted(bound, order.decided_at + settings.renewal_interval, now);
                if !range.settled {
                    range.settled = true;
                    self.next_edit();
                }
            }
            OrderOutcome::Outranked => {
                range.settled = false;
                work.is_refused = true;
                work.due = now;
                work.standing = None;
                self.map.fence += u64::from(enforced!("fence_grows"));
                range.fence = self.map.fence;
                self.edit += 1;
                self.map.edit = self.edit;
                work.edit = self.edit;
            }
            OrderOutcome::NotSent => {
                // It never left, so the target's hold is what it was: a lost target's keys are free
                // one hold after the last grant that may have reached it, not after the last try.
                work.owner_until = work.confirmed_until;
                work.due = now + settings.retry_interval;
            }
            OrderOutcome::Ended => work.due = now + settings.retry_interval,
            OrderOutcome::Unanswered | OrderOutcome::Broken => {
                work.silences += u32::from(outcome == OrderOutcome::Unanswered);
                work.note_grant_in_doubt(bound, now, settings);
            }
        }
    }
}

impl RangeWork {
    /// Takes in what became of a release.
    fn note_release(
        &mut self,
        range: &mut RangeRecord,
        outcome: OrderOutcome,
        now: Timestamp,
        settings: ControllerSettings,
    ) {
        match outcome {
            OrderOutcome::Done(token) => {
                range.previous = None;
                self.handover = token;
                self.due = now;
            }
            OrderOutcome::Ended => {
                range.previous = None;
                self.due = now;
            }
            OrderOutcome::Outranked
            | OrderOutcome::NotSent
            | OrderOutcome::Broken
            | OrderOutcome::Unanswered => {
                self.tries += 1;
                self.due = now + settings.retry_interval * self.tries.min(RELEASE_SLOWEST);
            }
        }
    }

    /// Takes in that the owner confirmed a grant.
    fn note_granted(&mut self, bound: Timestamp, due: Timestamp, now: Timestamp) {
        // The hold may have started as late as the answer came.
        self.owner_until = self.owner_until.max(bound);
        self.due = due;
        self.handover = None;
        // It works on, so what it left unanswered may still be carried out.
        self.owner_was_silent |= self.silences > 0;
        self.owner_was_silent &= now < self.owner_debt_until;
        self.silences = 0;
    }

    /// Takes in that a grant may have taken effect, or may yet.
    fn note_grant_in_doubt(
        &mut self,
        bound: Timestamp,
        now: Timestamp,
        settings: ControllerSettings,
    ) {
        self.owner_was_silent |= self.silences >= SILENCES_LATE;
        self.owner_until = self.owner_until.max(bound);
        self.owner_debt_until = self.owner_debt_until.max(bound + settings.max_lateness);
        self.due = now + settings.retry_interval;
    }
}
