//! The attempt loop: sends a request to targets until a response is accepted or no further attempt
//! is allowed.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use nickellead_balance::TargetOutcome;
use nickellead_core::{ErrorKind, OutcomeClass};
use nickellead_event::{EventName, log_event};
use nickellead_time::BootClock;

use super::dispatching::SendEnd;
use super::outcome::is_repeatable;
use super::{AttemptState, NextStep, RESPONSE_RETURN_RESERVE, RequestWorker};
use crate::connections::ConnectFailure;
use crate::exchange::{AttemptEnd, AttemptPlan, AttemptResult, TargetResponse, run_attempt};
use crate::incoming::IncomingRequest;
use crate::registered_target::{InFlightGuard, RegisteredTarget};
use crate::response_body::ResponseScale;

/// Maximum number of attempts that fail before anything is sent.
const MAX_UNSENT_ATTEMPTS: u32 = 4;

impl RequestWorker {
    /// Serves a request with as many attempts as it needs and is allowed.
    ///
    /// # Errors The reason for the refusal when no attempt gave a response.
    pub(super) async fn serve(
        &self,
        incoming: &IncomingRequest,
    ) -> Result<TargetResponse, ErrorKind> {
        // It may have lain unread until its caller stopped waiting.
        if incoming.remaining() <= RESPONSE_RETURN_RESERVE {
            return Err(ErrorKind::Overloaded);
        }
        self.check_mark(|| incoming.mark())?;
        let mut attempts = AttemptState::default();
        let served = match self.hand_over(incoming, &mut attempts).await {
            Some(served) => served,
            None => self.serve_attempts(incoming, &mut attempts).await,
        };
        self.give_back_token(incoming, &mut attempts);
        match served {
            // Only the target can tell callers that the request did not run, and it did not.
            Ok(response) if response.is_unmarked_refusal() && !is_repeatable(incoming) => {
                Err(ErrorKind::AnswerAmbiguous)
            }
            Ok(response) => Ok(response),
            Err(kind) => attempts.finish(kind),
        }
    }

    /// Makes attempts until one succeeds.
    ///
    /// # Errors Why no further one is made; an earlier one may have run.
    async fn serve_attempts(
        &self,
        incoming: &IncomingRequest,
        attempts: &mut AttemptState,
    ) -> Result<TargetResponse, ErrorKind> {
        if !self.memory.has_room(self.memory.reservation(&incoming.route.response_size)) {
            return Err(ErrorKind::MemoryFull);
        }
        self.ensure_token(incoming, attempts).await?;
        let weighted = incoming.route.next_service().ok_or(ErrorKind::NoTarget)?;
        self.record_budget(incoming, &weighted.service, attempts);
        self.record_key_load(incoming, &weighted.service);
        loop {
            if self.must_hand_over(incoming, attempts) {
                self.give_back_token(incoming, attempts);
                if let Some(served) = self.hand_over(incoming, attempts).await {
                    return served;
                }
            }
            let selecting = self.select_target(incoming, &weighted.service, attempts);
            let selected = match self.until_drain_end(selecting).await.flatten() {
                Ok(selected) => selected,
                // The VM was found to be cut off while the request waited.
                Err(_) if self.must_hand_over(incoming, attempts) => continue,
                Err(kind) => return Err(kind),
            };
            // The request may have waited for longer than its token is valid.
            let has_token = self.ensure_token(incoming, attempts);
            self.until_drain_end(has_token).await.flatten()?;
            let target = Rc::clone(selected.target());
            let sending = self.send_to(incoming, &weighted.service, selected, attempts);
            let (end, latency) = match self.until_drain_end(sending).await {
                Ok(SendEnd::Ended(end, latency)) => (*end, latency),
                Ok(SendEnd::Undispatched) => {
                    attempts.undispatched = true;
                    continue;
                }
                Ok(SendEnd::Refused) => return Err(ErrorKind::Overloaded),
                Err(kind) => {
                    attempts.may_have_run = true;
                    attempts.token = None;
                    return Err(kind);
                }
            };
            self.apply_signals(&weighted.service, &target, end.signals, end.sent_at);
            match self.next_step(incoming, &target, attempts, end, latency) {
                NextStep::Done(response) => return Ok(response),
                NextStep::Fail(kind) => return Err(kind),
                NextStep::Retry => {}
            }
            if self.owner_is_paused(&weighted.service, &target) {
                return Err(ErrorKind::TargetPaused);
            }
            if attempts.sent == 0 {
                self.wait_for_check(incoming).await;
                if self.must_hand_over(incoming, attempts) {
                    continue;
                }
            }
            if !self.take_retry_permit(incoming, &weighted.service, attempts) {
                return Err(attempts.refusal_kind());
            }
            self.metrics.retries.inc();
        }
    }

    /// Has a request served by another VM, if this VM reaches no target; `None` if this VM is to serve
    /// it itself.
    async fn hand_over(
        &self,
        incoming: &IncomingRequest,
        attempts: &mut AttemptState,
    ) -> Option<Result<TargetResponse, ErrorKind>> {
        let elsewhere = self.serve_elsewhere(incoming, attempts);
        match self.until_drain_end(elsewhere).await {
            Ok(served) => served,
            Err(kind) => {
                // The other VM may have sent it.
                attempts.may_have_run = true;
                Some(Err(kind))
            }
        }
    }

    /// Runs `work` until it completes or the VM's drain period ends.
    async fn until_drain_end<T>(&self, work: impl Future<Output = T>) -> Result<T, ErrorKind> {
        tokio::select! {
            // A request that ends frees capacity. The queued request that gets it must not start
            // once the drain period has ended.
            biased;
            () = self.drain.wait_for_deadline() => Err(ErrorKind::Stopping),
            done = work => Ok(done),
        }
    }

    /// Adds a request to the retry budget, once and only at the VM that took it from its caller.
    pub(super) fn record_budget(
        &self,
        incoming: &IncomingRequest,
        service: &str,
        attempts: &mut AttemptState,
    ) {
        if !incoming.assisted && !attempts.is_in_budget {
            attempts.is_in_budget = true;
            self.retry_budget.borrow_mut().record_request(service);
        }
    }

    /// Adds a request to the load of its key.
    fn record_key_load(&self, incoming: &IncomingRequest, service: &str) {
        if let Some(key) = incoming.key
            && self.state.borrow().is_sharded(service)
        {
            self.load_counter.record_request(service, key);
        }
    }

    /// Whether a request may go to the owner of its key while the VMs together overload that owner.
    ///
    /// The decision is random, so that VMs need not coordinate.
    pub(super) fn is_admitted(&self, incoming: &IncomingRequest, service: &str) -> bool {
        let Some(key) = incoming.key.filter(|_| self.policy.shared_admission.is_on()) else {
            return true;
        };
        let admitted_fraction = self.state.borrow().admissions.fraction(service, key);
        admitted_fraction >= 1.0 || self.rng.borrow_mut().f64() < admitted_fraction
    }

    /// Whether one more attempt is allowed. If so, charges it to the service's retry budget.
    pub(super) fn take_retry_permit(
        &self,
        incoming: &IncomingRequest,
        service: &str,
        attempts: &AttemptState,
    ) -> bool {
        if attempts.unsent >= MAX_UNSENT_ATTEMPTS || !has_attempt_left(incoming, attempts.sent) {
            return false;
        }
        // Attempts that were not sent add no load to targets.
        if attempts.sent == 0 {
            return true;
        }
        if !self.may_risk_target(incoming, attempts) {
            return false;
        }
        let taken = self.policy.retries.is_on() && self.retry_budget.borrow_mut().try_take(service);
        let cause = attempts.repeat_cause.as_str();
        match taken {
            true => {
                self.metrics.repeats.count_repeat(cause);
                log_repeat(incoming, attempts);
            }
            false => self.metrics.repeats.count_refused(cause),
        }
        taken
    }

    /// Whether a request could be sent again after one more attempt that may have reached a target.
    pub(super) fn may_repeat_sent(
        &self,
        incoming: &IncomingRequest,
        service: &str,
        attempts: &AttemptState,
    ) -> bool {
        has_attempt_left(incoming, attempts.sent + 1)
            && self.may_risk_target(incoming, attempts)
            && self.policy.retries.is_on()
            && self.retry_budget.borrow().has_token(service)
    }

    /// Sends a request to one target, which counts it as running meanwhile.
    pub(super) async fn attempt(
        &self,
        incoming: &IncomingRequest,
        service: &str,
        target: &Rc<RegisteredTarget>,
    ) -> AttemptEnd {
        let response_size = &incoming.route.response_size;
        // Room for the response is held before the request is sent, so that a response is not
        // dropped.
        let Ok(held) = self.memory.admit(self.memory.reservation(response_size)) else {
            return AttemptResult::Forbidden(ErrorKind::MemoryFull).into();
        };
        let request_bytes = incoming.outgoing.body.len();
        let _running = InFlightGuard::new(target, &self.queue(service), request_bytes);
        let until =
            incoming.deadline.checked_sub(RESPONSE_RETURN_RESERVE).unwrap_or(incoming.deadline);
        let connecting = Cell::new(true);
        let permit = || {
            connecting.set(false);
            // It may have waited while it was found to make targets fall.
            self.check_mark(|| incoming.mark())?;
            self.permit_sending(incoming, &target.zone)
        };
        let plan = AttemptPlan {
            target,
            repeat: incoming.route.rule.repeat,
            scale: ResponseScale::of(&incoming.route.rule),
            leaving_window: self.leaving_window,
            deadline: until,
            permit: &permit,
        };
        let began = BootClock.now();
        let guard = AbandonGuard { target, since: Instant::now(), armed: true };
        let latency_target = incoming.route.rule.latency_target;
        let unless_lost = async {
            tokio::select! {
                biased;
                end = run_attempt(&self.header_names, &incoming.outgoing, &plan, held) => end,
                () = self.wait_for_lost_zone(&target.zone, &connecting) => {
                    AttemptResult::NotSent(ConnectFailure::OutOfReach).into()
                }
                () = self.wait_until_cut_off(&connecting) => {
                    AttemptResult::NotSent(ConnectFailure::OutOfReach).into()
                }
            }
        };
        let mut sending = std::pin::pin!(unless_lost);
        let end = match tokio::time::timeout(latency_target, &mut sending).await {
            Ok(end) => end,
            Err(_) => {
                // Detects a target that accepts requests without responding before they time out.
                if self.policy.answer_time_limit.is_on() {
                    target.record_overdue(latency_target, BootClock.now());
                }
                self.suspect_cut(began);
                sending.await
            }
        };
        guard.disarm();
        if let AttemptResult::Responded(response) = &end.result {
            response_size.record(response.body.len());
        }
        end
    }
}

fn log_repeat(incoming: &IncomingRequest, attempts: &AttemptState) {
    let id = String::from_utf8_lossy(incoming.outgoing.request_id.as_bytes());
    let pairs: [(&str, &dyn std::fmt::Display); 3] =
        [("request", &id), ("cause", &attempts.repeat_cause.as_str()), ("sent", &attempts.sent)];
    log_event(EventName::RequestRepeated, &pairs);
}

/// Whether the route and the deadline allow another attempt after `sent` that may have reached a
/// target.
fn has_attempt_left(incoming: &IncomingRequest, sent: u32) -> bool {
    sent + incoming.attempts_made < incoming.route.rule.attempts
        && incoming.remaining() >= RESPONSE_RETURN_RESERVE * 2
}

impl AttemptState {
    /// The reason for the refusal when no further attempt is allowed.
    fn refusal_kind(&self) -> ErrorKind {
        let last = self.tried.last();
        match self.sent {
            0 => ErrorKind::TargetUnreachable,
            _ if last.is_some_and(|id| self.misdirected.contains(id)) => ErrorKind::TargetRefused,
            _ => ErrorKind::TargetBusy,
        }
    }

    /// Ends a request without a successful response: with an error response of a target if there is
    /// one, and otherwise with `kind`.
    ///
    /// `NotRun` is reported only when no target may have run the request.
    fn finish(self, kind: ErrorKind) -> Result<TargetResponse, ErrorKind> {
        let refused = kind.response().outcome == OutcomeClass::NotRun;
        let kind = if refused && self.may_have_run { ErrorKind::AnswerLost } else { kind };
        self.response.ok_or(kind)
    }
}

/// Records an attempt as abandoned if it is dropped before it ends, as when the caller disconnects.
struct AbandonGuard<'a> {
    target: &'a Rc<RegisteredTarget>,
    since: Instant,
    armed: bool,
}

impl AbandonGuard<'_> {
    fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for AbandonGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            let outcome = TargetOutcome::Abandoned(self.since.elapsed());
            self.target.record_outcome(outcome, BootClock.now());
        }
    }
}
