//! What VMs say to each other.

use std::net::SocketAddr;

use bincode::{Decode, Encode};
use nickellead_core::{Incarnation, Name, Term, Version, ZoneKey};
use nickellead_lease::{RecordBatch, RecordResponse, ZoneDelta};

use crate::config_history::ConfigUpdate;
use crate::content::DeclaredState;

/// Path of these messages, which ends in the version of their protocol.
pub const PEER_PATH: &str = "/peer/2";

/// A VM as others reach it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PeerVm {
    /// Name of the VM.
    pub vm: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Where it listens for other VMs.
    pub address: SocketAddr,
    /// The life of its process.
    pub incarnation: Incarnation,
}

/// What a follower knows of one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct KnownZone {
    /// The zone.
    pub zone: ZoneKey,
    /// Term known.
    pub term: Term,
    /// Version known.
    pub version: Version,
}

/// "Tell me what I don't know; wait a little when there is nothing."
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct FollowRequest {
    /// Who asks.
    pub from: PeerVm,
    /// What it knows of each zone.
    pub zones: Vec<KnownZone>,
    /// The content of the declarations from which it can take changes, if any.
    pub config: Option<DeclaredState>,
    /// How long the answer may be held back while there is nothing to tell.
    pub wait_ms: u32,
}

/// What a follower did not know.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct FollowReply {
    /// Who answers.
    pub from: PeerVm,
    /// Term of the coordinator of the answering VM's zone, as far as it knows.
    pub term: Term,
    /// That coordinator, when it is known.
    pub coordinator: Option<PeerVm>,
    /// Whether the mandate names the asking VM as a standby.
    pub standby: bool,
    /// Newer declarations.
    pub config: Option<ConfigUpdate>,
    /// Changes by zone.
    pub zones: Vec<ZoneDelta>,
}

/// One message.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum PeerRequest {
    /// Follow declarations and owners.
    Follow(FollowRequest),
    /// A detached coordinator asks a standby to keep new owners.
    Record(RecordBatch),
    /// A coordinator with this term asks the former one to step down.
    StepDown(Term),
}

/// The answer to a message.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum PeerReply {
    /// Answer to [`PeerRequest::Follow`].
    Follow(Box<FollowReply>),
    /// Answer to [`PeerRequest::Record`].
    Record(RecordResponse),
    /// Answer to [`PeerRequest::StepDown`]: the highest term known.
    SteppedDown(Term),
    /// The VM is stopping or too busy.
    Refused,
}
