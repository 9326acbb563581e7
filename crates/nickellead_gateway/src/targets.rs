//! Entries of targets in the store, and changes of the list.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use bincode::{Decode, Encode};
use nickellead_range::TargetInstance;

/// Whether a target accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum TargetState {
    /// It accepts requests.
    Ready,
    /// It is leaving and gets no new requests.
    Draining,
}

/// Number of requests that a target runs concurrently, at least 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct SlotCount(u16);

impl SlotCount {
    /// More slots than any target has.
    pub const MAX: u16 = 10_000;

    /// The slots that an entry states, of which none counts as one; `None` if there are more than
    /// [`Self::MAX`].
    #[must_use]
    pub fn new(stated: u64) -> Option<Self> {
        let slots = u16::try_from(stated).ok().filter(|slots| *slots <= Self::MAX)?;
        Some(Self(slots.max(1)))
    }

    /// The number.
    #[must_use]
    pub fn get(self) -> u32 {
        u32::from(self.0)
    }
}

/// The entry of one target instance.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct TargetEntry {
    /// Identity, which a restarted target may keep.
    pub id: String,
    /// When it started, by its own clock. Together with the identity, it names one instance. `None`
    /// for targets that never reuse an identity.
    pub born: Option<u64>,
    /// Name of its service.
    pub service: String,
    /// Listen address for requests and orders.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Number of requests that it runs concurrently.
    pub slots: SlotCount,
    /// State that the target reports.
    pub state: TargetState,
    /// Remaining time during which it is cold after its start.
    pub cold_left: Duration,
}

impl TargetEntry {
    /// Whether this entry is draining and `later` belongs to the same instance.
    ///
    /// Draining is final, but a restored store may have lost the draining entry.
    pub(crate) fn left_before(&self, later: &Self) -> bool {
        self.state == TargetState::Draining && self.instance() == later.instance()
    }

    /// The identity of this instance.
    pub(crate) fn instance(&self) -> TargetInstance {
        instance_of(&self.id, self.born, self.address)
    }
}

/// The identity of a target instance, as stored for owners of keys.
pub(crate) fn instance_of(id: &str, born: Option<u64>, address: SocketAddr) -> TargetInstance {
    TargetInstance { id: id.to_owned(), born, address: address.to_string() }
}

/// All listed targets by identity.
pub type TargetList = BTreeMap<String, TargetEntry>;

/// The store's list of targets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetListing {
    /// Targets with a valid entry.
    pub targets: TargetList,
    /// Names of invalid entries, which are not targets even if they were before.
    pub unreadable: BTreeSet<String>,
}

/// Availability zones whose targets must not get new requests.
pub type EvacuatedZones = BTreeSet<String>;

/// A change of one entry.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum TargetChange {
    /// The entry was added or changed.
    Listed(TargetEntry),
    /// The entry of this target was removed.
    Gone(String),
    /// The entry of this name is invalid, so it is not a target.
    Unreadable(String),
}
