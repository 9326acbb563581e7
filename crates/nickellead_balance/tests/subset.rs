//! Guards against overloading targets when each of many VMs has a request at every target that it uses,
//! in particular after some targets of a service have failed.

use nickellead_balance::{even_subset, subset_size};
use quickcheck::quickcheck;

const SLOTS: u64 = 3;
const QUEUE: usize = 12;
const MIN_SIZE: usize = 2;
const MAX_SIZE: usize = 8;

/// Number of VMs that use each target.
fn users(vms: usize, targets: usize, size: usize) -> Vec<usize> {
    let mut users = vec![0; targets];
    for vm in 0..vms {
        even_subset(vm, vms, targets, size).for_each(|index| users[index] += 1);
    }
    users
}

#[test]
fn one_request_of_each_vm_that_uses_a_target_fits_its_slots_and_queue() {
    for targets in [3, 11, 22] {
        let vms = 25;
        let size = subset_size(SLOTS * targets as u64, vms, targets, MIN_SIZE, MAX_SIZE);
        let max = users(vms, targets, size).into_iter().max().unwrap_or_default();
        assert!(max <= SLOTS as usize + QUEUE + 2, "{max} requests at each of {targets} targets");
        // A fixed subset of twelve targets would put more requests on each of them.
        let twelve = users(vms, targets, 12).into_iter().max().unwrap_or_default();
        assert!(max < twelve, "{max} {twelve}");
    }
}

#[test]
fn few_vms_use_the_maximum_number_of_targets() {
    assert_eq!(subset_size(4 * 20, 3, 20, MIN_SIZE, MAX_SIZE), MAX_SIZE);
    assert_eq!(subset_size(4 * 5, 3, 5, MIN_SIZE, MAX_SIZE), 5);
    assert_eq!(subset_size(0, 0, 0, MIN_SIZE, MAX_SIZE), 0);
}

quickcheck! {
    fn targets_are_used_by_nearly_equal_numbers_of_vms(vms: u8, targets: u8, size: u8) -> bool {
        let (vms, targets) = (usize::from(vms) + 1, usize::from(targets) + 1);
        let size = (usize::from(size) + 1).min(targets);
        let users = users(vms, targets, size);
        let (min, max) = (users.iter().min(), users.iter().max());
        // Complete rounds over all targets are even; an incomplete round adds at most one VM per target.
        let spread = max.zip(min).map_or(0, |(max, min)| max - min);
        spread <= vms * size % targets + 1 && users.iter().sum::<usize>() == vms * size
    }

    fn a_subset_contains_no_target_twice(vm: u8, vms: u8, targets: u8, size: u8) -> bool {
        let (vms, targets) = (usize::from(vms) + 1, usize::from(targets));
        let subset: Vec<usize> = even_subset(usize::from(vm) % vms, vms, targets, usize::from(size)).collect();
        let mut sorted = subset.clone();
        sorted.sort_unstable();
        sorted.dedup();
        sorted.len() == subset.len() && subset.iter().all(|index| *index < targets)
    }
}
