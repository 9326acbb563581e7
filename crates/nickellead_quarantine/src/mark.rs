//! Names of requests by their content.

use std::fmt;

use bincode::{Decode, Encode};
use xxhash_rust::xxh3::Xxh3;

/// Seed of all marks: VMs tell each other marks, so each must derive the same ones.
const MARK_SEED: u64 = 0x6e69_636b_656c_6c65;

/// What determines how a target runs a request.
///
/// The id, the deadline and the key that a caller sends are left out: they differ between tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestContent<'a> {
    /// Name of the workspace that sends it; `None` if nothing names its caller.
    pub workspace: Option<&'a str>,
    /// Host and path determine the route.
    pub host: &'a [u8],
    /// The method.
    pub method: &'a str,
    /// Path and query.
    pub path_and_query: &'a str,
    /// The body in parts, whose number and lengths don't matter.
    pub body: &'a [&'a [u8]],
}

/// Hash of a [`RequestContent`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct RequestMark(pub u64);

impl RequestMark {
    /// The mark of all requests with this content.
    #[must_use]
    pub fn of(content: &RequestContent<'_>) -> Self {
        let RequestContent { workspace, host, method, path_and_query, body } = *content;
        let mut hasher = Xxh3::with_seed(MARK_SEED);
        hasher.update(&[u8::from(workspace.is_some())]);
        let workspace = workspace.unwrap_or_default().as_bytes();
        for part in [workspace, host, method.as_bytes(), path_and_query.as_bytes()] {
            // The length keeps the end of one part from counting as the start of the next.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let length: usize = body.iter().map(|part| part.len()).sum();
        hasher.update(&(length as u64).to_le_bytes());
        body.iter().for_each(|part| hasher.update(part));
        Self(hasher.digest())
    }
}

impl fmt::Display for RequestMark {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
