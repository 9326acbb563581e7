//! Parsing of a caller's request: service, operation, key, deadline and body.

use std::time::Duration;

use actix_http::{HttpMessage, Request};
use nickellead_api::{KeySource, OperationSpec, RepeatRule, UrgencyClass};
use nickellead_core::{ErrorKind, MAX_KEY_BYTES, ServiceKey};
use nickellead_route::{RouteDecision, RoutingTable, ServiceRoute};

use crate::headers::{DEADLINE_HEADER, parse_number};

/// Properties of a request that routing needs.
#[derive(Clone, Debug)]
pub(crate) struct IncomingRequest {
    pub(crate) service: ServiceKey,
    pub(crate) key: Vec<u8>,
    pub(crate) repeat: RepeatRule,
    pub(crate) urgency: UrgencyClass,
    pub(crate) deadline: Duration,
    pub(crate) body_limit: usize,
}

impl IncomingRequest {
    /// Parses the head of a request.
    pub(crate) fn read(request: &Request, table: &RoutingTable) -> Result<Self, ErrorKind> {
        let path = request.path();
        let mut segments = path.split('/').skip(1);
        let name = segments.next().unwrap_or_default();
        let (service_key, service) = table.service(name).ok_or(ErrorKind::UnknownService)?;
        let operation = segments.next().unwrap_or_default();
        let method = request.method().as_str();
        let operation = find_operation(service, method, operation)?;
        let key = read_key(request, &service.spec.key)?;
        if key.len() > MAX_KEY_BYTES {
            return Err(ErrorKind::KeyTooLong);
        }
        Ok(Self {
            service: service_key,
            key,
            repeat: operation.repeat,
            urgency: operation.urgency,
            deadline: read_deadline(request, operation.deadline_ms)?,
            body_limit: service.spec.body_limit as usize,
        })
    }

    /// Looks up the current owner of the request's key.
    pub(crate) fn decide(&self, table: &RoutingTable) -> Result<RouteDecision, ErrorKind> {
        let service = table.service_by_key(self.service).ok_or(ErrorKind::UnknownService)?;
        Ok(service.decide(&self.key))
    }
}

fn find_operation<'a>(
    service: &'a ServiceRoute,
    method: &str,
    name: &str,
) -> Result<&'a OperationSpec, ErrorKind> {
    let mut operations = service.spec.operations.iter();
    let matches =
        |operation: &&OperationSpec| operation.name.as_str() == name && operation.method == method;
    operations.find(matches).ok_or(ErrorKind::UnknownOperation)
}

fn read_key(request: &Request, source: &KeySource) -> Result<Vec<u8>, ErrorKind> {
    let key = match source {
        KeySource::Path { segment } => request.path().split('/').nth(usize::from(*segment) + 1),
        KeySource::Header { name } => {
            request.headers().get(name.as_str()).and_then(|value| value.to_str().ok())
        }
        KeySource::Query { name } => query_value(request.uri().query().unwrap_or_default(), name),
    };
    match key {
        Some(key) if !key.is_empty() => Ok(key.as_bytes().to_vec()),
        _ => Err(ErrorKind::KeyMissing),
    }
}

fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Returns the caller's deadline, limited to the operation's.
fn read_deadline(request: &Request, operation_ms: u32) -> Result<Duration, ErrorKind> {
    let max_ms = u64::from(operation_ms);
    let requested_ms = match request.headers().get(DEADLINE_HEADER) {
        Some(value) => parse_number(value).ok_or(ErrorKind::RequestMalformed)?,
        None => max_ms,
    };
    Ok(Duration::from_millis(requested_ms.min(max_ms)))
}
