//! Choosing a target among members that are unequal, changing, cold, failing or lying.
//!
//! A [`TargetScore`] learns from the outcomes of this VM's own requests; traffic
//! itself is the probe. [`choose`] compares a few members drawn at random and
//! takes the one that promises the shortest answer.

mod choose;
mod score;
mod unhurried;

pub use choose::{Candidate, ChoiceRules, choose};
pub use score::{TargetOutcome, TargetScore};
pub use unhurried::UnhurriedTime;
