//! The request path of one VM, as one schedule.
//!
//! A request is read and given a route; then, until an answer stands: a target
//! is chosen, the request is tried there, and the outcome decides whether it
//! may be tried once more.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::body::BoxBody;
use actix_http::{HttpMessage, Request, Response, StatusCode};
use nickellead_balance::{Candidate, TargetOutcome, choose};
use nickellead_core::ErrorKind;
use nickellead_event::{EventName, log_event};
use nickellead_limit::TurnQueue;
use nickellead_proxy::{error_response, is_connection_header};
use nickellead_range::RangeMap;
use nickellead_time::BootClock;
use tokio::sync::Notify;

use crate::drain::DrainState;
use crate::exchange::{LossReason, TargetAnswer, TryPlan, TryResult, try_target};
use crate::incoming::{PlannedRequest, plan_request};
use crate::load_count::LoadCounter;
use crate::metrics::GatewayMetrics;
use crate::retry_share::RetryShare;
use crate::roster::{RunningGuard, TargetMember, TargetRoster};
use crate::route_table::RouteTable;
use crate::{Declarations, HeaderNames, RepeatClass, TargetList};

/// Longest wait for a range that is on the move, or for its next owner.
const MOVE_WAIT: Duration = Duration::from_millis(400);
/// Part of the latency target that a request may wait for a target with room.
const WAIT_PART: f64 = 0.4;
/// Most tries that failed before anything was sent.
const UNSENT_TRIES: u32 = 4;
/// Kept of the caller's time for the way back of an answer.
const RETURN_TIME: Duration = Duration::from_millis(4);
/// Part of its deadline that a request may wait for a VM's first declarations: about a quarter of
/// the latency target, as deadlines are two to three times as long.
const START_WAIT_PART: u32 = 10;
/// Part of the time left within which a caller may be asked to come back.
const COME_BACK_PART: u32 = 6;

/// What the request path believes; parts are replaced whole.
pub(crate) struct WorkerBeliefs {
    pub(crate) version: Option<u64>,
    pub(crate) divided: HashSet<String>,
    pub(crate) limits: crate::CallerLimits,
    pub(crate) table: Rc<RouteTable>,
    pub(crate) roster: TargetRoster,
    pub(crate) ranges: Arc<RangeMap>,
}

/// What the request path is built from.
pub(crate) struct WorkerParts {
    pub(crate) names: HeaderNames,
    pub(crate) vm: String,
    pub(crate) zone: String,
    pub(crate) retry_burst: f64,
    pub(crate) keys: LoadCounter,
    pub(crate) drain: Arc<DrainState>,
    pub(crate) metrics: GatewayMetrics,
}

/// The request path of one VM.
pub(crate) struct RequestWorker {
    names: HeaderNames,
    zone: String,
    beliefs: RefCell<WorkerBeliefs>,
    changed: Notify,
    retries: RefCell<RetryShare>,
    rng: RefCell<fastrand::Rng>,
    keys: LoadCounter,
    /// Requests that wait for any target of a service.
    queues: RefCell<HashMap<String, Rc<TurnQueue>>>,
    drain: Arc<DrainState>,
    metrics: GatewayMetrics,
}

/// What is known of a request between its tries.
#[derive(Default)]
struct TryState {
    /// Tries that reached a target.
    sent: u32,
    /// Tries that failed before anything was sent.
    unsent: u32,
    /// Targets tried already.
    tried: Vec<String>,
    /// Targets that said that they do not own the key.
    misdirected: Vec<String>,
    /// Whether a target may have run the request.
    may_have_run: bool,
    /// A failure that a target answered, to be passed on if nothing better comes.
    answer: Option<TargetAnswer>,
}

/// What follows a try.
enum NextStep {
    Done(TargetAnswer),
    Again,
    Fail(ErrorKind),
}

impl RequestWorker {
    pub(crate) fn new(parts: WorkerParts) -> Rc<Self> {
        let beliefs = WorkerBeliefs {
            version: None,
            divided: HashSet::new(),
            limits: crate::CallerLimits::default(),
            table: Rc::default(),
            roster: TargetRoster::new(parts.vm, parts.zone.clone()),
            ranges: Arc::default(),
        };
        Rc::new(Self {
            names: parts.names,
            zone: parts.zone,
            beliefs: RefCell::new(beliefs),
            changed: Notify::new(),
            retries: RefCell::new(RetryShare::new(parts.retry_burst)),
            rng: RefCell::new(fastrand::Rng::new()),
            keys: parts.keys,
            queues: RefCell::default(),
            drain: parts.drain,
            metrics: parts.metrics,
        })
    }

    /// Takes over newer declarations; older ones are ignored.
    pub(crate) fn set_declarations(&self, declarations: &Declarations) {
        let mut beliefs = self.beliefs.borrow_mut();
        if beliefs.version.is_some_and(|known| known >= declarations.version) {
            return;
        }
        beliefs.table = Rc::new(RouteTable::build(declarations, &beliefs.table));
        let divided = declarations.services.iter().filter(|(_, rule)| rule.divided);
        beliefs.divided = divided.map(|(name, _)| name.clone()).collect();
        beliefs.limits = declarations.limits;
        beliefs.version = Some(declarations.version);
        self.changed.notify_waiters();
    }

    /// Takes over the list of targets.
    pub(crate) fn set_targets(&self, list: &TargetList) {
        let mut beliefs = self.beliefs.borrow_mut();
        beliefs.roster = beliefs.roster.rebuild(list);
        self.changed.notify_waiters();
    }

    /// Takes over the map of ranges.
    pub(crate) fn set_ranges(&self, ranges: Arc<RangeMap>) {
        self.beliefs.borrow_mut().ranges = ranges;
        self.changed.notify_waiters();
    }

    /// Answers one request of a caller.
    pub(crate) async fn answer(&self, request: Request) -> Response<BoxBody> {
        self.metrics.requests.inc();
        let known = self.beliefs.borrow().version.is_some();
        if !known && !self.wait_for_declarations(&request).await {
            return self.refuse(ErrorKind::NotConfigured, None);
        }
        let (table, limits) = {
            let beliefs = self.beliefs.borrow();
            (Rc::clone(&beliefs.table), beliefs.limits)
        };
        let planned = match plan_request(request, &self.names, limits, &table).await {
            Ok(planned) => planned,
            Err(kind) => return self.refuse_unread(kind),
        };
        if self.drain.would_cut(planned.until) {
            return self.refuse(ErrorKind::Stopping, Some(&planned));
        }
        match self.serve(&planned).await {
            Ok(answer) => {
                self.metrics.note_answer(planned.arrived.elapsed());
                pass_on(answer)
            }
            Err(kind) => self.refuse(kind, Some(&planned)),
        }
    }

    /// Waits a little for the first declarations of a VM that has just started.
    async fn wait_for_declarations(&self, request: &Request) -> bool {
        let deadline = request.headers().get(self.names.deadline_ms);
        let deadline = deadline.and_then(|value| value.to_str().ok()?.parse().ok());
        let wait = Duration::from_millis(deadline.unwrap_or(0)) / START_WAIT_PART;
        let waiting = async {
            loop {
                let changed = self.changed.notified();
                if self.beliefs.borrow().version.is_some() {
                    return;
                }
                changed.await;
            }
        };
        tokio::time::timeout(wait, waiting).await.is_ok()
    }

    async fn serve(&self, planned: &PlannedRequest) -> Result<TargetAnswer, ErrorKind> {
        let rule = &planned.route.rule;
        let part = planned.route.next_part().ok_or(ErrorKind::NoTarget)?;
        self.retries.borrow_mut().note_request(&part.service);
        if let Some(key) = planned.key
            && self.beliefs.borrow().divided.contains(&part.service)
        {
            self.keys.note(&part.service, key);
        }
        let mut state = TryState::default();
        loop {
            let member = match self.wait_for_turn(planned, &part.service, &state).await {
                Ok(member) => member,
                Err(kind) => return finish(state, kind),
            };
            let since = Instant::now();
            let result = self.try_member(planned, &part.service, &member).await;
            let step = self.judge(planned, &member, &mut state, result, since.elapsed());
            match step {
                NextStep::Done(answer) => return Ok(answer),
                NextStep::Fail(kind) => return finish(state, kind),
                NextStep::Again => {
                    let within = state.sent < rule.attempts && state.unsent < UNSENT_TRIES;
                    if !within || planned.left() < RETURN_TIME * 2 {
                        return finish(state, ErrorKind::TargetBusy);
                    }
                    if state.sent > 0 && !self.retries.borrow_mut().take(&part.service) {
                        return finish(state, ErrorKind::TargetBusy);
                    }
                    self.metrics.retries.inc();
                }
            }
        }
    }

    async fn try_member(
        &self,
        planned: &PlannedRequest,
        service: &str,
        member: &Rc<TargetMember>,
    ) -> TryResult {
        let _running = RunningGuard::new(member, &self.queue(service));
        let until = planned.until.checked_sub(RETURN_TIME).unwrap_or(planned.until);
        let plan = TryPlan {
            target_id: &member.id,
            address: member.address,
            pool: &member.pool,
            repeat: planned.route.rule.repeat,
            until,
        };
        let watch = AbandonWatch { member, since: Instant::now(), armed: true };
        let result = try_target(&self.names, &planned.outgoing, &plan).await;
        watch.disarm();
        result
    }

    /// Learns from the outcome of a try and says what follows.
    fn judge(
        &self,
        planned: &PlannedRequest,
        member: &Rc<TargetMember>,
        state: &mut TryState,
        result: TryResult,
        length: Duration,
    ) -> NextStep {
        let now = BootClock.now();
        let note = |outcome| member.score.borrow_mut().note(outcome, now);
        let running = member.score.borrow().running + 1;
        let refused = || {
            let mut limit = member.limit.get();
            limit.note_refusal();
            member.limit.set(limit);
        };
        let safe = planned.route.rule.repeat == RepeatClass::Safe;
        state.tried.push(member.id.clone());
        match result {
            TryResult::Answered(answer) if answer.status.is_server_error() => {
                note(TargetOutcome::Failed);
                state.sent += 1;
                state.may_have_run = true;
                if safe {
                    state.answer = Some(answer);
                    return NextStep::Again;
                }
                NextStep::Done(answer)
            }
            TryResult::Answered(answer) => {
                note(TargetOutcome::Answered(length));
                let mut limit = member.limit.get();
                limit.note_answer(running);
                member.limit.set(limit);
                self.keys.note_speed(&member.id, member.score.borrow().unhurried_ms());
                NextStep::Done(answer)
            }
            TryResult::Shed => {
                refused();
                note(TargetOutcome::Shed);
                state.sent += 1;
                NextStep::Again
            }
            TryResult::Misdirected => {
                state.misdirected.push(member.id.clone());
                state.sent += 1;
                NextStep::Again
            }
            TryResult::NotSent(failure) => {
                note(TargetOutcome::Broken);
                state.unsent += 1;
                self.log_retry(planned, member, failure.as_str());
                NextStep::Again
            }
            TryResult::Lost(reason) => {
                refused();
                note(TargetOutcome::Broken);
                state.sent += 1;
                state.may_have_run = true;
                self.log_retry(planned, member, reason.as_str());
                if safe && reason != LossReason::Late {
                    return NextStep::Again;
                }
                NextStep::Fail(match reason {
                    LossReason::Late => ErrorKind::AnswerLate,
                    LossReason::Broken => ErrorKind::AnswerLost,
                    LossReason::Foreign => ErrorKind::AnswerMalformed,
                })
            }
        }
    }

    /// A target with room, or why none was found in time.
    async fn wait_for_turn(
        &self,
        planned: &PlannedRequest,
        service: &str,
        state: &TryState,
    ) -> Result<Rc<TargetMember>, ErrorKind> {
        let rule = &planned.route.rule;
        let until = planned.arrived + rule.latency_target.mul_f64(WAIT_PART);
        loop {
            let member = self.choose_member(planned, service, state).await?;
            if member.has_room() {
                return Ok(member);
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(ErrorKind::Overloaded);
            }
            let divided = self.beliefs.borrow().divided.contains(service);
            let service_queue = self.queue(service);
            let queue = if divided { &member.turns } else { &*service_queue };
            let mut turn = queue.join(rule.priority);
            let woken = tokio::time::timeout(left, turn.wait()).await;
            queue.leave(&turn);
            if woken.is_err() {
                return Err(ErrorKind::Overloaded);
            }
        }
    }

    /// The queue of a service.
    fn queue(&self, service: &str) -> Rc<TurnQueue> {
        let mut queues = self.queues.borrow_mut();
        match queues.get(service) {
            Some(queue) => Rc::clone(queue),
            None => Rc::clone(queues.entry(service.to_owned()).or_default()),
        }
    }

    /// The target for the next try, with room or without.
    async fn choose_member(
        &self,
        planned: &PlannedRequest,
        service: &str,
        state: &TryState,
    ) -> Result<Rc<TargetMember>, ErrorKind> {
        let divided = self.beliefs.borrow().divided.contains(service);
        if divided {
            let key = planned.key.ok_or(ErrorKind::KeyMissing)?;
            return self.wait_for_owner(planned, service, key, state).await;
        }
        self.balance(service, &state.tried).ok_or(ErrorKind::NoTarget)
    }

    fn balance(&self, service: &str, tried: &[String]) -> Option<Rc<TargetMember>> {
        let beliefs = self.beliefs.borrow();
        let part = beliefs.roster.subset(service);
        let mut fresh: Vec<&Rc<TargetMember>> =
            part.iter().filter(|member| !tried.contains(&member.id)).collect();
        if !fresh.iter().any(|member| member.has_room()) {
            let all = beliefs.roster.members(service);
            fresh = all.iter().filter(|member| !tried.contains(&member.id)).collect();
        }
        if fresh.iter().any(|member| member.has_room()) {
            fresh.retain(|member| member.has_room());
        }
        let scores: Vec<_> = fresh.iter().map(|member| member.score.borrow()).collect();
        let now = Instant::now();
        let candidates: Vec<Candidate<'_>> = fresh
            .iter()
            .zip(&scores)
            .map(|(member, score)| Candidate {
                score,
                slots: member.slots,
                near: member.zone == self.zone,
                cold: now < member.cold_until.get(),
            })
            .collect();
        let place = choose(&candidates, BootClock.now(), &mut self.rng.borrow_mut())?;
        Some(Rc::clone(fresh[place]))
    }

    /// The owner of a key; waits a bounded time while its range moves.
    async fn wait_for_owner(
        &self,
        planned: &PlannedRequest,
        service: &str,
        key: u16,
        state: &TryState,
    ) -> Result<Rc<TargetMember>, ErrorKind> {
        let wait = MOVE_WAIT.min(planned.left().saturating_sub(RETURN_TIME * 2));
        let waiting = async {
            loop {
                let changed = self.changed.notified();
                if let Some(member) = self.owner(service, key, state) {
                    return member;
                }
                changed.await;
            }
        };
        let waited = tokio::time::timeout(wait, waiting).await;
        waited.map_err(|_| ErrorKind::MoveTooLong)
    }

    /// The settled owner of a key, unless it has just refused this request.
    fn owner(&self, service: &str, key: u16, state: &TryState) -> Option<Rc<TargetMember>> {
        let beliefs = self.beliefs.borrow();
        let range = beliefs.ranges.find(service, key).filter(|range| range.settled)?;
        let owner = range.owner.as_ref().filter(|owner| !state.misdirected.contains(&owner.id))?;
        beliefs.roster.find(&owner.id).map(Rc::clone)
    }

    /// Refuses a request that came as the VM was about to end.
    pub(crate) fn refuse_stopping(&self) -> Response<BoxBody> {
        self.refuse(ErrorKind::Stopping, None)
    }

    /// Refuses a request whose head or body was not read to its end.
    fn refuse_unread(&self, kind: ErrorKind) -> Response<BoxBody> {
        let mut response = self.refuse(kind, None);
        if matches!(
            kind,
            ErrorKind::RequestMalformed
                | ErrorKind::HeadTooLarge
                | ErrorKind::BodyTooLarge
                | ErrorKind::BodyTruncated
        ) {
            response.head_mut().set_connection_type(actix_http::ConnectionType::Close);
        }
        response
    }

    fn refuse(&self, kind: ErrorKind, planned: Option<&PlannedRequest>) -> Response<BoxBody> {
        self.metrics.count_error(kind);
        if let Some(planned) = planned {
            self.log_failure(planned, kind);
        }
        let mut response = error_response(kind);
        if let Some(millis) = kind.answer().retry_after_ms {
            let left =
                planned.map_or(Duration::from_millis(u64::from(millis)), PlannedRequest::left);
            let wait = Duration::from_millis(u64::from(millis)).min(left / COME_BACK_PART);
            let seconds = format!("{:.3}", wait.as_secs_f64());
            if let Ok(value) = actix_http::header::HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(actix_http::header::RETRY_AFTER, value);
            }
        }
        response
    }

    fn log_failure(&self, planned: &PlannedRequest, kind: ErrorKind) {
        let id = String::from_utf8_lossy(planned.outgoing.request_id.as_bytes()).into_owned();
        let pairs: [(&str, &dyn std::fmt::Display); 5] = [
            ("request", &id),
            ("route", &planned.route.rule.name),
            ("error", &kind.answer().code),
            ("after_ms", &planned.arrived.elapsed().as_millis()),
            ("version", &self.beliefs.borrow().version.unwrap_or_default()),
        ];
        log_event(EventName::RequestFailed, &pairs);
    }

    fn log_retry(&self, planned: &PlannedRequest, member: &TargetMember, reason: &str) {
        let id = String::from_utf8_lossy(planned.outgoing.request_id.as_bytes()).into_owned();
        let pairs: [(&str, &dyn std::fmt::Display); 4] = [
            ("request", &id),
            ("target", &member.id),
            ("reason", &reason),
            ("after_ms", &planned.arrived.elapsed().as_millis()),
        ];
        log_event(EventName::RequestRetried, &pairs);
    }

    /// Connections opened to targets that are listed now.
    pub(crate) fn connections_opened(&self) -> u64 {
        self.beliefs.borrow().roster.opened()
    }
}

/// Ends a request that has no answer: a target's own failure goes before ours.
fn finish(state: TryState, kind: ErrorKind) -> Result<TargetAnswer, ErrorKind> {
    if let Some(answer) = state.answer {
        return Ok(answer);
    }
    let refused = kind.answer().outcome == nickellead_core::OutcomeClass::NotRun;
    // "Not run" is said only when no target may have run it.
    Err(if refused && state.may_have_run { ErrorKind::AnswerLost } else { kind })
}

fn pass_on(answer: TargetAnswer) -> Response<BoxBody> {
    let status = StatusCode::from_u16(answer.status.as_u16()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = Response::build(status);
    for (name, value) in &answer.headers {
        if !is_connection_header(name.as_str()) {
            builder.append_header((name.as_str(), value.as_bytes()));
        }
    }
    builder.body(answer.body).map_into_boxed_body()
}

/// Learns from a try that ended because its caller left.
struct AbandonWatch<'a> {
    member: &'a Rc<TargetMember>,
    since: Instant,
    armed: bool,
}

impl AbandonWatch<'_> {
    fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for AbandonWatch<'_> {
    fn drop(&mut self) {
        if self.armed {
            let outcome = TargetOutcome::Abandoned(self.since.elapsed());
            self.member.score.borrow_mut().note(outcome, BootClock.now());
        }
    }
}
