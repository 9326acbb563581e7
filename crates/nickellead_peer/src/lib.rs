//! Messages between VMs, encoded with bincode and sent over h2.
//!
//! Each exchange is one h2 stream: a POST with a [`PeerRequest`] and a response with a
//! [`PeerReply`]. Other pairs of messages use paths of their own. The path contains the version of
//! the protocol. [`PeerClient`] makes one call at a time; [`PeerChannel`] makes many at once on one
//! connection, and [`serve_calls`] acknowledges each before it is handled, and knows for how much longer
//! than usual it was under way.

mod arrived;
mod call_delay;
mod call_server;
mod channel;
mod client;
mod codec;
mod config_change;
mod config_history;
mod declared_state;
mod message;
mod server;

pub use call_server::{CallArrival, CallHandler, serve_calls};
pub use channel::{Acknowledgement, PeerChannel, PendingCall};
pub use client::{ExchangeProgress, PeerClient};
pub use codec::{MAX_MESSAGE_BYTES, PeerError, decode, encode};
pub use config_change::{ConfigChange, ListChange, config_state};
pub use config_history::{ConfigHistory, ConfigUpdate, ConfigUpdateError, MAX_CONFIG_CHANGES};
pub use declared_state::{ChangeError, DeclaredState, digest_of};
pub use message::{
    FollowReply, FollowRequest, KnownZone, PEER_PATH, PeerReply, PeerRequest, PeerVm,
};
pub use server::{PeerHandler, serve_peers};
