//! The request duty: its thread, its listener for callers, and the readiness answers.

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Request, Response};
use nickellead_proxy::{ServeState, serve_http};
use prometheus_client::registry::Registry;

use crate::drain::DrainState;
use crate::load_counter::LoadCounter;
use crate::metrics::{ControlMetrics, GatewayMetrics};
use crate::state_channels::StateReceivers;
use crate::worker::{RequestWorker, WorkerContext};
use crate::{ColdSettings, HeaderNames, PolicySettings};

/// Most connections to the readiness and metrics address.
const READINESS_CONNECTIONS: usize = 64;
/// Between two looks whether the last requests have ended.
const END_LOOK: Duration = Duration::from_millis(10);
/// Connections that have answered close within this time, before the runtime ends.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// What the request duty is built from.
pub(crate) struct RequestContext {
    pub(crate) names: HeaderNames,
    pub(crate) vm: String,
    pub(crate) zone: String,
    pub(crate) retry_burst: f64,
    pub(crate) connections: usize,
    pub(crate) callers: TcpListener,
    pub(crate) readiness: TcpListener,
    pub(crate) metrics: Option<TcpListener>,
    pub(crate) control_metrics: ControlMetrics,
    pub(crate) receivers: StateReceivers,
    pub(crate) keys: LoadCounter,
    pub(crate) serve_state: Arc<ServeState>,
    pub(crate) drain: Arc<DrainState>,
    pub(crate) policy: PolicySettings,
    pub(crate) cold: Option<ColdSettings>,
    pub(crate) leaving_window: Duration,
}

/// Starts the thread.
///
/// # Errors
/// The system's error when it refuses a thread.
pub(crate) fn start(parts: RequestContext) -> std::io::Result<JoinHandle<()>> {
    std::thread::Builder::new().name("requests".to_owned()).spawn(move || {
        if let Ok(runtime) = actix_rt::Runtime::new() {
            runtime.block_on(run(parts));
        }
    })
}

async fn run(parts: RequestContext) {
    let mut registry = Registry::with_prefix("nickellead");
    let metrics = GatewayMetrics::register(&mut registry);
    parts.control_metrics.register(&mut registry);
    let registry = Rc::new(registry);
    let worker = RequestWorker::new(WorkerContext {
        header_names: parts.names,
        vm: parts.vm,
        zone: parts.zone,
        retry_burst: parts.retry_burst,
        load_counter: parts.keys,
        drain: Arc::clone(&parts.drain),
        metrics,
        policy: parts.policy,
        cold_settings: parts.cold,
        leaving_window: parts.leaving_window,
    });
    follow_beliefs(&worker, &parts.receivers);
    for listener in std::iter::once(parts.readiness).chain(parts.metrics) {
        serve_readiness(listener, &worker, &registry, parts.receivers.clone(), &parts.drain);
    }
    let state = Arc::clone(&parts.serve_state);
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
    serve_http(parts.callers, parts.connections, Arc::clone(&parts.serve_state), handler).await;
    wait_for_answers(&parts.serve_state).await;
    tokio::time::sleep(FLUSH_TIME).await;
    // Requests that came meanwhile were refused; their refusals may wait for room as well.
    wait_for_answers(&parts.serve_state).await;
}

/// Waits until every request has its answer, and all bytes of answers are the system's.
///
/// The process ends without it at the end of the grace time.
async fn wait_for_answers(state: &ServeState) {
    while state.running() + state.waiting() > 0 {
        tokio::time::sleep(END_LOOK).await;
    }
}

/// Answers questions for readiness and metrics for as long as the runtime lives.
fn serve_readiness(
    listener: TcpListener,
    worker: &Rc<RequestWorker>,
    registry: &Rc<Registry>,
    beliefs: StateReceivers,
    drain: &Arc<DrainState>,
) {
    let (worker, registry, drain) = (Rc::clone(worker), Rc::clone(registry), Arc::clone(drain));
    let handler = move |request: Request| {
        let known = beliefs.declarations.borrow().is_some() && !beliefs.targets.borrow().is_empty();
        let ready = known && !drain.is_draining();
        let response = answer_readiness(&request, ready, &registry, &worker);
        async move { response }
    };
    let state = Arc::new(ServeState::default());
    actix_rt::spawn(serve_http(listener, READINESS_CONNECTIONS, state, handler));
}

/// Hands each new belief to the worker as it comes.
fn follow_beliefs(worker: &Rc<RequestWorker>, beliefs: &StateReceivers) {
    let (updated, mut declarations) = (Rc::clone(worker), beliefs.declarations.clone());
    actix_rt::spawn(async move {
        while declarations.changed().await.is_ok() {
            let newest = declarations.borrow_and_update().clone();
            if let Some(newest) = newest {
                updated.set_declarations(&newest);
            }
        }
    });
    let (updated, mut targets) = (Rc::clone(worker), beliefs.targets.clone());
    actix_rt::spawn(async move {
        while targets.changed().await.is_ok() {
            let newest = Arc::clone(&targets.borrow_and_update());
            updated.set_targets(newest);
        }
    });
    let (updated, mut evacuations) = (Rc::clone(worker), beliefs.evacuations.clone());
    actix_rt::spawn(async move {
        while evacuations.changed().await.is_ok() {
            let newest = Arc::clone(&evacuations.borrow_and_update());
            updated.set_evacuations(&newest);
        }
    });
    let (updated, mut fleet) = (Rc::clone(worker), beliefs.fleet.clone());
    actix_rt::spawn(async move {
        while fleet.changed().await.is_ok() {
            let newest = Arc::clone(&fleet.borrow_and_update());
            updated.set_fleet(newest);
        }
    });
    let warmed = Rc::clone(worker);
    actix_rt::spawn(async move { warmed.rebuild_when_targets_warm().await });
    let (updated, mut ranges) = (Rc::clone(worker), beliefs.ranges.clone());
    actix_rt::spawn(async move {
        while ranges.changed().await.is_ok() {
            let newest = Arc::clone(&ranges.borrow_and_update());
            updated.set_ranges(newest);
        }
    });
    let (updated, mut admissions) = (Rc::clone(worker), beliefs.admissions.clone());
    actix_rt::spawn(async move {
        while admissions.changed().await.is_ok() {
            let newest = Arc::clone(&admissions.borrow_and_update());
            updated.set_admissions(newest);
        }
    });
}

fn answer_readiness(
    request: &Request,
    ready: bool,
    registry: &Registry,
    worker: &RequestWorker,
) -> Response<BoxBody> {
    if request.path() == "/metrics" {
        worker.refresh_gauges();
        let mut text = String::new();
        if prometheus_client::encoding::text::encode(&mut text, registry).is_err() {
            return Response::internal_server_error().map_into_boxed_body();
        }
        return Response::build(actix_http::StatusCode::OK).body(text).map_into_boxed_body();
    }
    let status = match ready {
        true => actix_http::StatusCode::OK,
        false => actix_http::StatusCode::SERVICE_UNAVAILABLE,
    };
    Response::build(status)
        .body(if ready { "ready\n" } else { "not ready\n" })
        .map_into_boxed_body()
}
