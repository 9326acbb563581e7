//! Selects a target among candidates of different speed, health and load.
//!
//! A [`TargetScore`] is learned from the outcomes of this VM's own requests; there are no separate
//! health probes. [`choose`] samples a few candidates at random and takes the one with the lowest
//! expected latency. [`even_subset`] spreads targets evenly over VMs, [`TargetSignals`] holds what a
//! target reports about itself, [`ZoneReachability`] detects availability zones that
//! are out of reach, and [`VmReachability`] that the VM itself is.

mod baseline;
mod reachability;
mod score;
mod selection;
mod signals;
mod subset;
mod vm_reach;

pub use baseline::BaselineLatency;
pub use reachability::{
    FailedTry, ReachChange, ReachFailure, ReachReport, ReachRules, ZoneReachability,
};
pub use score::{TargetOutcome, TargetScore};
pub use selection::{Candidate, SelectionRules, choose};
pub use signals::{ReportedLimit, TargetSignals};
pub use subset::{even_subset, subset_size};
pub use vm_reach::{ReachCheck, VmReachability};
