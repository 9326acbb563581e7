//! Placement policy as pure functions: which target should own which shard.
//!
//! The policy uses only shard counts and weights, never sockets or clocks, and is deterministic:
//! equal loads result in equal plans.

mod assign;
mod rebalance;

pub use assign::assign;
pub use rebalance::{MovePlan, RebalanceLimits, plan_moves};

use nickellead_core::TargetKey;

/// Load and weight of one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetLoad {
    /// The target.
    pub target: TargetKey,
    /// Number of requests that the target runs concurrently, which is its weight.
    pub slots: u16,
    /// Number of shards that the target owns or is about to own.
    pub shards: u32,
}

impl TargetLoad {
    /// Shards per slot if the target owned `shards`, as a fixed-point number that compares exactly.
    #[must_use]
    pub fn load_per_slot(&self, shards: u32) -> u64 {
        const SCALE: u64 = 1 << 20;
        u64::from(shards) * SCALE / u64::from(self.slots.max(1))
    }
}
