//! What a coordinator sends to a target, and what the target answers.
//!
//! One kind of order does everything: it extends the session, names the grants
//! that stand, adds grants and asks for releases. It may be lost, doubled,
//! delayed or reordered without harm.

use bincode::{Decode, Encode};
use nickellead_core::{Epoch, Incarnation, Nonce, Sequence, ShardIndex, TargetKey, Term};
use serde::{Deserialize, Serialize};

/// "This shard at this epoch."
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
pub struct ShardGrant {
    /// The shard.
    pub shard: ShardIndex,
    /// Its epoch.
    pub epoch: Epoch,
}

/// One order of a coordinator to a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetOrder {
    /// The target that is meant; another one at the same address refuses.
    pub target: TargetKey,
    /// Term of the coordinator's mandate.
    pub term: Term,
    /// The life of the target that is meant; `None` in a first contact.
    pub incarnation: Option<Incarnation>,
    /// Number of the order within term and incarnation.
    pub sequence: Sequence,
    /// The newest nonce that the coordinator has from this target.
    pub echo: Option<Nonce>,
    /// Length of the lease, in milliseconds from when the echoed nonce was issued.
    pub lease_ms: u64,
    /// The full list of grants that stand; the target drops all others.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub standing: Option<Vec<ShardGrant>>,
    /// New grants.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub grants: Vec<ShardGrant>,
    /// Shards that the target is to give up once their running requests are done.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub releases: Vec<ShardGrant>,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderOutcome {
    /// Carried out.
    Accepted,
    /// Carried out as a contact only: a list of standing grants must come first.
    Unsynced,
    /// A coordinator with a higher term spoke before.
    StaleTerm,
    /// The order was for an earlier life of this target.
    WrongIncarnation,
    /// A later order came before.
    StaleSequence,
    /// The order was for another target.
    WrongTarget,
}

/// A target's answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReply {
    /// What became of the order.
    pub outcome: OrderOutcome,
    /// The target's name, as its key.
    pub target: TargetKey,
    /// Highest term the target has seen.
    pub term: Term,
    /// The life of this target.
    pub incarnation: Incarnation,
    /// The order that this answers.
    pub sequence: Sequence,
    /// A fresh nonce.
    pub nonce: Nonce,
    /// Grants held, in the answer to a first contact.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub held: Option<Vec<ShardGrant>>,
    /// Which of the asked releases are done.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub released: Vec<ShardGrant>,
    /// Which of the offered grants were refused, as a higher epoch was seen.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub refused: Vec<ShardGrant>,
    /// Whether the target wants to leave.
    #[serde(default)]
    pub leaving: bool,
}
