//! Choosing a target among members that are unequal, changing, cold, failing or lying.
//!
//! A [`TargetScore`] learns from the outcomes of this VM's own requests; traffic
//! itself is the probe. [`choose`] compares a few members drawn at random and
//! takes the one that promises the shortest answer. [`even_subset`] shares targets out among VMs.
//! [`TargetSignals`] is what a target told of itself; [`ZoneReachability`] tells a zone that is cut off by the
//! silence of a few of its targets.

mod baseline;
mod reachability;
mod score;
mod selection;
mod signals;
mod subset;

pub use baseline::BaselineLatency;
pub use reachability::ZoneReachability;
pub use score::{TargetOutcome, TargetScore};
pub use selection::{Candidate, SelectionRules, choose};
pub use signals::{ReportedLimit, TargetSignals};
pub use subset::{even_subset, subset_size};
