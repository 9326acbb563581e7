//! Orders from a coordinator to a target, and the target's replies.
//!
//! A single order type extends the session, lists the grants that remain valid, adds grants and
//! requests releases. Orders are safe under loss, duplication, delay and reordering.

use bincode::{Decode, Encode};
use nickellead_core::{Epoch, Incarnation, Nonce, Sequence, ShardIndex, TargetKey, Term};
use serde::{Deserialize, Serialize};

/// Ownership of one shard at one epoch.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
pub struct ShardGrant {
    /// Index of the shard within its service.
    pub shard: ShardIndex,
    /// Fencing token; grows with each new owner of the shard.
    pub epoch: Epoch,
}

/// Order of a coordinator to a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetOrder {
    /// Intended recipient; another target at the same address refuses the order.
    pub target: TargetKey,
    /// Term of the coordinator's mandate.
    pub term: Term,
    /// Intended incarnation of the target; `None` in a first contact.
    pub incarnation: Option<Incarnation>,
    /// Sequence number of the order within its term and incarnation.
    pub sequence: Sequence,
    /// Latest nonce that the coordinator received from this target.
    pub echo: Option<Nonce>,
    /// Lease duration in milliseconds, counted from when the target issued the echoed nonce.
    pub lease_ms: u64,
    /// Complete list of grants that remain valid; the target drops all others.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub standing: Option<Vec<ShardGrant>>,
    /// Grants to add.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub grants: Vec<ShardGrant>,
    /// Grants to release once their running requests have finished.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub releases: Vec<ShardGrant>,
}

/// How a target handled an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderOutcome {
    /// The order was applied.
    Accepted,
    /// Only the contact was recorded: the target needs a list of standing grants first.
    Unsynced,
    /// The target has seen a higher term.
    StaleTerm,
    /// The order was meant for another incarnation of this target.
    WrongIncarnation,
    /// The target has already processed this sequence number or a later one.
    StaleSequence,
    /// The order was meant for another target.
    WrongTarget,
}

/// Reply of a target to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReply {
    /// How the target handled the order.
    pub outcome: OrderOutcome,
    /// Key derived from the target's name.
    pub target: TargetKey,
    /// Highest term the target has seen.
    pub term: Term,
    /// Current incarnation of the target.
    pub incarnation: Incarnation,
    /// Sequence number of the order that this reply belongs to.
    pub sequence: Sequence,
    /// Newly issued nonce, to be echoed by the next order.
    pub nonce: Nonce,
    /// Grants that the target holds; `None` once it has synced.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub held: Option<Vec<ShardGrant>>,
    /// Requested releases that are complete.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub released: Vec<ShardGrant>,
    /// Grants refused because the target has seen the same or a higher epoch.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub refused: Vec<ShardGrant>,
    /// Whether the target asks to have its shards moved away.
    #[serde(default)]
    pub leaving: bool,
}
