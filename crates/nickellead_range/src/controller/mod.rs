//! The keeper of ranges: every order to targets and every write of the map.
//!
//! This module holds the state, the take-over from a predecessor and the writes
//! of the map. `candidates` gives ranges their owners, `moves` starts moves and
//! joins ranges, `orders` says what is due, `outcomes` takes in what came of it.

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

/// Times of the keeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControllerSettings {
    /// How long a target holds a range after a grant arrived.
    pub lease: Duration,
    /// Between two renewals of a grant.
    pub renewal_interval: Duration,
    /// Between two tries of an order that was not answered.
    pub retry_interval: Duration,
    /// Added to every bound on a hold, for messages under way.
    pub margin: Duration,
    /// Latest that an unanswered order was seen to take effect.
    pub max_lateness: Duration,
    /// Bound on the difference of clock rates.
    pub drift: DriftBound,
}

impl ControllerSettings {
    /// Latest end of a hold whose grant is sent at `sent`, by this VM's clock.
    fn lease_bound(&self, sent: Timestamp) -> Timestamp {
        sent + self.drift.stretch(self.lease) + self.margin
    }

    /// Latest end of a hold by an order that was sent until `now` and is carried out late.
    #[must_use]
    pub fn late_lease_bound(&self, now: Timestamp) -> Timestamp {
        self.lease_bound(now) + self.max_lateness
    }
}

/// What the keeper knows of a range beside its record.
#[derive(Clone, Debug, Default)]
struct RangeWork {
    /// Edit of the map that must be in the store before an order may leave.
    edit: u64,
    /// Until when the owner may hold by orders that were answered or are under way.
    owner_until: Timestamp,
    /// The same without the grant that is under way, should it turn out that it was never sent.
    confirmed_until: Timestamp,
    /// The same for orders that were never answered, if they are carried out late.
    owner_debt_until: Timestamp,
    /// The bounds of the previous holder.
    previous_until: Timestamp,
    previous_debt_until: Timestamp,
    /// Token of the previous holder.
    handover: Option<String>,
    /// Whether an order is under way.
    in_flight: bool,
    /// When the next order is due.
    due: Timestamp,
    /// Releases in a row that were not answered.
    tries: u32,
    /// Grants in a row, each on a connection that came up, that met silence.
    silences: u32,
    /// Whether the owner's debts count though orders are not late elsewhere.
    owner_was_silent: bool,
    /// Whether the previous holder's debts count though orders are not late elsewhere.
    previous_was_silent: bool,
    /// Whether the owner has not confirmed its grant since the map came into doubt.
    is_doubted: bool,
    /// Whether it refused one since then: it has seen a fence that this keeper does not know.
    is_refused: bool,
    /// What the owner is renewed under until the range's own fence is in the store.
    standing: Option<ConfirmedFence>,
}

/// A fence of an earlier keeper, under which an owner confirmed its grants.
#[derive(Clone, Copy, Debug)]
struct ConfirmedFence {
    fence: u64,
    /// Edit of the map that brings the range's own fence into the store.
    edit: u64,
}

/// Decides orders and writes for the VM that holds the mandate.
#[derive(Clone, Debug)]
pub struct RangeController {
    settings: ControllerSettings,
    map: RangeMap,
    /// By service and first key of the range.
    work: BTreeMap<(String, u16), RangeWork>,
    /// Who may own ranges, by service.
    candidates: BTreeMap<String, BTreeSet<TargetInstance>>,
    /// Lives of targets that are known to have ended.
    ended: BTreeSet<TargetInstance>,
    /// Number of the last edit of the map.
    edit: u64,
    /// Number of the last edit that is in the store.
    committed: u64,
    /// Whether a write is under way.
    writing: bool,
    /// Until when predecessors that were not known to have stopped may still have effect.
    inherited_until: Timestamp,
    doubt: UnconfirmedMap,
}

/// Until when targets may hold ranges that the map does not name them for: [`RangeMap::unconfirmed`].
#[derive(Clone, Copy, Debug, Default)]
struct UnconfirmedMap {
    until: Timestamp,
    /// Whether the map is another keeper's, from an earlier era of the store: what its writer wrote after it may
    /// be lost. Else it is this keeper's own, and another one may have followed on it for a while: an owner
    /// that confirms a fence of before was not released meanwhile.
    is_foreign: bool,
    /// Whether the time had not come at the last look.
    lasts: bool,
}

impl UnconfirmedMap {
    /// Whether nothing but renewals under fences that stand may be sent.
    fn renews_only(self) -> bool {
        self.is_foreign && self.lasts
    }
}

impl RangeController {
    /// Takes over what the store holds.
    ///
    /// A predecessor may go on renewing what stands for the grace time, so every holder named in
    /// the map may hold for a whole hold time after its last order, wherever that order may have
    /// been sent from. What the last predecessor moved, only the earlier ones may still renew.
    /// `writer` must be drawn anew for each call: it tells this keeper's writes from
    /// those of an earlier one in the same process, which may still be done late.
    /// The first edit is the take-over itself: once it is written, no late
    /// write of a predecessor can succeed any more. `lateness` is told what the map and
    /// the predecessors' silence say of late orders. If the map is one of an era of the store before,
    /// moves that followed on it may be lost, so nothing but renewals is sent to owners until all holds of
    /// that time are over; if this VM was not even told it, no renewals either.
    #[must_use]
    pub fn inherit(
        settings: ControllerSettings,
        predecessors: PredecessorBounds,
        inherited: InheritedMap,
        writer: u64,
        lateness: &mut LateOrderDetector,
        now: Timestamp,
    ) -> Self {
        let InheritedMap { mut map, era, is_stale } = inherited;
        map.writer = writer;
        map.edit = 1;
        // One without services was never written, or its writer would have gone on with it.
        let is_new = map.services.is_empty();
        map.unconfirmed |= map.enter_era(era) && !is_new;
        let mut keeper = Self {
            settings,
            map,
            work: BTreeMap::new(),
            candidates: BTreeMap::new(),
            ended: BTreeSet::new(),
            edit: 1,
            committed: 0,
            writing: false,
            inherited_until: Timestamp::ZERO,
            doubt: UnconfirmedMap::default(),
        };
        let sent = |last: LastOrder| {
            if enforced!("successor_adds_grace") { last.latest(now) } else { now }
        };
        let last_sent = sent(predecessors.last_holder);
        let until = keeper.lease_bound(last_sent);
        let previous_until = keeper.lease_bound(sent(predecessors.earlier_holders));
        if keeper.map.unconfirmed && enforced!("lost_moves") {
            let late = keeper.map.late_orders || predecessors.late_orders_unknown;
            let until = if late { until + settings.max_lateness } else { until };
            keeper.doubt = UnconfirmedMap { until, is_foreign: true, lasts: true };
        }
        if last_sent > now {
            keeper.inherited_until = settings.late_lease_bound(last_sent);
        }
        if keeper.map.late_orders || predecessors.late_orders_unknown {
            lateness.assume_late_until(until + settings.max_lateness);
        }
        keeper.expect_holds(until, previous_until);
        if is_stale && enforced!("stale_map") {
            keeper.unsettle();
        }
        if keeper.doubt.lasts {
            keeper.let_fences_stand();
        } else if enforced!("successor_freshens_fences") {
            keeper.freshen_fences();
        }
        keeper
    }

    /// Takes no owner for confirmed: others may hold its ranges by now.
    fn unsettle(&mut self) {
        self.map.services.values_mut().flatten().for_each(|range| range.settled = false);
    }

    /// Has owners renewed under the fences that they have confirmed, for as long as the map is in doubt: a new
    /// fence would be taken by an owner that was released meanwhile.
    fn let_fences_stand(&mut self) {
        let edit = self.edit;
        for (service, ranges) in &self.map.services {
            for range in ranges {
                let work = self.work.entry((service.clone(), range.first)).or_default();
                match range.settled {
                    true => work.standing = Some(ConfirmedFence { fence: range.fence, edit }),
                    false => work.edit = edit,
                }
            }
        }
    }

    /// Ends the doubt about the map: what holds its ranges now are those whom it names.
    fn end_doubt(&mut self) {
        self.map.unconfirmed = false;
        self.next_edit();
        if self.doubt.is_foreign && enforced!("successor_freshens_fences") {
            self.freshen_fences();
        }
    }

    /// Gives every range a fence of this keeper.
    ///
    /// An order of a predecessor that a target carries out late is refused once the target has confirmed
    /// a fence of this keeper, whether or not anybody knew that orders were late. Until the take-over is
    /// in the store, owners are renewed under the fences that they have confirmed, so that no key waits
    /// for that write.
    fn freshen_fences(&mut self) {
        let edit = self.edit;
        for (service, ranges) in &mut self.map.services {
            // Neighbours that were alike stay alike, so that they can be joined.
            let mut last: Option<(RangeRecord, u64)> = None;
            for range in ranges {
                let alike = last.as_ref().filter(|(one, _)| {
                    one.fence == range.fence && one.owner == range.owner && one.settled
                });
                let fresh = match alike {
                    Some((_, fresh)) if range.settled => *fresh,
                    _ => {
                        self.map.fence += 1;
                        self.map.fence
                    }
                };
                last = Some((range.clone(), fresh));
                let work = self.work.entry((service.clone(), range.first)).or_default();
                match range.settled {
                    true => {
                        // The fence of an earlier call may not have been confirmed yet.
                        let fence = work.standing.map_or(range.fence, |standing| standing.fence);
                        work.standing = Some(ConfirmedFence { fence, edit });
                    }
                    false => work.edit = edit,
                }
                range.fence = fresh;
            }
        }
    }

    /// Reckons with holds of all holders that the map names until the given times.
    fn expect_holds(&mut self, owner_until: Timestamp, previous_until: Timestamp) {
        let lateness = self.settings.max_lateness;
        for (service, ranges) in &self.map.services {
            for range in ranges {
                let work = RangeWork {
                    owner_until,
                    owner_debt_until: owner_until + lateness,
                    previous_until,
                    previous_debt_until: previous_until + lateness,
                    ..RangeWork::default()
                };
                self.work.insert((service.clone(), range.first), work);
            }
        }
    }

    /// Goes on after the mandate had run out, while nobody else could take it.
    ///
    /// What this keeper knows of its own orders stays true. But a predecessor may have renewed
    /// grants until its grace ended, with no store to tell it of this keeper, and targets may have
    /// carried such orders out late: every hold is taken to last until that is surely over.
    pub fn resume(&mut self) {
        for work in self.work.values_mut() {
            work.owner_until = work.owner_until.max(self.inherited_until);
            // A grant that is under way may turn out not to have been sent.
            work.confirmed_until = work.confirmed_until.max(self.inherited_until);
            work.previous_until = work.previous_until.max(self.inherited_until);
        }
    }

    /// Goes on in another era of the store, which has lost what this keeper wrote last: no order leaves
    /// until the map is written again.
    ///
    /// `rival_until` is until when another VM may send renewals that had the mandate meanwhile.
    pub fn enter_era(&mut self, era: StoreEra, rival_until: Option<Timestamp>) {
        if !self.map.enter_era(era) {
            return;
        }
        self.committed = 0;
        self.next_edit();
        let Some(rival_until) = rival_until.filter(|_| enforced!("rival_moves")) else { return };
        self.doubt.until = self.doubt.until.max(self.lease_bound(rival_until));
        self.map.unconfirmed = true;
        self.doubt.lasts = true;
        self.work.values_mut().for_each(|work| work.is_doubted = true);
        self.hold_back_moves();
    }

    /// Has ranges on the move wait until the map is in no doubt: a release tells nothing of a target that another
    /// keeper gave them to, nor of the fence that it gave.
    fn hold_back_moves(&mut self) {
        let edit = self.edit;
        for (service, ranges) in &mut self.map.services {
            for range in ranges.iter_mut().filter(|range| !range.settled) {
                self.map.fence += 1;
                range.fence = self.map.fence;
                let work = self.work.entry((service.clone(), range.first)).or_default();
                work.edit = edit;
                work.in_flight = false;
                work.is_refused = true;
            }
        }
    }

    /// The map as it stands, written or not.
    #[must_use]
    pub fn map(&self) -> &RangeMap {
        &self.map
    }

    /// Latest end of a hold whose grant is sent at `sent`.
    fn lease_bound(&self, sent: Timestamp) -> Timestamp {
        self.settings.lease_bound(sent)
    }

    /// Marks the map as changed; orders that rest on the change wait for its write.
    fn next_edit(&mut self) -> u64 {
        self.edit += 1;
        self.map.edit = self.edit;
        self.edit
    }

    /// A fence above all that were handed out.
    fn next_fence(&mut self) -> u64 {
        self.map.fence += u64::from(enforced!("fence_grows"));
        self.map.fence
    }

    /// The map to write, if it changed since the last write was started.
    pub fn take_write(&mut self) -> Option<(RangeMap, u64)> {
        if self.writing || self.committed == self.edit {
            return None;
        }
        self.writing = true;
        Some((self.map.clone(), self.edit))
    }

    /// Notes that a write is in the store.
    pub fn confirm_write(&mut self, edit: u64) {
        self.writing = false;
        self.committed = self.committed.max(edit);
    }

    /// Notes that a write failed without effect and may be tried again.
    pub fn abort_write(&mut self) {
        self.writing = false;
    }
}
