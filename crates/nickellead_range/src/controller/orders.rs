//! Selection of due orders, and checks that a previous owner can no longer hold a range.

use std::collections::BTreeSet;

use nickellead_core::{Timestamp, enforced};

use super::{ConfirmedFence, OrderKind, RangeController, RangeOrder, RangeState, UnconfirmedMap};
use crate::{LateOrderDetector, RangeRecord, TargetInstance};

impl RangeController {
    /// The orders that are due; each must be sent at once or reported as
    /// [`OrderOutcome::NotSent`](crate::OrderOutcome::NotSent).
    ///
    /// `renewals_only` restricts them to renewals of confirmed grants, which is all that a VM may
    /// send in its grace time.
    pub fn due_orders(
        &mut self,
        now: Timestamp,
        renewals_only: bool,
        late_orders: &LateOrderDetector,
    ) -> Vec<RangeOrder> {
        if self.map.late_orders != late_orders.is_late(now) {
            // Stored, so that a successor allows for late orders.
            self.map.late_orders = !self.map.late_orders;
            self.next_edit();
        }
        self.unconfirmed.is_active = now < self.unconfirmed.until;
        if self.map.unconfirmed && !self.unconfirmed.is_active {
            self.confirm_map();
        }
        let selection = OrderSelection {
            now,
            late_orders,
            renewals_only,
            committed_edit: self.committed_edit,
            lease_bound: self.lease_bound(now),
            unconfirmed: self.unconfirmed,
        };
        let mut orders = Vec::new();
        let mut ruled_out = false;
        for (service, ranges) in &mut self.map.services {
            let candidates = self.candidates.get(service);
            for range in ranges {
                let Some(state) = self.range_states.get_mut(&(service.clone(), range.first)) else {
                    continue;
                };
                if !selection.may_order(range, state) {
                    continue;
                }
                ruled_out |= selection.rule_out_previous(range, state, &self.ended);
                orders.extend(selection.next_order(service, range, state, candidates));
            }
        }
        if ruled_out {
            self.next_edit();
        }
        orders
    }
}

/// Inputs for the selection of due orders.
struct OrderSelection<'a> {
    now: Timestamp,
    late_orders: &'a LateOrderDetector,
    renewals_only: bool,
    /// Last edit of the map that is known to be in the store.
    committed_edit: u64,
    /// Latest end of a lease whose grant is sent now.
    lease_bound: Timestamp,
    unconfirmed: UnconfirmedMap,
}

impl OrderSelection<'_> {
    /// Whether any order for the range may be sent.
    fn may_order(&self, range: &RangeRecord, state: &RangeState) -> bool {
        // The owner should confirm a fence of this controller as soon as possible.
        let has_fresh_fence =
            state.confirmed_fence.is_some_and(|confirmed| self.is_replaceable(&confirmed));
        if state.in_flight || (state.due > self.now && !has_fresh_fence) {
            return false;
        }
        if state.required_edit > self.committed_edit && enforced!("write_before_order") {
            return false;
        }
        !(self.renewals_only && !range.settled && enforced!("grace_renews_only"))
    }

    /// Removes the previous owner if it can no longer hold the range; returns whether it did.
    fn rule_out_previous(
        &self,
        range: &mut RangeRecord,
        state: &RangeState,
        ended: &BTreeSet<TargetInstance>,
    ) -> bool {
        let Some(previous) = &range.previous else { return false };
        let late = self.late_orders.is_target_late(&previous.id, self.now);
        // A confirmed release protects against late orders of every VM, so at least one release is
        // attempted in any case.
        let attempted = state.release_attempts > 0 || !enforced!("release_tried");
        let ruled_out =
            attempted && self.has_previous_expired(state, late) || ended.contains(previous);
        if ruled_out {
            range.previous = None;
        }
        ruled_out
    }

    /// Whether the previous owner's lease has certainly expired.
    fn has_previous_expired(&self, state: &RangeState, late: bool) -> bool {
        let lease_expired =
            self.now >= state.previous_lease_until || !enforced!("hold_surely_lapsed");
        let may_be_late = late || state.previous_may_be_late;
        let late_expired = self.now >= state.previous_late_until || !enforced!("late_debts");
        lease_expired && (!may_be_late || late_expired)
    }

    /// The next order for the range, which is marked as in flight.
    fn next_order(
        &self,
        service: &str,
        range: &RangeRecord,
        state: &mut RangeState,
        candidates: Option<&BTreeSet<TargetInstance>>,
    ) -> Option<RangeOrder> {
        if let Some(previous) = &range.previous
            && enforced!("release_first")
        {
            state.in_flight = true;
            return Some(self.order(service, range, range.fence, previous, OrderKind::Release));
        }
        if self.may_have_unknown_owner(range, state) {
            state.due = self.unconfirmed.until;
            return None;
        }
        let owner = range.owner.as_ref()?;
        if !candidates.is_some_and(|candidates| candidates.contains(owner)) {
            return None;
        }
        state.in_flight = true;
        state.lease_until_if_not_sent = state.owner_lease_until;
        state.owner_lease_until = state.owner_lease_until.max(self.lease_bound);
        let kind = OrderKind::Grant(state.handover.clone());
        state.confirmed_fence =
            state.confirmed_fence.filter(|confirmed| !self.is_replaceable(confirmed));
        let fence = state.confirmed_fence.map_or(range.fence, |confirmed| confirmed.fence);
        Some(self.order(service, range, fence, owner, kind))
    }

    /// Whether the range's own fence may replace the confirmed one.
    fn is_replaceable(&self, confirmed: &ConfirmedFence) -> bool {
        confirmed.edit <= self.committed_edit && !self.unconfirmed.renews_only()
    }

    /// Whether a target that the map does not name may own the range without a grant revealing it,
    /// because the owner accepts any new fence.
    fn may_have_unknown_owner(&self, range: &RangeRecord, state: &RangeState) -> bool {
        if !self.unconfirmed.is_active || range.settled {
            return false;
        }
        let new_fence = state.is_outranked || self.unconfirmed.is_inherited;
        new_fence && state.confirmed_fence.is_none()
    }

    fn order(
        &self,
        service: &str,
        range: &RangeRecord,
        fence: u64,
        target: &TargetInstance,
        kind: OrderKind,
    ) -> RangeOrder {
        RangeOrder {
            service: service.to_owned(),
            first: range.first,
            last: range.last,
            fence,
            target: target.clone(),
            renews: range.settled && kind != OrderKind::Release,
            kind,
            decided_at: self.now,
        }
    }
}
