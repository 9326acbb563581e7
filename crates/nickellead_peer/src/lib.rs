//! Messages between VMs: h2 streams with bincode bodies.
//!
//! One message is one h2 stream: a POST with a [`PeerRequest`], answered by a
//! [`PeerReply`], or by other messages under a path of their own. The path carries the protocol's
//! version.

mod client;
mod codec;
mod message;
mod server;

pub use client::{ExchangeProgress, PeerClient};
pub use codec::{FRAME_LIMIT, PeerError, decode, encode};
pub use message::{
    FollowReply, FollowRequest, KnownZone, PEER_PATH, PeerReply, PeerRequest, PeerVm,
};
pub use server::{PeerHandler, serve_peers};
