//! Parsing a caller's request: route, key, deadline, headers, body.

use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::{HttpMessage, Request};
use http::{HeaderMap, HeaderName, HeaderValue};
use nickellead_core::ErrorKind;
use nickellead_limit::{ByteBudget, HeldBytes};
use nickellead_proxy::{arrival_of, is_connection_header, read_body};
use nickellead_quarantine::RequestMark;

use crate::authentication::Credential;
use crate::exchange::OutgoingRequest;
use crate::route_table::{RouteEntry, RouteTable};
use crate::workspace_table::WorkspaceEntry;
use crate::{CallerLimits, HeaderNames, RouteRule};

/// A parsed request with its route.
pub(crate) struct IncomingRequest {
    pub(crate) route: Rc<RouteEntry>,
    pub(crate) credential: Credential,
    /// The workspace that the key belonged to when the request arrived.
    pub(crate) workspace: Option<Rc<WorkspaceEntry>>,
    /// When the quota of the workspace is expected to allow the request, once it was refused.
    pub(crate) quota_retry_after: Cell<Duration>,
    /// When a dispatcher expects room for the request, once it was refused.
    pub(crate) capacity_retry_after: Cell<Option<Duration>>,
    /// What the VM that refused the request in place of this one advises the caller to wait.
    pub(crate) assisted_retry_after: Cell<Option<Duration>>,
    /// Attempts of the other VM that may have reached a target.
    pub(crate) attempts_made: u32,
    /// Whether another VM received the request from its caller.
    pub(crate) assisted: bool,
    pub(crate) outgoing: OutgoingRequest,
    /// Names all requests with the same content, once it was needed.
    pub(crate) mark: OnceCell<RequestMark>,
    /// The bytes of the body, held until the request ends.
    pub(crate) _held: HeldBytes,
    /// The shard key, if the caller sent one.
    pub(crate) key: Option<u16>,
    /// When it arrived at this VM, which may have read it later.
    pub(crate) arrived_at: Instant,
    /// Time since the caller's first attempt, estimated from its deadline.
    pub(crate) caller_age: Duration,
    /// When the caller or the route times out, whichever is first.
    pub(crate) deadline: Instant,
}

impl IncomingRequest {
    /// The mark of all requests with the same content.
    pub(crate) fn mark(&self) -> RequestMark {
        let workspace = self.workspace.as_ref().map(|workspace| workspace.name.as_str());
        *self.mark.get_or_init(|| self.outgoing.mark(workspace))
    }

    /// The service that metrics attribute the request to: the first one of the route's split.
    pub(crate) fn main_service(&self) -> &str {
        self.route.rule.split.first().map_or("-", |first| &first.service)
    }

    /// When the latency target is missed, counted from the caller's first attempt.
    pub(crate) fn latency_deadline(&self) -> Instant {
        self.arrived_at + self.route.rule.latency_target.saturating_sub(self.caller_age)
    }

    /// Priority of the workspace, or else of the route; 0 is the highest.
    pub(crate) fn priority(&self) -> u8 {
        let by_workspace = self.workspace.as_ref().and_then(|workspace| workspace.rule.priority);
        by_workspace.unwrap_or(self.route.rule.priority)
    }

    /// Time until the deadline.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Reads a complete request and finds its route and, by `identify`, its workspace.
///
/// The body is read only if the request may be served and `budget` has room for it.
pub(crate) async fn read_request(
    mut request: Request,
    names: &HeaderNames,
    limits: CallerLimits,
    table: &RouteTable,
    budget: &ByteBudget,
    identify: impl Fn(&RouteRule, Credential) -> Result<Option<Rc<WorkspaceEntry>>, ErrorKind>,
) -> Result<IncomingRequest, ErrorKind> {
    let arrived_at = arrival_of(&request);
    check_head(&request, limits)?;
    let host = read_host(&request)?;
    let route = table.find(&host, request.path()).ok_or(ErrorKind::UnknownRoute)?;
    let credential = Credential::read(request.headers());
    let workspace = identify(&route.rule, credential)?;
    let headers = forwarded_headers(&request, names, &host)?;
    let id = HeaderName::from_static(names.request_id);
    let request_id = headers.get(&id).cloned().ok_or(ErrorKind::RequestMalformed)?;
    let deadline = parse_number(&headers, names.deadline_ms)?.map(Duration::from_millis);
    let caller_age = deadline
        .map_or(Duration::ZERO, |remaining| route.wait_tolerance.observe_remaining(remaining));
    let deadline = arrived_at + deadline.unwrap_or(route.rule.timeout).min(route.rule.timeout);
    let key = parse_number(&headers, names.shard_key)?.map(u16::try_from).transpose();
    let key = key.map_err(|_| ErrorKind::RequestMalformed)?;
    let method = http::Method::from_bytes(request.method().as_str().as_bytes())
        .map_err(|_| ErrorKind::RequestMalformed)?;
    let path_and_query =
        request.uri().path_and_query().map_or("/", |whole| whole.as_str()).to_owned();
    let length = content_length(&request).and_then(|length| usize::try_from(length).ok());
    let held = budget.admit_body(length.unwrap_or(0));
    let mut held = held.map_err(|_| ErrorKind::MemoryFull)?;
    let reading = read_body(request.take_payload(), length, limits.body_bytes, &mut held);
    let remaining = deadline.saturating_duration_since(Instant::now());
    let read = tokio::time::timeout(remaining, reading).await;
    let body = read.unwrap_or(Err(ErrorKind::BodyLate))?;
    let outgoing = OutgoingRequest { method, path_and_query, headers, body, request_id };
    Ok(IncomingRequest {
        route,
        credential,
        workspace,
        quota_retry_after: Cell::default(),
        capacity_retry_after: Cell::default(),
        assisted_retry_after: Cell::default(),
        attempts_made: 0,
        assisted: false,
        outgoing,
        mark: OnceCell::new(),
        _held: held,
        key,
        arrived_at,
        caller_age,
        deadline,
    })
}

fn check_head(request: &Request, limits: CallerLimits) -> Result<(), ErrorKind> {
    let headers = request.headers();
    let size: usize =
        headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum();
    if size + request.uri().path().len() > limits.header_bytes {
        return Err(ErrorKind::HeadTooLarge);
    }
    if content_length(request).is_some_and(|length| length > limits.body_bytes as u64) {
        return Err(ErrorKind::BodyTooLarge);
    }
    Ok(())
}

/// The length of the body, if the caller stated it.
fn content_length(request: &Request) -> Option<u64> {
    let length = request.headers().get("content-length")?.to_str().ok()?;
    length.parse().ok()
}

/// The host of the request, without a port.
fn read_host(request: &Request) -> Result<String, ErrorKind> {
    let header = request.headers().get("host").and_then(|value| value.to_str().ok());
    let host = request.uri().host().or(header).ok_or(ErrorKind::RequestMalformed)?;
    Ok(host.split(':').next().unwrap_or_default().to_owned())
}

/// The headers that are forwarded to a target.
fn forwarded_headers(
    request: &Request,
    names: &HeaderNames,
    host: &str,
) -> Result<HeaderMap, ErrorKind> {
    let hop_by_hop = connection_tokens(request);
    let mut headers = HeaderMap::new();
    for (name, value) in request.headers() {
        let name = name.as_str();
        let is_set_by_vms = name == names.expected_target || name == names.workspace;
        if is_connection_header(name)
            || is_set_by_vms
            || hop_by_hop.iter().any(|token| token == name)
        {
            continue;
        }
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value.as_bytes());
        let (Ok(name), Ok(value)) = (name, value) else {
            return Err(ErrorKind::RequestMalformed);
        };
        headers.append(name, value);
    }
    let value = request.headers().get("host").map_or(host.as_bytes(), |value| value.as_bytes());
    let value = HeaderValue::from_bytes(value).map_err(|_| ErrorKind::RequestMalformed)?;
    headers.insert(http::header::HOST, value);
    Ok(headers)
}

/// Hop-by-hop headers that the `Connection` header names.
fn connection_tokens(request: &Request) -> Vec<String> {
    let values = request.headers().get_all("connection");
    let values = values.filter_map(|value| value.to_str().ok());
    values
        .flat_map(|value| value.split(','))
        .map(|token| token.trim().to_ascii_lowercase())
        .collect()
}

/// A header's value as a number; `None` if the header is absent.
fn parse_number(headers: &HeaderMap, name: &str) -> Result<Option<u64>, ErrorKind> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let number = value.to_str().ok().and_then(|value| value.trim().parse().ok());
    number.map(Some).ok_or(ErrorKind::RequestMalformed)
}
