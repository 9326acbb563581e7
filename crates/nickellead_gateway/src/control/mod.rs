//! The control loop: maintains the cluster state, and manages ranges on the VM that holds the
//! mandate (leader lease).
//!
//! This module holds the loop's state, its start and its end. `mandate` acquires, renews and
//! watches the mandate, and `ranges` is the loop of the mandate holder: `candidates` selects the
//! targets that may own ranges, `loads` records load and starts moves, `admission` limits the
//! requests for overloaded owners, `limits` tracks the limits that targets report, `quotas` grants
//! tokens for requests of limited workspaces, `fleet` announces the VMs that take requests,
//! `map_writes` writes the map, and `orders` sends orders.

mod admission;
mod candidates;
mod fleet;
mod limits;
mod loads;
mod mandate;
mod map_writes;
mod orders;
mod quotas;
mod ranges;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::Duration;

use nickellead_core::Timestamp;
use nickellead_range::{KeyLoad, LateOrderDetector, MandateState, RangeController, TargetInstance};
use tokio::sync::{mpsc, watch};

use self::admission::TargetStats;
use self::candidates::CandidateSources;
use self::fleet::{FleetAnnouncement, FleetReporter};
use self::limits::ReportedTargetLimit;
use self::mandate::run_mandate_loop;
use self::quotas::{TokenBuckets, receive_requests, run_quota_loop};
use self::ranges::run_ranges_loop;
use crate::cluster_state::ClusterState;
use crate::evacuation::ZoneStates;
use crate::load_counter::{LoadCounter, VmId, VmReport};
use crate::metrics::{ControlMetrics, ThreadMetrics, VmThread};
use crate::quarantine::SharedQuarantine;
use crate::quota::TokenRequest;
use crate::relay::{RelayContext, UpdateRelay, serve_updates};
use crate::state_channels::StateSenders;
use crate::store_health::StoreHealth;
use crate::store_watch::StoreWatcher;
use crate::thread_turns::measure_turns;
use crate::vm_reach::ReachSignal;
use crate::{
    ColdSettings, OrderPort, OwnershipSettings, PolicySettings, Revision, StoreEra, StorePort,
};

/// A VM with a smaller share of a core is weak: it takes the mandate only if no other VM does.
const WEAK_VM_CPU_SHARE: f64 = 0.2;
/// A VM with a slower link is weak as well, in Mbit/s: the mandate holder reads whole declarations
/// and sends changes to many subscribers.
const WEAK_VM_LINK_MBPS: f64 = 50.0;
/// How much longer than others a weak VM waits before it takes the mandate.
const WEAK_VM_TAKEOVER_DELAY: Duration = Duration::from_millis(900);

/// Exclusive upper bound of random ids.
const RANDOM_ID_END: u64 = 1 << 53;

/// Settings and shared dependencies of the control loop.
pub(crate) struct ControlContext {
    pub(crate) vm: String,
    pub(crate) zone: String,
    /// Address at which other VMs reach this one.
    pub(crate) announced_address: SocketAddr,
    /// Address at which other VMs reach it with dispatch messages; `None` if it takes none.
    pub(crate) dispatch_address: Option<SocketAddr>,
    pub(crate) cpu_share: f64,
    pub(crate) link_mbps: Option<f64>,
    pub(crate) incarnation: u64,
    pub(crate) ownership: OwnershipSettings,
    pub(crate) senders: StateSenders,
    pub(crate) load_counter: LoadCounter,
    pub(crate) quarantine: SharedQuarantine,
    pub(crate) metrics: ControlMetrics,
    pub(crate) thread_metrics: ThreadMetrics,
    pub(crate) policy: PolicySettings,
    /// Bounds on what all VMs together send to a cold target.
    pub(crate) cold_settings: Option<ColdSettings>,
    /// Whether availability zones may be evacuated.
    pub(crate) evacuations_enabled: bool,
    /// Most age of the declarations with which keys may be checked; `None` for no limit.
    pub(crate) max_key_age: Option<Duration>,
    pub(crate) reach_signal: ReachSignal,
}

/// The control loop of one VM.
struct ControlLoop<S, O> {
    store: Rc<S>,
    orders: Rc<O>,
    health: Rc<StoreHealth>,
    cluster: Rc<ClusterState>,
    relay: Rc<UpdateRelay>,
    mandate: RefCell<MandateState>,
    /// Present while this VM holds the mandate, also when the mandate has expired.
    controller: RefCell<Option<RangeController>>,
    /// The store's era at the last check.
    era: Cell<StoreEra>,
    /// Whether the mandate gave no authority at the last check.
    without_authority: Cell<bool>,
    /// Revision of the controller's map in the store; `None` if the store has no map.
    map_revision: Cell<Option<Revision>>,
    /// Load by key, by service.
    loads: RefCell<HashMap<String, KeyLoad>>,
    /// Load over the last second, by service.
    recent_loads: RefCell<HashMap<String, KeyLoad>>,
    /// Statistics of targets from all VMs, by target.
    target_stats: RefCell<HashMap<String, TargetStats>>,
    /// VMs that reported load.
    reporters: RefCell<HashMap<VmId, FleetReporter>>,
    /// Sequence number of the last admission table.
    admission_sequence: Cell<u64>,
    /// Limits that listed targets report.
    limits: RefCell<BTreeMap<TargetInstance, ReportedTargetLimit>>,
    /// When a limit of a target was last announced.
    limits_announced_at: Cell<Timestamp>,
    /// Listed targets that announced that they leave, on responses to requests of any VM or to
    /// orders.
    leaving: RefCell<BTreeSet<TargetInstance>>,
    /// Late orders that this process has detected, across all its controllers.
    late_orders: RefCell<LateOrderDetector>,
    /// What the candidates of the controller were last derived from; `None` if they are outdated.
    candidate_sources: RefCell<Option<CandidateSources>>,
    /// Number of targets by new service, and since when it has not changed.
    arrivals: RefCell<HashMap<String, (usize, Timestamp)>>,
    /// What the request thread has counted since the last check.
    load_counter: LoadCounter,
    ownership: OwnershipSettings,
    metrics: ControlMetrics,
    thread_metrics: ThreadMetrics,
    policy: PolicySettings,
    cold_settings: Option<ColdSettings>,
    evacuations_enabled: bool,
    max_key_age: Option<Duration>,
    /// Tokens of limited workspaces, while this VM holds the mandate.
    token_buckets: RefCell<TokenBuckets>,
    /// Evacuated availability zones, and when others returned.
    zones: RefCell<ZoneStates>,
    /// This VM in the announcements of VMs that take requests.
    own_report: VmReport,
    /// The last announcement of the VMs that take requests.
    fleet_announcement: Cell<Option<FleetAnnouncement>>,
    vm: String,
    /// How much longer than others this VM waits before it takes the mandate.
    takeover_delay: Duration,
    /// Whether this VM leaves the mandate to VMs that reach targets.
    reach_signal: ReachSignal,
}

impl<S: StorePort, O: OrderPort> ControlLoop<S, O> {
    fn new(context: ControlContext, store: S, orders: O) -> Rc<Self> {
        let health = Rc::new(StoreHealth::new(context.metrics.clone()));
        let cluster = Rc::new(ClusterState::new(context.incarnation, context.senders));
        let address = context.announced_address;
        let own_report = VmReport {
            vm: VmId::new(&context.vm, &context.zone),
            dispatch_address: context.dispatch_address,
        };
        let relay = UpdateRelay::new(RelayContext {
            zone: context.zone,
            address,
            cluster: Rc::clone(&cluster),
            health: Rc::clone(&health),
            load_counter: context.load_counter.clone(),
            quarantine: context.quarantine,
            own_report,
            thread_metrics: context.thread_metrics.clone(),
        });
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
            candidate_sources: RefCell::default(),
            arrivals: RefCell::default(),
            load_counter: context.load_counter,
            ownership: context.ownership,
            metrics: context.metrics,
            thread_metrics: context.thread_metrics,
            policy: context.policy,
            cold_settings: context.cold_settings,
            evacuations_enabled: context.evacuations_enabled,
            max_key_age: context.max_key_age,
            token_buckets: RefCell::default(),
            zones: RefCell::default(),
            own_report,
            fleet_announcement: Cell::new(None),
            vm: context.vm,
            takeover_delay,
            reach_signal: context.reach_signal,
        })
    }

    /// Starts to serve updates to other VMs, and to watch the store when no VM provides updates.
    fn start_updates(&self, peers: TcpListener) {
        // This fails only outside a runtime, and this function runs inside one.
        if let Ok(listener) = tokio::net::TcpListener::from_std(peers) {
            actix_rt::spawn(serve_updates(Rc::clone(&self.relay), listener));
        }
        actix_rt::spawn(Rc::clone(&self.relay).exchange_crash_reports());
        let follower = StoreWatcher {
            store: Rc::clone(&self.store),
            health: Rc::clone(&self.health),
            cluster_state: Rc::clone(&self.cluster),
            relay: Rc::clone(&self.relay),
            evacuations_enabled: self.evacuations_enabled,
            max_key_age: self.max_key_age,
        };
        follower.start();
    }
}

/// Starts the control thread.
///
/// `token_requests` come from the request thread, `peers` accepts other VMs' requests for updates,
/// `stopping` becomes true when the VM stops, and `ports` creates the store and order ports on the
/// thread itself.
///
/// # Errors
/// The error of the operating system if it can't create a thread.
pub(crate) fn start<S: StorePort, O: OrderPort>(
    context: ControlContext,
    token_requests: mpsc::Receiver<TokenRequest>,
    peers: TcpListener,
    stopping: watch::Receiver<bool>,
    ports: impl FnOnce() -> (S, O) + Send + 'static,
) -> std::io::Result<JoinHandle<()>> {
    std::thread::Builder::new().name("control".to_owned()).spawn(move || {
        if let Ok(runtime) = actix_rt::Runtime::new() {
            runtime.block_on(async move {
                let (store, orders) = ports();
                actix_rt::spawn(measure_turns(VmThread::Control, context.thread_metrics.clone()));
                let control = ControlLoop::new(context, store, orders);
                run(control, token_requests, peers, stopping).await;
            });
        }
    })
}

/// Runs the control loop until the VM stops, and then serves updates until the process ends.
async fn run<S: StorePort, O: OrderPort>(
    control: Rc<ControlLoop<S, O>>,
    token_requests: mpsc::Receiver<TokenRequest>,
    peers: TcpListener,
    mut stopping: watch::Receiver<bool>,
) {
    control.start_updates(peers);
    // Requests are served until the process ends, and so are their tokens.
    actix_rt::spawn(receive_requests(Rc::clone(&control), token_requests));
    actix_rt::spawn(run_quota_loop(Rc::clone(&control)));
    let mandate = actix_rt::spawn(run_mandate_loop(Rc::clone(&control)));
    let ranges = actix_rt::spawn(run_ranges_loop(Rc::clone(&control)));
    // An error means that the VM's handle is gone, and then this thread may end too.
    let _ = stopping.wait_for(|stopping| *stopping).await;
    mandate.abort();
    control.wait_to_release_mandate().await;
    ranges.abort();
    control.release_mandate().await;
    control.relay.watch_store();
    // The request thread needs updates until the process ends.
    std::future::pending::<()>().await;
}

/// A random id that distinguishes processes or controllers.
///
/// It is written to documents of the store, and JSON numbers are exact only below 2^53.
pub(crate) fn random_id() -> u64 {
    fastrand::u64(1..RANDOM_ID_END)
}

/// How much longer than others a VM waits before it takes the mandate.
///
/// The mandate holder serves all other VMs. A weak VM takes this role only if no other VM does.
fn takeover_delay(cpu_share: f64, link_mbps: Option<f64>) -> Duration {
    let weak =
        cpu_share < WEAK_VM_CPU_SHARE || link_mbps.is_some_and(|rate| rate < WEAK_VM_LINK_MBPS);
    if weak { WEAK_VM_TAKEOVER_DELAY } else { Duration::ZERO }
}
