//! The policy's plans: even, few, and at rest when nothing is to be gained.
#![allow(clippy::unwrap_used)]

use nickellead_core::TargetKey;
use nickellead_placement::{RebalanceLimits, TargetLoad, assign, plan_moves};

fn loads(shards: &[u32]) -> Vec<TargetLoad> {
    let load = |(number, shards): (usize, &u32)| TargetLoad {
        target: TargetKey(number as u64),
        slots: 4,
        shards: *shards,
    };
    shards.iter().enumerate().map(load).collect()
}

const WIDE: RebalanceLimits = RebalanceLimits { max_moves: 1_000, min_gap_percent: 5 };

#[test]
fn shards_without_owner_are_spread_evenly_and_by_slots() {
    let mut even = loads(&[0, 0, 0]);
    assert_eq!(assign(&mut even, 100).len(), 100);
    assert!(even.iter().all(|load| (33..=34).contains(&load.shards)), "{even:?}");
    let mut uneven = loads(&[0, 0]);
    uneven[1].slots = 12;
    assign(&mut uneven, 400);
    assert_eq!((uneven[0].shards, uneven[1].shards), (100, 300));
    assert!(assign(&mut [], 5).is_empty());
}

#[test]
fn a_lost_targets_shards_are_all_that_moves() {
    let mut staying = loads(&[100, 100, 100]);
    assign(&mut staying, 100);
    let plans = plan_moves(&[], &mut staying, WIDE);
    assert!(plans.is_empty(), "{plans:?}");
}

#[test]
fn a_joining_target_gets_its_share_with_the_fewest_moves() {
    let mut staying = loads(&[300, 300, 300, 0]);
    let plans = plan_moves(&[], &mut staying, WIDE);
    let least = 225;
    assert!(plans.len() <= least, "{} moves", plans.len());
    assert!(plans.iter().all(|plan| plan.to == TargetKey(3)));
    let most = staying.iter().map(|load| load.shards).max().unwrap();
    let fewest = staying.iter().map(|load| load.shards).min().unwrap();
    assert!(most - fewest <= most / 20 + 1, "{staying:?}");
    assert!(plan_moves(&[], &mut staying, WIDE).is_empty(), "the plan does not come to rest");
}

#[test]
fn a_leaving_target_gives_everything_away_within_the_budget() {
    let leaving = loads(&[70]);
    let mut staying = loads(&[0, 50, 50]);
    staying.remove(0);
    let limits = RebalanceLimits { max_moves: 64, min_gap_percent: 5 };
    assert_eq!(plan_moves(&leaving, &mut staying.clone(), limits).len(), 64);
    assert_eq!(plan_moves(&leaving, &mut staying, WIDE).len(), 70);
}
