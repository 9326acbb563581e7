//! Events and actions of a [`ZoneCoordinator`](super::ZoneCoordinator).

use std::sync::Arc;

use bincode::{Decode, Encode};
use nickellead_api::DeclaredConfig;
use nickellead_core::{
    Epoch, Incarnation, Name, Sequence, ServiceKey, ShardIndex, TargetKey, Term, Version,
};

use crate::mandate::{MandateObject, VmIncarnation};
use crate::object::{PlacementObject, ReadOutcome, WriteOutcome};
use crate::order::{TargetOrder, TargetReply};
use crate::timings::LeaseTimings;

/// Identifies a platform call; outcomes of calls that are no longer pending are ignored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Settings of a VM's zone coordinator.
#[derive(Clone, Debug)]
pub struct CoordinatorSettings {
    /// The VM's availability zone.
    pub zone: Name,
    /// The VM and the incarnation of its process.
    pub vm: VmIncarnation,
    /// Intervals and timeouts of leases.
    pub timings: LeaseTimings,
    /// Maximum number of standbys that the mandate names.
    pub max_standbys: usize,
    /// Maximum number of one service's shards in planned moves at a time.
    pub max_concurrent_moves: usize,
    /// Seed of the jitter of mandate reads.
    pub seed: u64,
}

/// Record of a new owner that standbys store while the platform is unavailable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ShardRecordEntry {
    /// Service that the shard belongs to.
    pub service: ServiceKey,
    /// Index of the shard within the service.
    pub shard: ShardIndex,
    /// New owner.
    pub target: TargetKey,
    /// Epoch of the new owner's grant.
    pub epoch: Epoch,
}

/// Ownership records that a detached coordinator replicates to its standbys.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RecordBatch {
    /// Term of the coordinator.
    pub term: Term,
    /// Sequence number of the batch within the term.
    pub number: u64,
    /// Records to store.
    pub entries: Vec<ShardRecordEntry>,
}

/// A standby's response to a [`RecordBatch`].
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RecordResponse {
    /// Name of the standby.
    pub vm: Name,
    /// Incarnation of the standby's process.
    pub incarnation: Incarnation,
    /// Highest term that the standby knows.
    pub term: Term,
    /// Sequence number of the batch.
    pub number: u64,
    /// Whether the standby stored the batch; false once it has begun to acquire the mandate.
    pub stored: bool,
}

/// Input of a coordinator.
#[derive(Clone, Debug)]
pub enum ZoneEvent {
    /// Periodic tick that drives timers.
    Tick,
    /// The declarations changed, or were read for the first time.
    ConfigChanged(Arc<DeclaredConfig>),
    /// Outcome of a mandate read.
    MandateRead(CallId, ReadOutcome<MandateObject>),
    /// Outcome of a mandate write.
    MandateWritten(CallId, WriteOutcome),
    /// Outcome of a placement read.
    PlacementRead(CallId, ServiceKey, ReadOutcome<PlacementObject>),
    /// Outcome of a placement write.
    PlacementWritten(CallId, ServiceKey, WriteOutcome),
    /// The platform's list of live and leaving VMs.
    VmsListed(Vec<Name>),
    /// A target replied to an order.
    TargetReplied(TargetReply),
    /// An order failed or got no reply.
    TargetFailed(TargetKey, Sequence),
    /// A message of a VM of this zone arrived.
    PeerSeen(VmIncarnation),
    /// The zone's coordinator announced its term, and whether this VM is one of its standbys.
    CoordinatorAnnounced(Term, bool),
    /// The coordinator announced that it stopped coordinating, or its stream broke.
    CoordinatorLost,
    /// A detached coordinator requests this VM to store records of new owners.
    RecordBatchReceived(RecordBatch),
    /// A standby responded to a batch.
    RecordResponseReceived(RecordResponse),
    /// A successor with this term requests this VM to stop coordinating.
    StepDownRequested(Term),
    /// The predecessor confirmed to the holder of this term that it stopped coordinating.
    StepDownConfirmed(Term),
    /// The process is shutting down.
    StopRequested,
}

/// Side effect that a coordinator requests from its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ZoneAction {
    /// Reads the mandate.
    ReadMandate(CallId),
    /// Writes the mandate if it has the expected version; 0 means absent.
    WriteMandate(CallId, Version, MandateObject),
    /// Reads a placement.
    ReadPlacement(CallId, ServiceKey, Name),
    /// Writes a placement if it has the expected version; 0 means absent.
    WritePlacement(CallId, ServiceKey, Name, Version, PlacementObject),
    /// Sends an order to a target.
    SendOrder(TargetOrder),
    /// Sends records of new owners to a standby.
    SendRecordBatch(VmIncarnation, RecordBatch),
    /// Responds to the coordinator that sent a record batch.
    SendRecordResponse(RecordResponse),
    /// Requests the predecessor to step down.
    RequestStepDown(VmIncarnation, Term),
    /// Confirms to the requesting VM that this one no longer coordinates.
    ConfirmStepDown(Term),
    /// Logs a notice.
    Notify(ZoneNotice),
}

/// Event to be logged for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ZoneNotice {
    /// This VM acquired the mandate.
    MandateAcquired(Term),
    /// This VM coordinates the zone.
    Leading(Term),
    /// This VM has seen the given higher term and stopped coordinating.
    Superseded(Term),
    /// The platform is unavailable; coordination continues without it.
    Detached(Term),
    /// The platform is available again.
    Attached(Term),
    /// This VM released the mandate.
    HandedOver(Term),
    /// A target replied and no longer obeys lower terms.
    TargetFenced(Name),
    /// A target's session is live.
    TargetLive(Name),
    /// A target replied with another incarnation.
    TargetRestarted(Name),
    /// A target's lease expired, and the target lost this many shards.
    TargetLost(Name, u32),
    /// A planned move of this many shards of a service began.
    MovesStarted(Name, u32),
    /// New owners are active: service, count, and whether only standbys store them.
    OwnersCommitted(Name, u32, bool),
}

/// Status of one target, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetStatus {
    /// Name of the target.
    pub name: Name,
    /// Phase of the target's session.
    pub phase: crate::SessionPhase,
    /// Number of shards that the target owns.
    pub shards: u32,
    /// Whether the target has asked to have its shards moved away.
    pub leaving: bool,
}
