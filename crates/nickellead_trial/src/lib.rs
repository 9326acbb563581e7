//! Trial run: a small deployment with stand-ins in one process, with faults, checks and a report.
//!
//! [`run_trial`] starts a platform stand-in, 9 VMs in 3 availability zones and the
//! targets of eight services, sends a bounded load, crashes one target, drains
//! another, and checks the recorded requests and effects.

mod deployment;
mod owner_monitor;
mod report;
mod services;
mod trial;

pub use report::TrialReport;
pub use trial::{TrialError, TrialSettings, run_trial};
