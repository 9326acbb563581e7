//! The range controller: decides every order to a target and every write of the map.
//!
//! This module holds the state, the takeover from a predecessor and the writes of the map.
//! `candidates` assigns owners, `moves` starts moves and merges ranges, `orders` selects the due
//! orders, and `outcomes` applies their results.

mod candidates;
mod moves;
mod order;
mod orders;
mod outcomes;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use nickellead_core::{DriftBound, Timestamp, enforced};

pub use self::order::{OrderKind, OrderOutcome, RangeOrder};
use crate::{
    InheritedMap, LastOrder, LateOrderDetector, PredecessorBounds, RangeMap, RangeRecord, StoreEra,
    TargetInstance,
};

/// Timing of leases and orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControllerSettings {
    /// How long a target owns a range after a grant arrived.
    pub lease: Duration,
    /// Interval between two renewals of a grant.
    pub renewal_interval: Duration,
    /// Interval between two attempts of an unanswered order.
    pub retry_interval: Duration,
    /// Added to every bound on a lease for messages in flight.
    pub margin: Duration,
    /// Maximum delay after which an unanswered order may still take effect.
    pub max_lateness: Duration,
    /// Bound on the difference between the clock rates of a VM and a target.
    pub drift: DriftBound,
}

impl ControllerSettings {
    /// Latest end of a lease whose grant is sent at `sent`, by this VM's clock.
    fn lease_bound(&self, sent: Timestamp) -> Timestamp {
        sent + self.drift.stretch(self.lease) + self.margin
    }

    /// Latest end of a lease by an order that was sent by `now` and is executed late.
    #[must_use]
    pub fn late_lease_bound(&self, now: Timestamp) -> Timestamp {
        self.lease_bound(now) + self.max_lateness
    }
}

/// State of a range that is not part of the map.
#[derive(Clone, Debug, Default)]
struct RangeState {
    /// Edit of the map that must be in the store before an order may be sent.
    required_edit: u64,
    /// Latest end of the owner's lease by orders that were answered or are in flight.
    owner_lease_until: Timestamp,
    /// [`Self::owner_lease_until`] without the grant in flight, in case it is never sent.
    lease_until_if_not_sent: Timestamp,
    /// Latest end of the owner's lease by unanswered orders that are executed late.
    owner_late_until: Timestamp,
    /// Latest end of the previous owner's lease by orders that were answered or in flight.
    previous_lease_until: Timestamp,
    /// Latest end of the previous owner's lease by unanswered orders that are executed late.
    previous_late_until: Timestamp,
    /// Handover token of the previous owner.
    handover: Option<String>,
    /// Whether an order is in flight.
    in_flight: bool,
    /// When the next order is due.
    due: Timestamp,
    /// Consecutive failed attempts of a release.
    release_attempts: u32,
    /// Consecutive grants that were sent on an established connection and left unanswered.
    unanswered_grants: u32,
    /// Whether the owner may execute orders late even if other targets do not.
    owner_may_be_late: bool,
    /// Whether the previous owner may execute orders late even if other targets do not.
    previous_may_be_late: bool,
    /// Whether the owner has not confirmed a grant since the map became unconfirmed.
    is_unconfirmed: bool,
    /// Whether the owner has refused a grant since then, because it has seen a higher fence that
    /// this controller does not know.
    is_outranked: bool,
    /// Fence for renewals until the range's own fence is in the store.
    confirmed_fence: Option<ConfirmedFence>,
}

/// A fence of a predecessor under which the owner confirmed a grant.
#[derive(Clone, Copy, Debug)]
struct ConfirmedFence {
    fence: u64,
    /// Edit of the map that stores the range's own fence.
    edit: u64,
}

/// Decides orders and map writes on the VM that holds the mandate (leader lease).
#[derive(Clone, Debug)]
pub struct RangeController {
    settings: ControllerSettings,
    map: RangeMap,
    /// By service and first key of the range.
    range_states: BTreeMap<(String, u16), RangeState>,
    /// Instances that may own ranges, by service.
    candidates: BTreeMap<String, BTreeSet<TargetInstance>>,
    /// Services with owners that could not be replaced yet, or have ended since.
    unreplaced: BTreeSet<String>,
    /// Instances that are known to have ended.
    ended: BTreeSet<TargetInstance>,
    /// Number of the last edit of the map.
    edit: u64,
    /// Number of the last edit that is in the store.
    committed_edit: u64,
    /// Whether a write is in flight.
    is_writing: bool,
    /// Until when orders of predecessors that may still be running may take effect.
    predecessors_until: Timestamp,
    unconfirmed: UnconfirmedMap,
}

/// Period in which targets may own ranges that the map assigns to others; see
/// [`RangeMap::unconfirmed`].
#[derive(Clone, Copy, Debug, Default)]
struct UnconfirmedMap {
    until: Timestamp,
    /// Whether the map was written by another controller in an earlier era of the store, so that its
    /// later writes may be lost.
    ///
    /// If not, the map is this controller's own and another controller may have followed it for a
    /// while. An owner that still confirms a fence from before was not released meanwhile.
    is_inherited: bool,
    /// Whether the period had not ended at the last check.
    is_active: bool,
}

impl UnconfirmedMap {
    /// Whether only renewals under confirmed fences may be sent.
    fn renews_only(self) -> bool {
        self.is_inherited && self.is_active
    }
}

impl RangeController {
    /// Takes over the stored map from earlier mandate holders.
    ///
    /// A predecessor may renew confirmed grants during its grace time, so every owner in the map may
    /// keep its range for a whole lease after the predecessor's last order. Ranges that the last
    /// predecessor moved can be renewed for their previous owner by earlier predecessors only.
    ///
    /// `writer` must be random and unique to each call: it distinguishes this controller's writes
    /// from late writes of an earlier one in the same process. The first edit is the takeover
    /// itself; once it is stored, no late write of a predecessor can succeed. `late_orders` receives
    /// what the map and the predecessors' bounds imply about late orders.
    ///
    /// If the map is from an earlier era of the store, later moves may be lost. Owners then receive
    /// only renewals until all leases of that era have expired, and not even those if the map is
    /// stale.
    #[must_use]
    pub fn inherit(
        settings: ControllerSettings,
        predecessors: PredecessorBounds,
        inherited: InheritedMap,
        writer: u64,
        late_orders: &mut LateOrderDetector,
        now: Timestamp,
    ) -> Self {
        let InheritedMap { mut map, era, is_stale } = inherited;
        map.writer = writer;
        map.edit = 1;
        // A map without services was never written.
        let is_new = map.services.is_empty();
        map.unconfirmed |= map.enter_era(era) && !is_new;
        let mut controller = Self {
            settings,
            map,
            range_states: BTreeMap::new(),
            candidates: BTreeMap::new(),
            unreplaced: BTreeSet::new(),
            ended: BTreeSet::new(),
            edit: 1,
            committed_edit: 0,
            is_writing: false,
            predecessors_until: Timestamp::ZERO,
            unconfirmed: UnconfirmedMap::default(),
        };
        let last_order_sent = |last: LastOrder| {
            if enforced!("successor_adds_grace") { last.latest(now) } else { now }
        };
        let last_sent = last_order_sent(predecessors.last_holder);
        let until = controller.lease_bound(last_sent);
        let previous_until = controller.lease_bound(last_order_sent(predecessors.earlier_holders));
        if controller.map.unconfirmed && enforced!("lost_moves") {
            let may_be_late = controller.map.late_orders || predecessors.late_orders_unknown;
            let until = if may_be_late { until + settings.max_lateness } else { until };
            controller.unconfirmed = UnconfirmedMap { until, is_inherited: true, is_active: true };
        }
        if last_sent > now {
            controller.predecessors_until = settings.late_lease_bound(last_sent);
        }
        if controller.map.late_orders || predecessors.late_orders_unknown {
            late_orders.assume_late_until(until + settings.max_lateness);
        }
        controller.assume_leases(until, previous_until);
        if is_stale && enforced!("stale_map") {
            controller.unsettle_ranges();
        }
        if controller.unconfirmed.is_active {
            controller.keep_confirmed_fences();
        } else if enforced!("successor_freshens_fences") {
            controller.assign_fresh_fences();
        }
        controller
    }

    /// Marks all grants as not confirmed, because other targets may own the ranges by now.
    fn unsettle_ranges(&mut self) {
        self.map.services.values_mut().flatten().for_each(|range| range.settled = false);
    }

    /// Renews owners under their confirmed fences while the map is unconfirmed, because an owner that
    /// was released meanwhile would accept a new fence.
    fn keep_confirmed_fences(&mut self) {
        let edit = self.edit;
        for (service, ranges) in &self.map.services {
            for range in ranges {
                let state = self.range_states.entry((service.clone(), range.first)).or_default();
                match range.settled {
                    true => {
                        state.confirmed_fence = Some(ConfirmedFence { fence: range.fence, edit })
                    }
                    false => state.required_edit = edit,
                }
            }
        }
    }

    /// Marks the map as confirmed: no target can own a range that the map assigns to another.
    fn confirm_map(&mut self) {
        self.map.unconfirmed = false;
        self.next_edit();
        if self.unconfirmed.is_inherited && enforced!("successor_freshens_fences") {
            self.assign_fresh_fences();
        }
    }

    /// Gives every range a fence of this controller.
    ///
    /// A target that has confirmed such a fence refuses late orders of predecessors, even if no late
    /// orders were detected. Until the takeover is in the store, owners are renewed under their
    /// confirmed fences, so that no range waits for that write.
    fn assign_fresh_fences(&mut self) {
        let edit = self.edit;
        for (service, ranges) in &mut self.map.services {
            // Neighbors with equal owner and fence get the same fence, so that they can be merged.
            let mut last: Option<(RangeRecord, u64)> = None;
            for range in ranges {
                let mergeable = last.as_ref().filter(|(left, _)| {
                    left.fence == range.fence && left.owner == range.owner && left.settled
                });
                let fresh = match mergeable {
                    Some((_, fresh)) if range.settled => *fresh,
                    _ => {
                        self.map.fence += 1;
                        self.map.fence
                    }
                };
                last = Some((range.clone(), fresh));
                let state = self.range_states.entry((service.clone(), range.first)).or_default();
                match range.settled {
                    true => {
                        // The owner may not have confirmed the fence of an earlier call yet.
                        let fence =
                            state.confirmed_fence.map_or(range.fence, |confirmed| confirmed.fence);
                        state.confirmed_fence = Some(ConfirmedFence { fence, edit });
                    }
                    false => state.required_edit = edit,
                }
                range.fence = fresh;
            }
        }
    }

    /// Assumes that all owners and previous owners in the map have leases until the given times.
    fn assume_leases(&mut self, owner_until: Timestamp, previous_until: Timestamp) {
        let max_lateness = self.settings.max_lateness;
        for (service, ranges) in &self.map.services {
            for range in ranges {
                let state = RangeState {
                    owner_lease_until: owner_until,
                    owner_late_until: owner_until + max_lateness,
                    previous_lease_until: previous_until,
                    previous_late_until: previous_until + max_lateness,
                    ..RangeState::default()
                };
                self.range_states.insert((service.clone(), range.first), state);
            }
        }
    }

    /// Resumes after the mandate expired without a successor.
    ///
    /// The controller's bounds on its own orders remain valid. A predecessor that could not read the
    /// store may have renewed grants until its grace time ended, and targets may have executed these
    /// orders late, so all leases are assumed to last until no such order can have an effect.
    pub fn resume(&mut self) {
        for state in self.range_states.values_mut() {
            state.owner_lease_until = state.owner_lease_until.max(self.predecessors_until);
            // A grant in flight may turn out not to have been sent.
            state.lease_until_if_not_sent =
                state.lease_until_if_not_sent.max(self.predecessors_until);
            state.previous_lease_until = state.previous_lease_until.max(self.predecessors_until);
        }
    }

    /// Continues in a new era of the store, which has lost this controller's last writes.
    ///
    /// No order is sent until the map is written again. `rival_until` is the time until which another
    /// VM that took the mandate meanwhile may send renewals.
    pub fn enter_era(&mut self, era: StoreEra, rival_until: Option<Timestamp>) {
        if !self.map.enter_era(era) {
            return;
        }
        self.committed_edit = 0;
        self.next_edit();
        let Some(rival_until) = rival_until.filter(|_| enforced!("rival_moves")) else { return };
        self.unconfirmed.until = self.unconfirmed.until.max(self.lease_bound(rival_until));
        self.map.unconfirmed = true;
        self.unconfirmed.is_active = true;
        self.range_states.values_mut().for_each(|state| state.is_unconfirmed = true);
        self.postpone_moves();
    }

    /// Postpones moves until the map is confirmed: releasing the previous owner does not affect a
    /// target to which another controller granted the range, nor reveal the fence of that grant.
    fn postpone_moves(&mut self) {
        let edit = self.edit;
        for (service, ranges) in &mut self.map.services {
            for range in ranges.iter_mut().filter(|range| !range.settled) {
                self.map.fence += 1;
                range.fence = self.map.fence;
                let state = self.range_states.entry((service.clone(), range.first)).or_default();
                state.required_edit = edit;
                state.in_flight = false;
                state.is_outranked = true;
            }
        }
    }

    /// The current map, which may not be in the store yet.
    #[must_use]
    pub fn map(&self) -> &RangeMap {
        &self.map
    }

    /// Latest end of a lease whose grant is sent at `sent`.
    fn lease_bound(&self, sent: Timestamp) -> Timestamp {
        self.settings.lease_bound(sent)
    }

    /// Marks the map as changed and returns the number of the edit, which orders that depend on the
    /// change must wait for.
    fn next_edit(&mut self) -> u64 {
        self.edit += 1;
        self.map.edit = self.edit;
        self.edit
    }

    /// Issues a fence above all earlier ones.
    fn next_fence(&mut self) -> u64 {
        self.map.fence += u64::from(enforced!("fence_grows"));
        self.map.fence
    }

    /// Starts a write: returns the map and its edit if the store lacks an edit and no write is in
    /// flight.
    pub fn take_write(&mut self) -> Option<(RangeMap, u64)> {
        if self.is_writing || self.committed_edit == self.edit {
            return None;
        }
        self.is_writing = true;
        Some((self.map.clone(), self.edit))
    }

    /// Records that the edit is in the store and ends the write in flight.
    pub fn confirm_write(&mut self, edit: u64) {
        self.is_writing = false;
        self.committed_edit = self.committed_edit.max(edit);
    }

    /// Ends the write in flight after it failed without effect, so that it can be retried.
    pub fn abort_write(&mut self) {
        self.is_writing = false;
    }
}
