//! Decides which request the targets of one group run next.
//!
//! In a fleet with more VMs than a target has slots, no VM can tell from its own requests whether a
//! target has room. One VM, the dispatcher, therefore decides for all requests to a group of targets.
//! It knows exactly how many requests run at each of them, hears what each reports about its load, and
//! keeps one queue.
//!
//! This crate holds the decision only. It has no sockets and no clock: times are arguments.

mod choice;
mod duration_model;
mod held_permit;
mod keys;
mod load;
mod queue;
mod request;
mod return_times;
mod target_outlook;
mod target_state;
mod waiting_list;

pub use keys::{PermitId, RouteKey, TargetKey, TicketId};
pub use load::ReportedLoad;
pub use queue::DispatchQueue;
pub use request::{
    DispatchDecision, DispatchEvent, DispatchPermit, DispatchRefusal, DispatchRequest, MAX_AVOIDED,
    PermitOutcome, RefusalReason,
};
