//! What operators declare, as the request path reads it.

use std::collections::BTreeMap;
use std::time::Duration;

use bincode::{Decode, Encode};

mod change;
mod history;
mod news;
mod state;

pub use change::DeclarationsChange;
pub use history::{DeclarationsHistory, DeclaredStep, HISTORY_BYTES, HISTORY_STEPS};
pub use news::{AppliedNews, DeclaredNews, NewsError};
pub use nickellead_peer::{ChangeError, DeclaredState};

/// All declarations of one version.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Declarations {
    /// Version of the declarations; a higher one replaces a lower one.
    pub version: u64,
    /// Routes, in no particular order.
    pub routes: Vec<RouteRule>,
    /// Services by name.
    pub services: BTreeMap<String, ServiceRule>,
    /// What callers may send.
    pub limits: CallerLimits,
}

/// Whether a request may be run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum RepeatClass {
    /// It may: reads and the like.
    Safe,
    /// It may run once at most.
    Unsafe,
}

/// One route: which requests go to which services, and how.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct RouteRule {
    /// Name of the route.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Beginning of the path, with a slash at both ends.
    pub path_prefix: String,
    /// Whether its requests may be repeated.
    pub repeat: RepeatClass,
    /// Longest time a request may be held.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub latency_target: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Most targets that one request may be sent to.
    pub attempts: u32,
    /// Services with their shares of the requests.
    pub parts: Vec<RoutePart>,
}

/// One service's share of a route.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct RoutePart {
    /// The service.
    pub service: String,
    /// Its share beside the other parts' weights.
    pub weight: f64,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ServiceRule {
    /// Connections that one of its targets takes from all VMs together.
    pub connections: u32,
    /// Whether each key is owned by one target.
    pub divided: bool,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub struct CallerLimits {
    /// Most bytes of a request's head.
    pub header_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// Longest time for a request's head.
    pub header_time: Duration,
    /// How long a connection may rest.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    /// The limits until declarations arrive.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}
