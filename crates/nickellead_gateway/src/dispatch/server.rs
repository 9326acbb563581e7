//! The dispatcher: decides for groups of targets and sends the requests that it is handed.

use std::cell::{OnceCell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::{Duration, Instant};

use nickellead_core::Timestamp;
use nickellead_dispatch::TicketId;
use nickellead_event::{EventName, log_event};
use nickellead_limit::{ByteBudget, HeldBytes, SizeEstimate};
use nickellead_peer::{CallArrival, serve_calls};
use nickellead_time::BootClock;
use tokio::net::TcpListener;
use tokio::sync::{Notify, oneshot};

use super::group_state::{GroupAnswer, GroupDecision, GroupState};
use super::groups::GroupTable;
use super::messages::{
    AcquireCall, AssistCall, DISPATCH_PATH, DispatchCall, DispatchReply, ForwardCall, GroupId,
    ReleaseCall, WireAttempt, WireResult, WireSignals,
};
use super::permit::{HeldPermit, PermitIssuer};
use super::reports::ZoneReports;
use super::wire::{duration, millis};
use crate::HeaderNames;
use crate::RepeatClass;
use crate::connections::ConnectFailure;
use crate::drain::DrainState;
use crate::exchange::{
    AttemptEnd, AttemptPlan, AttemptResult, OutgoingRequest, SendPermission, run_attempt,
};
use crate::log_sample::is_logged;
use crate::metrics::{GatewayMetrics, RequestSender};
use crate::registered_target::RegisteredTarget;
use crate::response_body::ResponseScale;
use crate::response_signals::ResponseSignals;
use crate::worker::{RequestWorker, SentRequest};

/// How long the state of a group is kept after the last request for it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Part of a request's deadline that is reserved for returning the response to the other VM.
const RETURN_RESERVE: Duration = Duration::from_millis(4);
/// Longest time between two checks for idle groups.
const MAX_TIMER_INTERVAL: Duration = Duration::from_secs(1);
/// Bits of a first permit number that are random, so that the permits of an earlier state of the
/// group are unknown to a later one.
const FIRST_PERMIT_BITS: u32 = 48;

/// Settings and shared dependencies of a dispatcher.
pub(crate) struct ServerContext {
    pub(crate) names: HeaderNames,
    pub(crate) leaving_window: Duration,
    pub(crate) drain: Arc<DrainState>,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) zone_reports: Rc<ZoneReports>,
    /// Bytes that this VM holds, for its own callers and for other VMs.
    pub(crate) memory: ByteBudget,
}

/// The dispatcher of one VM.
pub(crate) struct DispatchServer {
    context: ServerContext,
    /// The request path of this VM, once it exists.
    worker: OnceCell<Weak<RequestWorker>>,
    table: RefCell<Rc<GroupTable>>,
    groups: RefCell<HashMap<GroupId, GroupState>>,
    /// Expected size of the response to a forwarded request.
    response_size: SizeEstimate,
    /// Notified when a group may need the timer earlier than before.
    changed: Notify,
}

/// Serves the messages of other VMs for as long as the thread's runtime runs.
pub(crate) async fn serve_dispatch(listener: TcpListener, server: Rc<DispatchServer>) {
    let handler = move |call: DispatchCall, arrival: CallArrival| {
        let server = Rc::clone(&server);
        let answering: std::pin::Pin<Box<dyn Future<Output = DispatchReply>>> =
            Box::pin(async move { server.answer(call, arrival).await });
        answering
    };
    serve_calls(listener, DISPATCH_PATH, Rc::new(handler)).await;
}

impl DispatchServer {
    pub(crate) fn new(context: ServerContext) -> Rc<Self> {
        Rc::new(Self {
            context,
            worker: OnceCell::new(),
            table: RefCell::default(),
            groups: RefCell::default(),
            response_size: SizeEstimate::default(),
            changed: Notify::new(),
        })
    }

    /// Sets the request path that serves requests of VMs that reach no target.
    pub(crate) fn set_worker(&self, worker: &Rc<RequestWorker>) {
        // It is set once, directly after its creation.
        let _ = self.worker.set(Rc::downgrade(worker));
    }

    fn worker(&self) -> Option<Rc<RequestWorker>> {
        self.worker.get()?.upgrade()
    }

    /// Replaces the groups after the registry was rebuilt.
    pub(crate) fn set_groups(&self, table: Rc<GroupTable>) {
        self.table.replace(table);
        let now = BootClock.now();
        self.groups.borrow_mut().retain(|id, state| {
            let is_known = self.refresh(id, state, now);
            state.poll(now);
            is_known
        });
        self.changed.notify_one();
    }

    /// Answers requests whose time has come, and forgets groups that nobody uses.
    pub(crate) async fn run_timer(self: Rc<Self>) {
        loop {
            let now = BootClock.now();
            let next = {
                let mut groups = self.groups.borrow_mut();
                groups.retain(|id, state| {
                    if state.next_deadline().is_some_and(|due| due <= now) {
                        self.refresh(id, state, now);
                        state.poll(now);
                    }
                    !state.is_idle(IDLE_TIMEOUT)
                });
                groups.values().filter_map(GroupState::next_deadline).min()
            };
            let wait =
                next.map_or(MAX_TIMER_INTERVAL, |due| due.since(now).min(MAX_TIMER_INTERVAL));
            let wait = wait.max(Duration::from_millis(1));
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = self.changed.notified() => {}
            }
        }
    }

    /// Updates the gauges of groups that this VM dispatches.
    pub(crate) fn refresh_gauges(&self) {
        let groups = self.groups.borrow();
        let waiting: usize = groups.values().map(GroupState::waiting).sum();
        self.context.metrics.dispatch.set_gauges(groups.len(), waiting);
    }

    async fn answer(self: Rc<Self>, mut call: DispatchCall, arrival: CallArrival) -> DispatchReply {
        self.record_unread(&call, arrival.delay);
        call.pass_time(arrival.delay);
        match call {
            DispatchCall::Acquire(call) => self.acquire(&call).await,
            DispatchCall::Forward(call) => self.forward(*call).await,
            DispatchCall::Release(call) => {
                self.release(&call);
                DispatchReply::Released
            }
            DispatchCall::ZoneReport(report) => {
                self.context.zone_reports.receive(&report, BootClock.now());
                DispatchReply::Released
            }
            DispatchCall::Assist(call) => self.assist(*call).await,
            DispatchCall::ProbeAssist => match self.worker() {
                Some(worker) if worker.may_assist() => DispatchReply::Released,
                _ => DispatchReply::NotServing,
            },
        }
    }

    /// Records for how much longer than usual a message was under way.
    fn record_unread(&self, call: &DispatchCall, delay: Duration) {
        let (metrics, sender) = (&self.context.metrics.unread, RequestSender::Vm);
        let request = match call {
            DispatchCall::Forward(call) => &call.request,
            DispatchCall::Assist(call) => &call.request,
            DispatchCall::Acquire(_)
            | DispatchCall::Release(_)
            | DispatchCall::ZoneReport(_)
            | DispatchCall::ProbeAssist => return metrics.record(sender, delay),
        };
        metrics.record_request(sender, request.id(&self.context.names), delay);
    }

    /// Serves a request of a VM that reaches no target.
    async fn assist(&self, call: AssistCall) -> DispatchReply {
        let (Some(worker), Some(assisted)) = (self.worker(), call.into_assisted()) else {
            return DispatchReply::NotServing;
        };
        match worker.assist(assisted).await {
            Some(served) => DispatchReply::Assisted(Box::new(served.into())),
            None => DispatchReply::NotServing,
        }
    }

    /// Grants a permit, after a wait if needed.
    ///
    /// The request no longer waits once the returned future is dropped.
    pub(super) async fn acquire(self: &Rc<Self>, call: &AcquireCall) -> DispatchReply {
        if self.context.drain.is_draining() {
            return DispatchReply::NotServing;
        }
        let metrics = &self.context.metrics.dispatch;
        let answer = match self.request(call) {
            None => return DispatchReply::NotServing,
            Some(GroupDecision::Answered(answer)) => {
                metrics.granted.inc_by(u64::from(matches!(answer, GroupAnswer::Granted(_))));
                answer
            }
            Some(GroupDecision::Waiting(ticket, receiver)) => {
                let waiting = WaitingRequest { server: self, group: &call.group, ticket, receiver };
                let answer = waiting.wait().await;
                metrics.waited.inc_by(u64::from(matches!(answer, GroupAnswer::Granted(_))));
                answer
            }
        };
        self.reply_of(&call.group, answer)
    }

    /// Sends a request for another VM once a permit is granted.
    pub(super) async fn forward(self: &Rc<Self>, call: ForwardCall) -> DispatchReply {
        if self.worker().is_some_and(|worker| worker.is_cut_off()) {
            return DispatchReply::NotServing;
        }
        let arrived = Instant::now();
        let Ok(_body) = self.context.memory.admit_body(call.request.body.len()) else {
            return DispatchReply::Unavailable;
        };
        let group = call.acquire.group.clone();
        let deadline = arrived + duration(call.acquire.deadline_in_ms);
        let (permit, target) = match self.acquire(&call.acquire).await {
            DispatchReply::Granted { permit, target } => (permit, target),
            refused => return refused,
        };
        let waited = arrived.elapsed();
        let held = HeldPermit::new(
            PermitIssuer::Local(Rc::clone(self)),
            group.clone(),
            permit,
            target.clone(),
        );
        let registered = self.find_target(&group, &target);
        let outgoing = call.request.into_outgoing(&self.context.names);
        let (Some(registered), Some(outgoing)) = (registered, outgoing) else {
            held.release_unsent();
            return DispatchReply::Unavailable;
        };
        let reservation = self.context.memory.reservation(&self.response_size);
        let Ok(room) = self.context.memory.admit(reservation) else {
            held.release_unsent();
            return DispatchReply::Unavailable;
        };
        let started = Instant::now();
        let end = self.send(&registered, &outgoing, (arrived, deadline), room).await;
        if let AttemptResult::Responded(response) = &end.result {
            self.response_size.record(response.body.len());
        }
        let latency = started.elapsed();
        held.release(&end, latency);
        self.context.metrics.dispatch.forwarded.inc();
        let attempt = WireAttempt {
            result: end.result.into(),
            signals: WireSignals::from(end.signals),
            latency_ms: millis(latency),
            waited_ms: millis(waited),
        };
        log_forwarded(&outgoing, &target, &attempt, arrived.elapsed());
        DispatchReply::Forwarded(Box::new(attempt))
    }

    /// Releases a permit. Permits of an earlier state of the group are ignored.
    pub(super) fn release(&self, call: &ReleaseCall) {
        let now = BootClock.now();
        let mut groups = self.groups.borrow_mut();
        let Some(state) = groups.get_mut(&call.group) else { return };
        if let Some(target) = state.target(&call.target) {
            let latency = match call.outcome {
                super::messages::WireOutcome::Responded { latency_ms } => duration(latency_ms),
                _ => Duration::ZERO,
            };
            let sent = now.checked_sub(latency).unwrap_or(Timestamp::ZERO);
            observe_signals(target, call.signals.into(), sent, now);
        }
        state.release(call, now);
        self.refresh(&call.group, state, now);
        state.poll(now);
        drop(groups);
        self.changed.notify_one();
    }

    /// Asks a group's queue; `None` if this VM does not know the group.
    fn request(&self, call: &AcquireCall) -> Option<GroupDecision> {
        let now = BootClock.now();
        let mut groups = self.groups.borrow_mut();
        if !groups.contains_key(&call.group) {
            self.table.borrow().find(&call.group)?;
            let state = GroupState::new(fastrand::u64(..) >> (u64::BITS - FIRST_PERMIT_BITS));
            groups.insert(call.group.clone(), state);
        }
        let state = groups.get_mut(&call.group)?;
        if !self.refresh(&call.group, state, now) {
            return None;
        }
        let decision = state.request(call, now);
        drop(groups);
        self.changed.notify_one();
        Some(decision)
    }

    /// Applies the newest targets of a group to its state; `false` if the group does not exist.
    fn refresh(&self, id: &GroupId, state: &mut GroupState, now: Timestamp) -> bool {
        let table = self.table.borrow();
        let group = table.find(id);
        if let Some(group) = group {
            state.refresh(group, self.context.leaving_window, now);
        }
        group.is_some()
    }

    fn reply_of(&self, group: &GroupId, answer: GroupAnswer) -> DispatchReply {
        let permit = match answer {
            GroupAnswer::Granted(permit) => permit,
            GroupAnswer::Refused(retry_after) => {
                self.context.metrics.dispatch.refused.inc();
                return DispatchReply::Refused { retry_after_ms: millis(retry_after) };
            }
            GroupAnswer::Unavailable => return DispatchReply::Unavailable,
        };
        let mut groups = self.groups.borrow_mut();
        let Some(state) = groups.get_mut(group) else { return DispatchReply::Unavailable };
        match state.target_of(permit).map(|target| target.id.clone()) {
            Some(target) => DispatchReply::Granted { permit: permit.id.0, target },
            // It was removed from the group since.
            None => {
                state.release_unsent(permit, BootClock.now());
                DispatchReply::Unavailable
            }
        }
    }

    fn find_target(&self, group: &GroupId, target: &str) -> Option<Rc<RegisteredTarget>> {
        let groups = self.groups.borrow();
        groups.get(group)?.target(target).map(Rc::clone)
    }

    /// Sends a forwarded request to its target.
    async fn send(
        &self,
        target: &Rc<RegisteredTarget>,
        outgoing: &OutgoingRequest,
        (arrived_at, deadline): (Instant, Instant),
        room: HeldBytes,
    ) -> AttemptEnd {
        let worker = self.worker();
        // Requests of workspaces are not dispatched.
        let mark = || outgoing.mark(None);
        let permit = || {
            worker.as_ref().map_or(Ok(()), |worker| worker.check_mark(mark))?;
            Ok(SendPermission { workspace: None, hides_key: false })
        };
        let plan = AttemptPlan {
            target,
            repeat: RepeatClass::Safe,
            // Requests of routes with large responses are not forwarded.
            scale: ResponseScale::Usual,
            leaving_window: self.context.leaving_window,
            deadline: deadline.checked_sub(RETURN_RESERVE).unwrap_or(deadline),
            permit: &permit,
        };
        let end = run_attempt(&self.context.names, outgoing, &plan, room).await;
        if matches!(end.result, AttemptResult::NotSent(ConnectFailure::Refused)) {
            target.mark_down(BootClock.now());
        }
        if let Some(worker) = &worker {
            let sent = SentRequest { outgoing, mark: &mark, arrived_at };
            worker.observe_fall(&sent, target, &end.result, end.sent_at);
        }
        end
    }
}

/// A request that waits for a permit. Dropping it cancels the request.
struct WaitingRequest<'a> {
    server: &'a DispatchServer,
    group: &'a GroupId,
    ticket: TicketId,
    receiver: oneshot::Receiver<GroupAnswer>,
}

impl WaitingRequest<'_> {
    async fn wait(mut self) -> GroupAnswer {
        // The sender is dropped without an answer only if the group was removed.
        (&mut self.receiver).await.unwrap_or(GroupAnswer::Unavailable)
    }
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        let mut groups = self.server.groups.borrow_mut();
        let Some(state) = groups.get_mut(self.group) else { return };
        let now = BootClock.now();
        state.cancel(self.ticket, now);
        // An answer that nobody received.
        if let Ok(GroupAnswer::Granted(permit)) = self.receiver.try_recv() {
            state.release_unsent(permit, now);
            state.poll(now);
        }
    }
}

/// Applies the signals of a response that this VM or another one received.
fn observe_signals(
    target: &RegisteredTarget,
    signals: ResponseSignals,
    sent: Timestamp,
    now: Timestamp,
) {
    let mut known = target.signals.get();
    if signals.leaving {
        known.observe_leaving(now);
    }
    if let Some(pause) = signals.pause {
        known.observe_pause(pause, now);
    }
    if let Some(limit) = signals.limit.reported() {
        known.observe_limit(limit, sent, now);
    }
    target.signals.set(known);
}

/// Logs a forwarded request if no response came back, or if its id selects it, as on other VMs.
fn log_forwarded(outgoing: &OutgoingRequest, target: &str, attempt: &WireAttempt, after: Duration) {
    let id = outgoing.request_id.as_bytes();
    if !is_logged(id) && matches!(attempt.result, WireResult::Responded(_)) {
        return;
    }
    let pairs: [(&str, &dyn std::fmt::Display); 5] = [
        ("request", &String::from_utf8_lossy(id)),
        ("target", &target),
        ("waited_ms", &attempt.waited_ms),
        ("after_ms", &after.as_millis()),
        ("result", &attempt.result.as_str()),
    ];
    log_event(EventName::RequestForwarded, &pairs);
}
