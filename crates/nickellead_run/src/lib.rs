//! One entry VM: its threads, joined by bounded channels.
//!
//! [`start_node`] builds every duty in one schedule: timer, coordination,
//! orders to targets, platform, peers, request workers and the operators' API.
//! Each duty has one module with one `build` function that starts its thread.

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
