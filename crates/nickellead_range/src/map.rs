//! The map of range owners, as stored.

use std::collections::BTreeMap;

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::StoreEra;

/// Number of keys in a service's key space, which is the whole of `u16`.
pub(crate) const KEY_COUNT: u32 = 65_536;

/// One run of a target's process, which may own ranges.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
pub struct TargetInstance {
    /// Identity under which the target registers; its next instance may reuse it.
    pub id: String,
    /// When the instance started, as reported by the target; `None` if every instance has an
    /// identity of its own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born: Option<u64>,
    /// Listening address, as `host:port`.
    pub address: String,
}

/// A run of consecutive keys with one owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct RangeRecord {
    /// First key, included.
    pub first: u16,
    /// Last key, included.
    pub last: u16,
    /// Fencing token of the owner's current or next grant.
    pub fence: u64,
    /// The instance that owns the range, or will own it once the move completes.
    pub owner: Option<TargetInstance>,
    /// The previous owner while it may still hold the range under a lower fence.
    pub previous: Option<TargetInstance>,
    /// Whether the owner has confirmed a grant.
    pub settled: bool,
}

impl RangeRecord {
    /// Whether `key` is in the range.
    #[must_use]
    pub fn contains(&self, key: u16) -> bool {
        self.first <= key && key <= self.last
    }
}

/// The ranges of one service, in order of their keys and without gaps.
pub type ServiceRanges = Vec<RangeRecord>;

/// The ranges of all services that are divided by key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct RangeMap {
    /// Highest fence ever issued.
    pub fence: u64,
    /// Random identifier of the controller that wrote the map, drawn when it took over.
    pub writer: u64,
    /// Number of the writer's edit, which identifies a write whose response was lost.
    pub edit: u64,
    /// Whether targets have been observed to execute orders late; a successor allows for it.
    #[serde(default, rename = "late")]
    pub late_orders: bool,
    /// The store's era when the map was written, as known to its writer.
    #[serde(default, skip_serializing_if = "StoreEra::is_none")]
    pub era: StoreEra,
    /// Whether targets that the map does not name may hold its ranges, because a restore of the
    /// store lost earlier maps; a successor allows for it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not", rename = "doubtful")]
    pub unconfirmed: bool,
    /// The ranges of each service, by its name.
    pub services: BTreeMap<String, ServiceRanges>,
}

/// Number of low fence bits that count fences within an era; the bits above hold the era.
const ERA_FENCE_BITS: u32 = 24;
/// Number of eras with fences of their own; later eras share those of the last one, because JSON
/// represents integers exactly only below 2^53.
const FENCE_ERA_COUNT: u64 = 1 << (53 - ERA_FENCE_BITS);

impl RangeMap {
    /// Moves the map to `era`, where every new fence is above those issued in earlier eras,
    /// including those the store has lost. Returns whether the map was of an earlier era.
    pub(crate) fn enter_era(&mut self, era: StoreEra) -> bool {
        let entered = self.era < era;
        if entered {
            self.era = era;
            self.fence = self.fence.max(era.0.min(FENCE_ERA_COUNT - 1) << ERA_FENCE_BITS);
        }
        entered
    }

    /// The fences of all ranges.
    pub fn fences(&self) -> impl Iterator<Item = u64> {
        self.services.values().flatten().map(|range| range.fence)
    }

    /// The range of `service` that contains `key`.
    #[must_use]
    pub fn find(&self, service: &str, key: u16) -> Option<&RangeRecord> {
        let ranges = self.services.get(service)?;
        let index = ranges.partition_point(|range| range.last < key);
        ranges.get(index).filter(|range| range.contains(key))
    }
}
