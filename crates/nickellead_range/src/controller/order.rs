//! An order to a target, and what became of it.

use nickellead_core::Timestamp;

use crate::TargetInstance;

/// What an order asks of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Hold the range, with the token of its last holder if there is one.
    Grant(Option<String>),
    /// Take no new work for the range and finish what runs.
    Release,
}

impl OrderKind {
    /// The word for it in logs and metrics.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Grant(_) => "grant",
            Self::Release => "release",
        }
    }
}

/// One order to one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeOrder {
    /// The service.
    pub service: String,
    /// First key.
    pub first: u16,
    /// Last key, included.
    pub last: u16,
    /// Fencing token of the order.
    pub fence: u64,
    /// Who is asked.
    pub target: TargetInstance,
    /// What is asked.
    pub kind: OrderKind,
    /// When the order was decided; it is sent no earlier.
    pub decided_at: Timestamp,
}

/// What became of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// Done; a release carries the token for the next holder.
    Done(Option<String>),
    /// The target has seen a higher fence on one of the keys.
    Outranked,
    /// Another process answers at the address: the asked one has ended.
    Ended,
    /// It surely never reached a target.
    NotSent,
    /// The connection ended before an answer: the order may have taken effect, or may yet.
    Broken,
    /// Silence: the order may take effect later.
    Unanswered,
}

impl OrderOutcome {
    /// The word for it in logs and metrics.
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
