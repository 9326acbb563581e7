//! The control duty: follows the store, and on one VM keeps the ranges.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use nickellead_event::{EventName, log_event};
use nickellead_range::{
    HolderRecord, KeeperSettings, KeyLoad, OrderKind, OrderOutcome, OwnerCandidate, RangeKeeper,
    RangeMap, RangeOrder, plan_moves,
};
use nickellead_time::BootClock;
use tokio::sync::watch;

use crate::beliefs::BeliefSenders;
use crate::follow::{follow_declarations, follow_ranges, follow_targets, tell_ranges};
use crate::load_count::LoadCounter;
use crate::mandate::{
    MANDATE_LOOK, MANDATE_RENEWAL, MandatePower, MandateState, MandateWrite, RENEWAL_GRACE,
};
use crate::store_health::StoreHealth;
use crate::{
    Declarations, OrderPort, OwnershipSettings, Revision, StoreError, StorePort, Stored,
    TargetEntry, TargetList, TargetState,
};

/// Between two looks at what is due.
const TICK: Duration = Duration::from_millis(40);
/// How long a target may take to answer a grant.
const GRANT_WAIT: Duration = Duration::from_millis(500);
/// The same for a release, which is answered when the work that runs has ended.
const RELEASE_WAIT: Duration = Duration::from_millis(1_500);
/// Between two looks at how load is spread.
const BALANCE_PERIOD: Duration = Duration::from_millis(500);
/// What is left of counted requests after one such period: about the last three seconds count.
const LOAD_KEPT: f64 = 0.83;
/// Most moves started by one look; each stalls its keys for about the length of one request.
const MOVES_MOST: usize = 4;
/// No new moves while this many ranges are unsettled.
const UNSETTLED_MOST: usize = 3;

/// What the control duty is built from.
pub(crate) struct ControlParts<S, O> {
    pub(crate) vm: String,
    pub(crate) incarnation: u64,
    pub(crate) ownership: OwnershipSettings,
    pub(crate) store: S,
    pub(crate) orders: O,
    pub(crate) beliefs: BeliefSenders,
    pub(crate) keys: LoadCounter,
    /// Turns true when the VM stops.
    pub(crate) stopping: watch::Receiver<bool>,
}

/// The control duty of one VM.
struct ControlDuty<S, O> {
    store: Rc<S>,
    orders: Rc<O>,
    health: Rc<StoreHealth>,
    mandate: RefCell<MandateState>,
    keeper: RefCell<Option<RangeKeeper>>,
    /// Revision of the map that the keeper works on; `None` while there is no map.
    map_revision: Cell<Option<Revision>>,
    /// Newest revision of the map that this VM has seen.
    seen_revision: Rc<Cell<Revision>>,
    told_ranges: watch::Sender<Arc<RangeMap>>,
    declarations: watch::Receiver<Option<Arc<Declarations>>>,
    targets: watch::Receiver<Arc<TargetList>>,
    loads: RefCell<HashMap<String, KeyLoad>>,
    /// Time of an unhurried answer by target, in milliseconds.
    speeds: RefCell<HashMap<String, f64>>,
    keys: LoadCounter,
    ownership: OwnershipSettings,
    incarnation: u64,
    vm: String,
}

/// Runs the control duty until the VM stops.
pub(crate) async fn run_control<S: StorePort, O: OrderPort>(parts: ControlParts<S, O>) {
    let store = Rc::new(parts.store);
    let health = Rc::new(StoreHealth::default());
    let seen_revision = Rc::new(Cell::new(Revision::default()));
    let told_ranges = parts.beliefs.ranges.clone();
    let declarations = parts.beliefs.declarations.subscribe();
    let targets = parts.beliefs.targets.subscribe();
    actix_rt::spawn(follow_declarations(
        Rc::clone(&store),
        Rc::clone(&health),
        parts.beliefs.declarations,
    ));
    actix_rt::spawn(follow_targets(Rc::clone(&store), Rc::clone(&health), parts.beliefs.targets));
    actix_rt::spawn(follow_ranges(
        Rc::clone(&store),
        Rc::clone(&health),
        parts.beliefs.ranges,
        Rc::clone(&seen_revision),
    ));
    let duty = Rc::new(ControlDuty {
        store,
        orders: Rc::new(parts.orders),
        health,
        mandate: RefCell::new(MandateState::new(parts.vm.clone(), parts.incarnation)),
        keeper: RefCell::new(None),
        map_revision: Cell::new(None),
        seen_revision,
        told_ranges,
        declarations,
        targets,
        loads: RefCell::default(),
        speeds: RefCell::default(),
        keys: parts.keys,
        ownership: parts.ownership,
        incarnation: parts.incarnation,
        vm: parts.vm,
    });
    let mut stopping = parts.stopping;
    let mandate = actix_rt::spawn(keep_mandate(Rc::clone(&duty)));
    let ranges = actix_rt::spawn(keep_ranges(Rc::clone(&duty)));
    // An error would mean that the VM is gone, and then this thread may end too.
    let _ = stopping.wait_for(|stopping| *stopping).await;
    mandate.abort();
    ranges.abort();
    duty.give_back().await;
}

/// Takes, renews and watches the mandate.
async fn keep_mandate<S: StorePort, O: OrderPort>(duty: Rc<ControlDuty<S, O>>) {
    loop {
        if duty.mandate.borrow().is_held() {
            duty.write_mandate().await;
            tokio::time::sleep(MANDATE_RENEWAL).await;
            continue;
        }
        let may_take = duty.mandate.borrow().due_write(BootClock.now()).is_some();
        let read = match may_take {
            true => duty.store.mandate().await,
            false => duty.store.mandate_maybe_old().await,
        };
        duty.health.note(&read);
        match read {
            Ok(read) => {
                duty.mandate.borrow_mut().note_read(read, BootClock.now());
                if duty.wants_mandate() {
                    duty.write_mandate().await;
                }
                let spread = 0.8 + fastrand::f64() * 0.4;
                tokio::time::sleep(MANDATE_LOOK.mul_f64(spread)).await;
            }
            Err(_) => duty.health.pause().await,
        }
    }
}

impl<S: StorePort, O: OrderPort> ControlDuty<S, O> {
    /// Whether there is anything to decide for a holder of the mandate.
    fn wants_mandate(&self) -> bool {
        let declared = self.declarations.borrow();
        let divided = |declared: &Arc<Declarations>| {
            declared.services.values().any(|service| service.divided)
        };
        !self.mandate.borrow().is_held() && declared.as_ref().is_some_and(divided)
    }

    async fn write_mandate(&self) {
        let Some(write) = self.mandate.borrow().due_write(BootClock.now()) else {
            return;
        };
        let sent = BootClock.now();
        let answer = self.store.write_mandate(write.expected, &write.record).await;
        self.health.note(&answer);
        let taken = self.mandate.borrow_mut().note_written(&write, &answer, sent, BootClock.now());
        if taken {
            log_event(EventName::MandateTaken, &[("vm", &self.vm)]);
            self.keeper.replace(None);
        }
        if answer.is_err() {
            self.read_mandate_back(&write).await;
        }
    }

    /// After a write that failed: what does the store hold?
    async fn read_mandate_back(&self, write: &MandateWrite) {
        let read = self.store.mandate().await;
        self.health.note(&read);
        let Ok(read) = read else { return };
        let lost = self.mandate.borrow_mut().note_read(read, BootClock.now());
        if lost {
            self.keeper.replace(None);
            let pairs: [(&str, &dyn std::fmt::Display); 2] =
                [("vm", &self.vm), ("renewals", &write.record.renewals)];
            log_event(EventName::MandateLost, &pairs);
        }
    }

    /// Gives the mandate back so that another VM takes it without waiting.
    async fn give_back(&self) {
        self.keeper.replace(None);
        let write = self.mandate.borrow_mut().vacating_write();
        if let Some(write) = write {
            let answer = self.store.write_mandate(write.expected, &write.record).await;
            let done = answer.is_ok();
            log_event(EventName::MandateHandedOver, &[("done", &done)]);
        }
    }
}

/// Sees to orders, writes of the map and moves, for as long as the mandate is held.
async fn keep_ranges<S: StorePort, O: OrderPort>(duty: Rc<ControlDuty<S, O>>) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut balanced = BootClock.now();
    loop {
        ticks.tick().await;
        let now = BootClock.now();
        if now.since(balanced) >= BALANCE_PERIOD {
            balanced = now;
            duty.note_load();
        }
        let power = duty.mandate.borrow().power(now);
        if power == MandatePower::None {
            duty.keeper.replace(None);
            continue;
        }
        if duty.keeper_is_outdated() {
            duty.keeper.replace(None);
        }
        let missing = duty.keeper.borrow().is_none();
        if missing && (power != MandatePower::Full || !duty.load_keeper().await) {
            continue;
        }
        if power == MandatePower::Full {
            duty.update_candidates();
            if balanced == now {
                duty.balance();
            }
            duty.write_map();
        }
        duty.send_orders(power);
    }
}

impl<S: StorePort, O: OrderPort> ControlDuty<S, O> {
    /// Whether somebody else wrote the map after this VM's keeper read it.
    fn keeper_is_outdated(&self) -> bool {
        let known = self.map_revision.get().unwrap_or_default();
        self.keeper.borrow().is_some()
            && self.seen_revision.get() > known
            && self.told_ranges.borrow().writer != self.incarnation
    }

    /// Reads the map and makes a keeper of it; tells whether that succeeded.
    async fn load_keeper(&self) -> bool {
        let read = self.store.ranges().await;
        self.health.note(&read);
        let Ok(snapshot) = read else {
            self.health.pause().await;
            return false;
        };
        let now = BootClock.now();
        let (revision, map) = match snapshot.value {
            Some(Stored { revision, value }) => (Some(revision), value),
            None => (None, RangeMap::default()),
        };
        self.map_revision.set(revision);
        let settings = keeper_settings(&self.ownership);
        let keeper = RangeKeeper::take_over(settings, map, self.incarnation, now);
        self.keeper.replace(Some(keeper));
        log_event(EventName::CoordinatorLeading, &[("vm", &self.vm)]);
        true
    }

    /// Who may own ranges now, by service.
    fn candidates(&self) -> Vec<(String, Vec<OwnerCandidate>)> {
        let declared = self.declarations.borrow().clone();
        let targets = self.targets.borrow().clone();
        let Some(declared) = declared else {
            return Vec::new();
        };
        let divided = declared.services.iter().filter(|(_, rule)| rule.divided);
        let speeds = self.speeds.borrow();
        divided
            .map(|(service, _)| (service.clone(), owner_candidates(service, &targets, &speeds)))
            .collect()
    }

    fn update_candidates(&self) {
        let candidates = self.candidates();
        let loads = self.loads.borrow();
        let mut keeper = self.keeper.borrow_mut();
        let Some(keeper) = keeper.as_mut() else { return };
        let empty = KeyLoad::default();
        for (service, candidates) in candidates {
            let load = loads.get(&service).unwrap_or(&empty);
            keeper.set_candidates(&service, &candidates, |ranges, _, _| {
                nickellead_range::lightest_owner(ranges, &candidates, load)
            });
        }
    }

    /// Takes in what callers asked for since the last look.
    fn note_load(&self) {
        let mut loads = self.loads.borrow_mut();
        loads.values_mut().for_each(|load| load.decay(LOAD_KEPT));
        let counts = self.keys.take();
        self.speeds.borrow_mut().extend(counts.speeds);
        for (service, counts) in counts.keys {
            let load = loads.entry(service).or_default();
            counts.into_iter().for_each(|(key, count)| load.note(key, count));
        }
    }

    /// Starts moves that spread the load better.
    fn balance(&self) {
        let candidates = self.candidates();
        let loads = self.loads.borrow();
        let mut keeper = self.keeper.borrow_mut();
        let Some(keeper) = keeper.as_mut() else { return };
        for (service, candidates) in candidates {
            let (Some(ranges), Some(load)) =
                (keeper.map().services.get(&service), loads.get(&service))
            else {
                continue;
            };
            let unsettled = ranges.iter().filter(|range| !range.settled).count();
            if unsettled > UNSETTLED_MOST {
                continue;
            }
            let moves = plan_moves(ranges, &candidates, load, MOVES_MOST);
            for one in &moves {
                let pairs: [(&str, &dyn std::fmt::Display); 4] = [
                    ("service", &service),
                    ("first", &one.first),
                    ("last", &one.last),
                    ("to", &one.to.id),
                ];
                log_event(EventName::RangeMoved, &pairs);
            }
            keeper.start_moves(&service, &moves);
        }
        keeper.merge();
    }

    /// Writes the map if it changed.
    fn write_map(self: &Rc<Self>) {
        let write = self.keeper.borrow_mut().as_mut().and_then(RangeKeeper::take_write);
        let Some((map, edit)) = write else { return };
        let duty = Rc::clone(self);
        actix_rt::spawn(async move {
            let expected = duty.map_revision.get();
            let answer = duty.store.write_ranges(expected, &map).await;
            duty.health.note(&answer);
            match answer {
                Ok(revision) => duty.note_map_written(revision, map, edit),
                Err(error) => duty.read_map_back(&error).await,
            }
        });
    }

    fn note_map_written(&self, revision: Revision, map: RangeMap, edit: u64) {
        self.map_revision.set(Some(revision));
        let pairs: [(&str, &dyn std::fmt::Display); 3] =
            [("revision", &revision.0), ("edit", &edit), ("fence", &map.fence)];
        log_event(EventName::RangesWritten, &pairs);
        if let Some(keeper) = self.keeper.borrow_mut().as_mut() {
            keeper.note_written(edit);
        }
        tell_ranges(&self.told_ranges, &self.seen_revision, Stored { revision, value: map });
    }

    /// After a write that failed: did it succeed all the same, or did somebody else write?
    async fn read_map_back(&self, error: &StoreError) {
        self.health.pause().await;
        let read = self.store.ranges().await;
        self.health.note(&read);
        let Ok(snapshot) = read else {
            if let Some(keeper) = self.keeper.borrow_mut().as_mut() {
                keeper.note_write_failed();
            }
            return;
        };
        match snapshot.value {
            Some(stored) if stored.value.writer == self.incarnation => {
                let edit = stored.value.edit;
                self.note_map_written(stored.revision, stored.value, edit);
            }
            Some(stored) if Some(stored.revision) != self.map_revision.get() => {
                log_event(EventName::CoordinatorSuperseded, &[("reason", error)]);
                self.keeper.replace(None);
            }
            _ => {
                if let Some(keeper) = self.keeper.borrow_mut().as_mut() {
                    keeper.note_write_failed();
                }
            }
        }
    }

    fn send_orders(self: &Rc<Self>, power: MandatePower) {
        let only = power == MandatePower::RenewalsOnly;
        let orders = match self.keeper.borrow_mut().as_mut() {
            Some(keeper) => keeper.due_orders(BootClock.now(), only),
            None => return,
        };
        for order in orders {
            let duty = Rc::clone(self);
            actix_rt::spawn(async move {
                let outcome = duty.send_order(&order).await;
                let now = BootClock.now();
                if let Some(keeper) = duty.keeper.borrow_mut().as_mut() {
                    keeper.note_outcome(&order, outcome, now);
                }
            });
        }
    }

    /// Sends one order, if the mandate still allows it at this moment.
    async fn send_order(&self, order: &RangeOrder) -> OrderOutcome {
        const AGE_MOST: Duration = Duration::from_millis(250);
        let now = BootClock.now();
        let power = self.mandate.borrow().power(now);
        let stale = now.since(order.decided) > AGE_MOST;
        if power == MandatePower::None || stale {
            return OrderOutcome::NotSent;
        }
        let wait = match order.kind {
            OrderKind::Grant(_) => GRANT_WAIT,
            OrderKind::Release => RELEASE_WAIT,
        };
        let outcome = self.orders.send(order, self.ownership.hold(), wait).await;
        if !matches!(outcome, OrderOutcome::Done(_)) {
            log_order_failure(order, &outcome);
        }
        outcome
    }
}

fn log_order_failure(order: &RangeOrder, outcome: &OrderOutcome) {
    let kind = match order.kind {
        OrderKind::Grant(_) => "grant",
        OrderKind::Release => "release",
    };
    let outcome = match outcome {
        OrderOutcome::Done(_) => "done",
        OrderOutcome::Outranked => "outranked",
        OrderOutcome::Ended => "ended",
        OrderOutcome::NotSent => "not-sent",
        OrderOutcome::Unanswered => "unanswered",
    };
    let pairs: [(&str, &dyn std::fmt::Display); 6] = [
        ("order", &kind),
        ("outcome", &outcome),
        ("target", &order.holder.id),
        ("first", &order.first),
        ("last", &order.last),
        ("fence", &order.fence),
    ];
    log_event(EventName::OrderFailed, &pairs);
}

/// The targets of a service that may own ranges: those that stay.
fn owner_candidates(
    service: &str,
    targets: &TargetList,
    speeds: &HashMap<String, f64>,
) -> Vec<OwnerCandidate> {
    let usable: Vec<_> = targets
        .values()
        .filter(|target| target.service == service && target.state == TargetState::Ready)
        .collect();
    let known: Vec<f64> =
        usable.iter().filter_map(|target| speeds.get(&target.id).copied()).collect();
    let usual = known.iter().sum::<f64>() / known.len().max(1) as f64;
    // Unknown targets count as ordinary; nobody as more than three times better or worse.
    let factor = |target: &TargetEntry| match speeds.get(&target.id) {
        Some(millis) if usual > 0.0 => (usual / millis.max(1.0)).clamp(1.0 / 3.0, 3.0),
        _ => 1.0,
    };
    usable
        .into_iter()
        .map(|target| OwnerCandidate {
            holder: HolderRecord { id: target.id.clone(), address: target.address.to_string() },
            capacity: f64::from(target.slots.max(1)) * factor(target),
        })
        .collect()
}

fn keeper_settings(ownership: &OwnershipSettings) -> KeeperSettings {
    KeeperSettings {
        hold: ownership.hold(),
        renewal: ownership.renewal(),
        retry: Duration::from_millis(200),
        margin: Duration::from_millis(300),
        // `applied_late` carries orders out 2 to 12 seconds later.
        lateness: Duration::from_millis(12_500),
        grace: RENEWAL_GRACE,
        // The users' targets may run 2% slow.
        drift: nickellead_core::DriftBound { parts_per_million: 25_000 },
    }
}
