//! The map of ranges as the store keeps it.

use std::collections::BTreeMap;

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// Keys in a service's key space: every `u16` is one.
pub(crate) const KEY_COUNT: u32 = 65_536;

/// A target as a holder of ranges: one life of one process.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
pub struct HolderRecord {
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
    pub owner: Option<HolderRecord>,
    /// Who may still hold the range under a lower fence; `None` once that is ruled out.
    pub previous: Option<HolderRecord>,
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
    #[serde(default)]
    pub late: bool,
    /// The ranges by service.
    pub services: BTreeMap<String, ServiceRanges>,
}

impl RangeMap {
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
