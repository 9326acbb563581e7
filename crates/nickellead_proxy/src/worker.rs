//! Worker that routes the requests of one thread and retries failed attempts.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::body::{BodySize, BodyStream, BoxBody, SizedStream};
use actix_http::{ConnectionType, HttpMessage, Request, RequestHead, Response};
use awc::{Client, ClientResponse};
use nickellead_api::{DeclaredConfig, RepeatRule};
use nickellead_core::{Epoch, ErrorKind, OutcomeClass, ShardIndex, TargetKey};
use nickellead_lease::RouteChange;
use nickellead_limit::{ByteBudget, MemoryBounds};
use nickellead_route::{
    ConcurrencyLimiter, ConcurrencyPermit, OwnerRoute, RetryBudget, RoutingTable, TargetRoute,
    backoff,
};
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::deadline::Deadline;
use crate::error_response::error_response;
use crate::exchange::{ExchangePlan, exchange};
use crate::headers::{is_forwarded, parse_number};
use crate::incoming::IncomingRequest;
use crate::metrics::ProxyMetrics;
use crate::request_body::{RequestBody, read_body};
use crate::response_body::ResponseBody;
use crate::serve::ServeBounds;
use crate::transport::observed_connector;

/// Memory that a request takes while it is in progress, without its body: its state and its head.
const REQUEST_BYTES: usize = 16 * 1024;

/// Update that a worker receives through its ring.
#[derive(Clone, Debug)]
pub enum WorkerUpdate {
    /// New declarations, which replace the previous ones.
    Config(Arc<DeclaredConfig>),
    /// Changed owners of shards.
    Routes(Arc<[RouteChange]>),
}

/// Limits of one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProxyLimits {
    /// Number of workers that share the connections of each target, over all VMs.
    pub workers_per_target: u32,
    /// Maximum number of requests that wait for a permit of one target.
    pub queue_per_target: u32,
    /// Maximum number of requests that wait for moves of shards, over all shards.
    pub move_waiters: u32,
    /// Maximum time that a request waits for a move.
    pub move_timeout: Duration,
    /// Maximum number of connections from callers.
    pub connections: usize,
    /// Most bytes that the worker holds for callers.
    pub memory: MemoryBounds,
}

impl Default for ProxyLimits {
    fn default() -> Self {
        Self {
            workers_per_target: 9,
            queue_per_target: 64,
            move_waiters: 1_024,
            move_timeout: Duration::from_millis(1_000),
            connections: 4_096,
            memory: MemoryBounds::NONE,
        }
    }
}

/// Request path of one thread.
pub struct ProxyWorker {
    limits: ProxyLimits,
    table: RefCell<RoutingTable>,
    /// Whether declarations have been received.
    configured: Cell<bool>,
    changed: Notify,
    limiters: RefCell<HashMap<TargetKey, ConcurrencyLimiter>>,
    budget: RefCell<RetryBudget>,
    rng: RefCell<fastrand::Rng>,
    move_waiters: Cell<u32>,
    next_id: Cell<u64>,
    memory: ByteBudget,
    client: Client,
    metrics: ProxyMetrics,
}

/// State of a request that its attempts share.
struct RequestState<'a> {
    incoming: IncomingRequest,
    head: &'a RequestHead,
    body: RequestBody,
    deadline: Deadline,
    /// Deadline of waiting for a move.
    move_deadline: Deadline,
}

/// Head of a target's response, with the permit that is held until the end of the body.
struct TargetResponse {
    response: ClientResponse,
    permit: ConcurrencyPermit,
    deadline: Deadline,
}

/// Owner of a request's key, to which the next attempt is sent.
#[derive(Clone)]
struct OwnerChoice {
    shard: ShardIndex,
    epoch: Epoch,
    target: Rc<TargetRoute>,
}

impl ProxyWorker {
    /// Creates a worker without declarations.
    #[must_use]
    pub fn new(limits: ProxyLimits, seed: u64, metrics: ProxyMetrics) -> Rc<Self> {
        let connector = awc::Connector::new().connector(observed_connector());
        let connector = connector.limit(0).timeout(Duration::from_millis(500));
        let client =
            Client::builder().connector(connector).disable_redirects().no_default_headers();
        Rc::new(Self {
            limits,
            table: RefCell::default(),
            configured: Cell::new(false),
            changed: Notify::new(),
            limiters: RefCell::default(),
            budget: RefCell::default(),
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
            move_waiters: Cell::new(0),
            next_id: Cell::new(seed << 20),
            memory: ByteBudget::with_bounds(limits.memory),
            client: client.finish(),
            metrics,
        })
    }

    /// Applies an update and wakes the requests that wait for one.
    pub fn update(&self, update: &WorkerUpdate) {
        let mut table = self.table.borrow_mut();
        match update {
            WorkerUpdate::Config(config) => {
                table.apply_config(config);
                self.configured.set(true);
            }
            WorkerUpdate::Routes(changes) => {
                changes.iter().for_each(|change| table.apply_change(*change));
            }
        }
        self.changed.notify_waiters();
    }

    /// Handles one request of a caller.
    pub async fn handle(&self, request: Request) -> Response<BoxBody> {
        self.metrics.requests.inc();
        let _in_flight = InFlightGuard::new(&self.metrics);
        let served = match self.memory.admit(REQUEST_BYTES) {
            Ok(_held) => Box::pin(self.serve(request)).await,
            Err(_) => Err(ErrorKind::MemoryFull),
        };
        match served {
            Ok(response) => {
                self.metrics.forwarded.inc();
                forward(response)
            }
            Err(kind) => {
                self.metrics.count_error(kind);
                refuse(kind)
            }
        }
    }

    /// Bounds on the connections of callers, which count in the worker's memory.
    #[must_use]
    pub fn serve_bounds(&self) -> ServeBounds {
        ServeBounds::new(self.limits.connections, self.memory.clone())
    }

    async fn serve(&self, mut request: Request) -> Result<TargetResponse, ErrorKind> {
        if !self.configured.get() {
            return Err(ErrorKind::NotConfigured);
        }
        let incoming = IncomingRequest::read(&request, &self.table.borrow())?;
        let deadline = Deadline::of(&request, incoming.deadline);
        let length = request.headers().get("content-length").and_then(parse_number);
        let length = length.and_then(|length| usize::try_from(length).ok());
        if length.is_some_and(|length| length > incoming.body_limit) {
            return Err(ErrorKind::BodyTooLarge);
        }
        let held = self.memory.admit_body(length.unwrap_or(0));
        let mut held = held.map_err(|_| ErrorKind::MemoryFull)?;
        let reading = read_body(request.take_payload(), length, incoming.body_limit, &mut held);
        let reading = timeout(deadline.remaining(), reading);
        let body = reading.await.unwrap_or(Err(ErrorKind::BodyLate))?;
        let move_deadline = deadline.or_after(self.limits.move_timeout);
        let state = RequestState { incoming, head: request.head(), body, deadline, move_deadline };
        self.budget.borrow_mut().record_request();
        self.send_until_done(&state).await
    }

    /// Sends a request until an owner responds or no further attempt is allowed.
    ///
    /// The outcome of an error is "not run" only if no attempt may have run.
    async fn send_until_done(&self, state: &RequestState<'_>) -> Result<TargetResponse, ErrorKind> {
        let mut may_have_run = false;
        let sent = self.send_attempts(state, &mut may_have_run).await;
        sent.map_err(|kind| match kind.response().outcome {
            OutcomeClass::NotRun if may_have_run => ErrorKind::AnswerLost,
            OutcomeClass::NotRun | OutcomeClass::Unknown => kind,
        })
    }

    /// Makes attempts until one succeeds; sets `may_have_run` once the outcome of one is unknown.
    ///
    /// # Errors
    /// Why no further one is made.
    async fn send_attempts(
        &self,
        state: &RequestState<'_>,
        may_have_run: &mut bool,
    ) -> Result<TargetResponse, ErrorKind> {
        let mut attempt = 0;
        loop {
            let choice = self.wait_for_owner(state).await?;
            let kind = match self.send_once(state, &choice).await {
                Ok(response) => return Ok(response),
                Err(kind) => kind,
            };
            *may_have_run |= kind.response().outcome == OutcomeClass::Unknown;
            attempt += 1;
            if !self.may_retry(state, kind, attempt) {
                return Err(kind);
            }
            self.metrics.retries.inc();
            self.wait_before_retry(state, attempt).await;
        }
    }

    async fn send_once(
        &self,
        state: &RequestState<'_>,
        choice: &OwnerChoice,
    ) -> Result<TargetResponse, ErrorKind> {
        let limiter = self.limiter(&choice.target);
        let permit = match limiter.try_acquire() {
            Some(permit) => permit,
            None => self.wait_for_permit(state, choice, &limiter).await?,
        };
        let plan = ExchangePlan {
            target: &choice.target,
            shard: choice.shard,
            epoch: choice.epoch,
            request_id: self.next_request_id(),
            deadline: state.deadline,
        };
        let response = exchange(&self.client, state.head, state.body.clone(), plan).await?;
        Ok(TargetResponse { response, permit, deadline: state.deadline })
    }

    async fn wait_for_permit(
        &self,
        state: &RequestState<'_>,
        choice: &OwnerChoice,
        limiter: &ConcurrencyLimiter,
    ) -> Result<ConcurrencyPermit, ErrorKind> {
        let acquired =
            timeout(state.deadline.remaining(), limiter.acquire(state.incoming.urgency)).await;
        let permit = acquired.unwrap_or(Err(ErrorKind::DeadlineTooShort))?;
        // The owner may have changed while the request waited for the permit.
        match self.current_owner(&state.incoming)? {
            Some(owner) if owner.epoch == choice.epoch => Ok(permit),
            _ => Err(ErrorKind::TargetRefused),
        }
    }

    /// Returns whether a request may be sent again after this error.
    fn may_retry(&self, state: &RequestState<'_>, kind: ErrorKind, attempt: u32) -> bool {
        const MAX_ATTEMPTS: u32 = 8;
        if attempt >= MAX_ATTEMPTS || state.deadline.has_passed() {
            return false;
        }
        match (kind.response().outcome, kind) {
            // Ownership changed, and the attempt does not load the new owner.
            (_, ErrorKind::TargetRefused) => !state.move_deadline.has_passed(),
            (OutcomeClass::NotRun, ErrorKind::TargetBusy | ErrorKind::TargetUnreachable) => {
                attempt < 3 && self.budget.borrow_mut().try_take()
            }
            (OutcomeClass::NotRun, _) => false,
            (OutcomeClass::Unknown, _) => {
                let repeatable = state.incoming.repeat == RepeatRule::Repeatable;
                repeatable && attempt < 3 && self.budget.borrow_mut().try_take()
            }
        }
    }

    /// Waits for the backoff or until the routes change.
    async fn wait_before_retry(&self, state: &RequestState<'_>, attempt: u32) {
        let delay = backoff(attempt, &mut self.rng.borrow_mut()).min(state.deadline.remaining());
        // A timeout is the normal end of the backoff.
        let _ = timeout(delay, self.changed.notified()).await;
    }

    async fn wait_for_owner(&self, state: &RequestState<'_>) -> Result<OwnerChoice, ErrorKind> {
        if let Some(choice) = self.current_owner(&state.incoming)? {
            return Ok(choice);
        }
        if self.move_waiters.get() >= self.limits.move_waiters {
            return Err(ErrorKind::QueueFull);
        }
        self.metrics.owner_waits.inc();
        let _waiter = MoveWaitGuard::new(&self.move_waiters);
        let waiting = self.wait_for_change(&state.incoming);
        let waited = timeout(state.move_deadline.remaining(), waiting).await;
        waited.unwrap_or(Err(ErrorKind::MoveTooLong))
    }

    async fn wait_for_change(&self, incoming: &IncomingRequest) -> Result<OwnerChoice, ErrorKind> {
        loop {
            let changed = self.changed.notified();
            if let Some(choice) = self.current_owner(incoming)? {
                return Ok(choice);
            }
            changed.await;
        }
    }

    /// Returns the owner, or `None` while the shard moves.
    fn current_owner(&self, incoming: &IncomingRequest) -> Result<Option<OwnerChoice>, ErrorKind> {
        let table = self.table.borrow();
        let decision = incoming.decide(&table)?;
        match decision.owner {
            OwnerRoute::Unowned => Err(ErrorKind::OwnerUnknown),
            OwnerRoute::Moving => Ok(None),
            OwnerRoute::Target { index, epoch } => {
                let target = table.target(index).ok_or(ErrorKind::Internal)?.clone();
                Ok(Some(OwnerChoice { shard: decision.shard, epoch, target }))
            }
        }
    }

    fn limiter(&self, target: &TargetRoute) -> ConcurrencyLimiter {
        let quota = u32::from(target.connections).div_ceil(self.limits.workers_per_target.max(1));
        let mut limiters = self.limiters.borrow_mut();
        let entry = limiters.entry(target.key);
        entry
            .or_insert_with(|| ConcurrencyLimiter::new(quota, self.limits.queue_per_target))
            .clone()
    }

    fn next_request_id(&self) -> u64 {
        let id = self.next_id.get();
        self.next_id.set(id.wrapping_add(1));
        id
    }
}

/// Refuses a request. Closes the connection where the rest of its body need not be read.
fn refuse(kind: ErrorKind) -> Response<BoxBody> {
    let mut response = error_response(kind);
    let is_unread = matches!(
        kind,
        ErrorKind::BodyTooLarge
            | ErrorKind::BodyTruncated
            | ErrorKind::BodyLate
            | ErrorKind::MemoryFull
    );
    if is_unread {
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    response
}

/// Forwards a target's response and streams its body; a truncated body stays truncated.
fn forward(target_response: TargetResponse) -> Response<BoxBody> {
    let TargetResponse { response, permit, deadline } = target_response;
    let mut builder = Response::build(response.status());
    for (name, value) in response.headers().iter().filter(|(name, _)| is_forwarded(name)) {
        builder.append_header((name.clone(), value.clone()));
    }
    let size = declared_size(&response);
    let body = ResponseBody::new(response, permit, deadline);
    match size {
        BodySize::Sized(size) => builder.body(SizedStream::new(size, body)).map_into_boxed_body(),
        _ => builder.body(BodyStream::new(body)).map_into_boxed_body(),
    }
}

fn declared_size(response: &ClientResponse) -> BodySize {
    let length = response.headers().get("content-length");
    let length = length.and_then(|value| value.to_str().ok()?.parse().ok());
    length.map_or(BodySize::Stream, BodySize::Sized)
}

/// Counts a request in flight until it is dropped, also if its future is cancelled.
struct InFlightGuard<'a>(&'a ProxyMetrics);

impl<'a> InFlightGuard<'a> {
    fn new(metrics: &'a ProxyMetrics) -> Self {
        metrics.in_flight.inc();
        Self(metrics)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.dec();
    }
}

/// Counts a request that waits for a move until it is dropped, also if its future is cancelled.
struct MoveWaitGuard<'a>(&'a Cell<u32>);

impl<'a> MoveWaitGuard<'a> {
    fn new(count: &'a Cell<u32>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for MoveWaitGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
