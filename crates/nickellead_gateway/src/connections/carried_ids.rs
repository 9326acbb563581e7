//! The ids of the requests that one connection has carried.
//!
//! On a connection, only its id shows which request a response answers, and a target may send a response
//! a second time in place of the next one. Attempts of one request have the same id, so the id is
//! conclusive only if the connection carries it once.

use std::collections::VecDeque;

use http::HeaderValue;

/// Most ids that a connection remembers. A surplus response takes the place of one of the next responses,
/// so older ids are of no use.
const MAX_CARRIED_IDS: usize = 32;

/// Digest of a request's id. If two ids have the same one, a new connection is opened needlessly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct IdDigest(u64);

impl IdDigest {
    pub(crate) fn of(id: &HeaderValue) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(id.as_bytes()))
    }
}

/// Digests of the last ids that a connection carried, oldest first.
#[derive(Debug, Default)]
pub(crate) struct CarriedIds(VecDeque<IdDigest>);

impl CarriedIds {
    /// Whether one of these ids is `id`.
    pub(super) fn contains(&self, id: IdDigest) -> bool {
        self.0.contains(&id)
    }

    /// Adds the id of a request that is sent.
    pub(super) fn insert(&mut self, id: IdDigest) {
        if self.0.len() == MAX_CARRIED_IDS {
            self.0.pop_front();
        }
        self.0.push_back(id);
    }
}
