//! Pattern: far more VMs than a service has slots, each of which may have a request at every target that it
//! uses; a service in which part of the targets is lost must not drown the others.
//!
//! The figures: 25 VMs of a zone before 11, 22 and 3 targets with three slots and twelve places.

use nickellead_balance::{even_subset, subset_size};
use quickcheck::quickcheck;

const SLOTS: u32 = 3;
const PLACES: usize = 12;
const LEAST: usize = 2;
const MOST: usize = 8;

/// VMs that use each target.
fn users(vms: usize, targets: usize, size: usize) -> Vec<usize> {
    let mut users = vec![0; targets];
    for vm in 0..vms {
        even_subset(vm, vms, targets, size).for_each(|place| users[place] += 1);
    }
    users
}

#[test]
fn one_request_of_each_vm_that_uses_a_target_is_less_than_it_holds() {
    for targets in [3, 11, 22] {
        let vms = 25;
        let size = subset_size(SLOTS * targets as u32, vms, targets, LEAST, MOST);
        let most = users(vms, targets, size).into_iter().max().unwrap_or_default();
        assert!(
            most <= SLOTS as usize + PLACES + 2,
            "{most} requests at each of {targets} targets"
        );
        // With twelve of them, as small fleets use, it would be half as many again, or three times.
        let twelve = users(vms, targets, 12).into_iter().max().unwrap_or_default();
        assert!(most < twelve, "{most} {twelve}");
    }
}

#[test]
fn few_vms_use_as_many_targets_as_they_may() {
    assert_eq!(subset_size(4 * 20, 3, 20, LEAST, MOST), MOST);
    assert_eq!(subset_size(4 * 5, 3, 5, LEAST, MOST), 5);
    assert_eq!(subset_size(0, 0, 0, LEAST, MOST), 0);
}

quickcheck! {
    fn every_target_has_as_many_vms_but_one(vms: u8, targets: u8, size: u8) -> bool {
        let (vms, targets) = (usize::from(vms) + 1, usize::from(targets) + 1);
        let size = (usize::from(size) + 1).min(targets);
        let users = users(vms, targets, size);
        let (least, most) = (users.iter().min(), users.iter().max());
        // Whole rounds over all targets are even; a part of a round adds one at most for each neighbour.
        let spread = most.zip(least).map_or(0, |(most, least)| most - least);
        spread <= vms * size % targets + 1 && users.iter().sum::<usize>() == vms * size
    }

    fn a_part_names_no_target_twice(vm: u8, vms: u8, targets: u8, size: u8) -> bool {
        let (vms, targets) = (usize::from(vms) + 1, usize::from(targets));
        let part: Vec<usize> = even_subset(usize::from(vm) % vms, vms, targets, usize::from(size)).collect();
        let mut sorted = part.clone();
        sorted.sort_unstable();
        sorted.dedup();
        sorted.len() == part.len() && part.iter().all(|place| *place < targets)
    }
}
