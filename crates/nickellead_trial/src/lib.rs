//! The trial run: both trades in one process, disturbed, judged and reported.
//!
//! [`run_trial`] starts a platform stand-in, 9 entry VMs in 3 availability
//! zones and the targets of all eight services of both trades, sends a bounded
//! load, loses one target, drains another, and judges what was recorded.

mod deployment;
mod report;
mod trades;
mod trial;
mod watch;

pub use report::TrialReport;
pub use trial::{TrialError, TrialSettings, run_trial};
