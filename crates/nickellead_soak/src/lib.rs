//! Randomized faults from outside the real processes, with the promises checked while they run.
//!
//! [`draw_schedule`] makes a list of faults from a seed: processes that are
//! stopped, paused, killed and started again, links that are slow, reset, cut
//! one way or silent, a platform that is down, slow or loses answers, targets
//! that leave and return. [`play_round`] starts a fleet of processes, puts a
//! load on it, plays the schedule and judges what callers and targets recorded.
//!
//! A paused process is also one whose clock has jumped when it wakes; nothing
//! in the product goes by the time of day. The product keeps nothing on disks,
//! so the storage that misbehaves is the platform's.

mod address;
mod error;
mod fleet;
mod link;
mod process;
mod round;
mod schedule;

pub use address::free_address;
pub use error::SoakError;
pub use fleet::{FleetSize, SoakFleet};
pub use link::{FaultLink, LinkFault, LinkHost};
pub use process::SoakProcess;
pub use round::{RoundReport, RoundSettings, play_round};
pub use schedule::{Fault, ScheduledFault, draw_schedule};
