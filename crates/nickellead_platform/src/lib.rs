//! Client of the platform's object API.
//!
//! The platform keeps objects with versions and conditional updates, and
//! offers a watch and a lagging list of VMs. Every call has a time limit and a
//! size limit and is counted; an answer that can't be read is an error kind,
//! never a panic.

mod client;
mod message;

pub use client::{CallCounter, PlatformClient, PlatformError};
pub use message::{ListedVm, ObjectList, VmState, WatchEvent, WatchPage, WriteReceipt};
