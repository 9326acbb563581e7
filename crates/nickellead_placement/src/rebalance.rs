//! Planned moves: from targets that leave, and from the loaded to the idle.

use nickellead_core::TargetKey;

use crate::TargetLoad;

/// One planned move of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MovePlan {
    /// The owner now.
    pub from: TargetKey,
    /// The owner to be.
    pub to: TargetKey,
}

/// How much a plan may move, and for how little.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RebalanceLimits {
    /// Most moves of one plan.
    pub max_moves: usize,
    /// Least gap between the fullest and the emptiest, in percent of the fullest.
    pub min_gap_percent: u8,
}

impl Default for RebalanceLimits {
    fn default() -> Self {
        Self { max_moves: 64, min_gap_percent: 5 }
    }
}

/// Plans moves: first all that `leaving` targets hold, then for balance.
///
/// A move for balance is planned only when the gap in load per slot is above
/// the limit and the move makes the pair strictly more even, so that plans
/// come to rest.
pub fn plan_moves(
    leaving: &[TargetLoad],
    staying: &mut [TargetLoad],
    limits: RebalanceLimits,
) -> Vec<MovePlan> {
    let mut plans = plan_leaving(leaving, staying, limits.max_moves);
    while plans.len() < limits.max_moves {
        let Some(plan) = plan_one(staying, limits.min_gap_percent) else {
            break;
        };
        plans.push(plan);
    }
    plans
}

fn plan_leaving(leaving: &[TargetLoad], staying: &mut [TargetLoad], most: usize) -> Vec<MovePlan> {
    let mut plans = Vec::new();
    for load in leaving {
        let count = (load.shards as usize).min(most - plans.len());
        let owners = crate::assign(staying, count);
        plans.extend(owners.into_iter().map(|to| MovePlan { from: load.target, to }));
    }
    plans
}

fn plan_one(loads: &mut [TargetLoad], gap_percent: u8) -> Option<MovePlan> {
    let fullest = position_of(loads, |load, other| load > other)?;
    let emptiest = position_of(loads, |load, other| load < other)?;
    let (from, to) = (loads[fullest], loads[emptiest]);
    let high = from.load_per_slot(from.shards);
    let low = to.load_per_slot(to.shards);
    let gap = high.saturating_sub(low);
    let improves = to.load_per_slot(to.shards + 1) < high;
    if !improves || gap * 100 <= high * u64::from(gap_percent) {
        return None;
    }
    loads[fullest].shards -= 1;
    loads[emptiest].shards += 1;
    Some(MovePlan { from: from.target, to: to.target })
}

fn position_of(loads: &[TargetLoad], better: impl Fn(u64, u64) -> bool) -> Option<usize> {
    let mut best: Option<usize> = None;
    for (place, load) in loads.iter().enumerate() {
        let ratio = load.load_per_slot(load.shards);
        if best.is_none_or(|known| better(ratio, loads[known].load_per_slot(loads[known].shards))) {
            best = Some(place);
        }
    }
    best
}
