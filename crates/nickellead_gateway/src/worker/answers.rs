//! What the caller gets: a target's answer, or a refusal.

use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::{HeaderValue, RETRY_AFTER};
use actix_http::{ConnectionType, HttpMessage, Request, Response, StatusCode};
use nickellead_core::ErrorKind;
use nickellead_event::{EventName, log_event};
use nickellead_proxy::{error_response, is_connection_header};

use super::RequestWorker;
use crate::exchange::TargetAnswer;
use crate::incoming::PlannedRequest;

/// Part of the time left within which a caller may be asked to come back.
const COME_BACK_PART: u32 = 6;
/// One answered request in this many is logged: enough to compare with, and cheap.
const SAMPLE: u64 = 64;

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
        planned: Option<&PlannedRequest>,
    ) -> Response<BoxBody> {
        self.metrics.count_error(kind);
        self.log_failure(id, planned, kind);
        let mut response = error_response(kind);
        if let Some(wait) = come_back_time(kind, planned) {
            let seconds = format!("{:.3}", wait.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }

    fn log_failure(&self, id: &str, planned: Option<&PlannedRequest>, kind: ErrorKind) {
        let route = planned.map_or("-", |planned| &planned.route.rule.name);
        let after = planned.map_or(0, |planned| planned.arrived.elapsed().as_millis());
        let pairs: [(&str, &dyn std::fmt::Display); 5] = [
            ("request", &id),
            ("route", &route),
            ("error", &kind.answer().code),
            ("after_ms", &after),
            ("version", &self.beliefs.borrow().version.unwrap_or_default()),
        ];
        log_event(EventName::RequestFailed, &pairs);
    }

    /// Logs one in [`SAMPLE`] answered requests, chosen by the id: the same ones on every VM.
    pub(super) fn log_sample(&self, id: &str, planned: &PlannedRequest, answer: &TargetAnswer) {
        if !xxhash_rust::xxh3::xxh3_64(id.as_bytes()).is_multiple_of(SAMPLE) {
            return;
        }
        let pairs: [(&str, &dyn std::fmt::Display); 5] = [
            ("request", &id),
            ("route", &planned.route.rule.name),
            ("status", &answer.status.as_u16()),
            ("after_ms", &planned.arrived.elapsed().as_millis()),
            ("version", &self.beliefs.borrow().version.unwrap_or_default()),
        ];
        log_event(EventName::RequestAnswered, &pairs);
    }
}

/// After which time a caller is asked to come back, if at all: well within the time it has left.
fn come_back_time(kind: ErrorKind, planned: Option<&PlannedRequest>) -> Option<Duration> {
    let usual = Duration::from_millis(u64::from(kind.answer().retry_after_ms?));
    let left = planned.map_or(usual, PlannedRequest::left);
    Some(usual.min(left / COME_BACK_PART))
}

/// A target's answer as it goes to the caller.
pub(super) fn pass_on(answer: TargetAnswer) -> Response<BoxBody> {
    let status = StatusCode::from_u16(answer.status.as_u16()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = Response::build(status);
    for (name, value) in &answer.headers {
        if !is_connection_header(name.as_str()) {
            builder.append_header((name.as_str(), value.as_bytes()));
        }
    }
    builder.body(answer.body).map_into_boxed_body()
}
