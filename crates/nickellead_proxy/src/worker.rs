//! One request worker: its table, its gates, and the tries of a request.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::body::{BodySize, BodyStream, BoxBody, SizedStream};
use actix_http::{Payload, Request, RequestHead, Response};
use awc::{Client, ClientResponse};
use bytes::Bytes;
use nickellead_api::{DeclaredConfig, RepeatRule};
use nickellead_core::{Epoch, ErrorKind, OutcomeClass, ShardIndex, TargetKey};
use nickellead_lease::RouteChange;
use nickellead_route::{
    ConcurrencyLimiter, ConcurrencyPermit, OwnerRoute, RetryBudget, RoutingTable, TargetRoute,
    backoff,
};
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::answer::error_response;
use crate::answer_body::AnswerBody;
use crate::deadline::Deadline;
use crate::exchange::{ExchangePlan, exchange};
use crate::headers::is_passed;
use crate::incoming::{PlannedCall, read_body};
use crate::metrics::ProxyMetrics;
use crate::transport::watched_connector;

/// What reaches a worker over its ring.
#[derive(Clone, Debug)]
pub enum WorkerUpdate {
    /// New declarations.
    Config(Arc<DeclaredConfig>),
    /// New owners.
    Routes(Arc<[RouteChange]>),
}

/// Bounds of one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProxyLimits {
    /// Workers that share each target: over all VMs.
    pub workers_per_target: u32,
    /// Requests that may wait for a turn at one target.
    pub queue_per_target: u32,
    /// Requests that may wait for moves to end, over all shards.
    pub move_waiters: u32,
    /// Longest wait for a move to end.
    pub move_timeout: Duration,
    /// Connections from callers.
    pub connections: usize,
}

impl Default for ProxyLimits {
    fn default() -> Self {
        Self {
            workers_per_target: 9,
            queue_per_target: 64,
            move_waiters: 1_024,
            move_timeout: Duration::from_millis(1_000),
            connections: 4_096,
        }
    }
}

/// One thread's part of the request path.
pub struct ProxyWorker {
    limits: ProxyLimits,
    table: RefCell<RoutingTable>,
    /// Whether any declarations are known.
    configured: Cell<bool>,
    changed: Notify,
    gates: RefCell<HashMap<TargetKey, ConcurrencyLimiter>>,
    budget: RefCell<RetryBudget>,
    rng: RefCell<fastrand::Rng>,
    movers: Cell<u32>,
    next_id: Cell<u64>,
    client: Client,
    metrics: ProxyMetrics,
}

/// A request with all that its tries need.
struct CallState<'a> {
    call: PlannedCall,
    head: &'a RequestHead,
    body: Bytes,
    deadline: Deadline,
    /// Until when a move is waited for.
    move_deadline: Deadline,
}

/// The head of a target's answer, with the turn that its body goes on to hold.
struct TargetAnswer {
    response: ClientResponse,
    permit: ConcurrencyPermit,
    deadline: Deadline,
}

/// One owner to try.
#[derive(Clone)]
struct OwnerChoice {
    shard: ShardIndex,
    epoch: Epoch,
    target: Rc<TargetRoute>,
}

impl ProxyWorker {
    /// A worker that knows no service yet.
    #[must_use]
    pub fn new(limits: ProxyLimits, seed: u64, metrics: ProxyMetrics) -> Rc<Self> {
        let connector = awc::Connector::new().connector(watched_connector());
        let connector = connector.limit(0).timeout(Duration::from_millis(500));
        let client =
            Client::builder().connector(connector).disable_redirects().no_default_headers();
        Rc::new(Self {
            limits,
            table: RefCell::default(),
            configured: Cell::new(false),
            changed: Notify::new(),
            gates: RefCell::default(),
            budget: RefCell::default(),
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
            movers: Cell::new(0),
            next_id: Cell::new(seed << 20),
            client: client.finish(),
            metrics,
        })
    }

    /// Takes over an update and wakes the requests that wait for one.
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

    /// Answers one request of a caller.
    pub async fn handle(&self, request: Request) -> Response<BoxBody> {
        self.metrics.requests.inc();
        let _running = RunningCount::new(&self.metrics);
        match self.serve(request).await {
            Ok(response) => {
                self.metrics.answered.inc();
                pass_on(response)
            }
            Err(kind) => {
                self.metrics.count_error(kind);
                error_response(kind)
            }
        }
    }

    async fn serve(&self, mut request: Request) -> Result<TargetAnswer, ErrorKind> {
        if !self.configured.get() {
            return Err(ErrorKind::NotConfigured);
        }
        let call = PlannedCall::read(&request, &self.table.borrow())?;
        let deadline = Deadline::after(call.deadline);
        let body = match request.take_payload() {
            Payload::None => Bytes::new(),
            payload => {
                let reading = timeout(deadline.left(), read_body(payload, call.body_limit));
                reading.await.unwrap_or(Err(ErrorKind::BodyTruncated))?
            }
        };
        let move_deadline = deadline.or_after(self.limits.move_timeout);
        let state = CallState { call, head: request.head(), body, deadline, move_deadline };
        self.budget.borrow_mut().record_request();
        self.try_until_done(&state).await
    }

    /// Tries owners until one answered, or until another try may not be made.
    async fn try_until_done(&self, state: &CallState<'_>) -> Result<TargetAnswer, ErrorKind> {
        let mut attempt = 0;
        loop {
            let choice = self.wait_for_owner(state).await?;
            let kind = match self.try_once(state, &choice).await {
                Ok(response) => return Ok(response),
                Err(kind) => kind,
            };
            attempt += 1;
            if !self.may_repeat(state, kind, attempt) {
                return Err(kind);
            }
            self.metrics.retries.inc();
            self.wait_between(state, attempt).await;
        }
    }

    async fn try_once(
        &self,
        state: &CallState<'_>,
        choice: &OwnerChoice,
    ) -> Result<TargetAnswer, ErrorKind> {
        let gate = self.gate(&choice.target);
        let permit = match gate.try_acquire() {
            Some(permit) => permit,
            None => self.wait_for_turn(state, choice, &gate).await?,
        };
        let plan = ExchangePlan {
            target: &choice.target,
            shard: choice.shard,
            epoch: choice.epoch,
            request_id: self.take_id(),
            deadline: state.deadline,
        };
        let response = exchange(&self.client, state.head, state.body.clone(), plan).await?;
        Ok(TargetAnswer { response, permit, deadline: state.deadline })
    }

    async fn wait_for_turn(
        &self,
        state: &CallState<'_>,
        choice: &OwnerChoice,
        gate: &ConcurrencyLimiter,
    ) -> Result<ConcurrencyPermit, ErrorKind> {
        let entering = timeout(state.deadline.left(), gate.acquire(state.call.urgency)).await;
        let permit = entering.unwrap_or(Err(ErrorKind::DeadlineTooShort))?;
        // The owner may have changed while this request waited for its turn.
        match self.owner_now(&state.call)? {
            Some(now) if now.epoch == choice.epoch => Ok(permit),
            _ => Err(ErrorKind::TargetRefused),
        }
    }

    /// Whether a request may be sent again after this error.
    fn may_repeat(&self, state: &CallState<'_>, kind: ErrorKind, attempt: u32) -> bool {
        const ATTEMPTS_MAX: u32 = 8;
        if attempt >= ATTEMPTS_MAX || state.deadline.is_over() {
            return false;
        }
        match (kind.response().outcome, kind) {
            // Ownership changed: the new owner is not loaded by this try.
            (_, ErrorKind::TargetRefused) => !state.move_deadline.is_over(),
            (OutcomeClass::NotRun, ErrorKind::TargetBusy | ErrorKind::TargetUnreachable) => {
                attempt < 3 && self.budget.borrow_mut().try_take()
            }
            (OutcomeClass::NotRun, _) => false,
            (OutcomeClass::Unknown, _) => {
                let repeatable = state.call.repeat == RepeatRule::Repeatable;
                repeatable && attempt < 3 && self.budget.borrow_mut().try_take()
            }
        }
    }

    /// Waits a little, but no longer than until the routes change.
    async fn wait_between(&self, state: &CallState<'_>, attempt: u32) {
        let pause = backoff(attempt, &mut self.rng.borrow_mut()).min(state.deadline.left());
        // Running out of time is what the pause is for.
        let _ = timeout(pause, self.changed.notified()).await;
    }

    async fn wait_for_owner(&self, state: &CallState<'_>) -> Result<OwnerChoice, ErrorKind> {
        if let Some(choice) = self.owner_now(&state.call)? {
            return Ok(choice);
        }
        if self.movers.get() >= self.limits.move_waiters {
            return Err(ErrorKind::QueueFull);
        }
        self.metrics.waited.inc();
        let _mover = MoverCount::new(&self.movers);
        let waiting = self.wait_for_change(&state.call);
        let waited = timeout(state.move_deadline.left(), waiting).await;
        waited.unwrap_or(Err(ErrorKind::MoveTooLong))
    }

    async fn wait_for_change(&self, call: &PlannedCall) -> Result<OwnerChoice, ErrorKind> {
        loop {
            let changed = self.changed.notified();
            if let Some(choice) = self.owner_now(call)? {
                return Ok(choice);
            }
            changed.await;
        }
    }

    /// The owner, or `None` while the shard moves.
    fn owner_now(&self, call: &PlannedCall) -> Result<Option<OwnerChoice>, ErrorKind> {
        let table = self.table.borrow();
        let decision = call.decide(&table)?;
        match decision.owner {
            OwnerRoute::Unowned => Err(ErrorKind::OwnerUnknown),
            OwnerRoute::Moving => Ok(None),
            OwnerRoute::Target { index, epoch } => {
                let target = table.target(index).ok_or(ErrorKind::Internal)?.clone();
                Ok(Some(OwnerChoice { shard: decision.shard, epoch, target }))
            }
        }
    }

    fn gate(&self, target: &TargetRoute) -> ConcurrencyLimiter {
        let share = u32::from(target.connections).div_ceil(self.limits.workers_per_target.max(1));
        let mut gates = self.gates.borrow_mut();
        let gate = gates.entry(target.key);
        gate.or_insert_with(|| ConcurrencyLimiter::new(share, self.limits.queue_per_target)).clone()
    }

    fn take_id(&self) -> u64 {
        let id = self.next_id.get();
        self.next_id.set(id.wrapping_add(1));
        id
    }
}

/// Passes a target's answer on, streaming its body; a truncated body stays truncated.
fn pass_on(answer: TargetAnswer) -> Response<BoxBody> {
    let TargetAnswer { response, permit, deadline } = answer;
    let mut builder = Response::build(response.status());
    for (name, value) in response.headers().iter().filter(|(name, _)| is_passed(name)) {
        builder.append_header((name.clone(), value.clone()));
    }
    let size = declared_size(&response);
    let body = AnswerBody::new(response, permit, deadline);
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

/// Counts one request under way, also when its future is dropped.
struct RunningCount<'a>(&'a ProxyMetrics);

impl<'a> RunningCount<'a> {
    fn new(metrics: &'a ProxyMetrics) -> Self {
        metrics.running.inc();
        Self(metrics)
    }
}

impl Drop for RunningCount<'_> {
    fn drop(&mut self) {
        self.0.running.dec();
    }
}

/// Counts one request that waits for a move, also when its future is dropped.
struct MoverCount<'a>(&'a Cell<u32>);

impl<'a> MoverCount<'a> {
    fn new(count: &'a Cell<u32>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for MoverCount<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
