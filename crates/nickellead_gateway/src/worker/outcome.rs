//! Records the outcome of an attempt and decides the next step.

use std::rc::Rc;
use std::time::Duration;

use nickellead_balance::TargetOutcome;
use nickellead_core::Timestamp;
use nickellead_event::{EventName, log_event};
use nickellead_time::BootClock;

use super::crashes::SentRequest;
use super::repeat_cause::RepeatCause;
use super::{AttemptState, NextStep, RequestWorker, UnconnectedAttempt};
use crate::RepeatClass;
use crate::connections::ConnectFailure;
use crate::exchange::{AttemptEnd, AttemptResult, LossReason, TargetResponse};
use crate::incoming::IncomingRequest;
use crate::registered_target::RegisteredTarget;
use crate::response_signals::ResponseSignals;

/// Jitter added to a requested pause, as a fraction of the pause. It keeps VMs that were asked
/// together from resuming together.
const PAUSE_JITTER_FRACTION: f64 = 0.1;

impl RequestWorker {
    /// Records the outcome of an attempt and returns the next step.
    pub(super) fn next_step(
        &self,
        incoming: &IncomingRequest,
        target: &Rc<RegisteredTarget>,
        attempts: &mut AttemptState,
        end: AttemptEnd,
        latency: Duration,
    ) -> NextStep {
        let AttemptEnd { result, signals, sent_at } = end;
        self.metrics.attempts.count(result.as_str(), incoming.route.rule.repeat);
        log_unmarked_refusal(incoming, target, &result);
        self.record_outcome(incoming, target, &result, signals, latency);
        let IncomingRequest { outgoing, arrived_at, .. } = incoming;
        let sent = SentRequest { outgoing, mark: &|| incoming.mark(), arrived_at: *arrived_at };
        self.observe_fall(&sent, target, &result, sent_at);
        count_attempt(attempts, target, &result);
        if result.may_have_run() {
            attempts.token = None;
        }
        if let Some(cause) = RepeatCause::of(&result) {
            attempts.repeat_cause = cause;
        }
        if let Some(reason) = retry_reason(&result) {
            log_retry(incoming, target, reason);
        }
        match result {
            AttemptResult::Responded(response) if response.status.is_server_error() => {
                after_failure(incoming, attempts, response)
            }
            AttemptResult::Responded(response) => NextStep::Done(response),
            AttemptResult::Shed
            | AttemptResult::Misdirected
            | AttemptResult::NotSent(_)
            | AttemptResult::Withheld => NextStep::Retry,
            AttemptResult::Forbidden(kind) => NextStep::Fail(kind),
            AttemptResult::Lost(reason) => after_loss(incoming, reason),
        }
    }

    /// Updates the health, latency and limit of the target.
    fn record_outcome(
        &self,
        incoming: &IncomingRequest,
        target: &RegisteredTarget,
        result: &AttemptResult,
        signals: ResponseSignals,
        latency: Duration,
    ) {
        let latency_target = match self.policy.answer_time_limit.is_on() {
            true => incoming.route.rule.latency_target,
            false => Duration::MAX,
        };
        let now = BootClock.now();
        let began = now.checked_sub(latency).unwrap_or_default();
        self.record_reachability(target, result, began, now);
        match result {
            AttemptResult::Responded(response) if response.status.is_server_error() => {
                target.record_outcome(TargetOutcome::Failed, now);
            }
            AttemptResult::Responded(_) => {
                self.load_counter.record_response(
                    &target.id,
                    latency,
                    incoming.route.rule.latency_target,
                );
                record_response(target, latency, latency_target, now);
            }
            AttemptResult::Shed => {
                self.load_counter.record_lost(&target.id);
                target.record_refusal();
                // A pause ends by itself and says nothing about the target's health.
                if signals.pause.is_none() {
                    target.record_outcome(TargetOutcome::Shed, now);
                }
            }
            // A different view of key ownership says nothing about health.
            AttemptResult::Misdirected | AttemptResult::Withheld => {}
            AttemptResult::Forbidden(_) => {}
            AttemptResult::NotSent(ConnectFailure::OutOfReach) => {}
            AttemptResult::NotSent(failure) => {
                self.metrics.reach.count_failure(failure.as_str());
                if *failure == ConnectFailure::Refused {
                    self.state.borrow().registry.mark_down(target, now);
                }
                target.record_outcome(TargetOutcome::NoResponse, now);
            }
            // The memory of this VM and the dispatcher say nothing about the target.
            AttemptResult::Lost(LossReason::NoMemory | LossReason::Dispatcher) => {}
            AttemptResult::Lost(_) => {
                self.load_counter.record_lost(&target.id);
                target.record_refusal();
                target.record_outcome(TargetOutcome::NoResponse, now);
            }
        }
    }
}

impl RequestWorker {
    /// Applies the signals on a response to what is known of its target.
    ///
    /// `sent` is when the request of this response was sent.
    pub(super) fn apply_signals(
        &self,
        service: &str,
        target: &RegisteredTarget,
        signals: ResponseSignals,
        sent: Timestamp,
    ) {
        self.metrics.count_signals(signals);
        let now = BootClock.now();
        let mut known = target.signals.get();
        let mut changed = false;
        if signals.leaving {
            // Reported with each response, because the mandate holder that received the earlier
            // reports may be gone.
            self.load_counter.record_leaving(target.instance());
            if known.observe_leaving(now) {
                changed = true;
                log_event(EventName::TargetLeaving, &[("target", &target.id)]);
            }
        }
        if let Some(pause) = signals.pause {
            self.load_counter.record_pause(&target.id, pause);
            let jitter = 1.0 + self.rng.borrow_mut().f64() * PAUSE_JITTER_FRACTION;
            if known.observe_pause(pause.mul_f64(jitter), now) {
                changed = true;
                log_pause(target, pause);
            }
        }
        if let Some(limit) = signals.limit.reported() {
            if limit.is_some() || target.may_be_limited() {
                // Reported with each response, because the mandate holder that received the earlier
                // reports may be gone.
                self.load_counter.record_limit(target.instance(), limit);
            }
            if known.observe_limit(limit, sent, now) {
                changed = true;
                log_limit(target, limit);
            }
        }
        target.signals.set(known);
        if changed {
            // Requests that wait for this target select another one or are refused at once.
            target.wait_queue.wake_all();
            self.queue(service).wake_all();
        }
    }
}

/// Records the latency of a response, and that the target may have capacity for more requests.
fn record_response(
    target: &RegisteredTarget,
    latency: Duration,
    latency_target: Duration,
    now: Timestamp,
) {
    // The attempt itself is no longer counted as running.
    let running = target.score.borrow().in_flight + 1;
    target.record_outcome(TargetOutcome::Responded(latency), now);
    target.record_latency(running, latency, latency_target, now);
}

/// Adds an attempt to the state that decides about further attempts.
fn count_attempt(attempts: &mut AttemptState, target: &RegisteredTarget, result: &AttemptResult) {
    attempts.tried.push(target.id.clone());
    match result {
        AttemptResult::Responded(response) if response.status.is_server_error() => {
            attempts.sent += 1;
            attempts.may_have_run = true;
        }
        AttemptResult::Responded(_) => {}
        AttemptResult::Shed => attempts.sent += 1,
        AttemptResult::Misdirected => {
            attempts.misdirected.push(target.id.clone());
            attempts.sent += 1;
        }
        AttemptResult::NotSent(failure) => {
            attempts.unsent += 1;
            let (target, zone) = (target.id.clone(), target.zone.clone());
            attempts.unconnected.push(UnconnectedAttempt { target, zone, failure: *failure });
        }
        AttemptResult::Withheld | AttemptResult::Forbidden(_) => attempts.unsent += 1,
        AttemptResult::Lost(reason) => {
            attempts.sent += 1;
            attempts.may_have_run = true;
            attempts.broken += usize::from(*reason == LossReason::Broken);
        }
    }
}

/// The log text for why an attempt gave no response.
fn retry_reason(result: &AttemptResult) -> Option<&'static str> {
    match result {
        AttemptResult::Responded(_) | AttemptResult::Forbidden(_) => None,
        AttemptResult::NotSent(failure) => Some(failure.as_str()),
        AttemptResult::Withheld => Some("withheld"),
        AttemptResult::Shed | AttemptResult::Misdirected | AttemptResult::Lost(_) => {
            RepeatCause::of(result).map(RepeatCause::as_str)
        }
    }
}

/// Whether the request may run more than once.
pub(super) fn is_repeatable(incoming: &IncomingRequest) -> bool {
    incoming.route.rule.repeat == RepeatClass::Safe
}

/// The next step after a target responded with a server error.
fn after_failure(
    incoming: &IncomingRequest,
    attempts: &mut AttemptState,
    response: TargetResponse,
) -> NextStep {
    if !is_repeatable(incoming) {
        return NextStep::Done(response);
    }
    attempts.response = Some(response);
    NextStep::Retry
}

/// The next step after a request was sent and no usable response arrived.
fn after_loss(incoming: &IncomingRequest, reason: LossReason) -> NextStep {
    // Neither more time nor more memory is expected for another attempt.
    let may_help = !matches!(reason, LossReason::Late | LossReason::NoMemory);
    if is_repeatable(incoming) && may_help {
        return NextStep::Retry;
    }
    NextStep::Fail(reason.error_kind())
}

fn log_retry(incoming: &IncomingRequest, target: &RegisteredTarget, reason: &str) {
    let id = String::from_utf8_lossy(incoming.outgoing.request_id.as_bytes()).into_owned();
    let pairs: [(&str, &dyn std::fmt::Display); 4] = [
        ("request", &id),
        ("target", &target.id),
        ("reason", &reason),
        ("after_ms", &incoming.arrived_at.elapsed().as_millis()),
    ];
    log_event(EventName::RequestRetried, &pairs);
}

/// Logs a response whose status tells callers that the request did not run, although it may have run.
fn log_unmarked_refusal(
    incoming: &IncomingRequest,
    target: &RegisteredTarget,
    result: &AttemptResult,
) {
    let AttemptResult::Responded(response) = result else { return };
    if !response.is_unmarked_refusal() {
        return;
    }
    let id = String::from_utf8_lossy(incoming.outgoing.request_id.as_bytes());
    let pairs: [(&str, &dyn std::fmt::Display); 3] =
        [("request", &id), ("target", &target.id), ("status", &response.status.as_u16())];
    log_event(EventName::RefusalUnmarked, &pairs);
}

fn log_limit(target: &RegisteredTarget, limit: Option<f64>) {
    let rate = limit.map_or("none".to_owned(), |rate| rate.to_string());
    let pairs: [(&str, &dyn std::fmt::Display); 2] = [("target", &target.id), ("rate", &rate)];
    log_event(EventName::TargetLimited, &pairs);
}

fn log_pause(target: &RegisteredTarget, pause: Duration) {
    let pairs: [(&str, &dyn std::fmt::Display); 2] =
        [("target", &target.id), ("pause_ms", &pause.as_millis())];
    log_event(EventName::TargetPaused, &pairs);
}
