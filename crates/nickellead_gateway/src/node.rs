//! Building one gateway VM out of its duties, and stopping it.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use nickellead_event::{EventName, log_event};
use nickellead_proxy::{ServeState, bind_listener};
use thiserror::Error;
use tokio::sync::watch;

use crate::control::{self, ControlContext};
use crate::drain::DrainState;
use crate::load_counter::LoadCounter;
use crate::metrics::ControlMetrics;
use crate::requests::{self, RequestContext};
use crate::state_channels::state_channels;
use crate::{GatewaySettings, HeaderNames, OrderPort, StorePort};

/// Part of the grace time during which a stopping VM goes on taking connections in any case.
///
/// The entry asks for readiness once a second and believes the second miss.
const LINGER_PART: f64 = 0.5;
/// Part of the grace time during which it serves connections that callers keep open.
const SERVE_PART: f64 = 0.84;
/// Part of the grace time after which a request that has no answer is told so: the rest is for the
/// bytes of these answers to leave, also from a VM with a tenth of a core and a full link.
const ANSWER_PART: f64 = 0.92;
/// Part of the grace time after which the process ends in any case.
const END_PART: f64 = 0.97;
/// Part of the drain time for which a target that said that it leaves is sent requests that nobody else
/// can serve.
///
/// Its keys are with another owner after 0.2 s where the holder of the mandate is told itself, after 0.7 s
/// where another VM tells it, and after 1.2 s where only an answer to an order does, in tests with two
/// VMs. The rest of the time is for what is under way to the target.
const LEAVING_STAY_PART: f64 = 0.5;
/// Between two looks at whether callers have left.
const LOOK: Duration = Duration::from_millis(50);
/// Between two looks whether a thread has ended.
const THREAD_LOOK: Duration = Duration::from_millis(10);

/// Why a VM can't start.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// An address can't be listened on.
    #[error("{field} {address} can't be listened on: {reason}")]
    Address {
        /// The setting at fault.
        field: &'static str,
        /// The address.
        address: SocketAddr,
        /// The system's word.
        reason: std::io::Error,
    },
    /// The system refused a thread.
    #[error("a thread can't be started: {0}")]
    Thread(#[from] std::io::Error),
}

/// A running gateway VM.
pub struct GatewayHandle {
    settings: GatewaySettings,
    state: Arc<ServeState>,
    drain: Arc<DrainState>,
    stopping: watch::Sender<bool>,
    requests: JoinHandle<()>,
    control: JoinHandle<()>,
}

/// Starts both duties of one VM.
///
/// `ports` makes the store and the orders on the control duty's own thread.
///
/// # Errors
/// A [`GatewayError`]; nothing is left running that serves callers.
pub fn start_gateway<S, O>(
    settings: GatewaySettings,
    names: HeaderNames,
    ports: impl FnOnce() -> (S, O) + Send + 'static,
) -> Result<GatewayHandle, GatewayError>
where
    S: StorePort,
    O: OrderPort,
{
    let sockets = NodeSockets::bind(&settings)?;
    let (senders, receivers) = state_channels();
    let keys = LoadCounter::default();
    let state = Arc::new(ServeState::default());
    let drain = Arc::new(DrainState::default());
    let (stopping, stopped) = watch::channel(false);
    let incarnation = control::random_id();
    let metrics = ControlMetrics::default();
    let requests = requests::start(RequestContext {
        names,
        vm: settings.vm.clone(),
        zone: settings.zone.clone(),
        retry_burst: settings.retry_burst,
        connections: settings.connections,
        callers: sockets.callers,
        readiness: sockets.readiness,
        metrics: sockets.metrics,
        control_metrics: metrics.clone(),
        receivers: receivers,
        keys: keys.clone(),
        serve_state: Arc::clone(&state),
        drain: Arc::clone(&drain),
        policy: settings.policy,
        cold: settings.cold,
        leaving_window: Duration::from_secs_f64(settings.drain_s * LEAVING_STAY_PART),
    })?;
    let parts = ControlContext {
        vm: settings.vm.clone(),
        zone: settings.zone.clone(),
        announced_address: settings.announced_address(),
        cpu_share: settings.cpu_share,
        link_mbps: settings.link_mbps,
        incarnation,
        ownership: settings.ownership,
        senders,
        load_counter: keys,
        metrics,
        policy: settings.policy,
        cold_settings: settings.cold,
        follows_evacuations: settings.evacuation_s.is_some(),
    };
    let control = control::start(parts, sockets.peers, stopped, ports)?;
    let pairs: [(&str, &dyn std::fmt::Display); 3] =
        [("vm", &settings.vm), ("zone", &settings.zone), ("incarnation", &incarnation)];
    log_event(EventName::NodeStarted, &pairs);
    Ok(GatewayHandle { settings, state, drain, stopping, requests, control })
}

/// The sockets that one VM listens on.
struct NodeSockets {
    callers: TcpListener,
    readiness: TcpListener,
    peers: TcpListener,
    metrics: Option<TcpListener>,
}

impl NodeSockets {
    /// Binds all of them, or none.
    fn bind(settings: &GatewaySettings) -> Result<Self, GatewayError> {
        let metrics = |address| listen("metrics_address", address);
        Ok(Self {
            callers: listen("callers_address", settings.callers_address)?,
            readiness: listen("readiness_address", settings.readiness_address)?,
            peers: listen("peers_address", settings.peers_address)?,
            metrics: settings.metrics_address.map(metrics).transpose()?,
        })
    }
}

fn listen(field: &'static str, address: SocketAddr) -> Result<TcpListener, GatewayError> {
    bind_listener(address).map_err(|reason| GatewayError::Address { field, address, reason })
}

impl GatewayHandle {
    /// Takes over settings that were read again.
    ///
    /// The grace time counts at once; addresses and names stay as they were at
    /// the start, for callers and the store know the process by them.
    pub fn reload(&mut self, settings: GatewaySettings) {
        let same = self.settings == settings;
        let moved = self.settings.callers_address != settings.callers_address
            || self.settings.readiness_address != settings.readiness_address
            || self.settings.peers_address != settings.peers_address
            || self.settings.peers_announced != settings.peers_announced
            || self.settings.metrics_address != settings.metrics_address
            || self.settings.store_address != settings.store_address
            || self.settings.vm != settings.vm
            || self.settings.zone != settings.zone;
        let pairs: [(&str, &dyn std::fmt::Display); 3] =
            [("vm", &self.settings.vm), ("same", &same), ("needs_restart", &moved)];
        log_event(EventName::SettingsReloaded, &pairs);
        self.settings = settings;
    }

    /// Stops as planned: not ready, mandate given back, requests finished.
    ///
    /// Returns whether every request ended before the grace time did.
    pub fn stop(self) -> bool {
        let started = Instant::now();
        let part = |part: f64| Duration::from_secs_f64(self.settings.grace_s * part);
        log_event(EventName::NodeStopping, &[("vm", &self.settings.vm)]);
        let end = started + part(END_PART);
        self.drain.start(started + part(ANSWER_PART));
        self.state.drain();
        self.stopping.send_replace(true);
        std::thread::sleep(part(LINGER_PART));
        while self.state.open() > 0 && started.elapsed() < part(SERVE_PART) {
            std::thread::sleep(LOOK);
        }
        let (running, waiting) = (self.state.running(), self.state.waiting());
        self.state.stop();
        let finished = join_until(self.requests, end);
        let pairs: [(&str, &dyn std::fmt::Display); 5] = [
            ("vm", &self.settings.vm),
            ("requests_running", &running),
            ("answers_waiting", &waiting),
            ("requests_cut", &self.state.running()),
            ("answers_cut", &self.state.waiting()),
        ];
        log_event(EventName::NodeDrained, &pairs);
        let handed_over = join_until(self.control, end);
        let pairs: [(&str, &dyn std::fmt::Display); 3] = [
            ("vm", &self.settings.vm),
            ("requests_finished", &finished),
            ("mandate_settled", &handed_over),
        ];
        log_event(EventName::NodeStopped, &pairs);
        finished
    }
}

/// Waits for a thread until `end`; tells whether it ended without a panic.
fn join_until(thread: JoinHandle<()>, end: Instant) -> bool {
    while !thread.is_finished() {
        if Instant::now() >= end {
            return false;
        }
        std::thread::sleep(THREAD_LOOK);
    }
    thread.join().is_ok()
}
