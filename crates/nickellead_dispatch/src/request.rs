//! Requests for permits, and the answers to them.

use std::time::Duration;

use nickellead_core::Timestamp;

use crate::{PermitId, RouteKey, TargetKey, TicketId};

/// Most targets that one request excludes.
pub const MAX_AVOIDED: usize = 4;

/// A request that needs a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DispatchRequest {
    /// The only target that can serve it, which owns its key; `None` if any target of the group can.
    pub owner: Option<TargetKey>,
    /// Targets not to use: tried before, or known to the asking VM not to accept requests.
    pub avoid: [Option<TargetKey>; MAX_AVOIDED],
    /// Its route.
    pub route: RouteKey,
    /// Its key, if targets own keys. Requests for different keys get equal shares of an owner.
    pub key: Option<u16>,
    /// Its priority; 0 is the highest.
    pub rank: u8,
    /// When the response is due, by the latency target and the caller's first attempt.
    pub due: Timestamp,
    /// When the caller stops waiting.
    pub deadline: Timestamp,
}

/// Permission to send one request to one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchPermit {
    /// Names the permit when it is released.
    pub id: PermitId,
    /// The target to send the request to.
    pub target: TargetKey,
}

/// Why a request gets no permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// No response is expected in time.
    NoCapacity,
    /// No target of the group may be used.
    NoTarget,
}

/// A request that gets no permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// After which time a target is expected to have room for the request.
    pub retry_after: Duration,
}

/// The immediate answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchDecision {
    /// The request may be sent now.
    Granted(DispatchPermit),
    /// The request waits; a [`DispatchEvent`] for this ticket follows.
    Queued(TicketId),
    /// The request can't be served in time.
    Refused(DispatchRefusal),
}

/// The later answer to a request that had to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchEvent {
    /// The request may be sent now.
    Granted(TicketId, DispatchPermit),
    /// The request can no longer be served in time.
    Refused(TicketId, DispatchRefusal),
}

/// How the use of a permit ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitOutcome {
    /// A complete response arrived this long after the request was sent.
    Responded(Duration),
    /// The target responded with a failure of its own.
    Failed,
    /// The target shed the request without running it.
    Shed,
    /// The target could not be reached, or no response arrived.
    NoResponse,
    /// Nothing was sent, for a reason that says nothing about the target.
    NotSent,
    /// The caller left after this time.
    Abandoned(Duration),
}
