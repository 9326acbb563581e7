//! Objects that the system itself keeps in the platform, and its answers.

use nickellead_core::{Epoch, Name, Term, Version};
use serde::{Deserialize, Serialize};

/// One shard's owner, as it stands in a placement object: `[target, epoch]`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementOwner(
    /// Place in [`PlacementObject::targets`], counted from 1; 0 for none.
    pub u32,
    /// The epoch last granted.
    pub Epoch,
);

/// Placement of one service in one zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlacementObject {
    /// Term of the coordinator that wrote it.
    pub term: Term,
    /// Number of the write within the term.
    pub write_id: u64,
    /// Number of the first shard in `owners`.
    pub first_shard: u32,
    /// The targets that `owners` refers to.
    pub targets: Vec<Name>,
    /// Owners of the zone's shards, in order.
    pub owners: Vec<PlacementOwner>,
}

/// What a read of an object gave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome<T> {
    /// The object and its version.
    Found(T, Version),
    /// There is no such object.
    Absent,
    /// No answer, or an error.
    Failed,
}

/// What a conditional write gave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// Written, with this version.
    Done(Version),
    /// The object had another version than expected.
    Conflict,
    /// No answer, or an error: the write may have taken effect, now or later.
    Failed,
}
