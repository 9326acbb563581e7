//! Orders to targets and their outcomes.

use nickellead_core::Timestamp;

use crate::TargetInstance;

/// Kind of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Own the range for a lease; carries the handover token of the previous owner, if any.
    Grant(Option<String>),
    /// Accept no new requests for the range and finish the running ones.
    Release,
}

impl OrderKind {
    /// Name in logs and metrics.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Grant(_) => "grant",
            Self::Release => "release",
        }
    }
}

/// An order about a range to one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeOrder {
    /// Name of the service.
    pub service: String,
    /// First key, included.
    pub first: u16,
    /// Last key, included.
    pub last: u16,
    /// Fencing token of the order; the target refuses a grant below the highest it has seen.
    pub fence: u64,
    /// The instance that receives the order.
    pub target: TargetInstance,
    /// What the target has to do.
    pub kind: OrderKind,
    /// Whether the target confirmed a grant of the range before and nobody else can own it, so that this
    /// grant only renews the lease.
    pub renews: bool,
    /// When the controller decided the order; it is sent at this time or later.
    pub decided_at: Timestamp,
}

/// Outcome of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The target executed the order; a release returns the handover token for the next owner.
    Done(Option<String>),
    /// The target refused the order, because it has seen a higher fence for one of the keys.
    Outranked,
    /// Another instance answers at the address, so the addressed one has ended.
    Ended,
    /// The order certainly never reached a target.
    NotSent,
    /// The connection closed before a response; the order may have taken effect or may yet do so.
    Broken,
    /// No response in time; the order may take effect later.
    Unanswered,
}

impl OrderOutcome {
    /// Name in logs and metrics.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Done(_) => "done",
            Self::Outranked => "outranked",
            Self::Ended => "ended",
            Self::NotSent => "not-sent",
            Self::Broken => "broken",
            Self::Unanswered => "unanswered",
        }
    }
}
