//! Owners for shards that have none.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use nickellead_core::TargetKey;

use crate::TargetLoad;

/// Chooses an owner for each of `count` shards: always the one with least load per slot.
///
/// The loads are brought up to date. Returns fewer than `count` owners only
/// when there is no target.
pub fn assign(loads: &mut [TargetLoad], count: usize) -> Vec<TargetKey> {
    let mut heap: BinaryHeap<_> = loads
        .iter()
        .enumerate()
        .map(|(place, load)| Reverse((load.load_per_slot(load.shards + 1), load.target, place)))
        .collect();
    let mut owners = Vec::with_capacity(count);
    while owners.len() < count {
        let Some(Reverse((_, target, place))) = heap.pop() else {
            break;
        };
        let load = &mut loads[place];
        load.shards += 1;
        owners.push(target);
        heap.push(Reverse((load.load_per_slot(load.shards + 1), target, place)));
    }
    owners
}
