//! What VMs ask each other and answer.

use std::net::SocketAddr;
use std::time::Duration;

use bincode::{Decode, Encode};

use crate::DeclaredState;
use crate::cluster_state::{DeclarationsUpdate, StateCursor, StateUpdate};
use crate::load_counter::LoadCounts;

/// Path of these messages, which ends in the version of their protocol: VMs of different ones follow
/// the store instead of each other.
pub(super) const RELAY_PATH: &str = "/relay/7";

/// A question of one VM to another.
#[derive(Clone, Debug, Encode, Decode)]
pub(super) enum RelayRequest {
    /// What is new?
    Updates(Box<UpdateRequest>),
    /// What are the declarations? With what the reader knows of them.
    ///
    /// They are asked for apart: a large change of them must not hold back the rest.
    Declarations(Option<DeclaredState>),
}

/// A question for news.
#[derive(Clone, Debug, Encode, Decode)]
pub(super) struct UpdateRequest {
    pub(super) zone: String,
    pub(super) address: SocketAddr,
    pub(super) cursor: StateCursor,
    /// Sources that failed this VM a moment ago.
    pub(super) avoid: Vec<SocketAddr>,
    /// What this VM's callers asked for since its last question.
    pub(super) load: LoadCounts,
}

/// The answer to a [`RelayRequest`].
#[derive(Clone, Debug, Encode, Decode)]
pub(super) enum RelayResponse {
    /// What is new, perhaps nothing, and how long ago the store was last heard of at the root.
    Update(Box<StateUpdate>, Duration),
    /// Newer declarations; `None` when the VM that was asked knows none.
    Declarations(Option<DeclarationsUpdate>),
    /// Another VM tells it.
    Redirect(SocketAddr),
    /// This VM is out of touch itself.
    Disconnected,
    /// The store does not answer the VM at the root; nothing else is wrong.
    StoreUnavailable,
}
