//! Requests and responses of the relay protocol between VMs.

use std::net::SocketAddr;
use std::time::Duration;

use bincode::{Decode, Encode};

use crate::DeclaredState;
use crate::cluster_state::{DeclarationsUpdate, StateCursor, StateUpdate};
use crate::load_counter::LoadCounts;

/// HTTP path of the protocol; it ends in the protocol version. VMs of different versions watch the
/// store instead of each other.
pub(super) const RELAY_PATH: &str = "/relay/7";

/// A request of one VM to another.
#[derive(Clone, Debug, Encode, Decode)]
pub(super) enum RelayRequest {
    /// A long poll for updates.
    Updates(Box<UpdateRequest>),
    /// Requests newer declarations than the given ones, or all of them for `None`.
    ///
    /// They have a request of their own so that a large change does not delay other updates.
    Declarations(Option<DeclaredState>),
}

/// A long poll for updates from a cursor.
#[derive(Clone, Debug, Encode, Decode)]
pub(super) struct UpdateRequest {
    pub(super) zone: String,
    pub(super) address: SocketAddr,
    pub(super) cursor: StateCursor,
    /// VMs that recently failed this subscriber as upstreams.
    pub(super) avoid: Vec<SocketAddr>,
    /// Load counted on this VM since its last request.
    pub(super) load: LoadCounts,
}

/// The response to a [`RelayRequest`].
#[derive(Clone, Debug, Encode, Decode)]
pub(super) enum RelayResponse {
    /// Updates, possibly empty, and the time since the store last responded to the VM at the root.
    Update(Box<StateUpdate>, Duration),
    /// Newer declarations; `None` if this VM has no newer ones.
    Declarations(Option<DeclarationsUpdate>),
    /// Another VM to poll instead.
    Redirect(SocketAddr),
    /// This VM has no fresh state itself.
    Disconnected,
    /// The store does not respond to the VM at the root. The subscription itself works.
    StoreUnavailable,
}
