//! The targets that are listed, and how a list changes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bincode::{Decode, Encode};

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
    /// Identity of this life; a restart gets another.
    pub id: String,
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

/// All listed targets by identity.
pub type TargetList = BTreeMap<String, TargetEntry>;

/// One change of the list.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum TargetChange {
    /// A target is listed, or its entry changed.
    Listed(TargetEntry),
    /// A target's entry is gone.
    Gone(String),
}
