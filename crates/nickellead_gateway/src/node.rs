//! Starting, reloading and stopping the gateway of one VM.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use nickellead_event::{EventName, log_event};
use nickellead_proxy::{ServeState, bind_listener};
use thiserror::Error;
use tokio::sync::{mpsc, watch};

use crate::control::{self, ControlContext};
use crate::drain::DrainState;
use crate::load_counter::LoadCounter;
use crate::metrics::{ControlMetrics, ThreadMetrics};
use crate::quarantine::SharedQuarantine;
use crate::quota::MAX_QUEUED_REQUESTS;
use crate::regions::RegionMap;
use crate::requests::{self, DispatchSettings, RequestContext};
use crate::state_channels::state_channels;
use crate::vm_reach::ReachSignal;
use crate::{GatewaySettings, HeaderNames, OrderPort, StorePort};

/// Fraction of the grace time during which a stopping VM still accepts connections.
///
/// The load balancer in front checks readiness once a second and removes a VM after two failures.
const LINGER_FRACTION: f64 = 0.5;
/// Fraction of the grace time during which a stopping VM serves connections that callers keep open.
const SERVE_FRACTION: f64 = 0.84;
/// Fraction of the grace time after which unfinished requests get an error response.
///
/// The remaining time is for sending these responses, also with little CPU and a saturated link.
const RESPONSE_FRACTION: f64 = 0.92;
/// Fraction of the grace time after which the process exits regardless of open requests.
const EXIT_FRACTION: f64 = 0.97;
/// Fraction of the drain time during which a leaving target still gets requests that no other
/// target can serve.
///
/// Its keys are with another owner after 0.2 s if the mandate holder receives the signal itself, after
/// 0.7 s if another VM reports it, and after 1.2 s if only a reply to an order carries it, in tests with
/// two VMs. The remaining time is for requests in flight.
const LEAVING_WINDOW_FRACTION: f64 = 0.5;
/// How long a caller may take nothing of its response before its connection is closed, where the
/// memory of a VM is bounded.
///
/// It is longer than a transmission over a link that was interrupted for a few seconds takes to
/// resume, because the intervals between retransmissions double.
const CALLER_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between two checks whether callers have closed their connections.
const CALLER_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between two checks whether a thread has ended.
const THREAD_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Why a gateway failed to start.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// Binding a listener failed.
    #[error("cannot listen on {field} {address}: {reason}")]
    Address {
        /// Name of the setting.
        field: &'static str,
        /// Its value.
        address: SocketAddr,
        /// The error of the operating system.
        reason: std::io::Error,
    },
    /// Spawning a thread failed.
    #[error("cannot spawn a thread: {0}")]
    Thread(#[from] std::io::Error),
}

/// Handle of a running gateway; dropping it does not stop the gateway.
pub struct GatewayHandle {
    settings: GatewaySettings,
    serve_state: Arc<ServeState>,
    drain: Arc<DrainState>,
    stopping: watch::Sender<bool>,
    request_thread: JoinHandle<()>,
    control_thread: JoinHandle<()>,
}

/// Starts the request thread and the control thread of one VM.
///
/// `ports` runs on the control thread and creates the clients of the store and of orders.
///
/// # Errors
/// [`GatewayError`] if a listener or thread can't be created; the gateway serves no callers then.
pub fn start_gateway<S, O>(
    settings: GatewaySettings,
    names: HeaderNames,
    ports: impl FnOnce() -> (S, O) + Send + 'static,
) -> Result<GatewayHandle, GatewayError>
where
    S: StorePort,
    O: OrderPort,
{
    let listeners = GatewayListeners::bind(&settings)?;
    let (senders, receivers) = state_channels();
    let load_counter = LoadCounter::default();
    let quarantine = SharedQuarantine::default();
    let serve_state = Arc::new(ServeState::with_stall_timeout(Some(CALLER_STALL_TIMEOUT)));
    let drain = Arc::new(DrainState::default());
    let (stopping, stopped) = watch::channel(false);
    let incarnation = control::random_id();
    let metrics = ControlMetrics::default();
    let thread_metrics = ThreadMetrics::default();
    let reach_signal = ReachSignal::default();
    let (requests_sender, token_requests) = mpsc::channel(MAX_QUEUED_REQUESTS);
    let announced = settings.announced_dispatch_address();
    let dispatch = listeners.dispatch.zip(announced).map(|(listener, announced)| {
        DispatchSettings { listener, announced, scope: settings.dispatch_scope }
    });
    let request_thread = requests::start(RequestContext {
        names,
        vm: settings.vm.clone(),
        zone: settings.zone.clone(),
        retry_limits: settings.retry_limits(),
        connections: settings.max_connections(),
        callers: listeners.callers,
        readiness: listeners.readiness,
        metrics: listeners.metrics,
        control_metrics: metrics.clone(),
        thread_metrics: thread_metrics.clone(),
        receivers,
        load_counter: load_counter.clone(),
        quarantine: quarantine.clone(),
        serve_state: Arc::clone(&serve_state),
        drain: Arc::clone(&drain),
        policy: settings.policy,
        cold: settings.cold,
        leaving_window: Duration::from_secs_f64(settings.drain_s * LEAVING_WINDOW_FRACTION),
        max_key_age: settings.max_key_age(),
        token_requests: requests_sender,
        quota_tolerance: settings.quota.into(),
        memory_bounds: settings.memory_bounds(),
        reach_signal: reach_signal.clone(),
        regions: RegionMap { own: settings.region.clone(), zones: settings.zone_regions.clone() },
        dispatch,
    })?;
    let context = ControlContext {
        vm: settings.vm.clone(),
        zone: settings.zone.clone(),
        announced_address: settings.announced_address(),
        dispatch_address: settings.announced_dispatch_address(),
        cpu_share: settings.cpu_share,
        link_mbps: settings.link_mbps,
        incarnation,
        ownership: settings.ownership,
        senders,
        load_counter,
        quarantine,
        metrics,
        thread_metrics,
        policy: settings.policy,
        cold_settings: settings.cold,
        evacuations_enabled: settings.evacuation_s.is_some(),
        max_key_age: settings.max_key_age(),
        reach_signal,
    };
    let control_thread = control::start(context, token_requests, listeners.peers, stopped, ports)?;
    let pairs: [(&str, &dyn std::fmt::Display); 3] =
        [("vm", &settings.vm), ("zone", &settings.zone), ("incarnation", &incarnation)];
    log_event(EventName::NodeStarted, &pairs);
    Ok(GatewayHandle { settings, serve_state, drain, stopping, request_thread, control_thread })
}

/// Listeners of one VM.
struct GatewayListeners {
    callers: TcpListener,
    readiness: TcpListener,
    peers: TcpListener,
    metrics: Option<TcpListener>,
    dispatch: Option<TcpListener>,
}

impl GatewayListeners {
    /// Binds all of them, or none.
    fn bind(settings: &GatewaySettings) -> Result<Self, GatewayError> {
        let metrics = |address| listen("metrics_address", address);
        let dispatch = |address| listen("dispatch_address", address);
        Ok(Self {
            callers: listen("callers_address", settings.callers_address)?,
            readiness: listen("readiness_address", settings.readiness_address)?,
            peers: listen("peers_address", settings.peers_address)?,
            metrics: settings.metrics_address.map(metrics).transpose()?,
            dispatch: settings.dispatch_address.map(dispatch).transpose()?,
        })
    }
}

fn listen(field: &'static str, address: SocketAddr) -> Result<TcpListener, GatewayError> {
    bind_listener(address).map_err(|reason| GatewayError::Address { field, address, reason })
}

impl GatewayHandle {
    /// Applies settings that were read again.
    ///
    /// The grace time takes effect at once. Addresses and names stay as they were at the start,
    /// because callers and the store identify the process by them.
    pub fn reload(&mut self, settings: GatewaySettings) {
        let same = self.settings == settings;
        let needs_restart = self.settings.callers_address != settings.callers_address
            || self.settings.readiness_address != settings.readiness_address
            || self.settings.peers_address != settings.peers_address
            || self.settings.peers_announced != settings.peers_announced
            || self.settings.dispatch_address != settings.dispatch_address
            || self.settings.dispatch_announced != settings.dispatch_announced
            || self.settings.metrics_address != settings.metrics_address
            || self.settings.store_address != settings.store_address
            || self.settings.vm != settings.vm
            || self.settings.zone != settings.zone;
        let pairs: [(&str, &dyn std::fmt::Display); 3] =
            [("vm", &self.settings.vm), ("same", &same), ("needs_restart", &needs_restart)];
        log_event(EventName::SettingsReloaded, &pairs);
        self.settings = settings;
    }

    /// Shuts down gracefully: reports not ready, releases the mandate and finishes open requests.
    ///
    /// Returns whether all requests finished within the grace time.
    pub fn stop(self) -> bool {
        let started = Instant::now();
        let grace_fraction =
            |fraction: f64| Duration::from_secs_f64(self.settings.grace_s * fraction);
        log_event(EventName::NodeStopping, &[("vm", &self.settings.vm)]);
        let end = started + grace_fraction(EXIT_FRACTION);
        self.drain.start(started + grace_fraction(RESPONSE_FRACTION));
        self.serve_state.drain();
        self.stopping.send_replace(true);
        std::thread::sleep(grace_fraction(LINGER_FRACTION));
        while self.serve_state.open_connections() > 0
            && started.elapsed() < grace_fraction(SERVE_FRACTION)
        {
            std::thread::sleep(CALLER_POLL_INTERVAL);
        }
        let (running, waiting) =
            (self.serve_state.running_requests(), self.serve_state.blocked_connections());
        self.serve_state.stop();
        let finished = join_until(self.request_thread, end);
        let pairs: [(&str, &dyn std::fmt::Display); 5] = [
            ("vm", &self.settings.vm),
            ("requests_running", &running),
            ("answers_waiting", &waiting),
            ("requests_cut", &self.serve_state.running_requests()),
            ("answers_cut", &self.serve_state.blocked_connections()),
        ];
        log_event(EventName::NodeDrained, &pairs);
        let mandate_settled = join_until(self.control_thread, end);
        let pairs: [(&str, &dyn std::fmt::Display); 3] = [
            ("vm", &self.settings.vm),
            ("requests_finished", &finished),
            ("mandate_settled", &mandate_settled),
        ];
        log_event(EventName::NodeStopped, &pairs);
        finished
    }
}

/// Waits for a thread until `end`; returns whether it ended in time and without a panic.
fn join_until(thread: JoinHandle<()>, end: Instant) -> bool {
    while !thread.is_finished() {
        if Instant::now() >= end {
            return false;
        }
        std::thread::sleep(THREAD_POLL_INTERVAL);
    }
    thread.join().is_ok()
}
