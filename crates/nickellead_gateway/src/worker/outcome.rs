//! Learning from the outcome of a try, and deciding what follows.

use std::rc::Rc;
use std::time::Duration;

use nickellead_balance::TargetOutcome;
use nickellead_core::{ErrorKind, Timestamp};
use nickellead_event::{EventName, log_event};
use nickellead_time::BootClock;

use super::{AttemptState, NextStep, RequestWorker};
use crate::RepeatClass;
use crate::connections::ConnectFailure;
use crate::exchange::{AttemptEnd, AttemptResult, LossReason, TargetResponse};
use crate::incoming::IncomingRequest;
use crate::response_signals::ResponseSignals;
use crate::target_registry::RegisteredTarget;

/// VMs that were asked for a pause at the same moment come back spread over this part of it.
const PAUSE_SPREAD: f64 = 0.1;

impl RequestWorker {
    /// Learns from the outcome of a try and says what follows.
    pub(super) fn judge(
        &self,
        planned: &IncomingRequest,
        member: &Rc<RegisteredTarget>,
        state: &mut AttemptState,
        end: AttemptEnd,
        length: Duration,
    ) -> NextStep {
        let AttemptEnd { result, signals: signs, .. } = end;
        self.learn(planned, member, &result, signs, length);
        count_try(state, member, &result);
        if let Some(reason) = retry_reason(&result) {
            log_retry(planned, member, reason);
        }
        match result {
            AttemptResult::Responded(answer) if answer.status.is_server_error() => {
                after_failure(planned, state, answer)
            }
            AttemptResult::Responded(answer) => NextStep::Done(answer),
            AttemptResult::Shed
            | AttemptResult::Misdirected
            | AttemptResult::NotSent(_)
            | AttemptResult::Withheld => NextStep::Again,
            AttemptResult::Lost(reason) => after_loss(planned, reason),
        }
    }

    /// Learns what the outcome of a try says of the target.
    fn learn(
        &self,
        planned: &IncomingRequest,
        member: &RegisteredTarget,
        result: &AttemptResult,
        signs: ResponseSignals,
        length: Duration,
    ) {
        let goal = match self.policy.answer_time_limit.is_on() {
            true => planned.route.rule.latency_target,
            false => Duration::MAX,
        };
        let now = BootClock.now();
        self.learn_reach(member, result, now);
        match result {
            AttemptResult::Responded(answer) if answer.status.is_server_error() => {
                member.record_outcome(TargetOutcome::Failed, now);
            }
            AttemptResult::Responded(_) => {
                self.keys.record_response(&member.id, length, planned.route.rule.latency_target);
                note_answer(member, length, goal, now);
            }
            AttemptResult::Shed => {
                self.keys.record_lost(&member.id);
                member.record_refusal();
                // A pause has its own end, and says nothing of the target's health.
                if signs.pause.is_none() {
                    member.record_outcome(TargetOutcome::Shed, now);
                }
            }
            // Its beliefs about keys differ, which says nothing of its health.
            AttemptResult::Misdirected | AttemptResult::Withheld => {}
            AttemptResult::NotSent(failure) => {
                if *failure == ConnectFailure::Refused {
                    self.beliefs.borrow().roster.mark_down(member, now);
                }
                member.record_outcome(TargetOutcome::NoResponse, now);
            }
            AttemptResult::Lost(_) => {
                self.keys.record_lost(&member.id);
                member.record_refusal();
                member.record_outcome(TargetOutcome::NoResponse, now);
            }
        }
    }
}

impl RequestWorker {
    /// Takes in what a target told of itself on an answer.
    ///
    /// `sent` is when the answered request was sent.
    pub(super) fn note_signs(
        &self,
        service: &str,
        member: &RegisteredTarget,
        signs: ResponseSignals,
        sent: Timestamp,
    ) {
        self.metrics.count_signals(signs);
        let now = BootClock.now();
        let mut known = member.signals.get();
        let mut new = false;
        if signs.leaving {
            // Told on each answer, as the holder that was told before may be gone.
            self.keys.record_leaving(member.instance());
            if known.observe_leaving(now) {
                new = true;
                log_event(EventName::TargetLeaving, &[("target", &member.id)]);
            }
        }
        if let Some(pause) = signs.pause {
            self.keys.record_pause(&member.id, pause);
            let spread = 1.0 + self.rng.borrow_mut().f64() * PAUSE_SPREAD;
            if known.observe_pause(pause.mul_f64(spread), now) {
                new = true;
                log_pause(member, pause);
            }
        }
        if let Some(limit) = signs.limit.reported() {
            if limit.is_some() || member.may_be_limited() {
                // Told on each answer, as the holder that was told before may be gone.
                self.keys.record_limit(member.instance(), limit);
            }
            if known.observe_limit(limit, sent, now) {
                new = true;
                log_limit(member, limit);
            }
        }
        member.signals.set(known);
        if new {
            // Who waits for a turn there looks for another target, or is refused at once.
            member.wait_queue.wake_all();
            self.queue(service).wake_all();
        }
    }

    /// Learns whether the target's zone can be reached.
    fn learn_reach(&self, member: &RegisteredTarget, result: &AttemptResult, now: Timestamp) {
        match result {
            AttemptResult::NotSent(ConnectFailure::TimedOut) => {
                self.reach.record_connect_timeout(&member.zone, &member.id, now);
            }
            AttemptResult::Responded(_) | AttemptResult::Shed | AttemptResult::Misdirected => {
                self.reach.record_response(&member.zone);
            }
            AttemptResult::NotSent(_) | AttemptResult::Withheld | AttemptResult::Lost(_) => {}
        }
    }
}

/// Learns from an answer: how fast the target is, and that it may take more.
fn note_answer(member: &RegisteredTarget, length: Duration, goal: Duration, now: Timestamp) {
    // The try itself has ended and is counted no more.
    let running = member.score.borrow().in_flight + 1;
    member.record_outcome(TargetOutcome::Responded(length), now);
    member.record_latency(running, length, goal, now);
}

/// Counts a try that may be followed by another one; the request ends with a good answer.
fn count_try(state: &mut AttemptState, member: &RegisteredTarget, result: &AttemptResult) {
    state.tried.push(member.id.clone());
    match result {
        AttemptResult::Responded(answer) if answer.status.is_server_error() => {
            state.sent += 1;
            state.may_have_run = true;
        }
        AttemptResult::Responded(_) => {}
        AttemptResult::Shed => state.sent += 1,
        AttemptResult::Misdirected => {
            state.misdirected.push(member.id.clone());
            state.sent += 1;
        }
        AttemptResult::NotSent(_) | AttemptResult::Withheld => state.unsent += 1,
        AttemptResult::Lost(_) => {
            state.sent += 1;
            state.may_have_run = true;
        }
    }
}

/// Why a try gave no answer, in the words of the log.
fn retry_reason(result: &AttemptResult) -> Option<&'static str> {
    match result {
        AttemptResult::Responded(_) => None,
        AttemptResult::Shed => Some("shed"),
        AttemptResult::Misdirected => Some("not-owner"),
        AttemptResult::NotSent(failure) => Some(failure.as_str()),
        AttemptResult::Withheld => Some("withheld"),
        AttemptResult::Lost(reason) => Some(reason.as_str()),
    }
}

/// Whether the request may run more than once.
fn is_safe(planned: &IncomingRequest) -> bool {
    planned.route.rule.repeat == RepeatClass::Safe
}

/// What follows a failure that the target itself reported.
fn after_failure(
    planned: &IncomingRequest,
    state: &mut AttemptState,
    answer: TargetResponse,
) -> NextStep {
    if !is_safe(planned) {
        return NextStep::Done(answer);
    }
    state.answer = Some(answer);
    NextStep::Again
}

/// What follows when a request was sent and no usable answer came.
fn after_loss(planned: &IncomingRequest, reason: LossReason) -> NextStep {
    if is_safe(planned) && reason != LossReason::Late {
        return NextStep::Again;
    }
    NextStep::Fail(match reason {
        LossReason::Late => ErrorKind::AnswerLate,
        LossReason::Broken => ErrorKind::AnswerLost,
        LossReason::Foreign => ErrorKind::AnswerMalformed,
    })
}

/// Logs a try that gave no answer.
fn log_retry(planned: &IncomingRequest, member: &RegisteredTarget, reason: &str) {
    let id = String::from_utf8_lossy(planned.outgoing.request_id.as_bytes()).into_owned();
    let pairs: [(&str, &dyn std::fmt::Display); 4] = [
        ("request", &id),
        ("target", &member.id),
        ("reason", &reason),
        ("after_ms", &planned.arrived_at.elapsed().as_millis()),
    ];
    log_event(EventName::RequestRetried, &pairs);
}

fn log_limit(member: &RegisteredTarget, limit: Option<f64>) {
    let rate = limit.map_or("none".to_owned(), |rate| rate.to_string());
    let pairs: [(&str, &dyn std::fmt::Display); 2] = [("target", &member.id), ("rate", &rate)];
    log_event(EventName::TargetLimited, &pairs);
}

fn log_pause(member: &RegisteredTarget, pause: Duration) {
    let pairs: [(&str, &dyn std::fmt::Display); 2] =
        [("target", &member.id), ("pause_ms", &pause.as_millis())];
    log_event(EventName::TargetPaused, &pairs);
}
