//! Plans of the placement policy: a target joins, another leaves.
//!
//! `cargo run --example 01_join_and_leave`
#![allow(clippy::print_stdout)]

use nickellead_core::TargetKey;
use nickellead_placement::{RebalanceLimits, TargetLoad, plan_moves};

fn load(number: u64, shards: u32) -> TargetLoad {
    TargetLoad { target: TargetKey(number), slots: 4, shards }
}

fn main() {
    let limits = RebalanceLimits { max_moves: 1_000, min_gap_percent: 5 };
    let mut staying = vec![load(1, 100), load(2, 100), load(3, 100), load(4, 0)];
    let plans = plan_moves(&[], &mut staying, limits);
    println!("target 4 joins: {} moves, then {:?}", plans.len(), shards(&staying));

    let leaving = [staying.remove(0)];
    let plans = plan_moves(&leaving, &mut staying, limits);
    println!("target 1 leaves: {} moves, then {:?}", plans.len(), shards(&staying));
}

fn shards(loads: &[TargetLoad]) -> Vec<u32> {
    loads.iter().map(|load| load.shards).collect()
}
