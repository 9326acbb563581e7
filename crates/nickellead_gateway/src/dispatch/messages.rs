//! Messages between a VM that has a request and the dispatcher of its target.

use bincode::{Decode, Encode};

use crate::load_counter::VmId;

/// HTTP path of the protocol; it ends in the protocol version. VMs of different versions send requests
/// without each other's permission, by their own limits.
pub(super) const DISPATCH_PATH: &str = "/dispatch/1";

/// A message to a dispatcher.
#[derive(Clone, Debug, Encode, Decode)]
pub(super) enum DispatchCall {
    /// Asks for a permit to send a request.
    Acquire(AcquireCall),
    /// Asks to send a request and to return its response.
    Forward(Box<ForwardCall>),
    /// Returns a permit. It is answered with [`DispatchReply::Released`].
    Release(ReleaseCall),
    /// Tells a VM of the same zone about another zone. It is answered with
    /// [`DispatchReply::Released`].
    ZoneReport(ZoneReport),
    /// Asks to serve a request of a VM that reaches no target.
    Assist(Box<AssistCall>),
    /// Asks whether the VM could serve such requests, or only whether it answers again. It is answered
    /// with [`DispatchReply::Released`] or [`DispatchReply::NotServing`].
    ProbeAssist,
}

/// What a VM saw of another availability zone by its own requests.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ZoneReport {
    /// The VM that saw it.
    pub(crate) vm: VmId,
    /// The other availability zone.
    pub(crate) zone: String,
    /// Whether the zone is in reach of the VM.
    pub(crate) in_reach: bool,
    /// Time since the VM saw it, in milliseconds.
    pub(crate) seen_ms_ago: u32,
}

/// Targets of one service in one availability zone that one VM dispatches.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Encode, Decode)]
pub(super) struct GroupId {
    pub(super) service: String,
    pub(super) zone: String,
    /// Index among the groups of the service in the zone.
    pub(super) index: u16,
}

/// What a dispatcher needs to know of a request.
#[derive(Clone, Debug, Encode, Decode)]
pub(super) struct AcquireCall {
    pub(super) group: GroupId,
    /// The owner of the request's key; `None` if any target of the group can serve it.
    pub(super) owner: Option<String>,
    /// Targets not to use: tried before, or known to the asking VM not to accept requests.
    pub(super) avoid: Vec<String>,
    /// Hash of the route's name.
    pub(super) route: u64,
    pub(super) key: Option<u16>,
    /// Priority; 0 is the highest.
    pub(super) rank: u8,
    /// Time until the response is due, in milliseconds.
    pub(super) due_in_ms: u32,
    /// Time until the caller stops waiting, in milliseconds.
    pub(super) deadline_in_ms: u32,
}

/// A request that the dispatcher sends.
#[derive(Clone, Debug, Encode, Decode)]
pub(super) struct ForwardCall {
    pub(super) acquire: AcquireCall,
    pub(super) request: WireRequest,
}

/// A request of a caller, without connection headers.
#[derive(Clone, Debug, Encode, Decode)]
pub(super) struct WireRequest {
    pub(super) method: String,
    pub(super) path_and_query: String,
    pub(super) headers: Vec<WireHeader>,
    pub(super) body: Vec<u8>,
}

/// A request to serve for a VM that reaches no target.
#[derive(Clone, Debug, Encode, Decode)]
pub(super) struct AssistCall {
    /// Version of the declarations by which the asking VM routed the request.
    pub(super) version: u64,
    /// Attempts that may have reached a target.
    pub(super) attempts_made: u32,
    /// Time since the caller's first attempt, in milliseconds.
    pub(super) caller_age_ms: u32,
    /// Time until the caller stops waiting, in milliseconds.
    pub(super) deadline_in_ms: u32,
    pub(super) request: WireRequest,
}

/// How a request ended that was served for another VM.
#[derive(Clone, Debug, Encode, Decode)]
pub(super) enum AssistAnswer {
    /// A response of a target.
    Responded(WireResponse),
    /// An error of the VM, by its code, and how long the caller is to wait before it retries.
    Failed { error: String, retry_after_ms: Option<u32> },
}

/// A response of a target.
#[derive(Clone, Debug, Encode, Decode)]
pub(super) struct WireResponse {
    pub(super) status: u16,
    pub(super) headers: Vec<WireHeader>,
    pub(super) body: Vec<u8>,
}

/// One header line.
#[derive(Clone, Debug, Encode, Decode)]
pub(super) struct WireHeader {
    pub(super) name: String,
    pub(super) value: Vec<u8>,
}

/// A permit that is returned.
#[derive(Clone, Debug, Encode, Decode)]
pub(super) struct ReleaseCall {
    pub(super) group: GroupId,
    pub(super) permit: u64,
    /// Id of the target that the permit was for.
    pub(super) target: String,
    pub(super) outcome: WireOutcome,
    /// Signals on the response.
    pub(super) signals: WireSignals,
}

/// How the use of a permit ended; times in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(super) enum WireOutcome {
    Responded { latency_ms: u32 },
    Failed,
    Shed,
    NoResponse,
    NotSent,
    Abandoned { after_ms: u32 },
}

/// Load that a target reported.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub(super) struct WireLoad {
    pub(super) running: u32,
    pub(super) waiting: u32,
    pub(super) slots: u32,
    pub(super) slowness: f64,
}

/// The answer to a [`DispatchCall`].
#[derive(Clone, Debug, Encode, Decode)]
pub(super) enum DispatchReply {
    /// The request may be sent to this target.
    Granted { permit: u64, target: String },
    /// The request can't be served in time; when there will be room for it.
    Refused { retry_after_ms: u32 },
    /// The target is not dispatched: the request may be sent without a permit.
    Unavailable,
    /// This VM does not know the group, is stopping, or reaches no target; another VM may answer.
    NotServing,
    /// The permit was returned, the report was received, or the VM could serve requests.
    Released,
    /// The request was handled as by an attempt of the VM that received it.
    Forwarded(Box<WireAttempt>),
    /// The request of a VM that reaches no target was served.
    Assisted(Box<AssistAnswer>),
}

/// The end of an attempt that a dispatcher made.
#[derive(Clone, Debug, Encode, Decode)]
pub(super) struct WireAttempt {
    pub(super) result: WireResult,
    pub(super) signals: WireSignals,
    /// Time from sending the request to the end of the attempt, in milliseconds.
    pub(super) latency_ms: u32,
    /// Time that the request waited at the dispatcher, in milliseconds.
    pub(super) waited_ms: u32,
}

/// The result of an attempt that a dispatcher made.
#[derive(Clone, Debug, Encode, Decode)]
pub(super) enum WireResult {
    Responded(WireResponse),
    Shed,
    Misdirected,
    /// Nothing was sent: the dispatcher can't reach the target.
    NotSent,
    /// Nothing was sent: the target's limits or signals changed.
    Withheld,
    /// The request was sent and no response arrived before the deadline.
    LostLate,
    /// The request was sent and the connection broke.
    LostBroken,
    /// The request was sent and the response was not valid.
    LostForeign,
    /// The request was sent, and the dispatcher had no memory for its response.
    LostUnheld,
}

/// Signals on the response of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Encode, Decode)]
pub(super) struct WireSignals {
    pub(super) leaving: bool,
    pub(super) pause_ms: Option<u32>,
    pub(super) limit: WireLimit,
    pub(super) load: Option<WireLoad>,
}

/// The limit that a response reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Encode, Decode)]
pub(super) enum WireLimit {
    #[default]
    Absent,
    Unlimited,
    Limited(f64),
}
