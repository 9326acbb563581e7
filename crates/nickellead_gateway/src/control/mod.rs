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

use self::admission::TargetStats;
use self::fleet::FleetAnnouncement;
use self::limits::ReportedTargetLimit;
use self::mandate::run_mandate_loop;
use self::ranges::run_ranges_loop;
use crate::cluster_state::ClusterState;
use crate::evacuation::ZoneStates;
use crate::load_counter::{LoadCounter, VmId};
use crate::metrics::ControlMetrics;
use crate::relay::{UpdateRelay, serve_updates};
use crate::state_channels::StateSenders;
use crate::store_health::StoreHealth;
use crate::store_watch::StoreWatcher;
use crate::{
    ColdSettings, OrderPort, OwnershipSettings, PolicySettings, Revision, StoreEra, StorePort,
};

/// A VM whose share of a core is smaller takes the mandate only if nobody else does.
const WEAK_VM_CPU_SHARE: f64 = 0.2;
/// So does a VM with a slower link, in Mbit/s: the holder reads declarations whole, a megabyte with
/// 4,300 routes, and tells fifteen others of each change.
const WEAK_VM_LINK_MBPS: f64 = 50.0;
/// How much longer than others such a VM waits before it takes the mandate.
const WEAK_VM_TAKEOVER_DELAY: Duration = Duration::from_millis(900);

/// Numbers drawn at random are below this one.
const RANDOM_ID_END: u64 = 1 << 53;

/// What the control duty is built from.
pub(crate) struct ControlContext {
    pub(crate) vm: String,
    pub(crate) zone: String,
    /// Where other VMs reach this one.
    pub(crate) announced_address: SocketAddr,
    pub(crate) cpu_share: f64,
    pub(crate) link_mbps: Option<f64>,
    pub(crate) incarnation: u64,
    pub(crate) ownership: OwnershipSettings,
    pub(crate) senders: StateSenders,
    pub(crate) load_counter: LoadCounter,
    pub(crate) metrics: ControlMetrics,
    pub(crate) policy: PolicySettings,
    /// What all VMs together may send a cold target.
    pub(crate) cold_settings: Option<ColdSettings>,
    /// Whether availability zones may be evacuated.
    pub(crate) follows_evacuations: bool,
}

/// The control duty of one VM.
struct ControlLoop<S, O> {
    store: Rc<S>,
    orders: Rc<O>,
    health: Rc<StoreHealth>,
    cluster: Rc<ClusterState>,
    relay: Rc<UpdateRelay>,
    mandate: RefCell<MandateState>,
    /// Stands while this VM holds the mandate, also when it ran out.
    controller: RefCell<Option<RangeController>>,
    /// The store's era at the last look.
    era: Cell<StoreEra>,
    /// Whether the mandate allowed nothing at the last look.
    without_authority: Cell<bool>,
    /// Revision of the map that the keeper works on; `None` while there is no map.
    map_revision: Cell<Option<Revision>>,
    /// Load by key, by service.
    loads: RefCell<HashMap<String, KeyLoad>>,
    /// The same over the last second only.
    recent_loads: RefCell<HashMap<String, KeyLoad>>,
    /// What all VMs saw of each target.
    target_stats: RefCell<HashMap<String, TargetStats>>,
    /// VMs that reported load, and when they last did.
    reporters: RefCell<HashMap<VmId, Timestamp>>,
    /// Number of the last word about crowded owners.
    admission_sequence: Cell<u64>,
    /// Limits that listed targets name.
    limits: RefCell<BTreeMap<TargetInstance, ReportedTargetLimit>>,
    /// When a limit of a target was last told.
    limits_announced_at: Cell<Timestamp>,
    /// Listed targets that said that they leave, on answers to requests of any VM or to orders.
    leaving: RefCell<BTreeSet<TargetInstance>>,
    /// What this process saw of late orders, over all its keepers.
    late_orders: RefCell<LateOrderDetector>,
    /// Number of a service's targets, and since when it stands.
    arrivals: RefCell<HashMap<String, (usize, Timestamp)>>,
    /// What the request duty has counted since the last look.
    load_counter: LoadCounter,
    ownership: OwnershipSettings,
    metrics: ControlMetrics,
    policy: PolicySettings,
    cold_settings: Option<ColdSettings>,
    follows_evacuations: bool,
    /// Which zones are evacuated, and since when.
    zones: RefCell<ZoneStates>,
    /// This VM, among those that take requests.
    vm_id: VmId,
    /// The last word about the fleet.
    fleet_announcement: Cell<Option<FleetAnnouncement>>,
    vm: String,
    /// How much longer than others this VM waits before it takes the mandate.
    takeover_delay: Duration,
}

impl<S: StorePort, O: OrderPort> ControlLoop<S, O> {
    fn new(context: ControlContext, store: S, orders: O) -> Rc<Self> {
        let health = Rc::new(StoreHealth::new(context.metrics.clone()));
        let cluster = Rc::new(ClusterState::new(context.incarnation, context.senders));
        let address = context.announced_address;
        let vm_id = VmId::new(&context.vm, &context.zone);
        let relay = UpdateRelay::new(
            context.zone,
            address,
            Rc::clone(&cluster),
            Rc::clone(&health),
            context.load_counter.clone(),
            vm_id,
        );
        let takeover_delay = takeover_delay(context.cpu_share, context.link_mbps);
        let mandate =
            MandateState::new(context.vm.clone(), address, context.incarnation, takeover_delay);
        Rc::new(Self {
            store: Rc::new(store),
            orders: Rc::new(orders),
            health,
            cluster,
            relay,
            mandate: RefCell::new(mandate),
            controller: RefCell::new(None),
            era: Cell::default(),
            without_authority: Cell::new(false),
            map_revision: Cell::new(None),
            loads: RefCell::default(),
            recent_loads: RefCell::default(),
            target_stats: RefCell::default(),
            reporters: RefCell::default(),
            admission_sequence: Cell::new(0),
            limits: RefCell::default(),
            limits_announced_at: Cell::new(Timestamp::ZERO),
            leaving: RefCell::default(),
            late_orders: RefCell::default(),
            arrivals: RefCell::default(),
            load_counter: context.load_counter,
            ownership: context.ownership,
            metrics: context.metrics,
            policy: context.policy,
            cold_settings: context.cold_settings,
            follows_evacuations: context.follows_evacuations,
            zones: RefCell::default(),
            vm_id,
            fleet_announcement: Cell::new(None),
            vm: context.vm,
            takeover_delay,
        })
    }

    /// Starts telling other VMs the news, and following the store where no VM tells them.
    fn start_updates(&self, peers: TcpListener) {
        // Only a listener outside a runtime fails here, and this function runs inside one.
        if let Ok(listener) = tokio::net::TcpListener::from_std(peers) {
            actix_rt::spawn(serve_updates(Rc::clone(&self.relay), listener));
        }
        let follower = StoreWatcher {
            store: Rc::clone(&self.store),
            health: Rc::clone(&self.health),
            cluster_state: Rc::clone(&self.cluster),
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
    context: ControlContext,
    peers: TcpListener,
    stopping: watch::Receiver<bool>,
    ports: impl FnOnce() -> (S, O) + Send + 'static,
) -> std::io::Result<JoinHandle<()>> {
    std::thread::Builder::new().name("control".to_owned()).spawn(move || {
        if let Ok(runtime) = actix_rt::Runtime::new() {
            runtime.block_on(async move {
                let (store, orders) = ports();
                run(ControlLoop::new(context, store, orders), peers, stopping).await;
            });
        }
    })
}

/// Runs the control duty until the VM stops, and then tells news until the process ends.
async fn run<S: StorePort, O: OrderPort>(
    control: Rc<ControlLoop<S, O>>,
    peers: TcpListener,
    mut stopping: watch::Receiver<bool>,
) {
    control.start_updates(peers);
    let mandate = actix_rt::spawn(run_mandate_loop(Rc::clone(&control)));
    let ranges = actix_rt::spawn(run_ranges_loop(Rc::clone(&control)));
    // An error would mean that the VM is gone, and then this thread may end too.
    let _ = stopping.wait_for(|stopping| *stopping).await;
    mandate.abort();
    control.wait_to_release_mandate().await;
    ranges.abort();
    control.release_mandate().await;
    control.relay.watch_store();
    // The request duty still needs news until the process ends.
    std::future::pending::<()>().await;
}

/// A number that tells lives of processes, or keepers, apart.
///
/// It stands in documents of the store, and JSON keeps whole numbers exactly below 2^53 only.
pub(crate) fn random_id() -> u64 {
    fastrand::u64(1..RANDOM_ID_END)
}

/// How much longer than others a VM waits before it takes the mandate.
///
/// Its holder serves all other VMs, which a weak VM does only if nobody else will.
fn takeover_delay(cpu_share: f64, link_mbps: Option<f64>) -> Duration {
    let weak =
        cpu_share < WEAK_VM_CPU_SHARE || link_mbps.is_some_and(|rate| rate < WEAK_VM_LINK_MBPS);
    if weak { WEAK_VM_TAKEOVER_DELAY } else { Duration::ZERO }
}
