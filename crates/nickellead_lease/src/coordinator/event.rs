//! What reaches a coordinator, and what it wants done.

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

/// Number of one call of the platform; an answer to a forgotten call is dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What a VM needs to know to take part.
#[derive(Clone, Debug)]
pub struct CoordinatorSettings {
    /// The VM's availability zone.
    pub zone: Name,
    /// The VM and this life of its process.
    pub vm: VmIncarnation,
    /// The times that leases live by.
    pub timings: LeaseTimings,
    /// Most standbys that the mandate names.
    pub max_standbys: usize,
    /// Most shards of one service in planned moves at a time.
    pub max_concurrent_moves: usize,
    /// Seed of the jitter.
    pub seed: u64,
}

/// One new owner, as the standbys keep it while the platform is out of reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ShardRecordEntry {
    /// The service.
    pub service: ServiceKey,
    /// The shard.
    pub shard: ShardIndex,
    /// Its new owner.
    pub target: TargetKey,
    /// The new epoch.
    pub epoch: Epoch,
}

/// New owners that a detached coordinator asks its standbys to keep.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RecordBatch {
    /// Term of the coordinator.
    pub term: Term,
    /// Number of the batch within the term.
    pub number: u64,
    /// The new owners.
    pub entries: Vec<ShardRecordEntry>,
}

/// A standby's answer to a [`RecordBatch`].
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RecordResponse {
    /// Name of the standby.
    pub vm: Name,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// Highest term that the standby knows.
    pub term: Term,
    /// The batch.
    pub number: u64,
    /// Whether the standby keeps it and had not begun to take the mandate.
    pub kept: bool,
}

/// What reaches a coordinator.
#[derive(Clone, Debug)]
pub enum ZoneEvent {
    /// Time went on.
    Tick,
    /// The declarations changed, or were read for the first time.
    ConfigChanged(Arc<DeclaredConfig>),
    /// Answer to a read of the mandate.
    MandateRead(CallId, ReadOutcome<MandateObject>),
    /// Answer to a write of the mandate.
    MandateWritten(CallId, WriteOutcome),
    /// Answer to a read of a placement.
    PlacementRead(CallId, ServiceKey, ReadOutcome<PlacementObject>),
    /// Answer to a write of a placement.
    PlacementWritten(CallId, ServiceKey, WriteOutcome),
    /// The platform's list of live and leaving VMs.
    VmsListed(Vec<Name>),
    /// A target answered.
    TargetReplied(TargetReply),
    /// A target did not answer an order.
    TargetFailed(TargetKey, Sequence),
    /// A VM of this zone was heard.
    PeerSeen(VmIncarnation),
    /// The zone's coordinator was heard, and whether it names this VM as a standby.
    CoordinatorAnnounced(Term, bool),
    /// The coordinator that was followed says that it coordinates no more, or its stream broke.
    CoordinatorLost,
    /// A detached coordinator asks this VM to keep new owners.
    RecordBatchReceived(RecordBatch),
    /// A standby answered a batch.
    RecordResponseReceived(RecordResponse),
    /// A VM with this term asks this one to coordinate no more.
    StepDownRequested(Term),
    /// The former coordinator has stepped down.
    StepDownConfirmed(Term),
    /// The process is to stop.
    StopRequested,
}

/// What a coordinator wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ZoneAction {
    /// Read the mandate.
    ReadMandate(CallId),
    /// Write the mandate if it has the expected version; 0 means absent.
    WriteMandate(CallId, Version, MandateObject),
    /// Read a placement.
    ReadPlacement(CallId, ServiceKey, Name),
    /// Write a placement if it has the expected version; 0 means absent.
    WritePlacement(CallId, ServiceKey, Name, Version, PlacementObject),
    /// Send an order to a target.
    SendOrder(TargetOrder),
    /// Ask a standby to keep new owners.
    SendRecordBatch(VmIncarnation, RecordBatch),
    /// Answer the coordinator that asked to keep new owners.
    SendRecordResponse(RecordResponse),
    /// Ask the former coordinator to step down.
    RequestStepDown(VmIncarnation, Term),
    /// Tell the asking VM that this one coordinates no more.
    ConfirmStepDown(Term),
    /// Log a notice.
    Notify(ZoneNotice),
}

/// What an operator should read in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ZoneNotice {
    /// This VM took the mandate.
    MandateAcquired(Term),
    /// This VM coordinates.
    Leading(Term),
    /// A higher term was seen.
    Superseded(Term),
    /// The platform is silent; coordination goes on without it.
    Detached(Term),
    /// The platform answered again.
    Attached(Term),
    /// The mandate was handed over.
    HandedOver(Term),
    /// A target answered and is fenced.
    TargetFenced(Name),
    /// A target's session is live.
    TargetLive(Name),
    /// A target answered as another process.
    TargetRestarted(Name),
    /// A target's lease has surely expired: it lost this many shards.
    TargetLost(Name, u32),
    /// A planned move of this many shards began.
    MovesStarted(Name, u32),
    /// New owners are in force: service, count, and whether by records only.
    OwnersCommitted(Name, u32, bool),
}

/// What an operator may ask of one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetStatus {
    /// Name of the target.
    pub name: Name,
    /// Phase of its session.
    pub phase: crate::SessionPhase,
    /// Shards it owns.
    pub shards: u32,
    /// Whether it leaves.
    pub leaving: bool,
}
