//! The control duty: follows the store, and on one VM keeps the ranges.
//!
//! This module holds the duty's state, its start and its end. `mandate` takes,
//! renews and watches the mandate; `ranges` is what its holder does at each
//! look: `candidates` says who may own ranges, `loads` counts load and starts
//! moves, `admission` limits what crowded owners are sent, `limits` knows what targets
//! name, `map_writes` writes the map, `orders` sends what is due.

mod admission;
mod candidates;
mod fleet;
mod limits;
mod loads;
mod mandate;
mod map_writes;
mod orders;
mod ranges;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::Duration;

use nickellead_core::Timestamp;
use nickellead_range::{KeyLoad, LateOrderDetector, MandateState, RangeController, TargetInstance};
use tokio::sync::watch;

use self::admission::TargetFigures;
use self::fleet::FleetWord;
use self::limits::HeardLimit;
use self::mandate::keep_mandate;
use self::ranges::keep_ranges;
use crate::book::BeliefBook;
use crate::evacuation::ZoneStates;
use crate::load_counter::{LoadCounter, VmId};
use crate::metrics::ControlMetrics;
use crate::relay::{NewsRelay, serve_news};
use crate::state_channels::StateSenders;
use crate::store_health::StoreHealth;
use crate::store_watch::StoreWatcher;
use crate::{
    ColdSettings, OrderPort, OwnershipSettings, PolicySettings, Revision, StoreEra, StorePort,
};

/// A VM whose share of a core is smaller takes the mandate only if nobody else does.
const WEAK_SHARE: f64 = 0.2;
/// So does a VM with a slower link, in Mbit/s: the holder reads declarations whole, a megabyte with
/// 4,300 routes, and tells fifteen others of each change.
const WEAK_LINK: f64 = 50.0;
/// How much longer than others such a VM waits before it takes the mandate.
const WEAK_WAIT: Duration = Duration::from_millis(900);

/// Numbers drawn at random are below this one.
const NUMBERS_END: u64 = 1 << 53;

/// What the control duty is built from.
pub(crate) struct ControlParts {
    pub(crate) vm: String,
    pub(crate) zone: String,
    /// Where other VMs reach this one.
    pub(crate) announced_address: SocketAddr,
    pub(crate) cpu_share: f64,
    pub(crate) link_mbps: Option<f64>,
    pub(crate) incarnation: u64,
    pub(crate) ownership: OwnershipSettings,
    pub(crate) beliefs: StateSenders,
    pub(crate) keys: LoadCounter,
    pub(crate) metrics: ControlMetrics,
    pub(crate) policy: PolicySettings,
    /// What all VMs together may send a cold target.
    pub(crate) cold: Option<ColdSettings>,
    /// Whether availability zones may be evacuated.
    pub(crate) follows_evacuations: bool,
}

/// The control duty of one VM.
struct ControlDuty<S, O> {
    store: Rc<S>,
    orders: Rc<O>,
    health: Rc<StoreHealth>,
    book: Rc<BeliefBook>,
    relay: Rc<NewsRelay>,
    mandate: RefCell<MandateState>,
    /// Stands while this VM holds the mandate, also when it ran out.
    keeper: RefCell<Option<RangeController>>,
    /// The store's era at the last look.
    era: Cell<StoreEra>,
    /// Whether the mandate allowed nothing at the last look.
    paused: Cell<bool>,
    /// Revision of the map that the keeper works on; `None` while there is no map.
    map_revision: Cell<Option<Revision>>,
    /// Load by key, by service.
    loads: RefCell<HashMap<String, KeyLoad>>,
    /// The same over the last second only.
    recent_loads: RefCell<HashMap<String, KeyLoad>>,
    /// What all VMs saw of each target.
    figures: RefCell<HashMap<String, TargetFigures>>,
    /// VMs that reported load, and when they last did.
    reporters: RefCell<HashMap<VmId, Timestamp>>,
    /// Number of the last word about crowded owners.
    admission_word: Cell<u64>,
    /// Limits that listed targets name.
    limits: RefCell<BTreeMap<TargetInstance, HeardLimit>>,
    /// When a limit of a target was last told.
    limits_told: Cell<Timestamp>,
    /// Listed targets that said that they leave, on answers to requests of any VM or to orders.
    leaving: RefCell<BTreeSet<TargetInstance>>,
    /// What this process saw of late orders, over all its keepers.
    lateness: RefCell<LateOrderDetector>,
    /// Number of a service's targets, and since when it stands.
    arrivals: RefCell<HashMap<String, (usize, Timestamp)>>,
    /// What the request duty has counted since the last look.
    keys: LoadCounter,
    ownership: OwnershipSettings,
    metrics: ControlMetrics,
    policy: PolicySettings,
    cold: Option<ColdSettings>,
    follows_evacuations: bool,
    /// Which zones are evacuated, and since when.
    zones: RefCell<ZoneStates>,
    /// This VM, among those that take requests.
    mark: VmId,
    /// The last word about the fleet.
    fleet_word: Cell<Option<FleetWord>>,
    vm: String,
    /// How much longer than others this VM waits before it takes the mandate.
    extra_wait: Duration,
}

impl<S: StorePort, O: OrderPort> ControlDuty<S, O> {
    fn new(parts: ControlParts, store: S, orders: O) -> Rc<Self> {
        let health = Rc::new(StoreHealth::new(parts.metrics.clone()));
        let book = Rc::new(BeliefBook::new(parts.incarnation, parts.beliefs));
        let address = parts.announced_address;
        let mark = VmId::new(&parts.vm, &parts.zone);
        let relay = NewsRelay::new(
            parts.zone,
            address,
            Rc::clone(&book),
            Rc::clone(&health),
            parts.keys.clone(),
            mark,
        );
        let extra_wait = extra_wait(parts.cpu_share, parts.link_mbps);
        let mandate = MandateState::new(parts.vm.clone(), address, parts.incarnation, extra_wait);
        Rc::new(Self {
            store: Rc::new(store),
            orders: Rc::new(orders),
            health,
            book,
            relay,
            mandate: RefCell::new(mandate),
            keeper: RefCell::new(None),
            era: Cell::default(),
            paused: Cell::new(false),
            map_revision: Cell::new(None),
            loads: RefCell::default(),
            recent_loads: RefCell::default(),
            figures: RefCell::default(),
            reporters: RefCell::default(),
            admission_word: Cell::new(0),
            limits: RefCell::default(),
            limits_told: Cell::new(Timestamp::ZERO),
            leaving: RefCell::default(),
            lateness: RefCell::default(),
            arrivals: RefCell::default(),
            keys: parts.keys,
            ownership: parts.ownership,
            metrics: parts.metrics,
            policy: parts.policy,
            cold: parts.cold,
            follows_evacuations: parts.follows_evacuations,
            zones: RefCell::default(),
            mark,
            fleet_word: Cell::new(None),
            vm: parts.vm,
            extra_wait,
        })
    }

    /// Starts telling other VMs the news, and following the store where no VM tells them.
    fn start_news(&self, peers: TcpListener) {
        // Only a listener outside a runtime fails here, and this function runs inside one.
        if let Ok(listener) = tokio::net::TcpListener::from_std(peers) {
            actix_rt::spawn(serve_news(Rc::clone(&self.relay), listener));
        }
        let follower = StoreWatcher {
            store: Rc::clone(&self.store),
            health: Rc::clone(&self.health),
            cluster_state: Rc::clone(&self.book),
            relay: Rc::clone(&self.relay),
            follows_evacuations: self.follows_evacuations,
        };
        follower.start();
    }
}

/// Starts the thread.
///
/// Other VMs ask for news at `peers`; `stopping` turns true when the VM stops;
/// `ports` makes the store and the orders on the thread itself.
///
/// # Errors
/// The system's error when it refuses a thread.
pub(crate) fn start<S: StorePort, O: OrderPort>(
    parts: ControlParts,
    peers: TcpListener,
    stopping: watch::Receiver<bool>,
    ports: impl FnOnce() -> (S, O) + Send + 'static,
) -> std::io::Result<JoinHandle<()>> {
    std::thread::Builder::new().name("control".to_owned()).spawn(move || {
        if let Ok(runtime) = actix_rt::Runtime::new() {
            runtime.block_on(async move {
                let (store, orders) = ports();
                run(ControlDuty::new(parts, store, orders), peers, stopping).await;
            });
        }
    })
}

/// Runs the control duty until the VM stops, and then tells news until the process ends.
async fn run<S: StorePort, O: OrderPort>(
    duty: Rc<ControlDuty<S, O>>,
    peers: TcpListener,
    mut stopping: watch::Receiver<bool>,
) {
    duty.start_news(peers);
    let mandate = actix_rt::spawn(keep_mandate(Rc::clone(&duty)));
    let ranges = actix_rt::spawn(keep_ranges(Rc::clone(&duty)));
    // An error would mean that the VM is gone, and then this thread may end too.
    let _ = stopping.wait_for(|stopping| *stopping).await;
    mandate.abort();
    duty.wait_to_give_back().await;
    ranges.abort();
    duty.give_back().await;
    duty.relay.fall_back();
    // The request duty still needs news until the process ends.
    std::future::pending::<()>().await;
}

/// A number that tells lives of processes, or keepers, apart.
///
/// It stands in documents of the store, and JSON keeps whole numbers exactly below 2^53 only.
pub(crate) fn draw_number() -> u64 {
    fastrand::u64(1..NUMBERS_END)
}

/// How much longer than others a VM waits before it takes the mandate.
///
/// Its holder serves all other VMs, which a weak VM does only if nobody else will.
fn extra_wait(cpu_share: f64, link_mbps: Option<f64>) -> Duration {
    let weak = cpu_share < WEAK_SHARE || link_mbps.is_some_and(|rate| rate < WEAK_LINK);
    if weak { WEAK_WAIT } else { Duration::ZERO }
}
