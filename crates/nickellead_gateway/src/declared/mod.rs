//! Declarations of operators: routes, services, workspaces and limits for callers.

use std::collections::BTreeMap;
use std::time::Duration;

use bincode::{Decode, Encode};

mod change;
mod freshness;
mod history;
mod route;
mod state;
mod updates;
mod workspace;

pub use change::DeclarationsChange;
pub use freshness::{DeclarationsFreshness, RESTORE_GRACE, RelayedConfirmation, StateConfirmation};
pub use history::{DeclarationsHistory, DeclaredStep, MAX_HISTORY_BYTES, MAX_HISTORY_STEPS};
pub use nickellead_peer::{ChangeError, DeclaredState};
pub use route::{RepeatClass, RouteRule, SharedRoute, WeightedService};
pub use updates::{AppliedUpdate, DeclaredUpdate, UpdateError};
pub use workspace::{KeyDigest, WorkspaceQuota, WorkspaceRule, WorkspaceRules, WorkspacesChange};

/// All declarations of one version.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Declarations {
    /// Version of the declarations; a higher one replaces a lower one.
    pub version: u64,
    /// Routes, in no particular order.
    pub routes: Vec<SharedRoute>,
    /// Services by name.
    pub services: BTreeMap<String, ServiceRule>,
    /// Limits for requests of callers.
    pub limits: CallerLimits,
    /// Workspaces by name; `None` if requests need no key.
    pub workspaces: Option<WorkspaceRules>,
}

/// Rules of one service.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ServiceRule {
    /// Most connections that one of its targets accepts from all VMs together.
    pub connections: u32,
    /// Whether requests have keys, each of which is owned by one target.
    pub sharded: bool,
    /// Limit for its targets after a start; `None` for no limit.
    pub cold: Option<ColdRule>,
}

/// Limit for a target while it is cold.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub struct ColdRule {
    /// How long a target is cold after a start.
    pub duration: Duration,
    /// Requests a second that a cold target can serve.
    pub rate: f64,
}

/// Limits for the size and duration of a caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub struct CallerLimits {
    /// Most bytes of a request head.
    pub header_bytes: usize,
    /// Most bytes of a request body.
    pub body_bytes: usize,
    /// Timeout for receiving a request head.
    pub header_timeout: Duration,
    /// Idle timeout of a connection.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// The limits that apply before declarations are received.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
