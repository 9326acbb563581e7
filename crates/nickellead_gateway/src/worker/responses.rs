//! What the caller gets: a target's answer, or a refusal.

use std::time::{Duration, Instant};

use actix_http::body::BoxBody;
use actix_http::header::{HeaderValue, RETRY_AFTER};
use actix_http::{ConnectionType, HttpMessage, Request, Response, StatusCode};
use nickellead_core::ErrorKind;
use nickellead_event::{EventName, REQUEST_ANSWERED_SAMPLE_INTERVAL, log_event};
use nickellead_proxy::{error_response, is_connection_header};

use super::{RequestWorker, WorkerState};
use crate::WeightedService;
use crate::exchange::TargetResponse;
use crate::incoming::IncomingRequest;

/// A caller whose answer can't be in time any more is asked to come back after this part of the time
/// that it has left: most callers come back twice, and by then the rush may be over.
const LATE_PART: f64 = 0.25;
/// Part of the latency target that an answer takes, as far as anybody can tell before it is asked for.
const ANSWER_PART: f64 = 0.5;
/// A caller is asked to come back when this part of the time has passed in which it can still be in
/// time: its second try is in the middle of it.
const SPARE_PART: f64 = 0.5;
/// Callers that were refused at the same moment come back spread over this part of their pause.
const SPREAD: f64 = 0.6;

impl RequestWorker {
    /// Refuses a request that came as the VM was about to end.
    pub(crate) fn refuse_stopping(&self, request: &Request) -> Response<BoxBody> {
        self.refuse(ErrorKind::Stopping, &self.request_id(request), None)
    }

    /// The id that a caller gave its request, for logs.
    pub(super) fn request_id(&self, request: &Request) -> String {
        let id = request.headers().get(self.names.request_id);
        id.map_or("-".to_owned(), |id| String::from_utf8_lossy(id.as_bytes()).into_owned())
    }

    /// Refuses a request whose head or body was not read to its end.
    pub(super) fn refuse_unread(&self, kind: ErrorKind, id: &str) -> Response<BoxBody> {
        let mut response = self.refuse(kind, id, None);
        if matches!(
            kind,
            ErrorKind::RequestMalformed
                | ErrorKind::HeadTooLarge
                | ErrorKind::BodyTooLarge
                | ErrorKind::BodyTruncated
        ) {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        response
    }

    /// Refuses a request, and says when to come back if that may help.
    pub(super) fn refuse(
        &self,
        kind: ErrorKind,
        id: &str,
        planned: Option<&IncomingRequest>,
    ) -> Response<BoxBody> {
        self.metrics.count_error(kind, planned.map(IncomingRequest::main_service));
        self.log_failure(id, planned, kind);
        let mut response = error_response(kind);
        let spread = 1.0 - SPREAD / 2.0 + self.rng.borrow_mut().f64() * SPREAD;
        if let Some(wait) = self.come_back_time(kind, planned) {
            let wait = wait.mul_f64(spread);
            let seconds = format!("{:.3}", wait.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }

    /// After which time a caller is asked to come back, if at all: while an answer can still be in
    /// time, or else when it is likelier to find room.
    fn come_back_time(
        &self,
        kind: ErrorKind,
        planned: Option<&IncomingRequest>,
    ) -> Option<Duration> {
        let usual = Duration::from_millis(u64::from(kind.response().retry_after_ms?));
        let Some(planned) = planned.filter(|_| self.policy.come_back_time.is_on()) else {
            return Some(usual);
        };
        if kind == ErrorKind::TargetPaused {
            // Sooner it would be refused again; whether that is in time, the caller knows best.
            return Some(self.pause_left(planned).max(usual).div_f64(1.0 - SPREAD / 2.0));
        }
        let answer = planned.route.rule.latency_target.mul_f64(ANSWER_PART);
        let spare = planned.latency_deadline().saturating_duration_since(Instant::now() + answer);
        Some(match spare.is_zero() {
            true => planned.remaining().mul_f64(LATE_PART),
            false => usual.min(spare.mul_f64(SPARE_PART)),
        })
    }

    /// Logs why a request failed, with the beliefs that decided it and their ages.
    fn log_failure(&self, id: &str, planned: Option<&IncomingRequest>, kind: ErrorKind) {
        let beliefs = self.beliefs.borrow();
        let code = kind.response().code;
        let version = beliefs.version.unwrap_or_default();
        let Some(planned) = planned else {
            let pairs: [(&str, &dyn std::fmt::Display); 3] =
                [("request", &id), ("error", &code), ("version", &version)];
            return log_event(EventName::RequestFailed, &pairs);
        };
        let after = planned.arrived_at.elapsed().as_millis();
        let age = planned.caller_age.as_millis();
        let ages = [beliefs.taken.declarations, beliefs.taken.targets, beliefs.taken.ranges]
            .map(|taken| taken.elapsed().as_millis());
        let mut pairs: Vec<(&str, &dyn std::fmt::Display)> = vec![
            ("request", &id),
            ("route", &planned.route.rule.name),
            ("error", &code),
            ("after_ms", &after),
            ("caller_age_ms", &age),
            ("version", &version),
            ("config_age_ms", &ages[0]),
            ("targets_age_ms", &ages[1]),
        ];
        if let Some((service, key)) = divided_key(&beliefs, planned) {
            pairs.extend([("key", key as &dyn std::fmt::Display), ("ranges_age_ms", &ages[2])]);
            if let Some(range) = beliefs.ranges.find(service, *key) {
                pairs.push(("fence", &range.fence));
                pairs.extend(range.owner.iter().map(|owner| ("owner", &owner.id as _)));
            }
        }
        log_event(EventName::RequestFailed, &pairs);
    }

    /// Logs one in [`REQUEST_ANSWERED_SAMPLE_INTERVAL`] answered requests, chosen by the id: the same ones on every VM.
    pub(super) fn log_sample(&self, id: &str, planned: &IncomingRequest, answer: &TargetResponse) {
        if !xxhash_rust::xxh3::xxh3_64(id.as_bytes())
            .is_multiple_of(REQUEST_ANSWERED_SAMPLE_INTERVAL)
        {
            return;
        }
        let pairs: [(&str, &dyn std::fmt::Display); 5] = [
            ("request", &id),
            ("route", &planned.route.rule.name),
            ("status", &answer.status.as_u16()),
            ("after_ms", &planned.arrived_at.elapsed().as_millis()),
            ("version", &self.beliefs.borrow().version.unwrap_or_default()),
        ];
        log_event(EventName::RequestAnswered, &pairs);
    }
}

/// The key that decides the owner, with the service whose keys have owners; `None` if nothing
/// depends on them.
fn divided_key<'a>(
    beliefs: &WorkerState,
    planned: &'a IncomingRequest,
) -> Option<(&'a str, &'a u16)> {
    let divided = |part: &&WeightedService| beliefs.is_divided(&part.service);
    let part = planned.route.rule.split.iter().find(divided)?;
    Some((&part.service, planned.key.as_ref()?))
}

/// A target's answer as it goes to the caller.
pub(super) fn pass_on(answer: TargetResponse) -> Response<BoxBody> {
    let status = StatusCode::from_u16(answer.status.as_u16()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = Response::build(status);
    for (name, value) in &answer.headers {
        if !is_connection_header(name.as_str()) {
            builder.append_header((name.as_str(), value.as_bytes()));
        }
    }
    builder.body(answer.body).map_into_boxed_body()
}
