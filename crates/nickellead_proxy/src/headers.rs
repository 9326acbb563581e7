//! Headers that callers, the router and targets exchange.

use awc::http::header::{HeaderName, HeaderValue};

/// Shard of the request's key; sent to targets.
pub const SHARD_HEADER: &str = "nickellead-shard";
/// Epoch of the owner to which the router sends the request; sent to targets.
pub const EPOCH_HEADER: &str = "nickellead-epoch";
/// Remaining time of the request in milliseconds; received from callers and sent to targets.
pub const DEADLINE_HEADER: &str = "nickellead-deadline-ms";
/// Identifier of one exchange; targets return it in the response.
pub const REQUEST_ID_HEADER: &str = "nickellead-request-id";
/// Whether a failed request ran: `not-run` or `unknown`; sent to callers.
pub const OUTCOME_HEADER: &str = "nickellead-outcome";
/// Code of the error kind; sent to callers.
pub const ERROR_HEADER: &str = "nickellead-error";

/// Prefix of all headers of this system, which are never forwarded.
const INTERNAL_PREFIX: &str = "nickellead-";

/// Headers that apply to one connection and are never forwarded.
const CONNECTION_HEADERS: [&str; 11] = [
    "connection",
    "expect",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "http2-settings",
];

/// Returns whether a header applies to one connection or its framing; `name` is in lower case.
#[must_use]
pub fn is_connection_header(name: &str) -> bool {
    name == "content-length" || name == "host" || CONNECTION_HEADERS.contains(&name)
}

/// Returns whether a header is forwarded, in either direction.
#[must_use]
pub(crate) fn is_forwarded(name: &HeaderName) -> bool {
    let name = name.as_str();
    !is_connection_header(name) && !name.starts_with(INTERNAL_PREFIX)
}

/// Parses a header's value as a parse_number.
#[must_use]
pub(crate) fn parse_number(value: &HeaderValue) -> Option<u64> {
    value.to_str().ok()?.trim().parse().ok()
}
