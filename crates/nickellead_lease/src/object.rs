//! The placement object in the platform's store, and outcomes of reads and writes.

use nickellead_core::{Epoch, Name, Term, Version};
use serde::{Deserialize, Serialize};

/// Owner of one shard, serialized as `[target, epoch]`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementOwner(
    /// One-based index into [`PlacementObject::targets`]; 0 if the shard has no owner.
    pub u32,
    /// Epoch of the latest grant.
    pub Epoch,
);

/// Stored owners of one service's shards in one zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlacementObject {
    /// Term of the coordinator that wrote the object.
    pub term: Term,
    /// Sequence number of the write within the term.
    pub write_id: u64,
    /// Shard that `owners[0]` describes.
    pub first_shard: u32,
    /// Targets that the entries of `owners` index.
    pub targets: Vec<Name>,
    /// Owners of the zone's shards, in shard order.
    pub owners: Vec<PlacementOwner>,
}

/// Outcome of reading an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome<T> {
    /// The object and its version.
    Found(T, Version),
    /// The object does not exist.
    Absent,
    /// The call timed out or returned an error.
    Failed,
}

/// Outcome of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The object was written and has this version.
    Done(Version),
    /// The stored version differed from the expected one.
    Conflict,
    /// The call timed out or returned an error; the write may still take effect.
    Failed,
}
