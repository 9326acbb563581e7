//! Messages that VMs exchange.

use std::net::SocketAddr;

use bincode::{Decode, Encode};
use nickellead_core::{Incarnation, Name, Term, Version, ZoneKey};
use nickellead_lease::{RecordBatch, RecordResponse, ZoneDelta};

use crate::config_history::ConfigUpdate;
use crate::declared_state::DeclaredState;

/// Path of these messages, which ends with the version of the protocol.
pub const PEER_PATH: &str = "/peer/2";

/// Identity and address of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PeerVm {
    /// Name of the VM.
    pub vm: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Address on which it listens for other VMs.
    pub address: SocketAddr,
    /// Run of the VM's process.
    pub incarnation: Incarnation,
}

/// State of one zone that a follower knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct KnownZone {
    /// Key of the zone.
    pub zone: ZoneKey,
    /// Newest known term.
    pub term: Term,
    /// Newest known version.
    pub version: Version,
}

/// Long poll for updates that the sender does not have yet.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct FollowRequest {
    /// Sender of the request.
    pub from: PeerVm,
    /// State that the sender knows of each zone.
    pub zones: Vec<KnownZone>,
    /// State of the declarations to which the sender can apply changes, if any.
    pub config: Option<DeclaredState>,
    /// Maximum time that the response may be delayed while there are no updates, in milliseconds.
    pub wait_ms: u32,
}

/// Updates for a follower.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct FollowReply {
    /// Sender of the response.
    pub from: PeerVm,
    /// Term of the coordinator of the responding VM's zone, as far as that VM knows.
    pub term: Term,
    /// Coordinator of that zone, if known.
    pub coordinator: Option<PeerVm>,
    /// Whether the mandate (leader lease) lists the requesting VM as a standby.
    pub standby: bool,
    /// Newer declarations, if any.
    pub config: Option<ConfigUpdate>,
    /// Changes by zone.
    pub zones: Vec<ZoneDelta>,
}

/// Request of one VM to another.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum PeerRequest {
    /// Polls for updates of declarations and owners.
    Follow(FollowRequest),
    /// A detached coordinator asks a standby to record new owners.
    Record(RecordBatch),
    /// A coordinator with this term asks the previous one to step down.
    StepDown(Term),
}

/// Response to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum PeerReply {
    /// Response to [`PeerRequest::Follow`].
    Follow(Box<FollowReply>),
    /// Response to [`PeerRequest::Record`].
    Record(RecordResponse),
    /// Response to [`PeerRequest::StepDown`] with the highest known term.
    SteppedDown(Term),
    /// The VM is stopping or overloaded.
    Refused,
}
