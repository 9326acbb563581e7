//! One entry VM: threads that exchange messages over bounded channels.
//!
//! [`start_node`] starts the threads of a VM: timer, coordination, orders to
//! targets, platform, peers, request workers and the operators' API. Each has a
//! module with one `build` function that starts the thread.

mod channel;
mod coordination;
mod node;
mod object_status;
mod operators;
mod orders;
mod peers;
mod platform;
mod readiness;
mod requests;
mod settings;

pub use nickellead_event::{EventName, event_line, log_event};
pub use node::{NodeError, NodeHandle, start_node};
pub use settings::{LeaseSettings, LimitSettings, NodeSettings, PeerSettings};
