//! The map of ranges as the store keeps it.

use std::collections::BTreeMap;

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::StoreEra;

/// Keys in a service's key space: every `u16` is one.
pub(crate) const KEY_COUNT: u32 = 65_536;

/// A target as a holder of ranges: one life of one process.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
pub struct TargetInstance {
    /// Identity of the target.
    pub id: String,
    /// When this life of it started, as it says itself; `None` if it never keeps an identity.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born: Option<u64>,
    /// Where it listens, as `host:port`.
    pub address: String,
}

/// One run of keys with one owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct RangeRecord {
    /// First key of the range.
    pub first: u16,
    /// Last key of the range, included.
    pub last: u16,
    /// Fencing token under which the owner holds or will hold the range.
    pub fence: u64,
    /// Who holds the range, or will once the move is over.
    pub owner: Option<TargetInstance>,
    /// Who may still hold the range under a lower fence; `None` once that is ruled out.
    pub previous: Option<TargetInstance>,
    /// Whether the owner has confirmed its grant.
    pub settled: bool,
}

impl RangeRecord {
    /// Whether the range holds a key.
    #[must_use]
    pub fn contains(&self, key: u16) -> bool {
        self.first <= key && key <= self.last
    }
}

/// The ranges of one service, in order of their keys and without gaps.
pub type ServiceRanges = Vec<RangeRecord>;

/// All ranges of all services that are divided by key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct RangeMap {
    /// Highest fence ever handed out; the next one is above it.
    pub fence: u64,
    /// The keeper that wrote the map, drawn at random when it took over.
    pub writer: u64,
    /// Number of the writer's edit, so that a write whose answer was lost is recognised.
    pub edit: u64,
    /// Whether targets were seen to carry out orders late, so that a successor reckons with it.
    #[serde(default, rename = "late")]
    pub late_orders: bool,
    /// The store's era in which it was written, as its writer knew it.
    #[serde(default, skip_serializing_if = "StoreEra::is_none")]
    pub era: StoreEra,
    /// Whether other targets than those that it names may hold its ranges, as what was written before it is
    /// lost with an earlier era: a successor reckons with it as well.
    #[serde(default, skip_serializing_if = "std::ops::Not::not", rename = "doubtful")]
    pub unconfirmed: bool,
    /// The ranges by service.
    pub services: BTreeMap<String, ServiceRanges>,
}

/// Fences of an era are larger than all of the eras before it by numbers of this many bits.
const ERA_FENCE_BITS: u32 = 24;
/// Eras from this one on share the fences of the last one before: JSON keeps whole numbers exactly below
/// 2^53 only.
const FENCE_ERAS: u64 = 1 << (53 - ERA_FENCE_BITS);

impl RangeMap {
    /// Makes it a map of an era: fences that were handed out in the eras before, and of which the store
    /// knows nothing any more, are below the next one. Tells whether it was one of an earlier era.
    pub(crate) fn enter_era(&mut self, era: StoreEra) -> bool {
        let entered = self.era < era;
        if entered {
            self.era = era;
            self.fence = self.fence.max(era.0.min(FENCE_ERAS - 1) << ERA_FENCE_BITS);
        }
        entered
    }

    /// The fences of all ranges.
    pub fn fences(&self) -> impl Iterator<Item = u64> {
        self.services.values().flatten().map(|range| range.fence)
    }

    /// The range of a service that holds a key.
    #[must_use]
    pub fn find(&self, service: &str, key: u16) -> Option<&RangeRecord> {
        let ranges = self.services.get(service)?;
        let place = ranges.partition_point(|range| range.last < key);
        ranges.get(place).filter(|range| range.contains(key))
    }
}
