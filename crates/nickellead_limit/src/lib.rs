//! How many requests may be under way at a target, and who goes first when none may.
//!
//! A target is shared by VMs that do not ask each other. Each keeps an
//! [`AdaptiveLimit`]: refusals shrink it, answers let it grow. Requests that find
//! no target with room wait in a [`TurnQueue`], the most urgent first.

mod adaptive;
mod queue;

pub use adaptive::AdaptiveLimit;
pub use queue::{Turn, TurnQueue};
