//! The targets that are listed, and how a list changes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use bincode::{Decode, Encode};
use nickellead_range::TargetInstance;

/// Whether a target stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum TargetState {
    /// It takes requests.
    Ready,
    /// It is leaving: no new requests.
    Draining,
}

/// One life of one target.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct TargetEntry {
    /// Identity; a target that starts again may keep it.
    pub id: String,
    /// When it started, as it says itself: with the identity it names one life. `None` for targets that
    /// never keep an identity.
    pub born: Option<u64>,
    /// Its service.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Requests it runs side by side.
    pub slots: u32,
    /// Whether it stays.
    pub state: TargetState,
    /// How much longer it is slow from its start.
    pub cold_left: Duration,
}

impl TargetEntry {
    /// Whether this life of it leaves, though a later entry of it says otherwise: none comes back from that, but
    /// the store may forget it.
    pub(crate) fn left_before(&self, later: &Self) -> bool {
        self.state == TargetState::Draining && self.instance() == later.instance()
    }

    /// This life of it, as an owner of keys.
    pub(crate) fn instance(&self) -> TargetInstance {
        instance_of(&self.id, self.born, self.address)
    }
}

/// A life of a target, as an owner of keys.
pub(crate) fn instance_of(id: &str, born: Option<u64>, address: SocketAddr) -> TargetInstance {
    TargetInstance { id: id.to_owned(), born, address: address.to_string() }
}

/// All listed targets by identity.
pub type TargetList = BTreeMap<String, TargetEntry>;

/// What the store lists.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetListing {
    /// The targets.
    pub targets: TargetList,
    /// Names whose entries can't be read: none of them is a target, whatever it was before.
    pub unreadable: BTreeSet<String>,
}

/// Availability zones whose targets are to get no new requests.
pub type EvacuatedZones = BTreeSet<String>;

/// One change of the list.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum TargetChange {
    /// A target is listed, or its entry changed.
    Listed(TargetEntry),
    /// A target's entry is gone.
    Gone(String),
    /// The entry of this name can't be read, so it names no target.
    Unreadable(String),
}
