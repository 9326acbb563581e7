//! One exchange with a target: exactly one request and at most one response.

use std::time::Duration;

use actix_http::RequestHead;
use awc::error::{ConnectError, SendRequestError};
use awc::http::{Method, StatusCode, Version, header};
use awc::{Client, ClientResponse};
use nickellead_core::{Epoch, ErrorKind, ShardIndex};
use nickellead_route::TargetRoute;

use crate::deadline::Deadline;
use crate::headers::{
    DEADLINE_HEADER, EPOCH_HEADER, REQUEST_ID_HEADER, SHARD_HEADER, is_forwarded,
};
use crate::request_body::RequestBody;
use crate::transport::{ConnectionHandle, observe_connection};

/// Header with which a target refuses a request that it did not run; its value is the reason.
pub const REFUSAL_HEADER: &str = "nickellead-refused";
/// Value of [`REFUSAL_HEADER`] if the target has no free slot.
const REFUSAL_BUSY: &str = "busy";

/// Target and routing parameters of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExchangePlan<'a> {
    pub(crate) target: &'a TargetRoute,
    pub(crate) shard: ShardIndex,
    pub(crate) epoch: Epoch,
    pub(crate) request_id: u64,
    pub(crate) deadline: Deadline,
}

/// Sends a request once and waits for the head of the response.
///
/// The outcome of an error is "not run" only if that is certain: no connection was opened, or the
/// target itself refused the request.
pub(crate) async fn exchange(
    client: &Client,
    head: &RequestHead,
    body: RequestBody,
    plan: ExchangePlan<'_>,
) -> Result<ClientResponse, ErrorKind> {
    let remaining = plan.deadline.remaining();
    if remaining < Duration::from_millis(1) {
        return Err(ErrorKind::DeadlineTooShort);
    }
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let uri = format!("http://{}{path}", plan.target.address);
    let mut request = client.request(head.method.clone(), uri).timeout(remaining).no_decompress();
    for (name, value) in head.headers.iter().filter(|(name, _)| is_forwarded(name)) {
        request = request.append_header((name.clone(), value.clone()));
    }
    let request = request
        .insert_header((SHARD_HEADER, plan.shard.0))
        .insert_header((EPOCH_HEADER, plan.epoch.0))
        .insert_header((DEADLINE_HEADER, remaining.as_millis() as u64))
        .insert_header((REQUEST_ID_HEADER, plan.request_id));
    let (sent, connection) = observe_connection(request.send_body(body)).await;
    let response = sent.map_err(|error| classify_error(&error))?;
    if !answers_request(&response, plan.request_id) || response.status().is_informational() {
        connection.inspect(ConnectionHandle::retire);
        return Err(ErrorKind::AnswerMalformed);
    }
    let has_end = has_end(&head.method, &response);
    if !has_end {
        connection.inspect(ConnectionHandle::retire);
    }
    let response = check_refusal(response)?;
    match has_end {
        true => Ok(response),
        false => Err(ErrorKind::AnswerMalformed),
    }
}

fn classify_error(error: &SendRequestError) -> ErrorKind {
    match error {
        // The HTTP client reports this error for a connection lost before the response.
        SendRequestError::Connect(ConnectError::Disconnected) => ErrorKind::AnswerLost,
        // No connection was opened, so no byte was sent.
        SendRequestError::Connect(_) | SendRequestError::Url(_) => ErrorKind::TargetUnreachable,
        SendRequestError::Timeout => ErrorKind::AnswerLate,
        SendRequestError::Response(_) => ErrorKind::AnswerMalformed,
        _ => ErrorKind::AnswerLost,
    }
}

/// Whether a response answers this request, and not an earlier one on the same connection.
///
/// Each exchange has an id of its own, and targets return it with every response.
fn answers_request(response: &ClientResponse, request_id: u64) -> bool {
    let mut ids = response.headers().get_all(REQUEST_ID_HEADER);
    let id = ids.next().and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    id == Some(request_id) && ids.next().is_none()
}

/// Whether the body of a response has an end that the HTTP client knows: it takes a body that ends with the
/// connection for an empty one.
fn has_end(method: &Method, response: &ClientResponse) -> bool {
    let has_body = *method != Method::HEAD
        && !matches!(response.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let headers = response.headers();
    !has_body
        || response.version() == Version::HTTP_10
        || headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Returns the response unless it refuses the request.
fn check_refusal(response: ClientResponse) -> Result<ClientResponse, ErrorKind> {
    match response.headers().get(REFUSAL_HEADER).map(|reason| reason.as_bytes()) {
        None => Ok(response),
        Some(reason) if reason == REFUSAL_BUSY.as_bytes() => Err(ErrorKind::TargetBusy),
        Some(_) => Err(ErrorKind::TargetRefused),
    }
}
