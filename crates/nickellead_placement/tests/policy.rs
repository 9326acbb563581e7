//! Plans of the placement policy are balanced, minimal, and empty when no move improves them.
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

const MANY_MOVES: RebalanceLimits = RebalanceLimits { max_moves: 1_000, min_gap_percent: 5 };

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
fn only_the_shards_of_a_lost_target_move() {
    let mut staying = loads(&[100, 100, 100]);
    assign(&mut staying, 100);
    let plans = plan_moves(&[], &mut staying, MANY_MOVES);
    assert!(plans.is_empty(), "{plans:?}");
}

#[test]
fn a_joining_target_gets_its_fair_load_with_the_fewest_moves() {
    let mut staying = loads(&[300, 300, 300, 0]);
    let plans = plan_moves(&[], &mut staying, MANY_MOVES);
    let max_moves = 225;
    assert!(plans.len() <= max_moves, "{} moves", plans.len());
    assert!(plans.iter().all(|plan| plan.to == TargetKey(3)));
    let highest = staying.iter().map(|load| load.shards).max().unwrap();
    let lowest = staying.iter().map(|load| load.shards).min().unwrap();
    assert!(highest - lowest <= highest / 20 + 1, "{staying:?}");
    assert!(plan_moves(&[], &mut staying, MANY_MOVES).is_empty(), "a second plan must be empty");
}

#[test]
fn a_leaving_target_loses_all_shards_within_the_move_limit() {
    let leaving = loads(&[70]);
    let mut staying = loads(&[0, 50, 50]);
    staying.remove(0);
    let limits = RebalanceLimits { max_moves: 64, min_gap_percent: 5 };
    assert_eq!(plan_moves(&leaving, &mut staying.clone(), limits).len(), 64);
    assert_eq!(plan_moves(&leaving, &mut staying, MANY_MOVES).len(), 70);
}
