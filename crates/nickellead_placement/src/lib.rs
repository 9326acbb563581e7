//! Placement policy as pure functions: which target should hold which shard.
//!
//! The policy sees only counts and weights, never sockets or clocks. It is
//! deterministic: the same loads give the same plan.

mod assign;
mod rebalance;

pub use assign::assign;
pub use rebalance::{MovePlan, RebalanceLimits, plan_moves};

use nickellead_core::TargetKey;

/// What the policy knows of one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetLoad {
    /// The target.
    pub target: TargetKey,
    /// Requests it runs side by side: its weight.
    pub slots: u16,
    /// Shards it holds or is about to hold.
    pub shards: u32,
}

impl TargetLoad {
    /// Load per slot once the target holds `shards`, scaled so that it compares exactly.
    #[must_use]
    pub fn load_per_slot(&self, shards: u32) -> u64 {
        const SCALE: u64 = 1 << 20;
        u64::from(shards) * SCALE / u64::from(self.slots.max(1))
    }
}
