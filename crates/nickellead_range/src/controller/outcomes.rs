//! Application of order outcomes to the map and to the state of ranges.

use nickellead_core::{Timestamp, enforced};

use super::{ControllerSettings, OrderKind, OrderOutcome, RangeController, RangeOrder, RangeState};
use crate::RangeRecord;

/// Number of consecutive unanswered grants from which a target may execute them late.
///
/// A lost target accepts no connections, so only the first order after its loss is unanswered.
const MIN_UNANSWERED_GRANTS: u32 = 2;

/// Maximum delay between attempts of an unanswered release, in multiples of the retry interval.
const MAX_RELEASE_BACKOFF_FACTOR: u32 = 5;

impl RangeController {
    /// Applies the outcome of an order that this controller decided.
    pub fn apply_outcome(&mut self, order: &RangeOrder, outcome: OrderOutcome, now: Timestamp) {
        let lease_bound = self.lease_bound(now);
        let settings = self.settings;
        let key = (order.service.clone(), order.first);
        let Some(state) = self.range_states.get_mut(&key) else { return };
        let Some(ranges) = self.map.services.get_mut(&order.service) else { return };
        let found = ranges.binary_search_by_key(&order.first, |range| range.first);
        let Ok(index) = found else { return };
        let range = &mut ranges[index];
        if outcome == OrderOutcome::Ended {
            self.ended.insert(order.target.clone());
            self.unreplaced.insert(order.service.clone());
        }
        let is_confirmed_fence =
            state.confirmed_fence.is_some_and(|confirmed| confirmed.fence == order.fence);
        if range.fence != order.fence && !is_confirmed_fence {
            // The range has been reassigned and receives orders of its own.
            return;
        }
        state.in_flight = false;
        if order.kind == OrderKind::Release {
            state.apply_release(range, outcome, now, settings);
            return;
        }
        match outcome {
            OrderOutcome::Done(_) => {
                state.is_unconfirmed = false;
                state.is_outranked = false;
                state.apply_confirmed_grant(
                    lease_bound,
                    order.decided_at + settings.renewal_interval,
                    now,
                );
                if !range.settled {
                    range.settled = true;
                    self.next_edit();
                }
            }
            OrderOutcome::Outranked => {
                range.settled = false;
                state.is_outranked = true;
                state.due = now;
                state.confirmed_fence = None;
                self.map.fence += u64::from(enforced!("fence_grows"));
                range.fence = self.map.fence;
                self.edit += 1;
                self.map.edit = self.edit;
                state.required_edit = self.edit;
            }
            OrderOutcome::NotSent => {
                // The lease is unchanged. A lost target's keys become free one lease after the last
                // grant that may have reached it, not after the last attempt.
                state.owner_lease_until = state.lease_until_if_not_sent;
                state.due = now + settings.retry_interval;
            }
            OrderOutcome::Ended => state.due = now + settings.retry_interval,
            OrderOutcome::Unanswered | OrderOutcome::Broken => {
                state.unanswered_grants += u32::from(outcome == OrderOutcome::Unanswered);
                state.apply_unconfirmed_grant(lease_bound, now, settings);
            }
        }
    }
}

impl RangeState {
    /// Applies the outcome of a release.
    fn apply_release(
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
                self.release_attempts += 1;
                self.due = now
                    + settings.retry_interval
                        * self.release_attempts.min(MAX_RELEASE_BACKOFF_FACTOR);
            }
        }
    }

    /// Applies a grant that the owner confirmed; the next renewal is due at `due`.
    fn apply_confirmed_grant(&mut self, lease_bound: Timestamp, due: Timestamp, now: Timestamp) {
        // The lease may have started as late as the response arrived.
        self.owner_lease_until = self.owner_lease_until.max(lease_bound);
        self.due = due;
        self.handover = None;
        // The target is running, so it may still execute orders that it left unanswered.
        self.owner_may_be_late |= self.unanswered_grants > 0;
        self.owner_may_be_late &= now < self.owner_late_until;
        self.unanswered_grants = 0;
    }

    /// Applies a grant that may have taken effect or may yet do so.
    fn apply_unconfirmed_grant(
        &mut self,
        lease_bound: Timestamp,
        now: Timestamp,
        settings: ControllerSettings,
    ) {
        self.owner_may_be_late |= self.unanswered_grants >= MIN_UNANSWERED_GRANTS;
        self.owner_lease_until = self.owner_lease_until.max(lease_bound);
        self.owner_late_until = self.owner_late_until.max(lease_bound + settings.max_lateness);
        self.due = now + settings.retry_interval;
    }
}
