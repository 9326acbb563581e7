//! The control duty: follows the store, and on one VM keeps the ranges.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use nickellead_core::Timestamp;
use nickellead_event::{EventName, log_event};
use nickellead_range::{
    HolderRecord, KeeperSettings, KeyLoad, MANDATE_LOOK, MANDATE_RENEWAL, MandatePower,
    MandateState, MandateWrite, OrderKind, OrderOutcome, OwnerCandidate, PredecessorGraces,
    RangeKeeper, RangeMap, RangeOrder, plan_moves,
};
use nickellead_time::BootClock;
use tokio::sync::watch;

use crate::beliefs::BeliefSenders;
use crate::book::BeliefBook;
use crate::follow::Follower;
use crate::load_count::LoadCounter;
use crate::relay::{NewsRelay, serve_news};
use crate::store_health::StoreHealth;
use crate::{
    OrderPort, OwnershipSettings, Revision, StoreError, StorePort, Stored, TargetEntry, TargetList,
    TargetState,
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
/// Weight of one VM's newest speed of a target.
const SPEED_WEIGHT: f64 = 0.3;
/// Moves under way that are always allowed; each stalls its keys for about the length of a request.
const MOVES_LEAST: usize = 4;
/// One more move may be under way for this many targets.
const TARGETS_A_MOVE: usize = 8;
/// Targets of a new service are taken to be complete when none came for this long.
const ARRIVAL_TIME: Duration = Duration::from_millis(1_200);
/// VMs that start at once ask for the mandate spread over this time.
const START_SPREAD: Duration = Duration::from_millis(250);
/// A VM that has just started follows the store when it found no other source within this time.
const SEEK_TIME: Duration = Duration::from_millis(1_000);
/// Between two tries to find a source within that time.
const SEEK_PAUSE: Duration = Duration::from_millis(80);
/// VMs that lose their source at once turn to the store spread over this time.
const FALL_BACK_SPREAD: Duration = Duration::from_millis(400);
/// Between two probes of the store by the mandate's holder.
const PROBE_PERIOD: Duration = Duration::from_millis(330);
/// How long a probe may take; the store takes about 4 ms when well.
const PROBE_TIME: Duration = Duration::from_millis(400);

/// What the control duty is built from.
pub(crate) struct ControlParts<S, O> {
    pub(crate) vm: String,
    pub(crate) zone: String,
    pub(crate) peers_address: SocketAddr,
    pub(crate) peers: std::net::TcpListener,
    pub(crate) cpu_share: f64,
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
    book: Rc<BeliefBook>,
    relay: Rc<NewsRelay>,
    mandate: RefCell<MandateState>,
    keeper: RefCell<Option<RangeKeeper>>,
    /// Revision of the map that the keeper works on; `None` while there is no map.
    map_revision: Cell<Option<Revision>>,
    loads: RefCell<HashMap<String, KeyLoad>>,
    /// Time of an unhurried answer by target, in milliseconds.
    speeds: RefCell<HashMap<String, f64>>,
    /// Until when orders were seen to be carried out late, over all keepers of this process.
    late_until: Cell<Timestamp>,
    /// Number of a service's targets, and since when it stands.
    arrivals: RefCell<HashMap<String, (usize, Timestamp)>>,
    keys: LoadCounter,
    ownership: OwnershipSettings,
    vm: String,
}

/// Runs the control duty until the VM stops.
pub(crate) async fn run_control<S: StorePort, O: OrderPort>(parts: ControlParts<S, O>) {
    let store = Rc::new(parts.store);
    let health = Rc::new(StoreHealth::default());
    let book = Rc::new(BeliefBook::new(parts.incarnation, parts.beliefs));
    let address = parts.peers_address;
    let relay = NewsRelay::new(
        parts.zone,
        address,
        Rc::clone(&book),
        Rc::clone(&health),
        parts.keys.clone(),
    );
    // Only a listener outside a runtime fails here, and this function runs inside one.
    if let Ok(listener) = tokio::net::TcpListener::from_std(parts.peers) {
        actix_rt::spawn(serve_news(Rc::clone(&relay), listener));
    }
    let follower = Follower {
        store: Rc::clone(&store),
        health: Rc::clone(&health),
        book: Rc::clone(&book),
        relay: Rc::clone(&relay),
    };
    follower.start();
    let mandate =
        MandateState::new(parts.vm.clone(), address, parts.incarnation, handicap(parts.cpu_share));
    let duty = Rc::new(ControlDuty {
        store,
        orders: Rc::new(parts.orders),
        health,
        book,
        relay,
        mandate: RefCell::new(mandate),
        keeper: RefCell::new(None),
        map_revision: Cell::new(None),
        loads: RefCell::default(),
        speeds: RefCell::default(),
        late_until: Cell::default(),
        arrivals: RefCell::default(),
        keys: parts.keys,
        ownership: parts.ownership,
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
    duty.relay.fall_back();
    // The request duty still needs news until the process ends.
    std::future::pending::<()>().await;
}

/// How much longer than others a VM waits before it takes the mandate.
///
/// Its holder serves all other VMs, which a slow VM does only if nobody else will.
fn handicap(cpu_share: f64) -> Duration {
    const WEAK_SHARE: f64 = 0.2;
    const WEAK_WAIT: Duration = Duration::from_millis(900);
    if cpu_share < WEAK_SHARE { WEAK_WAIT } else { Duration::ZERO }
}

/// Takes, renews and watches the mandate.
async fn keep_mandate<S: StorePort, O: OrderPort>(duty: Rc<ControlDuty<S, O>>) {
    // Spread, so that not all VMs of a fleet that starts at once ask at the same moment.
    tokio::time::sleep(START_SPREAD.mul_f64(fastrand::f64())).await;
    let started = BootClock.now();
    loop {
        if duty.mandate.borrow().is_held() {
            duty.write_mandate().await;
            duty.probe_store(MANDATE_RENEWAL).await;
            continue;
        }
        let read = duty.read_mandate().await;
        let holder = match read {
            Ok(holder) => holder,
            Err(_) => {
                if BootClock.now().since(started) > SEEK_TIME {
                    duty.relay.fall_back();
                }
                duty.health.pause().await;
                continue;
            }
        };
        if duty.wants_mandate() {
            duty.write_mandate().await;
        } else if let Some(holder) = holder {
            duty.relay.follow(holder).await;
            let seeks = BootClock.now().since(started) < SEEK_TIME;
            if duty.book.known().declarations.is_none() && seeks {
                // The holder may have just started as well.
                tokio::time::sleep(SEEK_PAUSE).await;
                continue;
            }
            // The source is lost: a watch from what is known costs one call a part.
            tokio::time::sleep(FALL_BACK_SPREAD.mul_f64(fastrand::f64())).await;
            duty.relay.fall_back();
        }
        if BootClock.now().since(started) > SEEK_TIME {
            duty.relay.fall_back();
        }
        let spread = 0.8 + fastrand::f64() * 0.4;
        tokio::time::sleep(MANDATE_LOOK.mul_f64(spread)).await;
    }
}

impl<S: StorePort, O: OrderPort> ControlDuty<S, O> {
    /// Reads the mandate; gives the address of its holder, if another VM holds it.
    async fn read_mandate(&self) -> Result<Option<SocketAddr>, StoreError> {
        let may_take = self.mandate.borrow().due_write(BootClock.now()).is_some()
            // While the store is away the cheapest call finds out when it is back.
            && !self.health.is_lost();
        let read = match may_take {
            true => self.store.mandate().await,
            false => self.store.mandate_maybe_old().await,
        };
        self.health.note(&read);
        let read = read?;
        if let Some(read) = &read {
            self.book.note_mandate(read);
        }
        let holder = read.as_ref().filter(|read| !read.value.vacant && read.value.vm != self.vm);
        let address = holder.map(|read| read.value.address);
        self.mandate.borrow_mut().note_read(read, BootClock.now());
        Ok(address)
    }

    /// Waits, and meanwhile asks the store cheaply whether it still answers.
    ///
    /// Other VMs rely on it that the holder notices soon when the store is out of its reach.
    async fn probe_store(&self, wait: Duration) {
        let until = Instant::now() + wait;
        while Instant::now() + PROBE_PERIOD < until {
            tokio::time::sleep(PROBE_PERIOD).await;
            let probe = tokio::time::timeout(PROBE_TIME, self.store.mandate_maybe_old()).await;
            let probe = probe.unwrap_or(Err(StoreError::Silent("probe".to_owned())));
            self.health.note(&probe);
        }
        tokio::time::sleep_until(until.into()).await;
    }

    /// Whether this VM may take the mandate and there is anything to decide for its holder.
    fn wants_mandate(&self) -> bool {
        let mandate = self.mandate.borrow();
        !mandate.is_held() && mandate.due_write(BootClock.now()).is_some()
    }

    async fn write_mandate(&self) {
        let Some(write) = self.mandate.borrow().due_write(BootClock.now()) else {
            return;
        };
        let sent = BootClock.now();
        let answer = self.store.write_mandate(write.expected, &write.record).await;
        self.health.note(&answer);
        let taken = self.mandate.borrow_mut().note_written(
            &write,
            answer.as_ref().ok().copied(),
            sent,
            BootClock.now(),
        );
        if let Some(seen) = self.mandate.borrow().seen() {
            self.book.note_mandate(seen);
        }
        if taken {
            log_event(EventName::MandateTaken, &[("vm", &self.vm)]);
            self.keeper.replace(None);
            self.relay.set_leads(true);
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
            self.relay.set_leads(false);
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
            if let Ok(revision) = answer {
                // Those who follow this VM hear of it at once.
                self.book.note_mandate(&Stored { revision, value: write.record });
            }
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
        duty.note_told_mandate(now);
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
    /// Takes in the mandate that another VM told, as soon as it is told.
    fn note_told_mandate(&self, now: Timestamp) {
        if !self.mandate.borrow().is_held() {
            let told = self.book.mandate();
            self.mandate.borrow_mut().note_read(told, now);
        }
    }

    /// Whether somebody else wrote the map after this VM's keeper read it.
    fn keeper_is_outdated(&self) -> bool {
        let known = self.map_revision.get().unwrap_or_default();
        let Some(writer) = self.keeper_writer() else { return false };
        let foreign =
            |stored: &Stored<RangeMap>| stored.revision > known && stored.value.writer != writer;
        self.book.ranges().as_ref().is_some_and(foreign)
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
        let settings = keeper_settings(&self.ownership, self.mandate.borrow().graces());
        let writer = fastrand::u64(1..1 << 53);
        let mut keeper = RangeKeeper::take_over(settings, map, writer, now);
        keeper.reckon_with_late_orders(self.late_until.get());
        self.keeper.replace(Some(keeper));
        log_event(EventName::CoordinatorLeading, &[("vm", &self.vm)]);
        true
    }

    /// Who may own ranges now, by service.
    fn candidates(&self) -> Vec<(String, Vec<OwnerCandidate>)> {
        let targets = self.book.targets();
        let Some(declared) = self.book.declarations() else {
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
        let now = BootClock.now();
        for (service, candidates) in candidates {
            let fresh = !keeper.map().services.contains_key(&service);
            if fresh && !self.have_arrived(&service, candidates.len(), now) {
                continue;
            }
            let load = loads.get(&service).unwrap_or(&empty);
            keeper.set_candidates(&service, &candidates, |ranges, _, _| {
                nickellead_range::lightest_owner(ranges, &candidates, load)
            });
        }
    }

    /// Whether the number of a new service's targets has stood long enough to divide its keys.
    fn have_arrived(&self, service: &str, count: usize, now: Timestamp) -> bool {
        let mut arrivals = self.arrivals.borrow_mut();
        let entry = arrivals.entry(service.to_owned()).or_insert((count, now));
        if entry.0 != count {
            *entry = (count, now);
        }
        now.since(entry.1) >= ARRIVAL_TIME
    }

    /// Takes in what callers asked for since the last look.
    fn note_load(&self) {
        let mut loads = self.loads.borrow_mut();
        loads.values_mut().for_each(|load| load.decay(LOAD_KEPT));
        if self.relay.reports_load() {
            return;
        }
        let counts = self.keys.take();
        let mut speeds = self.speeds.borrow_mut();
        for (target, millis) in counts.speeds {
            let known = speeds.entry(target).or_insert(millis);
            *known += (millis - *known) * SPEED_WEIGHT;
        }
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
            let most = MOVES_LEAST.max(candidates.len() / TARGETS_A_MOVE);
            if unsettled >= most {
                continue;
            }
            let moves = plan_moves(ranges, &candidates, load, most - unsettled);
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
            let writer = Some(map.writer);
            match answer {
                Ok(revision) => duty.note_map_written(revision, map, edit),
                // A keeper that was made meanwhile has read the store itself.
                Err(_) if duty.keeper_writer() != writer => {}
                Err(error) => duty.read_map_back(&error).await,
            }
        });
    }

    fn note_map_written(&self, revision: Revision, map: RangeMap, edit: u64) {
        if self.keeper_writer() == Some(map.writer) {
            self.map_revision.set(Some(revision));
        }
        let pairs: [(&str, &dyn std::fmt::Display); 4] = [
            ("revision", &revision.0),
            ("edit", &edit),
            ("fence", &map.fence),
            ("late_orders", &map.late),
        ];
        log_event(EventName::RangesWritten, &pairs);
        if let Some(keeper) = self.keeper.borrow_mut().as_mut()
            && keeper.map().writer == map.writer
        {
            keeper.note_written(edit);
        }
        self.book.note_ranges(revision, Some(Stored { revision, value: map }));
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
            Some(stored) if Some(stored.value.writer) == self.keeper_writer() => {
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

    fn keeper_writer(&self) -> Option<u64> {
        self.keeper.borrow().as_ref().map(|keeper| keeper.map().writer)
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
                    duty.late_until.set(duty.late_until.get().max(keeper.late_until()));
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
        OrderOutcome::Broken => "broken",
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

fn keeper_settings(ownership: &OwnershipSettings, graces: PredecessorGraces) -> KeeperSettings {
    KeeperSettings {
        hold: ownership.hold(),
        renewal: ownership.renewal(),
        retry: Duration::from_millis(200),
        margin: Duration::from_millis(300),
        // `applied_late` carries orders out 2 to 12 seconds later.
        lateness: Duration::from_millis(12_500),
        grace: graces.last,
        earlier_grace: graces.earlier,
        // The users' targets may run 2% slow.
        drift: nickellead_core::DriftBound { parts_per_million: 25_000 },
    }
}
