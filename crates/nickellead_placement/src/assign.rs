//! Assignment of owners to shards that have none.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use nickellead_core::TargetKey;

use crate::TargetLoad;

/// Assigns each of `count` shards to the target that then has the lowest load per slot.
///
/// Updates `loads` accordingly. Returns no owners if there are no targets.
pub fn assign(loads: &mut [TargetLoad], count: usize) -> Vec<TargetKey> {
    let mut heap: BinaryHeap<_> = loads
        .iter()
        .enumerate()
        .map(|(index, load)| Reverse((load.load_per_slot(load.shards + 1), load.target, index)))
        .collect();
    let mut owners = Vec::with_capacity(count);
    while owners.len() < count {
        let Some(Reverse((_, target, index))) = heap.pop() else {
            break;
        };
        let load = &mut loads[index];
        load.shards += 1;
        owners.push(target);
        heap.push(Reverse((load.load_per_slot(load.shards + 1), target, index)));
    }
    owners
}
