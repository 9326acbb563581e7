//! The loop of tries: a request goes on until an answer stands or no further try is allowed.

use std::rc::Rc;
use std::time::Instant;

use nickellead_balance::TargetOutcome;
use nickellead_core::{ErrorKind, OutcomeClass};
use nickellead_time::BootClock;

use super::{AttemptState, NextStep, RETURN_TIME, RequestWorker};
use crate::exchange::{AttemptEnd, AttemptPlan, TargetResponse, run_attempt};
use crate::incoming::IncomingRequest;
use crate::target_registry::{InFlightGuard, RegisteredTarget};

/// Most tries that failed before anything was sent.
const UNSENT_TRIES: u32 = 4;

impl RequestWorker {
    /// Tries a request until an answer stands, or says why none does.
    pub(super) async fn serve(
        &self,
        planned: &IncomingRequest,
    ) -> Result<TargetResponse, ErrorKind> {
        let part = planned.route.next_service().ok_or(ErrorKind::NoTarget)?;
        self.note_request(planned, &part.service);
        if !self.is_admitted(planned, &part.service) {
            return Err(ErrorKind::Overloaded);
        }
        let mut state = AttemptState::default();
        loop {
            let waiting = self.wait_for_turn(planned, &part.service, &state);
            let member = match self.until_last_moment(waiting).await.flatten() {
                Ok(member) => member,
                Err(kind) => return finish(state, kind),
            };
            let since = Instant::now();
            let trying = self.try_member(planned, &part.service, &member);
            let end = match self.until_last_moment(trying).await {
                Ok(end) => end,
                Err(kind) => {
                    state.may_have_run = true;
                    return finish(state, kind);
                }
            };
            self.note_signs(&part.service, &member, end.signals, end.sent_at);
            match self.judge(planned, &member, &mut state, end, since.elapsed()) {
                NextStep::Done(answer) => return Ok(answer),
                NextStep::Fail(kind) => return finish(state, kind),
                NextStep::Again => {}
            }
            if self.owner_is_paused(&part.service, &member) {
                return finish(state, ErrorKind::TargetPaused);
            }
            if !self.take_retry(planned, &part.service, &state) {
                let kind = state.refusal();
                return finish(state, kind);
            }
            self.metrics.retries.inc();
        }
    }

    /// The outcome of `work`, unless the VM ends before.
    async fn until_last_moment<T>(&self, work: impl Future<Output = T>) -> Result<T, ErrorKind> {
        tokio::select! {
            // The end of one request makes room for another one, which must not begin then.
            biased;
            () = self.drain.wait_for_deadline() => Err(ErrorKind::Stopping),
            done = work => Ok(done),
        }
    }

    /// Counts a request for the share of further tries, and its key for the spread of load.
    fn note_request(&self, planned: &IncomingRequest, service: &str) {
        self.retries.borrow_mut().record_request(service);
        if let Some(key) = planned.key
            && self.beliefs.borrow().is_divided(service)
        {
            self.keys.record_request(service, key);
        }
    }

    /// Whether a request may go to the owner of its key, of which all VMs together send too much.
    ///
    /// Drawn at random, so that the VMs need not know of each other's requests.
    fn is_admitted(&self, planned: &IncomingRequest, service: &str) -> bool {
        let Some(key) = planned.key.filter(|_| self.policy.shared_admission.is_on()) else {
            return true;
        };
        let share = self.beliefs.borrow().admissions.fraction(service, key);
        share >= 1.0 || self.rng.borrow_mut().f64() < share
    }

    /// Whether one more try is allowed; if so, it is taken from the service's share of them.
    fn take_retry(&self, planned: &IncomingRequest, service: &str, state: &AttemptState) -> bool {
        let within = state.sent < planned.route.rule.attempts && state.unsent < UNSENT_TRIES;
        if !within || planned.remaining() < RETURN_TIME * 2 {
            return false;
        }
        // Only tries that reached a target add to the load that the share bounds.
        state.sent == 0
            || self.policy.retries.is_on() && self.retries.borrow_mut().try_take(service)
    }

    /// Tries a request at one target, which counts it as running meanwhile.
    async fn try_member(
        &self,
        planned: &IncomingRequest,
        service: &str,
        member: &Rc<RegisteredTarget>,
    ) -> AttemptEnd {
        let _running = InFlightGuard::new(member, &self.queue(service));
        let until = planned.deadline.checked_sub(RETURN_TIME).unwrap_or(planned.deadline);
        let plan = AttemptPlan {
            target: member,
            repeat: planned.route.rule.repeat,
            leaving_window: self.leaving_stay,
            deadline: until,
        };
        let watch = AbandonWatch { member, since: Instant::now(), armed: true };
        let goal = planned.route.rule.latency_target;
        let mut trying = std::pin::pin!(run_attempt(&self.names, &planned.outgoing, &plan));
        let end = match tokio::time::timeout(goal, &mut trying).await {
            Ok(end) => end,
            Err(_) => {
                // A target that swallows requests is known by their age, long before their end.
                if self.policy.answer_time_limit.is_on() {
                    member.record_overdue(goal, BootClock.now());
                }
                trying.await
            }
        };
        watch.disarm();
        end
    }
}

impl AttemptState {
    /// Why no further try is made, told by the last one.
    fn refusal(&self) -> ErrorKind {
        let last = self.tried.last();
        match self.sent {
            0 => ErrorKind::TargetUnreachable,
            _ if last.is_some_and(|id| self.misdirected.contains(id)) => ErrorKind::TargetRefused,
            _ => ErrorKind::TargetBusy,
        }
    }
}

/// Ends a request that has no answer: a target's own failure goes before ours.
fn finish(state: AttemptState, kind: ErrorKind) -> Result<TargetResponse, ErrorKind> {
    if let Some(answer) = state.answer {
        return Ok(answer);
    }
    let refused = kind.response().outcome == OutcomeClass::NotRun;
    // "Not run" is said only when no target may have run it.
    Err(if refused && state.may_have_run { ErrorKind::AnswerLost } else { kind })
}

/// Learns from a try that ended because its caller left.
struct AbandonWatch<'a> {
    member: &'a Rc<RegisteredTarget>,
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
            self.member.record_outcome(outcome, BootClock.now());
        }
    }
}
