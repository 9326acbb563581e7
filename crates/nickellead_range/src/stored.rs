//! Documents of the store, as far as ownership needs them.

use std::net::SocketAddr;

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::RangeMap;

/// Between two returns of the store from an older copy: each return begins the next era.
///
/// Revisions grow within an era only. What the store had acknowledged and its copy does not hold is lost, and
/// revisions that were given to it are given out again. 0 for a store that tells no eras.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Encode,
    Decode,
)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

impl StoreEra {
    /// Whether it is that of a store which tells no eras.
    #[must_use]
    pub(crate) const fn is_none(&self) -> bool {
        self.0 == 0
    }

    /// Whether a store that never came back from a copy may tell this era: what is not there was never made.
    #[must_use]
    pub const fn may_be_first(self) -> bool {
        self.0 <= 1
    }
}

/// Revision of the store: grows with each change, and begins anew with each era, which goes first.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Encode,
    Decode,
)]
pub struct Revision {
    /// The era in which the store gave it.
    pub era: StoreEra,
    /// Its number in that era.
    pub number: u64,
}

impl Revision {
    /// A revision of this era.
    #[must_use]
    pub const fn new(era: StoreEra, number: u64) -> Self {
        Self { era, number }
    }

    /// A revision of a store that tells no eras.
    #[must_use]
    pub const fn without_era(number: u64) -> Self {
        Self::new(StoreEra(0), number)
    }
}

impl std::fmt::Display for StoreEra {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(formatter)
    }
}

impl std::fmt::Display for Revision {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}/{}", self.era, self.number)
    }
}

/// A document with the revision of its last change.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Stored<T> {
    /// Revision of its last change.
    pub revision: Revision,
    /// The document.
    pub value: T,
}

/// Which VM decides about ranges.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct MandateRecord {
    /// Name of the VM.
    pub vm: String,
    /// Where it tells other VMs what it knows.
    pub address: SocketAddr,
    /// Life of its process.
    pub incarnation: u64,
    /// Grows with each renewal, so that every renewal changes the object.
    pub renewals: u64,
    /// What `renewals` was when the holder took it.
    pub taken: u64,
    /// Whether the holder has given the mandate back.
    pub vacant: bool,
    /// The store's era in which it was written, as its writer knew it.
    #[serde(default, skip_serializing_if = "StoreEra::is_none")]
    pub era: StoreEra,
}

impl Stored<MandateRecord> {
    /// Whether it was written in an earlier era than the one in which it was found: what followed on it
    /// may have been lost.
    #[must_use]
    pub fn is_from_earlier_era(&self) -> bool {
        self.value.era < self.revision.era
    }
}

impl Stored<RangeMap> {
    /// The same of a map.
    #[must_use]
    pub fn is_from_earlier_era(&self) -> bool {
        self.value.era < self.revision.era
    }

    /// Where the map stands in the order of all maps: one that a copy brought back stands where it was
    /// written, behind those that followed on it and were lost.
    #[must_use]
    pub fn effective_revision(&self) -> Revision {
        Revision { era: self.value.era.min(self.revision.era), ..self.revision }
    }
}
