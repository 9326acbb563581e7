//! One try of one request at one target.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::response::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use nickellead_core::Timestamp;
use nickellead_time::BootClock;

use crate::connections::{ConnectFailure, ReadyConnection, SharedPool};
use crate::response_signals::ResponseSignals;
use crate::target_registry::RegisteredTarget;
use crate::{HeaderNames, RepeatClass};

/// Largest body of an answer, in bytes: it is read whole before the caller gets any of it.
const ANSWER_MAX: usize = 16 * 1024 * 1024;

/// A request as it is sent, without what differs between tries.
pub(crate) struct OutgoingRequest {
    pub(crate) method: http::Method,
    pub(crate) path_and_query: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) request_id: HeaderValue,
}

/// Where and until when a try is made.
pub(crate) struct AttemptPlan<'a> {
    pub(crate) target: &'a RegisteredTarget,
    pub(crate) repeat: RepeatClass,
    /// For how long it is sent requests after it said that it leaves.
    pub(crate) leaving_window: Duration,
    /// When the try is given up.
    pub(crate) deadline: Instant,
}

/// A whole answer of a target.
#[derive(Debug)]
pub(crate) struct TargetResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// How a try ended.
#[derive(Debug)]
pub(crate) enum AttemptResult {
    /// A whole answer that belongs to the request.
    Responded(TargetResponse),
    /// The target says it did not run the request.
    Shed,
    /// The target is another than the asked one, or does not own the key; it did not run it.
    Misdirected,
    /// Nothing was sent: no connection, or it had ended before.
    NotSent(ConnectFailure),
    /// Nothing was sent: while the connection was made, the target told that it wants no more.
    Withheld,
    /// It was sent, and what came back is no answer to it, or nothing came.
    Lost(LossReason),
}

/// The end of a try, and what the target told of itself by then.
#[derive(Debug)]
pub(crate) struct AttemptEnd {
    pub(crate) result: AttemptResult,
    pub(crate) signals: ResponseSignals,
    /// When the request was sent last.
    pub(crate) sent_at: Timestamp,
}

impl From<AttemptResult> for AttemptEnd {
    /// The end of a try in which the target told nothing of itself.
    fn from(result: AttemptResult) -> Self {
        Self { result, signals: ResponseSignals::default(), sent_at: Timestamp::ZERO }
    }
}

/// Why the outcome of a try is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LossReason {
    /// No whole answer in time.
    Late,
    /// The connection broke or ended.
    Broken,
    /// An answer came that belongs to another request or bears no mark of a target.
    Foreign,
}

impl LossReason {
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Late => "late",
            Self::Broken => "broken",
            Self::Foreign => "foreign",
        }
    }
}

/// Sends a request to one target and reads the whole answer.
pub(crate) async fn run_attempt(
    names: &HeaderNames,
    outgoing: &OutgoingRequest,
    plan: &AttemptPlan<'_>,
) -> AttemptEnd {
    let left = |until: Instant| until.saturating_duration_since(Instant::now());
    loop {
        let taking = plan.target.pool.take(plan.target.address, left(plan.deadline), plan.repeat);
        let mut connection = match taking.await {
            Ok(connection) => connection,
            Err(failure) => return AttemptResult::NotSent(failure).into(),
        };
        let started = BootClock.now();
        if !plan.target.try_take_token(plan.leaving_window, started) {
            plan.target.pool.put(connection.sender, None);
            return AttemptResult::Withheld.into();
        }
        let request = build_request(names, outgoing, plan, left(plan.deadline));
        let sending = connection.sender.try_send_request(request);
        let sent = tokio::time::timeout(left(plan.deadline), sending).await;
        match sent {
            Err(_) => return AttemptResult::Lost(LossReason::Late).into(),
            Ok(Ok(response)) => {
                let (result, signs) =
                    read_answer(names, outgoing, plan, connection, response).await;
                return AttemptEnd { result, signals: signs, sent_at: started };
            }
            Ok(Err(mut error)) => {
                if error.take_message().is_none() {
                    return AttemptResult::Lost(LossReason::Broken).into();
                }
                plan.target.return_token(BootClock.now());
                // The connection had ended before a byte left: take another.
                if !connection.reused {
                    return AttemptResult::NotSent(ConnectFailure::Broken).into();
                }
            }
        }
    }
}

fn build_request(
    names: &HeaderNames,
    outgoing: &OutgoingRequest,
    plan: &AttemptPlan<'_>,
    left: Duration,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    // The caller's path was parsed once already; a path that can't be built is sent as the root
    // and refused by the target, which never happens for a path that passed the first parser.
    if let Ok(uri) = outgoing.path_and_query.parse() {
        *request.uri_mut() = uri;
    }
    let headers = request.headers_mut();
    *headers = outgoing.headers.clone();
    let deadline = HeaderValue::from(left.as_millis() as u64);
    headers.insert(HeaderName::from_static(names.deadline_ms), deadline);
    if let Ok(id) = HeaderValue::from_str(&plan.target.id) {
        headers.insert(HeaderName::from_static(names.expected_target), id);
    }
    request
}

/// Reads an answer; what its head tells of the target counts also when what follows is lost.
async fn read_answer(
    names: &HeaderNames,
    outgoing: &OutgoingRequest,
    plan: &AttemptPlan<'_>,
    connection: ReadyConnection,
    response: Response<Incoming>,
) -> (AttemptResult, ResponseSignals) {
    let (head, body) = response.into_parts();
    let signs = match is_of_target(names, outgoing, plan, &head) {
        true => ResponseSignals::read(names, head.status, &head.headers),
        false => ResponseSignals::default(),
    };
    let result = read_body(names, outgoing, plan, connection, head, body).await;
    (result, signs)
}

/// Whether the asked target made an answer: another one may have its address by now, and an extra answer
/// may come in the place of the next one.
fn is_of_target(
    names: &HeaderNames,
    outgoing: &OutgoingRequest,
    plan: &AttemptPlan<'_>,
    head: &Parts,
) -> bool {
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        let answering = head.headers.get(names.answering_target);
        return answering.is_some_and(|id| id.as_bytes() == plan.target.id.as_bytes());
    }
    let owned = head.headers.get(names.request_id) == Some(&outgoing.request_id);
    owned || head.headers.contains_key(names.not_run)
}

async fn read_body(
    names: &HeaderNames,
    outgoing: &OutgoingRequest,
    plan: &AttemptPlan<'_>,
    connection: ReadyConnection,
    head: Parts,
    body: Incoming,
) -> AttemptResult {
    let owned = head.headers.get(names.request_id) == Some(&outgoing.request_id);
    let shed = head.headers.contains_key(names.not_run);
    let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
    if !owned && !shed && !misdirected {
        return AttemptResult::Lost(LossReason::Foreign);
    }
    let left = plan.deadline.saturating_duration_since(Instant::now());
    let collected = tokio::time::timeout(left, Limited::new(body, ANSWER_MAX).collect()).await;
    let body = match collected {
        Err(_) => return unless_refused(shed, misdirected, LossReason::Late),
        Ok(Err(_)) => return unless_refused(shed, misdirected, LossReason::Broken),
        Ok(Ok(body)) => body.to_bytes(),
    };
    put_back(&plan.target.pool, connection, &head.headers);
    if misdirected {
        return AttemptResult::Misdirected;
    }
    if shed {
        return AttemptResult::Shed;
    }
    if head.status.is_success() && !head.headers.contains_key(names.target_proof) {
        return AttemptResult::Lost(LossReason::Foreign);
    }
    AttemptResult::Responded(TargetResponse { status: head.status, headers: head.headers, body })
}

/// A refusal stands even when its body is cut.
fn unless_refused(shed: bool, misdirected: bool, reason: LossReason) -> AttemptResult {
    match (misdirected, shed) {
        (true, _) => AttemptResult::Misdirected,
        (false, true) => AttemptResult::Shed,
        (false, false) => AttemptResult::Lost(reason),
    }
}

fn put_back(pool: &SharedPool, connection: ReadyConnection, headers: &HeaderMap) {
    let closes = headers.get(http::header::CONNECTION).is_some_and(|value| {
        value.to_str().is_ok_and(|value| value.to_ascii_lowercase().contains("close"))
    });
    if !closes {
        pool.put(connection.sender, kept_for(headers));
    }
}

/// How long the target keeps an idle connection, from its `Keep-Alive` header.
fn kept_for(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}
