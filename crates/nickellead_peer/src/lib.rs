//! Messages between VMs: h2 streams with bincode bodies.
//!
//! One message is one h2 stream: a POST with a [`PeerRequest`], answered by a
//! [`PeerReply`], or by other messages under a path of their own. The path carries the protocol's
//! version.

mod client;
mod codec;
mod config_change;
mod config_history;
mod content;
mod message;
mod server;

pub use client::{ExchangeProgress, PeerClient};
pub use codec::{FRAME_LIMIT, PeerError, decode, encode};
pub use config_change::{ConfigChange, ListChange, config_state};
pub use config_history::{ConfigHistory, ConfigUpdate, ConfigUpdateError, MAX_CONFIG_CHANGES};
pub use content::{ChangeError, DeclaredState, digest_of};
pub use message::{
    FollowReply, FollowRequest, KnownZone, PEER_PATH, PeerReply, PeerRequest, PeerVm,
};
pub use server::{PeerHandler, serve_peers};
