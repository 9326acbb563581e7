//! The keeper of ranges: every order to targets and every write of the map.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use nickellead_core::{DriftBound, Timestamp, enforced};

use crate::lateness::LatenessWatch;
use crate::plan::split_at;
use crate::{HolderRecord, MoveProposal, OwnerCandidate, RangeMap, RangeRecord};

/// Times of the keeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeeperSettings {
    /// How long a target holds a range after a grant arrived.
    pub hold: Duration,
    /// Between two renewals of a grant.
    pub renewal: Duration,
    /// Between two tries of an order that was not answered.
    pub retry: Duration,
    /// Added to every bound on a hold, for messages under way.
    pub margin: Duration,
    /// Latest that an unanswered order was seen to take effect.
    pub lateness: Duration,
    /// How long the last VM that decided may go on renewing what stands.
    pub grace: Duration,
    /// The same for VMs that decided before it: what it moved, only these may still renew.
    pub earlier_grace: Duration,
    /// Bound on the difference of clock rates.
    pub drift: DriftBound,
}

/// Silences in a row from which a target's own debts count: a lost target takes no connection, so
/// only the first order after its loss meets silence.
const SILENCES_LATE: u32 = 2;

/// Releases that are not answered are sent again after at most this many times the retry time.
const RELEASE_SLOWEST: u32 = 5;

/// What an order asks of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Hold the range, with the token of its last holder if there is one.
    Grant(Option<String>),
    /// Take no new work for the range and finish what runs.
    Release,
}

/// One order to one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeOrder {
    /// The service.
    pub service: String,
    /// First key.
    pub first: u16,
    /// Last key, included.
    pub last: u16,
    /// Fencing token of the order.
    pub fence: u64,
    /// Who is asked.
    pub holder: HolderRecord,
    /// What is asked.
    pub kind: OrderKind,
    /// When the order was decided; it is sent no earlier.
    pub decided: Timestamp,
}

/// What became of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// Done; a release carries the token for the next holder.
    Done(Option<String>),
    /// The target has seen a higher fence on one of the keys.
    Outranked,
    /// Another process answers at the address: the asked one has ended.
    Ended,
    /// It surely never reached a target.
    NotSent,
    /// The connection ended before an answer: the order may have taken effect, or may yet.
    Broken,
    /// Silence: the order may take effect later.
    Unanswered,
}

/// What the keeper knows of a range beside its record.
#[derive(Clone, Debug, Default)]
struct RangeWork {
    /// Edit of the map that must be in the store before an order may leave.
    edit: u64,
    /// Until when the owner may hold by orders that were answered or are under way.
    owner_until: Timestamp,
    /// The same for orders that were never answered, if they are carried out late.
    owner_debt_until: Timestamp,
    /// The bounds of the previous holder.
    previous_until: Timestamp,
    previous_debt_until: Timestamp,
    /// Token of the previous holder.
    handover: Option<String>,
    in_flight: bool,
    due: Timestamp,
    /// Releases in a row that were not answered.
    tries: u32,
    /// Grants in a row, each on a connection that came up, that met silence.
    silences: u32,
    /// Whether the owner's debts count though orders are not late elsewhere.
    owner_was_silent: bool,
    /// Whether the previous holder's debts count though orders are not late elsewhere.
    previous_was_silent: bool,
}

/// Decides orders and writes for the VM that holds the mandate.
#[derive(Clone, Debug)]
pub struct RangeKeeper {
    settings: KeeperSettings,
    map: RangeMap,
    work: BTreeMap<(String, u16), RangeWork>,
    candidates: BTreeMap<String, BTreeSet<HolderRecord>>,
    /// Lives of targets that are known to have ended.
    ended: BTreeSet<String>,
    lateness: LatenessWatch,
    /// Until when an unanswered order may still be carried out, once that was seen to happen.
    late_until: Timestamp,
    edit: u64,
    committed: u64,
    writing: bool,
}

impl RangeKeeper {
    /// Takes over what the store holds.
    ///
    /// A predecessor may go on renewing what stands for the grace time, so every
    /// holder named in the map may hold for that and a whole hold time from now on.
    /// The graces are zero for predecessors that are known to have stopped.
    /// `writer` must be drawn anew for each call: it tells this keeper's writes from
    /// those of an earlier one in the same process, which may still be done late.
    /// The first edit is the take-over itself: once it is written, no late
    /// write of a predecessor can succeed any more.
    #[must_use]
    pub fn take_over(
        settings: KeeperSettings,
        mut map: RangeMap,
        writer: u64,
        now: Timestamp,
    ) -> Self {
        map.writer = writer;
        map.edit = 1;
        let mut keeper = Self {
            settings,
            map,
            work: BTreeMap::new(),
            candidates: BTreeMap::new(),
            ended: BTreeSet::new(),
            lateness: LatenessWatch::default(),
            late_until: Timestamp::ZERO,
            edit: 1,
            committed: 0,
            writing: false,
        };
        let added = |grace| if enforced!("successor_adds_grace") { grace } else { Duration::ZERO };
        let until = keeper.hold_bound(now) + added(settings.grace);
        let previous_until = keeper.hold_bound(now) + added(settings.earlier_grace);
        if keeper.map.late {
            keeper.late_until = until + settings.lateness;
        }
        for (service, ranges) in &keeper.map.services {
            for range in ranges {
                let work = RangeWork {
                    owner_until: until,
                    owner_debt_until: until + settings.lateness,
                    previous_until,
                    previous_debt_until: previous_until + settings.lateness,
                    ..RangeWork::default()
                };
                keeper.work.insert((service.clone(), range.first), work);
            }
        }
        keeper
    }

    /// Until when unanswered orders may be carried out, as this process saw it.
    ///
    /// A keeper that is made anew takes it over by [`RangeKeeper::reckon_with_late_orders`]: the
    /// map may never have been written with it.
    #[must_use]
    pub fn late_until(&self) -> Timestamp {
        self.late_until
    }

    /// Counts debts until then, as an earlier keeper of this process would.
    pub fn reckon_with_late_orders(&mut self, until: Timestamp) {
        self.late_until = self.late_until.max(until);
    }

    /// The map as it stands, written or not.
    #[must_use]
    pub fn map(&self) -> &RangeMap {
        &self.map
    }

    /// Latest end of a hold whose grant is sent at `sent`, by this VM's clock.
    fn hold_bound(&self, sent: Timestamp) -> Timestamp {
        sent + self.settings.drift.stretch(self.settings.hold) + self.settings.margin
    }

    /// Marks the map as changed; orders that rest on the change wait for its write.
    fn next_edit(&mut self) -> u64 {
        self.edit += 1;
        self.map.edit = self.edit;
        self.edit
    }

    fn next_fence(&mut self) -> u64 {
        self.map.fence += u64::from(enforced!("fence_grows"));
        self.map.fence
    }

    /// Takes over who may own ranges of a service, and replaces owners who may not.
    ///
    /// `pick` chooses among the candidates for a range that needs an owner.
    pub fn set_candidates(
        &mut self,
        service: &str,
        candidates: &[OwnerCandidate],
        mut pick: impl FnMut(&[RangeRecord], u16, u16) -> Option<HolderRecord>,
    ) {
        let usable = |candidate: &&OwnerCandidate| !self.ended.contains(&candidate.holder.id);
        let holders: BTreeSet<HolderRecord> =
            candidates.iter().filter(usable).map(|candidate| candidate.holder.clone()).collect();
        self.candidates.insert(service.to_owned(), holders.clone());
        if holders.is_empty() {
            return;
        }
        if !self.map.services.contains_key(service) {
            self.divide(service, &holders);
            return;
        }
        let places = self.map.services.get(service).map_or(0, Vec::len);
        for place in 0..places {
            let Some(ranges) = self.map.services.get(service) else { return };
            let range = &ranges[place];
            let stays = range.owner.as_ref().is_some_and(|owner| holders.contains(owner));
            if stays || (range.previous.is_some() && enforced!("one_previous_holder")) {
                // Who may still hold it is settled first; then the next call replaces the owner.
                continue;
            }
            if let Some(to) = pick(ranges, range.first, range.last) {
                self.reassign(service, place, to);
            }
        }
    }

    /// Gives a new service's key space to its targets in equal parts.
    fn divide(&mut self, service: &str, holders: &BTreeSet<HolderRecord>) {
        const KEYS: u32 = 65_536;
        let edit = self.next_edit();
        let count = holders.len() as u32;
        let mut ranges = Vec::new();
        for (place, holder) in holders.iter().enumerate() {
            let place = place as u32;
            let first = (KEYS * place / count) as u16;
            let last = (KEYS * (place + 1) / count - 1) as u16;
            let fence = self.next_fence();
            let owner = Some(holder.clone());
            ranges.push(RangeRecord { first, last, fence, owner, previous: None, settled: false });
            let work = RangeWork { edit, ..RangeWork::default() };
            self.work.insert((service.to_owned(), first), work);
        }
        self.map.services.insert(service.to_owned(), ranges);
    }

    /// Makes `to` the next owner of a range that nobody but its owner may hold.
    fn reassign(&mut self, service: &str, place: usize, to: HolderRecord) {
        let fence = self.next_fence();
        let edit = self.next_edit();
        let Some(ranges) = self.map.services.get_mut(service) else { return };
        let range = &mut ranges[place];
        let previous = range.owner.replace(to);
        range.previous = previous.filter(|holder| !self.ended.contains(&holder.id));
        range.fence = fence;
        range.settled = false;
        let work = self.work.entry((service.to_owned(), range.first)).or_default();
        // A grant under way may still turn out to be silent.
        let debt = if work.in_flight {
            work.owner_until + self.settings.lateness
        } else {
            work.owner_debt_until
        };
        *work = RangeWork {
            edit,
            previous_until: work.owner_until,
            previous_debt_until: work.owner_debt_until.max(debt),
            previous_was_silent: work.owner_was_silent,
            ..RangeWork::default()
        };
    }

    /// Starts planned moves; a range that is on the move already is left alone.
    pub fn start_moves(&mut self, service: &str, moves: &[MoveProposal]) {
        for proposal in moves {
            self.split(service, proposal.first);
            if let Some(after) = proposal.last.checked_add(1) {
                self.split(service, after);
            }
            let Some(ranges) = self.map.services.get(service) else { return };
            let inside = |range: &RangeRecord| {
                proposal.first <= range.first
                    && range.last <= proposal.last
                    && range.settled
                    && range.owner.as_ref() != Some(&proposal.to)
            };
            let places: Vec<usize> =
                (0..ranges.len()).filter(|place| inside(&ranges[*place])).collect();
            for place in places {
                self.reassign(service, place, proposal.to.clone());
            }
        }
    }

    fn split(&mut self, service: &str, key: u16) {
        let Some(ranges) = self.map.services.get_mut(service) else { return };
        let Some(range) = ranges.iter().find(|range| range.first < key && key <= range.last) else {
            return;
        };
        let first = range.first;
        split_at(ranges, key);
        let mut work = self.work.get(&(service.to_owned(), first)).cloned().unwrap_or_default();
        // The answer to an order under way is matched by the first key, which is not this part's.
        work.in_flight = false;
        self.work.insert((service.to_owned(), key), work);
    }

    /// Joins neighbours that one target holds under one fence, so that one renewal serves both.
    pub fn merge(&mut self) {
        for (service, ranges) in &mut self.map.services {
            let mut place = 1;
            while place < ranges.len() {
                let (left, right) = (&ranges[place - 1], &ranges[place]);
                let quiet = |range: &RangeRecord| {
                    let work = self.work.get(&(service.clone(), range.first));
                    range.settled && work.is_some_and(|work| !work.in_flight)
                };
                if left.owner != right.owner
                    || left.fence != right.fence
                    || !quiet(left)
                    || !quiet(right)
                {
                    place += 1;
                    continue;
                }
                let removed = ranges.remove(place);
                ranges[place - 1].last = removed.last;
                let right = self.work.remove(&(service.clone(), removed.first)).unwrap_or_default();
                let left = self.work.entry((service.clone(), ranges[place - 1].first)).or_default();
                left.edit = left.edit.max(right.edit);
                left.owner_until = left.owner_until.max(right.owner_until);
                left.owner_debt_until = left.owner_debt_until.max(right.owner_debt_until);
                left.owner_was_silent |= right.owner_was_silent;
                left.due = left.due.min(right.due);
            }
        }
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
    pub fn note_written(&mut self, edit: u64) {
        self.writing = false;
        self.committed = self.committed.max(edit);
    }

    /// Notes that a write failed without effect and may be tried again.
    pub fn note_write_failed(&mut self) {
        self.writing = false;
    }

    /// The orders that are due; each must be sent at once or reported as [`OrderOutcome::NotSent`].
    ///
    /// With `renewals_only`, which is all that a VM without a valid mandate may
    /// send, nothing but renewals of confirmed grants is returned.
    pub fn due_orders(&mut self, now: Timestamp, renewals_only: bool) -> Vec<RangeOrder> {
        let mut orders = Vec::new();
        let late = now < self.late_until;
        if self.map.late && !late && !renewals_only {
            self.map.late = false;
            self.next_edit();
        }
        let mut ruled_out = false;
        let bound = self.hold_bound(now);
        for (service, ranges) in &mut self.map.services {
            for range in ranges {
                let Some(work) = self.work.get_mut(&(service.clone(), range.first)) else {
                    continue;
                };
                if work.in_flight
                    || work.due > now
                    || (work.edit > self.committed && enforced!("write_before_order"))
                {
                    continue;
                }
                if renewals_only && !range.settled && enforced!("grace_renews_only") {
                    continue;
                }
                let lapsed = (now >= work.previous_until || !enforced!("hold_surely_lapsed"))
                    && (!(late || work.previous_was_silent)
                        || now >= work.previous_debt_until
                        || !enforced!("late_debts"));
                let ended = range.previous.as_ref().is_some_and(|one| self.ended.contains(&one.id));
                if range.previous.is_some() && (lapsed || ended) {
                    range.previous = None;
                    ruled_out = true;
                }
                let order = |holder: &HolderRecord, kind| RangeOrder {
                    service: service.clone(),
                    first: range.first,
                    last: range.last,
                    fence: range.fence,
                    holder: holder.clone(),
                    kind,
                    decided: now,
                };
                if let Some(previous) = &range.previous
                    && enforced!("release_first")
                {
                    orders.push(order(previous, OrderKind::Release));
                    work.in_flight = true;
                    continue;
                }
                let Some(owner) = &range.owner else { continue };
                let usable = |set: &BTreeSet<HolderRecord>| set.contains(owner);
                if !self.candidates.get(service).is_some_and(usable) {
                    continue;
                }
                orders.push(order(owner, OrderKind::Grant(work.handover.clone())));
                work.in_flight = true;
                work.owner_until = work.owner_until.max(bound);
            }
        }
        if ruled_out {
            self.next_edit();
        }
        orders
    }

    /// Takes in what became of an order.
    pub fn note_outcome(&mut self, order: &RangeOrder, outcome: OrderOutcome, now: Timestamp) {
        self.note_lateness(order, &outcome, now);
        let bound = self.hold_bound(now);
        let settings = self.settings;
        let key = (order.service.clone(), order.first);
        let Some(work) = self.work.get_mut(&key) else { return };
        let ranges = self.map.services.get_mut(&order.service);
        let found =
            ranges.and_then(|ranges| ranges.iter_mut().find(|one| one.first == order.first));
        let Some(range) = found else { return };
        if outcome == OrderOutcome::Ended {
            self.ended.insert(order.holder.id.clone());
        }
        if range.fence != order.fence {
            // The range went on to another owner; its own orders follow.
            return;
        }
        work.in_flight = false;
        match (&order.kind, outcome.clone()) {
            (OrderKind::Release, OrderOutcome::Done(token)) => {
                range.previous = None;
                work.handover = token;
                work.due = now;
            }
            (OrderKind::Release, OrderOutcome::Ended) => {
                range.previous = None;
                work.due = now;
            }
            (OrderKind::Release, _) => {
                work.tries += 1;
                work.due = now + settings.retry * work.tries.min(RELEASE_SLOWEST);
            }
            (OrderKind::Grant(_), OrderOutcome::Done(_)) => {
                // The hold may have started as late as the answer came.
                work.owner_until = work.owner_until.max(bound);
                work.due = order.decided + settings.renewal;
                work.handover = None;
                // It works on, so what it left unanswered may still be carried out.
                work.owner_was_silent |= work.silences > 0;
                work.owner_was_silent &= now < work.owner_debt_until;
                work.silences = 0;
                if !range.settled {
                    range.settled = true;
                    self.next_edit();
                }
            }
            (OrderKind::Grant(_), OrderOutcome::Outranked) => {
                range.settled = false;
                work.due = now;
                self.map.fence += 1;
                range.fence = self.map.fence;
                self.edit += 1;
                self.map.edit = self.edit;
                work.edit = self.edit;
            }
            (OrderKind::Grant(_), OrderOutcome::Ended) => work.due = now + settings.retry,
            (OrderKind::Grant(_), OrderOutcome::NotSent) => work.due = now + settings.retry,
            (OrderKind::Grant(_), OrderOutcome::Unanswered | OrderOutcome::Broken) => {
                work.silences += u32::from(outcome == OrderOutcome::Unanswered);
                work.owner_was_silent |= work.silences >= SILENCES_LATE;
                work.owner_until = work.owner_until.max(bound);
                work.owner_debt_until = work.owner_debt_until.max(bound + settings.lateness);
                work.due = now + settings.retry;
            }
        }
    }

    /// Looks whether targets carry orders out late; debts then count for their whole time.
    fn note_lateness(&mut self, order: &RangeOrder, outcome: &OrderOutcome, now: Timestamp) {
        if order.kind == OrderKind::Release {
            // A release is answered when the work that ran has ended; its silence says nothing.
            return;
        }
        // The last of the debts made until now ends then.
        let longest = self.hold_bound(now) + self.settings.lateness;
        let seen = self.lateness.note(&order.holder.id, outcome, now);
        let goes_on = now < self.late_until && *outcome == OrderOutcome::Unanswered;
        if seen || goes_on {
            self.late_until = self.late_until.max(longest);
        }
        if seen && !self.map.late {
            self.map.late = true;
            self.next_edit();
        }
    }
}
