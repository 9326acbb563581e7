//! Headers between callers, router and targets.

use awc::http::header::{HeaderName, HeaderValue};

/// Shard of the request's key, to the target.
pub const SHARD_HEADER: &str = "nickellead-shard";
/// Epoch of the owner that the router means, to the target.
pub const EPOCH_HEADER: &str = "nickellead-epoch";
/// Milliseconds left until nobody waits for the answer; from callers and to targets.
pub const DEADLINE_HEADER: &str = "nickellead-deadline-ms";
/// Number of one exchange; a target returns it.
pub const REQUEST_ID_HEADER: &str = "nickellead-request-id";
/// What the caller may conclude from an error: `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "nickellead-outcome";
/// Code of the error kind, to the caller.
pub const ERROR_HEADER: &str = "nickellead-error";

/// Prefix of all headers of this system.
const INTERNAL_PREFIX: &str = "nickellead-";

/// Headers that belong to one connection and are never passed on.
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

/// Whether a header, named in lower case, concerns one connection or its framing only.
#[must_use]
pub fn is_connection_header(name: &str) -> bool {
    name == "content-length" || name == "host" || CONNECTION_HEADERS.contains(&name)
}

/// Whether a header is passed on, in either direction.
#[must_use]
pub(crate) fn is_passed(name: &HeaderName) -> bool {
    let name = name.as_str();
    !is_connection_header(name) && !name.starts_with(INTERNAL_PREFIX)
}

/// A header's value as a number.
#[must_use]
pub(crate) fn number(value: &HeaderValue) -> Option<u64> {
    value.to_str().ok()?.trim().parse().ok()
}
