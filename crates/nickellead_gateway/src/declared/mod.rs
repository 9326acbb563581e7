//! What operators declare, as the request path reads it.

use std::collections::BTreeMap;
use std::time::Duration;

use bincode::{Decode, Encode};

mod change;
mod history;
mod route;
mod state;
mod updates;

pub use change::DeclarationsChange;
pub use history::{DeclarationsHistory, DeclaredStep, HISTORY_BYTES, HISTORY_STEPS};
pub use nickellead_peer::{ChangeError, DeclaredState};
pub use route::{RepeatClass, RouteRule, SharedRoute, WeightedService};
pub use updates::{AppliedUpdate, DeclaredUpdate, UpdateError};

/// All declarations of one version.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Declarations {
    /// Version of the declarations; a higher one replaces a lower one.
    pub version: u64,
    /// Routes, in no particular order.
    pub routes: Vec<SharedRoute>,
    /// Services by name.
    pub services: BTreeMap<String, ServiceRule>,
    /// What callers may send.
    pub limits: CallerLimits,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ServiceRule {
    /// Connections that one of its targets takes from all VMs together.
    pub connections: u32,
    /// Whether each key is owned by one target.
    pub sharded: bool,
    /// What its targets bear after a start; `None` if that is not bounded.
    pub cold: Option<ColdRule>,
}

/// What a target bears while it is cold.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub struct ColdRule {
    /// How long it is cold after a start.
    pub duration: Duration,
    /// Requests a second that it bears meanwhile.
    pub rate: f64,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub struct CallerLimits {
    /// Most bytes of a request's head.
    pub header_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// Longest time for a request's head.
    pub header_timeout: Duration,
    /// How long a connection may rest.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// The limits until declarations arrive.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
