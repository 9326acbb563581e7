//! Planning of moves away from leaving targets and from more loaded to less loaded targets.

use nickellead_core::TargetKey;

use crate::TargetLoad;

/// One planned move of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MovePlan {
    /// The current owner.
    pub from: TargetKey,
    /// The next owner.
    pub to: TargetKey,
}

/// Limits on the moves of one plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RebalanceLimits {
    /// Maximum number of moves.
    pub max_moves: usize,
    /// A move for balance requires the gap in load per slot between the most and the least loaded
    /// target to exceed this percentage of the highest load per slot.
    pub min_gap_percent: u8,
}

impl Default for RebalanceLimits {
    fn default() -> Self {
        Self { max_moves: 64, min_gap_percent: 5 }
    }
}

/// Plans moves of all shards of `leaving` targets first, then moves for balance.
///
/// A move for balance is planned only if the gap in load per slot exceeds the limit and the
/// receiver stays less loaded than the giver was. Repeated planning therefore terminates.
pub fn plan_moves(
    leaving: &[TargetLoad],
    staying: &mut [TargetLoad],
    limits: RebalanceLimits,
) -> Vec<MovePlan> {
    let mut plans = plan_leaving(leaving, staying, limits.max_moves);
    while plans.len() < limits.max_moves {
        let Some(plan) = plan_balance_move(staying, limits.min_gap_percent) else {
            break;
        };
        plans.push(plan);
    }
    plans
}

fn plan_leaving(
    leaving: &[TargetLoad],
    staying: &mut [TargetLoad],
    max_moves: usize,
) -> Vec<MovePlan> {
    let mut plans = Vec::new();
    for load in leaving {
        let count = (load.shards as usize).min(max_moves - plans.len());
        let owners = crate::assign(staying, count);
        plans.extend(owners.into_iter().map(|to| MovePlan { from: load.target, to }));
    }
    plans
}

fn plan_balance_move(loads: &mut [TargetLoad], gap_percent: u8) -> Option<MovePlan> {
    let most_loaded = position_of(loads, |load, other| load > other)?;
    let least_loaded = position_of(loads, |load, other| load < other)?;
    let (from, to) = (loads[most_loaded], loads[least_loaded]);
    let high = from.load_per_slot(from.shards);
    let low = to.load_per_slot(to.shards);
    let gap = high.saturating_sub(low);
    let improves = to.load_per_slot(to.shards + 1) < high;
    if !improves || gap * 100 <= high * u64::from(gap_percent) {
        return None;
    }
    loads[most_loaded].shards -= 1;
    loads[least_loaded].shards += 1;
    Some(MovePlan { from: from.target, to: to.target })
}

fn position_of(loads: &[TargetLoad], better: impl Fn(u64, u64) -> bool) -> Option<usize> {
    let mut best: Option<usize> = None;
    for (index, load) in loads.iter().enumerate() {
        let value = load.load_per_slot(load.shards);
        if best.is_none_or(|best| better(value, loads[best].load_per_slot(loads[best].shards))) {
            best = Some(index);
        }
    }
    best
}
