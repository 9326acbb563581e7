//! Which orders are due, and whether a range's previous holder is ruled out.

use std::collections::BTreeSet;

use nickellead_core::{Timestamp, enforced};

use super::{ConfirmedFence, OrderKind, RangeController, RangeOrder, RangeWork, UnconfirmedMap};
use crate::{LateOrderDetector, RangeRecord, TargetInstance};

impl RangeController {
    /// The orders that are due; each must be sent at once or reported as
    /// [`OrderOutcome::NotSent`](crate::OrderOutcome::NotSent).
    ///
    /// With `renewals_only`, which is all that a VM without a valid mandate may
    /// send, nothing but renewals of confirmed grants is returned.
    pub fn due_orders(
        &mut self,
        now: Timestamp,
        renewals_only: bool,
        lateness: &LateOrderDetector,
    ) -> Vec<RangeOrder> {
        if self.map.late_orders != lateness.is_late(now) {
            // Written down, so that a successor reckons with it.
            self.map.late_orders = !self.map.late_orders;
            self.next_edit();
        }
        self.doubt.lasts = now < self.doubt.until;
        if self.map.unconfirmed && !self.doubt.lasts {
            self.end_doubt();
        }
        let look = OrderLook {
            now,
            lateness,
            renewals_only,
            committed: self.committed,
            bound: self.lease_bound(now),
            doubt: self.doubt,
        };
        let mut orders = Vec::new();
        let mut ruled_out = false;
        for (service, ranges) in &mut self.map.services {
            let holders = self.candidates.get(service);
            for range in ranges {
                let Some(work) = self.work.get_mut(&(service.clone(), range.first)) else {
                    continue;
                };
                if !look.may_order(range, work) {
                    continue;
                }
                ruled_out |= look.rule_out_previous(range, work, &self.ended);
                orders.extend(look.next_order(service, range, work, holders));
            }
        }
        if ruled_out {
            self.next_edit();
        }
        orders
    }
}

/// What one look for due orders goes by.
struct OrderLook<'a> {
    now: Timestamp,
    /// Whether unanswered orders may still be carried out.
    lateness: &'a LateOrderDetector,
    renewals_only: bool,
    /// Edit of the map that the store is known to hold.
    committed: u64,
    /// Latest end of a hold whose grant is sent now.
    bound: Timestamp,
    doubt: UnconfirmedMap,
}

impl OrderLook<'_> {
    /// Whether an order for the range may leave at all.
    fn may_order(&self, range: &RangeRecord, work: &RangeWork) -> bool {
        // A fence of this keeper is confirmed as soon as it may be.
        let fresh = work.standing.is_some_and(|standing| self.is_confirmed(&standing));
        if work.in_flight || (work.due > self.now && !fresh) {
            return false;
        }
        if work.edit > self.committed && enforced!("write_before_order") {
            return false;
        }
        !(self.renewals_only && !range.settled && enforced!("grace_renews_only"))
    }

    /// Strikes the previous holder off when it surely holds no more; tells whether it did.
    fn rule_out_previous(
        &self,
        range: &mut RangeRecord,
        work: &RangeWork,
        ended: &BTreeSet<TargetInstance>,
    ) -> bool {
        let Some(previous) = &range.previous else { return false };
        let late = self.lateness.is_target_late(&previous.id, self.now);
        // A release that is answered makes late orders harmless, those of others included: it is
        // tried once in any case.
        let asked = work.tries > 0 || !enforced!("release_tried");
        let ruled_out = asked && self.has_lapsed(work, late) || ended.contains(previous);
        if ruled_out {
            range.previous = None;
        }
        ruled_out
    }

    /// Whether the previous holder's hold has surely lapsed.
    fn has_lapsed(&self, work: &RangeWork, late: bool) -> bool {
        let hold_over = self.now >= work.previous_until || !enforced!("hold_surely_lapsed");
        let debts_count = late || work.previous_was_silent;
        let debts_over = self.now >= work.previous_debt_until || !enforced!("late_debts");
        hold_over && (!debts_count || debts_over)
    }

    /// The order that is next for the range, noted as under way.
    fn next_order(
        &self,
        service: &str,
        range: &RangeRecord,
        work: &mut RangeWork,
        holders: Option<&BTreeSet<TargetInstance>>,
    ) -> Option<RangeOrder> {
        if let Some(previous) = &range.previous
            && enforced!("release_first")
        {
            work.in_flight = true;
            return Some(self.order(service, range, range.fence, previous, OrderKind::Release));
        }
        if self.is_doubted(range, work) {
            work.due = self.doubt.until;
            return None;
        }
        let owner = range.owner.as_ref()?;
        if !holders.is_some_and(|holders| holders.contains(owner)) {
            return None;
        }
        work.in_flight = true;
        work.confirmed_until = work.owner_until;
        work.owner_until = work.owner_until.max(self.bound);
        let kind = OrderKind::Grant(work.handover.clone());
        work.standing = work.standing.filter(|standing| !self.is_confirmed(standing));
        let fence = work.standing.map_or(range.fence, |standing| standing.fence);
        Some(self.order(service, range, fence, owner, kind))
    }

    /// Whether the range's own fence may take the place of the standing one.
    fn is_confirmed(&self, standing: &ConfirmedFence) -> bool {
        standing.edit <= self.committed && !self.doubt.renews_only()
    }

    /// Whether another target than those that the map names may hold the range, and would not be told from
    /// the owner by a grant's fence.
    fn is_doubted(&self, range: &RangeRecord, work: &RangeWork) -> bool {
        if !self.doubt.lasts || range.settled {
            return false;
        }
        let new_fence = work.is_refused || self.doubt.is_foreign;
        new_fence && work.standing.is_none()
    }

    fn order(
        &self,
        service: &str,
        range: &RangeRecord,
        fence: u64,
        holder: &TargetInstance,
        kind: OrderKind,
    ) -> RangeOrder {
        RangeOrder {
            service: service.to_owned(),
            first: range.first,
            last: range.last,
            fence,
            target: holder.clone(),
            kind,
            decided_at: self.now,
        }
    }
}
