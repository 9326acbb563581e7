//! One attempt to send one request to one target.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::response::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use nickellead_core::{ErrorKind, Timestamp};
use nickellead_limit::HeldBytes;
use nickellead_proxy::RequestBody;
use nickellead_quarantine::{RequestContent, RequestMark};
use nickellead_time::BootClock;

use crate::connections::{ConnectFailure, IdDigest, ReadyConnection, SendFailure, SharedPool};
use crate::registered_target::RegisteredTarget;
use crate::response_body::{ResponseScale, drain_refusal, read_response_body};
use crate::response_signals::ResponseSignals;
use crate::sent_body::SentBody;
use crate::{HeaderNames, RepeatClass};

/// The part of a request that is the same for all attempts.
pub(crate) struct OutgoingRequest {
    pub(crate) method: http::Method,
    pub(crate) path_and_query: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: RequestBody,
    pub(crate) request_id: HeaderValue,
}

impl OutgoingRequest {
    /// The mark of all requests with the same content from this workspace.
    pub(crate) fn mark(&self, workspace: Option<&str>) -> RequestMark {
        let host = self.headers.get(http::header::HOST);
        let body: Vec<&[u8]> = self.body.parts().collect();
        RequestMark::of(&RequestContent {
            workspace,
            host: host.map_or(&[], |host| host.as_bytes()),
            method: self.method.as_str(),
            path_and_query: &self.path_and_query,
            body: &body,
        })
    }
}

/// Parameters of one attempt.
pub(crate) struct AttemptPlan<'a> {
    pub(crate) target: &'a RegisteredTarget,
    pub(crate) repeat: RepeatClass,
    /// How large the responses of the route are.
    pub(crate) scale: ResponseScale,
    /// How long the target still gets requests after it signalled that it is leaving.
    pub(crate) leaving_window: Duration,
    /// When the attempt times out.
    pub(crate) deadline: Instant,
    /// Checks, directly before the request is sent, whether it may be.
    pub(crate) permit: &'a dyn Fn() -> Result<SendPermission, ErrorKind>,
}

/// What a request that may be sent tells the target about its workspace.
pub(crate) struct SendPermission {
    /// Name of the workspace, if the request has one.
    pub(crate) workspace: Option<HeaderValue>,
    /// Whether the caller's key is removed, because it belongs to a workspace.
    pub(crate) hides_key: bool,
}

/// A complete response of a target.
#[derive(Debug)]
pub(crate) struct TargetResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The bytes of the body.
    pub(crate) held: HeldBytes,
}

impl TargetResponse {
    /// Whether its status tells callers that the request did not run, although the target does not say so.
    pub(crate) fn is_unmarked_refusal(&self) -> bool {
        matches!(
            self.status,
            StatusCode::REQUEST_TIMEOUT
                | StatusCode::TOO_MANY_REQUESTS
                | StatusCode::SERVICE_UNAVAILABLE
        )
    }
}

/// The result of an attempt.
#[derive(Debug)]
pub(crate) enum AttemptResult {
    /// A complete response to this request.
    Responded(TargetResponse),
    /// The target refused the request without running it.
    Shed,
    /// The address belongs to another target, or the target does not own the key; the request did
    /// not run.
    Misdirected,
    /// Nothing was sent, because no connection was available.
    NotSent(ConnectFailure),
    /// Nothing was sent, because the target's limits or signals changed while connecting.
    Withheld,
    /// Nothing was sent, because the request may no longer be served.
    Forbidden(ErrorKind),
    /// The request was sent, but no valid response arrived; it may have run.
    Lost(LossReason),
}

impl AttemptResult {
    /// Whether the target may have run the request.
    pub(crate) fn may_have_run(&self) -> bool {
        matches!(self, Self::Responded(_) | Self::Lost(_))
    }

    /// The result in metrics.
    pub(crate) fn as_str(&self) -> &'static str {
        match self {
            Self::Responded(response) if response.is_unmarked_refusal() => "unmarked-refusal",
            Self::Responded(response) if response.status.is_server_error() => "failed",
            Self::Responded(_) => "responded",
            Self::Shed => "shed",
            Self::Misdirected => "not-owner",
            Self::NotSent(failure) => failure.as_str(),
            Self::Withheld => "withheld",
            Self::Forbidden(_) => "forbidden",
            Self::Lost(reason) => reason.as_str(),
        }
    }
}

/// The result of an attempt, with the signals that the target sent by then.
#[derive(Debug)]
pub(crate) struct AttemptEnd {
    pub(crate) result: AttemptResult,
    pub(crate) signals: ResponseSignals,
    /// When the request was last sent; zero if it was not.
    pub(crate) sent_at: Timestamp,
}

impl AttemptEnd {
    /// An attempt that was sent and got no response.
    fn lost(reason: LossReason, sent_at: Timestamp) -> Self {
        let result = AttemptResult::Lost(reason);
        Self { result, signals: ResponseSignals::default(), sent_at }
    }
}

impl From<AttemptResult> for AttemptEnd {
    /// An attempt that was not sent.
    fn from(result: AttemptResult) -> Self {
        Self { result, signals: ResponseSignals::default(), sent_at: Timestamp::ZERO }
    }
}

/// Why the outcome of an attempt is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LossReason {
    /// No complete response arrived before the deadline.
    Late,
    /// The connection failed or was closed.
    Broken,
    /// The response has another id or none, or was not made by a target.
    Foreign,
    /// What came is no response, or its head or body is larger than it may be.
    Malformed,
    /// The response did not fit into the memory of this VM.
    NoMemory,
    /// The dispatcher that the request was handed to was lost.
    Dispatcher,
}

impl LossReason {
    /// The error for a request whose outcome is unknown for this reason.
    pub(crate) const fn error_kind(self) -> ErrorKind {
        match self {
            Self::Late => ErrorKind::AnswerLate,
            Self::Broken | Self::Dispatcher => ErrorKind::AnswerLost,
            Self::Foreign | Self::Malformed => ErrorKind::AnswerMalformed,
            Self::NoMemory => ErrorKind::AnswerUnheld,
        }
    }

    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Late => "late",
            Self::Broken => "broken",
            Self::Foreign => "foreign",
            Self::Malformed => "malformed",
            Self::NoMemory => "no-memory",
            Self::Dispatcher => "dispatcher-lost",
        }
    }
}

/// Sends a request to one target and reads the complete response, for which `held` has room.
pub(crate) async fn run_attempt(
    names: &HeaderNames,
    outgoing: &OutgoingRequest,
    plan: &AttemptPlan<'_>,
    held: HeldBytes,
) -> AttemptEnd {
    let remaining = |deadline: Instant| deadline.saturating_duration_since(Instant::now());
    let pool = &plan.target.pool;
    let id = IdDigest::of(&outgoing.request_id);
    loop {
        let acquiring =
            pool.take(plan.target.address, remaining(plan.deadline), plan.repeat, Some(id));
        let mut connection = match acquiring.await {
            Ok(connection) => connection,
            Err(failure) => return AttemptResult::NotSent(failure).into(),
        };
        let left = remaining(plan.deadline);
        let permission = match (plan.permit)() {
            Ok(permission) if !left.is_zero() => permission,
            refused => {
                pool.put(connection, None);
                let kind = refused.err().unwrap_or(ErrorKind::Overloaded);
                return AttemptResult::Forbidden(kind).into();
            }
        };
        let sent_at = BootClock.now();
        if !plan.target.try_take_token(plan.leaving_window, sent_at) {
            pool.put(connection, None);
            return AttemptResult::Withheld.into();
        }
        let request = build_request(names, outgoing, plan, permission, left);
        connection.record_sent(id);
        let sending = connection.send(request);
        let sent = tokio::time::timeout(remaining(plan.deadline), sending).await;
        match sent {
            Err(_) => return AttemptEnd::lost(LossReason::Late, sent_at),
            Ok(Ok(response)) => {
                let (result, signals) =
                    read_response(names, outgoing, plan, connection, response, held).await;
                return AttemptEnd { result, signals, sent_at };
            }
            Ok(Err(mut error)) => {
                if error.take_message().is_none() {
                    return AttemptEnd::lost(failure_reason(&connection, &error), sent_at);
                }
                plan.target.return_token(BootClock.now());
                // The idle connection was already closed and nothing was sent: use another one.
                if !connection.reused {
                    return AttemptResult::NotSent(ConnectFailure::Broken).into();
                }
            }
        }
    }
}

/// Why a request that was sent has no response.
fn failure_reason(connection: &ReadyConnection, failure: &SendFailure) -> LossReason {
    match connection.is_head_malformed(failure) {
        true => LossReason::Malformed,
        false => LossReason::Broken,
    }
}

fn build_request(
    names: &HeaderNames,
    outgoing: &OutgoingRequest,
    plan: &AttemptPlan<'_>,
    permission: SendPermission,
    remaining: Duration,
) -> Request<SentBody> {
    let mut request = Request::new(SentBody(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    // The caller's path was parsed before, so this does not fail; if it did, the target would
    // refuse the root path.
    if let Ok(uri) = outgoing.path_and_query.parse() {
        *request.uri_mut() = uri;
    }
    let headers = request.headers_mut();
    *headers = outgoing.headers.clone();
    if permission.hides_key {
        headers.remove(http::header::AUTHORIZATION);
    }
    if let Some(workspace) = permission.workspace {
        headers.insert(HeaderName::from_static(names.workspace), workspace);
    }
    let deadline = HeaderValue::from(remaining.as_millis() as u64);
    headers.insert(HeaderName::from_static(names.deadline_ms), deadline);
    if let Ok(id) = HeaderValue::from_str(&plan.target.id) {
        headers.insert(HeaderName::from_static(names.expected_target), id);
    }
    request
}

/// Reads a response; the signals in its head are kept even if its body is lost.
///
/// Nothing is believed of a response before it is known to answer this request.
async fn read_response(
    names: &HeaderNames,
    outgoing: &OutgoingRequest,
    plan: &AttemptPlan<'_>,
    connection: ReadyConnection,
    response: Response<Incoming>,
    held: HeldBytes,
) -> (AttemptResult, ResponseSignals) {
    let (head, body) = response.into_parts();
    if !answers_request(names, outgoing, &head) || !is_proved(names, &head) {
        return (AttemptResult::Lost(LossReason::Foreign), ResponseSignals::default());
    }
    let signals = match is_from_target(names, plan, &head) {
        true => ResponseSignals::read(names, head.status, &head.headers),
        false => ResponseSignals::default(),
    };
    let result = read_body(names, plan, connection, (head, body), held).await;
    (result, signals)
}

/// Whether a response answers this request, and not an earlier one on the same connection.
///
/// Targets return the id of the request with every response, refusals included, and each request that is
/// sent has an id, which the connection has not carried before.
fn answers_request(names: &HeaderNames, outgoing: &OutgoingRequest, head: &Parts) -> bool {
    // No request asks to switch protocols, and the HTTP client skips other informational heads.
    if head.status.is_informational() {
        return false;
    }
    let mut ids = head.headers.get_all(names.request_id).iter();
    ids.next() == Some(&outgoing.request_id) && ids.next().is_none()
}

/// Whether a response bears the proof that a target made it, which only successes need.
fn is_proved(names: &HeaderNames, head: &Parts) -> bool {
    let is_success = head.status.is_success() && !head.headers.contains_key(names.not_run);
    !is_success || head.headers.contains_key(names.target_proof)
}

/// Whether a response to this request was made by the requested target: another one may have taken over
/// the address.
fn is_from_target(names: &HeaderNames, plan: &AttemptPlan<'_>, head: &Parts) -> bool {
    if head.status != StatusCode::MISDIRECTED_REQUEST {
        return true;
    }
    let responding_target = head.headers.get(names.answering_target);
    responding_target.is_some_and(|id| id.as_bytes() == plan.target.id.as_bytes())
}

async fn read_body(
    names: &HeaderNames,
    plan: &AttemptPlan<'_>,
    connection: ReadyConnection,
    (head, body): (Parts, Incoming),
    mut held: HeldBytes,
) -> AttemptResult {
    if let Some(refusal) = read_refusal(names, &head) {
        // A refusal is valid without its body.
        if drain_refusal(body).await {
            return_connection(&plan.target.pool, connection, &head.headers);
        }
        return refusal;
    }
    let remaining = plan.deadline.saturating_duration_since(Instant::now());
    let reading = read_response_body(body, plan.scale, &mut held);
    let read = tokio::time::timeout(remaining, reading).await.unwrap_or(Err(LossReason::Late));
    let body = match read {
        Err(reason) => return AttemptResult::Lost(reason),
        Ok(body) => body,
    };
    return_connection(&plan.target.pool, connection, &head.headers);
    let (status, headers) = (head.status, head.headers);
    AttemptResult::Responded(TargetResponse { status, headers, body, held })
}

/// The refusal that a response to this request is, if it is one.
fn read_refusal(names: &HeaderNames, head: &Parts) -> Option<AttemptResult> {
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return Some(AttemptResult::Misdirected);
    }
    head.headers.contains_key(names.not_run).then_some(AttemptResult::Shed)
}

fn return_connection(pool: &SharedPool, connection: ReadyConnection, headers: &HeaderMap) {
    let will_close = headers.get(http::header::CONNECTION).is_some_and(|value| {
        value.to_str().is_ok_and(|value| value.to_ascii_lowercase().contains("close"))
    });
    if !will_close {
        pool.put(connection, idle_timeout(headers));
    }
}

/// The target's idle timeout, from its `Keep-Alive` header.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout =
        value.split(',').find_map(|directive| directive.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}
