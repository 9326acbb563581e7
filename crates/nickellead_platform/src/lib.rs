//! Client of the platform's object API.
//!
//! The platform stores versioned objects with conditional updates, and offers a watch and a list of
//! VMs that may lag behind. Every call is counted and bounded in time and in response size; a
//! malformed response is an error, never a panic.

mod client;
mod message;

pub use client::{CallCounter, PlatformClient, PlatformError};
pub use message::{ListedVm, ObjectList, VmState, WatchEvent, WatchPage, WriteReceipt};
