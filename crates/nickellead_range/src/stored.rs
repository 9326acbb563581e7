//! Documents of the store that range ownership depends on.

use std::net::SocketAddr;

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::RangeMap;

/// Restore generation of the store: each restore from an older copy begins the next era.
///
/// Revisions grow only within an era. A restore loses the acknowledged writes that are missing in
/// the copy, and the store assigns their revisions again. 0 for a store that reports no eras.
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
    /// Whether the store reports no eras.
    #[must_use]
    pub(crate) const fn is_none(&self) -> bool {
        self.0 == 0
    }

    /// Whether the store may never have been restored, so that an absent object never existed.
    #[must_use]
    pub const fn may_be_first(self) -> bool {
        self.0 <= 1
    }
}

/// Revision of the store, ordered by era first: the number grows with each change within an era.
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
    /// The era in which the store assigned the number.
    pub era: StoreEra,
    /// Number of the revision within the era.
    pub number: u64,
}

impl Revision {
    /// A revision within `era`.
    #[must_use]
    pub const fn new(era: StoreEra, number: u64) -> Self {
        Self { era, number }
    }

    /// A revision of a store that reports no eras.
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

/// A document together with its revision in the store.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Stored<T> {
    /// Revision of the document's last change.
    pub revision: Revision,
    /// The document.
    pub value: T,
}

/// The mandate (leader lease): names the VM that decides about ranges.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct MandateRecord {
    /// Name of the VM.
    pub vm: String,
    /// Address on which the VM publishes its cluster state to other VMs.
    pub address: SocketAddr,
    /// Identifies one run of the VM's process.
    pub incarnation: u64,
    /// Incremented by each renewal, so that every renewal changes the object.
    pub renewals: u64,
    /// Value of `renewals` when the mandate holder took the mandate.
    pub taken: u64,
    /// Whether the mandate holder has given the mandate back.
    pub vacant: bool,
    /// The store's era when the record was written, as known to its writer.
    #[serde(default, skip_serializing_if = "StoreEra::is_none")]
    pub era: StoreEra,
}

impl Stored<MandateRecord> {
    /// Whether the record was written in an earlier era than it was read in, so that later records
    /// may have been lost.
    #[must_use]
    pub fn is_from_earlier_era(&self) -> bool {
        self.value.era < self.revision.era
    }
}

impl Stored<RangeMap> {
    /// Whether the map was written in an earlier era than it was read in, so that later maps may
    /// have been lost.
    #[must_use]
    pub fn is_from_earlier_era(&self) -> bool {
        self.value.era < self.revision.era
    }

    /// The revision that orders the map among all maps ever written.
    ///
    /// A restored map keeps the era in which it was written and so precedes the maps that were
    /// written after it and lost.
    #[must_use]
    pub fn effective_revision(&self) -> Revision {
        Revision { era: self.value.era.min(self.revision.era), ..self.revision }
    }
}
