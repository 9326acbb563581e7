//! The request thread: serves callers, readiness checks and metrics.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Request, Response, StatusCode};
use nickellead_balance::ZoneReachability;
use nickellead_core::ErrorKind;
use nickellead_limit::{ByteBudget, MemoryBounds, QuotaTolerance, RetryLimits};
use nickellead_proxy::{ServeBounds, ServeState, error_response, hold_until_sent, serve_http};
use prometheus_client::registry::Registry;
use tokio::sync::{mpsc, watch};

use crate::dispatch::{
    AssistClient, DispatchClient, DispatchServer, ServerContext, ZoneReports, serve_dispatch,
};
use crate::drain::DrainState;
use crate::load_counter::{LoadCounter, VmId};
use crate::metrics::{ControlMetrics, GatewayMetrics, ThreadMetrics, ThreadStep, VmThread};
use crate::quarantine::SharedQuarantine;
use crate::quota::{QuotaClient, TokenRequest};
use crate::regions::RegionMap;
use crate::state_channels::StateReceivers;
use crate::thread_turns::{measure_turns, run_step};
use crate::vm_reach::ReachSignal;
use crate::worker::{RequestWorker, WorkerContext, WorkerDispatch};
use crate::{ColdSettings, DispatchScope, HeaderNames, PolicySettings};

/// Most connections to the readiness and metrics address.
const READINESS_CONNECTIONS: usize = 64;
/// HTTP/2 streams that one of them may have open.
const READINESS_STREAMS: u32 = 4;
/// How long a caller of them may take nothing of a response.
const READINESS_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Interval between two checks whether the last requests have finished.
const FINISH_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time for finished connections to close before the runtime ends.
const FLUSH_DELAY: Duration = Duration::from_millis(50);

/// How the request thread takes part in dispatch.
pub(crate) struct DispatchSettings {
    pub(crate) listener: TcpListener,
    /// Address at which other VMs reach the listener.
    pub(crate) announced: SocketAddr,
    pub(crate) scope: DispatchScope,
}

/// Dependencies and settings of the request thread.
pub(crate) struct RequestContext {
    pub(crate) names: HeaderNames,
    pub(crate) vm: String,
    pub(crate) zone: String,
    pub(crate) retry_limits: RetryLimits,
    pub(crate) connections: usize,
    pub(crate) callers: TcpListener,
    pub(crate) readiness: TcpListener,
    pub(crate) metrics: Option<TcpListener>,
    pub(crate) control_metrics: ControlMetrics,
    pub(crate) thread_metrics: ThreadMetrics,
    pub(crate) receivers: StateReceivers,
    pub(crate) load_counter: LoadCounter,
    pub(crate) quarantine: SharedQuarantine,
    pub(crate) serve_state: Arc<ServeState>,
    pub(crate) drain: Arc<DrainState>,
    pub(crate) policy: PolicySettings,
    pub(crate) cold: Option<ColdSettings>,
    pub(crate) leaving_window: Duration,
    pub(crate) max_key_age: Option<Duration>,
    pub(crate) regions: RegionMap,
    pub(crate) token_requests: mpsc::Sender<TokenRequest>,
    pub(crate) quota_tolerance: QuotaTolerance,
    /// `None` if the VM does not take part in dispatch.
    pub(crate) dispatch: Option<DispatchSettings>,
    pub(crate) memory_bounds: MemoryBounds,
    pub(crate) reach_signal: ReachSignal,
}

/// Starts the request thread.
///
/// # Errors
/// The operating system's error if the thread can't be spawned.
pub(crate) fn start(context: RequestContext) -> std::io::Result<JoinHandle<()>> {
    std::thread::Builder::new().name("requests".to_owned()).spawn(move || {
        if let Ok(runtime) = actix_rt::Runtime::new() {
            runtime.block_on(run(context));
        }
    })
}

async fn run(context: RequestContext) {
    let mut registry = Registry::with_prefix("nickellead");
    let metrics = GatewayMetrics::register(&mut registry);
    context.control_metrics.register(&mut registry);
    context.thread_metrics.register(&mut registry);
    actix_rt::spawn(measure_turns(VmThread::Requests, context.thread_metrics.clone()));
    let registry = Rc::new(registry);
    let reachability = Rc::new(ZoneReachability::default());
    let zone_reports = ZoneReports::new(&context.vm, &context.zone, Rc::clone(&reachability));
    let zone_reports = Rc::new(zone_reports);
    let memory = ByteBudget::with_bounds(context.memory_bounds);
    let server = ServerContext {
        names: context.names,
        leaving_window: context.leaving_window,
        drain: Arc::clone(&context.drain),
        metrics: metrics.clone(),
        zone_reports: Rc::clone(&zone_reports),
        memory: memory.clone(),
    };
    let own_id = VmId::new(&context.vm, &context.zone);
    let dispatch = context.dispatch.and_then(|settings| start_dispatch(settings, own_id, server));
    let quarantine = context.quarantine;
    let worker = RequestWorker::new(WorkerContext {
        header_names: context.names,
        vm: context.vm,
        zone: context.zone,
        retry_limits: context.retry_limits,
        load_counter: context.load_counter,
        quarantine: quarantine.clone(),
        drain: Arc::clone(&context.drain),
        metrics,
        policy: context.policy,
        cold_settings: context.cold,
        leaving_window: context.leaving_window,
        max_key_age: context.max_key_age,
        regions: context.regions,
        quotas: QuotaClient::new(context.token_requests, context.quota_tolerance),
        dispatch,
        reachability,
        zone_reports,
        memory: memory.clone(),
        serve_state: Arc::clone(&context.serve_state),
        reach_signal: context.reach_signal,
    });
    worker.accept_assisted();
    actix_rt::spawn(quarantine.release_reports());
    forward_state(&worker, &context.receivers, &context.thread_metrics);
    for listener in std::iter::once(context.readiness).chain(context.metrics) {
        let bounds = readiness_bounds(&memory);
        let receivers = context.receivers.clone();
        serve_readiness(listener, bounds, &worker, &registry, receivers, &context.drain);
    }
    let state = Arc::clone(&context.serve_state);
    let handler = move |request| {
        let worker = Rc::clone(&worker);
        let stopping = state.is_stopping();
        async move {
            match stopping {
                true => worker.refuse_stopping(&request),
                false => worker.handle(request).await,
            }
        }
    };
    let bounds = ServeBounds::new(context.connections, memory);
    serve_http(context.callers, bounds, Arc::clone(&context.serve_state), handler).await;
    wait_for_responses(&context.serve_state).await;
    tokio::time::sleep(FLUSH_DELAY).await;
    // Requests that arrived meanwhile were refused; their responses may still be buffered.
    wait_for_responses(&context.serve_state).await;
}

/// Starts this VM's dispatcher; `None` if its listener can't be used.
fn start_dispatch(
    settings: DispatchSettings,
    vm: VmId,
    context: ServerContext,
) -> Option<WorkerDispatch> {
    let listener = tokio::net::TcpListener::from_std(settings.listener).ok()?;
    let metrics = context.metrics.repeats.clone();
    let server = DispatchServer::new(context);
    actix_rt::spawn(serve_dispatch(listener, Rc::clone(&server)));
    actix_rt::spawn(Rc::clone(&server).run_timer());
    let client = DispatchClient::new(server, settings.announced, metrics);
    Some(WorkerDispatch { client, assist: AssistClient::new(vm), scope: settings.scope })
}

/// Waits until every request has a response and the operating system has taken all response bytes.
///
/// There is no timeout: the process exits at the end of the grace time anyway.
async fn wait_for_responses(state: &ServeState) {
    while state.running_requests() + state.blocked_connections() > 0 {
        tokio::time::sleep(FINISH_POLL_INTERVAL).await;
    }
}

/// Bounds of the ports for readiness checks and metrics.
fn readiness_bounds(memory: &ByteBudget) -> ServeBounds {
    ServeBounds {
        connections: READINESS_CONNECTIONS,
        streams: READINESS_STREAMS,
        memory: memory.clone(),
    }
}

/// Serves readiness checks and metrics for as long as the runtime lives.
fn serve_readiness(
    listener: TcpListener,
    bounds: ServeBounds,
    worker: &Rc<RequestWorker>,
    registry: &Rc<Registry>,
    receivers: StateReceivers,
    drain: &Arc<DrainState>,
) {
    let (worker, registry, drain) = (Rc::clone(worker), Rc::clone(registry), Arc::clone(drain));
    let memory = bounds.memory.clone();
    let handler = move |request: Request| {
        let has_state =
            receivers.declarations.borrow().is_some() && !receivers.targets.borrow().is_empty();
        let may_serve =
            worker.can_check_keys() && !worker.is_isolated() && worker.takes_connections();
        let ready = has_state && !drain.is_draining() && may_serve;
        let response = match request.path() == METRICS_PATH {
            true => metrics_response(&registry, &worker, &memory),
            false => readiness_response(ready),
        };
        async move { response }
    };
    let state = Arc::new(ServeState::with_stall_timeout(Some(READINESS_STALL_TIMEOUT)));
    actix_rt::spawn(serve_http(listener, bounds, state, handler));
}

/// Forwards each state change to the worker, and starts the worker's own tasks.
fn forward_state(worker: &Rc<RequestWorker>, receivers: &StateReceivers, metrics: &ThreadMetrics) {
    let forward = StateForwarder { worker: Rc::clone(worker), metrics: metrics.clone() };
    let receivers = receivers.clone();
    forward.start(ThreadStep::Declarations, receivers.declarations, |worker, newest| {
        newest.into_iter().for_each(|newest| worker.set_declarations(&newest));
    });
    forward.start(ThreadStep::Targets, receivers.targets, RequestWorker::set_targets);
    forward.start(ThreadStep::Evacuations, receivers.evacuations, |worker, newest| {
        worker.set_evacuations(&newest);
    });
    forward.start(ThreadStep::Fleet, receivers.fleet, RequestWorker::set_fleet);
    forward.start(ThreadStep::Ranges, receivers.ranges, RequestWorker::set_ranges);
    forward.start(ThreadStep::Admissions, receivers.admissions, RequestWorker::set_admissions);
    let (updated, mut confirmation) = (Rc::clone(worker), receivers.confirmation);
    actix_rt::spawn(async move {
        while confirmation.changed().await.is_ok() {
            let newest = *confirmation.borrow_and_update();
            if let Some(newest) = newest {
                updated.confirm_declarations(newest);
            }
        }
    });
    let updated = Rc::clone(worker);
    actix_rt::spawn(async move { updated.update_when_targets_warm().await });
    actix_rt::spawn(Rc::clone(worker).run_reach_checks());
    actix_rt::spawn(Rc::clone(worker).run_fall_checks());
    let updated = Rc::clone(worker);
    actix_rt::spawn(async move { updated.apply_zone_reports().await });
    let updated = Rc::clone(worker);
    actix_rt::spawn(async move { updated.tell_zone_reports().await });
}

/// Applies parts of the cluster state to the worker as they change.
struct StateForwarder {
    worker: Rc<RequestWorker>,
    metrics: ThreadMetrics,
}

impl StateForwarder {
    /// Applies one part for as long as the runtime runs.
    fn start<T: Clone + 'static>(
        &self,
        step: ThreadStep,
        mut receiver: watch::Receiver<T>,
        apply: impl Fn(&RequestWorker, T) + 'static,
    ) {
        let (worker, metrics) = (Rc::clone(&self.worker), self.metrics.clone());
        actix_rt::spawn(async move {
            while receiver.changed().await.is_ok() {
                let newest = receiver.borrow_and_update().clone();
                run_step(step, &metrics, || apply(&worker, newest));
            }
        });
    }
}

/// The text of all metrics, whose bytes are held until they are sent.
fn metrics_response(
    registry: &Registry,
    worker: &RequestWorker,
    memory: &ByteBudget,
) -> Response<BoxBody> {
    worker.refresh_gauges();
    let mut text = String::new();
    if prometheus_client::encoding::text::encode(&mut text, registry).is_err() {
        return Response::internal_server_error().map_into_boxed_body();
    }
    let Ok(held) = memory.admit(text.len()) else {
        return error_response(ErrorKind::MemoryFull);
    };
    let mut response = Response::build(StatusCode::OK).body(text).map_into_boxed_body();
    hold_until_sent(&mut response, held);
    response
}

fn readiness_response(ready: bool) -> Response<BoxBody> {
    let (status, text) = match ready {
        true => (StatusCode::OK, "ready\n"),
        false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    };
    Response::build(status).body(text).map_into_boxed_body()
}
