//! Requests and responses of the relay protocol between VMs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bincode::{Decode, Encode};
use nickellead_limit::{TokenDemand, TokenGrant};
use nickellead_quarantine::CrashReport;

use crate::cluster_state::{DeclarationsUpdate, StateCursor, StateUpdate};
use crate::load_counter::LoadCounts;
use crate::{DeclaredState, RelayedConfirmation};

/// HTTP path of the protocol; it ends in the protocol version. VMs of different versions watch the
/// store instead of each other.
pub(super) const RELAY_PATH: &str = "/relay/11";

/// A request of one VM to another.
#[derive(Clone, Debug, Encode, Decode)]
pub(super) enum RelayRequest {
    /// A long poll for updates.
    Updates(Box<UpdateRequest>),
    /// Requests newer declarations than the given ones, or all of them for `None`.
    ///
    /// They have a request of their own so that a large change does not delay other updates.
    Declarations(Option<DeclaredState>),
    /// Requests tokens, by workspace.
    Tokens(BTreeMap<String, WireDemand>),
    /// Tells of requests that make targets fall, and asks for news of them.
    Crashes(CrashExchange),
}

/// What one VM tells another one of requests that make targets fall.
#[derive(Clone, Debug, Encode, Decode)]
pub(super) struct CrashExchange {
    /// Incarnation of the upstream's process; 0 before its first response.
    pub(super) incarnation: u64,
    /// Number of the upstream's last change that the subscriber knows with this message.
    pub(super) known: u64,
    /// Whether the response waits until there is something new.
    pub(super) waits: bool,
    pub(super) reports: Vec<CrashReport>,
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

/// Ages of an update when it is sent, on the clock of its sender.
#[derive(Clone, Copy, Debug, Encode, Decode)]
pub(super) struct UpdateAges {
    /// Time since the store last responded to the VM at the root.
    pub(super) root_contact: Duration,
    /// The confirmation of the sender's declarations, if they have workspaces.
    pub(super) declarations: Option<RelayedConfirmation<DeclaredState>>,
}

/// A demand for tokens of another VM.
#[derive(Clone, Copy, Debug, Encode, Decode)]
pub(super) struct WireDemand {
    wanted: u32,
    unused: u32,
}

impl From<TokenDemand> for WireDemand {
    fn from(demand: TokenDemand) -> Self {
        Self { wanted: demand.wanted, unused: demand.unused }
    }
}

impl From<WireDemand> for TokenDemand {
    fn from(demand: WireDemand) -> Self {
        Self { wanted: demand.wanted, unused: demand.unused }
    }
}

/// A grant of tokens to another VM.
#[derive(Clone, Copy, Debug, Encode, Decode)]
pub(super) struct WireGrant {
    granted: u32,
    /// When refused callers should return, in milliseconds.
    retry_after_ms: u32,
}

impl From<TokenGrant> for WireGrant {
    fn from(grant: TokenGrant) -> Self {
        let retry_after_ms = u32::try_from(grant.retry_after.as_millis()).unwrap_or(u32::MAX);
        Self { granted: grant.granted, retry_after_ms }
    }
}

impl From<WireGrant> for TokenGrant {
    fn from(answer: WireGrant) -> Self {
        let retry_after = Duration::from_millis(u64::from(answer.retry_after_ms));
        Self { granted: answer.granted, retry_after }
    }
}

/// The response to a [`RelayRequest`].
#[derive(Clone, Debug, Encode, Decode)]
pub(super) enum RelayResponse {
    /// Updates, possibly empty, and how old they are.
    Update(Box<StateUpdate>, UpdateAges),
    /// Newer declarations; `None` if this VM has no newer ones.
    Declarations(Option<DeclarationsUpdate>),
    /// Granted tokens, by workspace; workspaces without an answer are missing.
    Tokens(BTreeMap<String, WireGrant>),
    /// What the subscriber does not know of requests that make targets fall.
    Crashes(CrashExchange),
    /// Another VM to poll instead.
    Redirect(SocketAddr),
    /// This VM has no fresh state itself.
    Disconnected,
    /// The store does not respond to the VM at the root. The subscription itself works.
    StoreUnavailable,
}
