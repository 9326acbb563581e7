//! Start and planned stop of one VM.

use std::net::TcpListener;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use nickellead_core::Incarnation;
use nickellead_lease::{CoordinatorSettings, LeaseCharts, VmIncarnation, ZoneEvent};
use nickellead_peer::PeerVm;
use nickellead_platform::CallCounter;
use nickellead_proxy::{ProxyMetrics, ServeState, bind_listener};
use nickellead_time::TimerService;
use prometheus_client::registry::Registry;
use thiserror::Error;

use crate::channel::{ChannelSender, channel, try_send};
use crate::coordination::{CoordinationChannels, CoordinationMessage};
use crate::operators::OperatorContext;
use crate::peers::PeerChannels;
use crate::platform::PlatformChannels;
use crate::readiness::Readiness;
use crate::requests::WorkerUpdates;
use crate::settings::NodeSettings;
use crate::{coordination, operators, orders, peers, platform, requests};
use nickellead_event::{EventName, log_event};

/// Interval of the ticks that drive the coordination.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of standbys that a mandate (leader lease) names.
const MAX_STANDBYS: usize = 2;
/// Maximum number of a service's shards in planned moves at a time.
const MAX_CONCURRENT_MOVES: usize = 64;
/// How long a caller may take nothing of its response.
const CALLER_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a VM can't start.
#[derive(Debug, Error)]
pub enum NodeError {
    /// A listener can't be bound to its address.
    #[error("can't listen on {address} ({field}): {reason}")]
    Address {
        /// Name of the setting that holds the address.
        field: &'static str,
        /// The address that can't be bound.
        address: std::net::SocketAddr,
        /// Error of the operating system.
        reason: std::io::Error,
    },
    /// A state chart embedded in this build is invalid.
    #[error("{0}")]
    Chart(#[from] nickellead_chart::ChartError),
    /// The operating system failed to start a thread.
    #[error("failed to start a thread: {0}")]
    Thread(#[from] std::io::Error),
}

/// Handle of a running VM, used to observe and stop it.
#[derive(Debug)]
pub struct NodeHandle {
    settings: NodeSettings,
    coordination: ChannelSender<CoordinationMessage>,
    readiness: Arc<Readiness>,
    callers_state: Arc<ServeState>,
    operators_state: Arc<ServeState>,
    call_counter: CallCounter,
    worker_threads: Vec<JoinHandle<()>>,
    coordination_thread: JoinHandle<()>,
    timer: TimerService,
}

/// Starts all threads of one VM.
///
/// # Errors
/// Returns a [`NodeError`]; no thread that serves callers is left running.
pub fn start_node(settings: NodeSettings) -> Result<NodeHandle, NodeError> {
    LeaseCharts::load()?;
    check_addresses(&settings)?;
    let peers_listener = listen("peers_address", settings.peers_address)?;
    let operators_listener = listen("operators_address", settings.operators_address)?;
    let incarnation = Incarnation(fastrand::u64(1..));
    let (to_coordination, coordination_receiver) = channel();
    let (to_platform, platform_receiver) = channel();
    let (to_peers, peers_receiver) = channel();
    let (to_orders, orders_receiver) = channel();
    let call_counter = CallCounter::default();
    let metrics = ProxyMetrics::default();
    let mut registry = Registry::with_prefix("nickellead");
    metrics.register(&mut registry);
    let serve_state = || Arc::new(ServeState::with_stall_timeout(Some(CALLER_STALL_TIMEOUT)));
    let (callers_state, operators_state) = (serve_state(), serve_state());
    let readiness = Arc::new(Readiness::with_workers(settings.workers));

    let mut worker_threads = Vec::new();
    let mut to_workers = Vec::new();
    for index in 0..settings.workers {
        let (to_worker, receiver) = channel();
        to_workers.push(to_worker);
        let updates = WorkerUpdates {
            receiver,
            readiness: Arc::clone(&readiness),
            index: usize::from(index),
        };
        worker_threads.push(requests::build(
            updates,
            listen("callers_address", settings.callers_address)?,
            settings.worker_limits(),
            incarnation.0.wrapping_add(u64::from(index)),
            metrics.clone(),
            Arc::clone(&callers_state),
        )?);
    }
    let channels = PeerChannels {
        coordination: to_coordination.clone(),
        orders: to_orders.clone(),
        workers: to_workers,
        readiness: Arc::clone(&readiness),
    };
    peers::build(
        own_vm(&settings, incarnation),
        peers_listener,
        known_vms(&settings),
        peers_receiver,
        channels,
    )?;
    let channels =
        PlatformChannels { coordination: to_coordination.clone(), peers: to_peers.clone() };
    let zone = settings.zone.clone();
    platform::build(
        settings.platform_address,
        zone,
        call_counter.clone(),
        platform_receiver,
        channels,
    )?;
    let timeout = settings.lease.to_timings().order_timeout;
    orders::build(orders_receiver, to_coordination.clone(), timeout)?;
    let peers = to_peers.clone();
    let channels =
        CoordinationChannels { platform: to_platform, peers: to_peers, orders: to_orders };
    let coordination_thread = coordination::build(
        coordinator_settings(&settings, incarnation),
        coordination_receiver,
        channels,
    )?;
    operators::build(OperatorContext {
        vm: settings.vm.clone(),
        zone: settings.zone.clone(),
        listener: operators_listener,
        platform: settings.platform_address,
        call_counter: call_counter.clone(),
        registry,
        coordination: to_coordination.clone(),
        peers,
        readiness: Arc::clone(&readiness),
        state: Arc::clone(&operators_state),
        memory: settings.memory_bounds(),
    })?;
    let timer = start_ticks(to_coordination.clone())?;
    log_event(EventName::NodeStarted, &[("vm", &settings.vm), ("zone", &settings.zone)]);
    Ok(NodeHandle {
        settings,
        coordination: to_coordination,
        readiness,
        callers_state,
        operators_state,
        call_counter,
        worker_threads,
        coordination_thread,
        timer,
    })
}

impl NodeHandle {
    /// Number of calls to the platform that this VM made.
    #[must_use]
    pub fn platform_calls(&self) -> u64 {
        self.call_counter.count()
    }

    /// Whether a balancer may send callers to this VM.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.readiness.is_ready()
    }

    /// Stops the VM: turns readiness off, hands the mandate over and finishes running requests.
    ///
    /// Returns whether all of this completed within `stop_limit_ms`.
    pub fn stop(self) -> bool {
        let timeout = Duration::from_millis(u64::from(self.settings.stop_limit_ms));
        let deadline = Instant::now() + timeout;
        log_event(EventName::NodeStopping, &[("vm", &self.settings.vm)]);
        self.readiness.set_stopping();
        try_send(&self.coordination, CoordinationMessage::Event(ZoneEvent::StopRequested));
        std::thread::sleep(Duration::from_millis(u64::from(self.settings.stop_linger_ms)));
        self.callers_state.stop();
        let workers_done =
            self.worker_threads.into_iter().all(|worker| join_before(worker, deadline));
        let handed_over = join_before(self.coordination_thread, deadline);
        self.operators_state.stop();
        self.timer.stop();
        let pairs: [(&str, &dyn std::fmt::Display); 3] = [
            ("vm", &self.settings.vm),
            ("requests_finished", &workers_done),
            ("mandate_settled", &handed_over),
        ];
        log_event(EventName::NodeStopped, &pairs);
        workers_done && handed_over
    }
}

fn join_before(thread: JoinHandle<()>, deadline: Instant) -> bool {
    const POLL: Duration = Duration::from_millis(5);
    while !thread.is_finished() {
        if Instant::now() >= deadline {
            return false;
        }
        std::thread::sleep(POLL);
    }
    thread.join().is_ok()
}

/// Fails if an address is already in use, before any thread starts.
fn check_addresses(settings: &NodeSettings) -> Result<(), NodeError> {
    let addresses = [
        ("callers_address", settings.callers_address),
        ("operators_address", settings.operators_address),
        ("peers_address", settings.peers_address),
    ];
    for (field, address) in addresses {
        TcpListener::bind(address).map_err(|reason| NodeError::Address {
            field,
            address,
            reason,
        })?;
    }
    Ok(())
}

fn listen(field: &'static str, address: std::net::SocketAddr) -> Result<TcpListener, NodeError> {
    bind_listener(address).map_err(|reason| NodeError::Address { field, address, reason })
}

fn own_vm(settings: &NodeSettings, incarnation: Incarnation) -> PeerVm {
    PeerVm {
        vm: settings.vm.clone(),
        zone: settings.zone.clone(),
        address: settings.peers_address,
        incarnation,
    }
}

fn known_vms(settings: &NodeSettings) -> Vec<PeerVm> {
    let to_peer_vm = |peer: &crate::settings::PeerSettings| PeerVm {
        vm: peer.vm.clone(),
        zone: peer.zone.clone(),
        address: peer.address,
        incarnation: Incarnation::ZERO,
    };
    settings.peers.iter().map(to_peer_vm).collect()
}

fn coordinator_settings(settings: &NodeSettings, incarnation: Incarnation) -> CoordinatorSettings {
    CoordinatorSettings {
        zone: settings.zone.clone(),
        vm: VmIncarnation { vm: settings.vm.clone(), incarnation },
        timings: settings.lease.to_timings(),
        max_standbys: MAX_STANDBYS,
        max_concurrent_moves: MAX_CONCURRENT_MOVES,
        seed: incarnation.0,
    }
}

/// Sends ticks to the coordination until its channel is closed.
fn start_ticks(coordination: ChannelSender<CoordinationMessage>) -> std::io::Result<TimerService> {
    let timer = TimerService::start()?;
    let sink = move |_| {
        try_send(&coordination, CoordinationMessage::Event(ZoneEvent::Tick));
        !coordination.is_closed()
    };
    timer.subscribe(TICK_INTERVAL, Box::new(sink));
    Ok(timer)
}
