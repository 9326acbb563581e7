//! Builds what the caller receives: the target's response, or a refusal.

use std::time::{Duration, Instant};

use actix_http::body::BoxBody;
use actix_http::header::{HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE};
use actix_http::{ConnectionType, HttpMessage, Request, Response, StatusCode};
use nickellead_core::ErrorKind;
use nickellead_event::{EventName, log_event};
use nickellead_proxy::{error_response, hold_until_sent, is_connection_header};

use super::{RequestWorker, WorkerState};
use crate::WeightedService;
use crate::exchange::TargetResponse;
use crate::incoming::IncomingRequest;
use crate::log_sample::is_logged;

/// Shortest delay before a retry of a request that exceeded the quota of its workspace.
const MIN_QUOTA_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Shortest delay before a retry of a request for which there was no room.
const MIN_CAPACITY_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Delay before a retry when a response can no longer meet the latency target, as a fraction of the
/// time until the caller's deadline. Most callers can then retry more than once.
const LATE_RETRY_FRACTION_OF_REMAINING: f64 = 0.25;
/// Expected response time, as a fraction of the route's latency target.
const RESPONSE_FRACTION_OF_LATENCY_TARGET: f64 = 0.5;
/// Upper bound of the delay before a retry, as a fraction of the time that remains in which a retry
/// can still meet the latency target.
const RETRY_FRACTION_OF_SPARE_TIME: f64 = 0.5;
/// Width of the jitter of `Retry-After`, as a fraction of the delay. It keeps callers that were
/// refused together from retrying together.
const RETRY_JITTER_FRACTION: f64 = 0.6;

impl RequestWorker {
    /// Refuses a request that arrived while the VM is stopping.
    pub(crate) fn refuse_stopping(&self, request: &Request) -> Response<BoxBody> {
        self.refuse(ErrorKind::Stopping, &self.request_id(request), None)
    }

    /// The caller's request id for the log, or `-`.
    pub(super) fn request_id(&self, request: &Request) -> String {
        let id = request.headers().get(self.header_names.request_id);
        id.map_or("-".to_owned(), |id| String::from_utf8_lossy(id.as_bytes()).into_owned())
    }

    /// Refuses a request whose head or body was not read completely. Closes the connection where
    /// the unread rest would be parsed as the next request.
    pub(super) fn refuse_unread(&self, kind: ErrorKind, id: &str) -> Response<BoxBody> {
        let mut response = self.refuse(kind, id, None);
        if matches!(
            kind,
            ErrorKind::RequestMalformed
                | ErrorKind::HeadTooLarge
                | ErrorKind::BodyTooLarge
                | ErrorKind::BodyTruncated
                | ErrorKind::BodyLate
                | ErrorKind::MemoryFull
        ) {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        response
    }

    /// Refuses a request, with a `Retry-After` header if a retry may succeed.
    pub(super) fn refuse(
        &self,
        kind: ErrorKind,
        id: &str,
        incoming: Option<&IncomingRequest>,
    ) -> Response<BoxBody> {
        self.metrics.count_error(kind, incoming.map(IncomingRequest::main_service));
        self.log_failure(id, incoming, kind);
        let mut response = error_response(kind);
        if kind == ErrorKind::Unauthenticated {
            let scheme = HeaderValue::from_static("Bearer");
            response.headers_mut().insert(WWW_AUTHENTICATE, scheme);
        }
        let assisted_wait = incoming.and_then(|incoming| incoming.assisted_retry_after.get());
        if let Some(wait) = assisted_wait.or_else(|| self.advise_retry(kind, incoming)) {
            let seconds = format!("{:.3}", wait.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }

    /// How long the caller of a refused request is to wait before it retries; `None` if a retry does
    /// not help.
    pub(super) fn advise_retry(
        &self,
        kind: ErrorKind,
        incoming: Option<&IncomingRequest>,
    ) -> Option<Duration> {
        let jitter =
            1.0 - RETRY_JITTER_FRACTION / 2.0 + self.rng.borrow_mut().f64() * RETRY_JITTER_FRACTION;
        let told_wait = incoming.and_then(|incoming| self.told_retry_after(kind, incoming));
        let estimated_wait = || Some(self.retry_after(kind, incoming)?.mul_f64(jitter));
        told_wait.or_else(estimated_wait)
    }

    /// The delay after which a dispatcher expects room for a refused request.
    ///
    /// No two callers are told the same time, so it is used as it is.
    fn told_retry_after(&self, kind: ErrorKind, incoming: &IncomingRequest) -> Option<Duration> {
        if kind != ErrorKind::Overloaded || !self.policy.come_back_time.is_on() {
            return None;
        }
        incoming.capacity_retry_after.get().map(|wait| wait.max(MIN_CAPACITY_RETRY_DELAY))
    }

    /// The delay after which the caller should retry, or `None` if the error kind has none.
    ///
    /// The caller retries while a response can still meet the latency target, and otherwise at a
    /// point where capacity is more likely to be free.
    fn retry_after(&self, kind: ErrorKind, incoming: Option<&IncomingRequest>) -> Option<Duration> {
        let default_delay = Duration::from_millis(u64::from(kind.response().retry_after_ms?));
        let Some(incoming) = incoming.filter(|_| self.policy.come_back_time.is_on()) else {
            return Some(default_delay);
        };
        if kind == ErrorKind::TargetPaused {
            // An earlier retry would be refused again. Only the caller knows whether a later one is
            // useful.
            return Some(
                self.remaining_pause(incoming)
                    .max(default_delay)
                    .div_f64(1.0 - RETRY_JITTER_FRACTION / 2.0),
            );
        }
        if kind == ErrorKind::RequestQuarantined {
            // An earlier retry would be refused again.
            let left = self.quarantine.time_left(incoming.mark());
            return Some(left.max(default_delay).div_f64(1.0 - RETRY_JITTER_FRACTION / 2.0));
        }
        if kind == ErrorKind::QuotaExceeded {
            // An earlier retry would be refused again.
            let delay = incoming.quota_retry_after.get().max(MIN_QUOTA_RETRY_DELAY);
            return Some(delay.div_f64(1.0 - RETRY_JITTER_FRACTION / 2.0));
        }
        let response_time =
            incoming.route.rule.latency_target.mul_f64(RESPONSE_FRACTION_OF_LATENCY_TARGET);
        let spare =
            incoming.latency_deadline().saturating_duration_since(Instant::now() + response_time);
        Some(match spare.is_zero() {
            true => incoming.remaining().mul_f64(LATE_RETRY_FRACTION_OF_REMAINING),
            false => default_delay.min(spare.mul_f64(RETRY_FRACTION_OF_SPARE_TIME)),
        })
    }

    /// Logs why a request failed, with the cached state behind the decision and its age.
    fn log_failure(&self, id: &str, incoming: Option<&IncomingRequest>, kind: ErrorKind) {
        let state = self.state.borrow();
        let code = kind.response().code;
        let version = state.version.unwrap_or_default();
        let keys_age = self.keys_age(&state).as_millis();
        let Some(incoming) = incoming else {
            let pairs: [(&str, &dyn std::fmt::Display); 4] = [
                ("request", &id),
                ("error", &code),
                ("version", &version),
                ("keys_age_ms", &keys_age),
            ];
            return log_event(EventName::RequestFailed, &pairs);
        };
        let after = incoming.arrived_at.elapsed().as_millis();
        let age = incoming.caller_age.as_millis();
        let ages = [state.updated.declarations, state.updated.targets, state.updated.ranges]
            .map(|updated| updated.elapsed().as_millis());
        let mut pairs: Vec<(&str, &dyn std::fmt::Display)> = vec![
            ("request", &id),
            ("route", &incoming.route.rule.name),
            ("error", &code),
            ("after_ms", &after),
            ("caller_age_ms", &age),
            ("version", &version),
            ("config_age_ms", &ages[0]),
            ("targets_age_ms", &ages[1]),
            ("keys_age_ms", &keys_age),
        ];
        let crashes = (kind == ErrorKind::RequestQuarantined).then(|| {
            let mark = incoming.mark();
            (mark, self.quarantine.describe_falls(mark))
        });
        if let Some((mark, fallen)) = &crashes {
            pairs.extend([("mark", mark as &dyn std::fmt::Display), ("fallen", fallen)]);
        }
        if let Some(workspace) = &incoming.workspace {
            pairs.push(("workspace", &workspace.name));
        }
        if let Some((service, key)) = owned_key(&state, incoming) {
            pairs.extend([("key", key as &dyn std::fmt::Display), ("ranges_age_ms", &ages[2])]);
            if let Some(range) = state.ranges.find(service, *key) {
                pairs.push(("fence", &range.fence));
                pairs.extend(range.owner.iter().map(|owner| ("owner", &owner.id as _)));
            }
        }
        log_event(EventName::RequestFailed, &pairs);
    }

    /// Logs an answered request if it is one of the logged sample.
    pub(super) fn log_sample(
        &self,
        id: &str,
        incoming: &IncomingRequest,
        response: &TargetResponse,
    ) {
        if !is_logged(id.as_bytes()) {
            return;
        }
        let pairs: [(&str, &dyn std::fmt::Display); 5] = [
            ("request", &id),
            ("route", &incoming.route.rule.name),
            ("status", &response.status.as_u16()),
            ("after_ms", &incoming.arrived_at.elapsed().as_millis()),
            ("version", &self.state.borrow().version.unwrap_or_default()),
        ];
        log_event(EventName::RequestAnswered, &pairs);
    }
}

/// The service and key that determine the owner, or `None` if the route has no sharded service.
fn owned_key<'a>(state: &WorkerState, incoming: &'a IncomingRequest) -> Option<(&'a str, &'a u16)> {
    let sharded = |weighted: &&WeightedService| state.is_sharded(&weighted.service);
    let weighted = incoming.route.rule.split.iter().find(sharded)?;
    Some((&weighted.service, incoming.key.as_ref()?))
}

/// Converts a target's response for the caller, without connection headers.
pub(super) fn forward_response(response: TargetResponse) -> Response<BoxBody> {
    let status = StatusCode::from_u16(response.status.as_u16()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = Response::build(status);
    for (name, value) in &response.headers {
        if !is_connection_header(name.as_str()) {
            builder.append_header((name.as_str(), value.as_bytes()));
        }
    }
    let mut forwarded = builder.body(response.body).map_into_boxed_body();
    hold_until_sent(&mut forwarded, response.held);
    forwarded
}
