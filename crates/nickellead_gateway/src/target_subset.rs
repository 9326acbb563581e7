//! Selects the targets of a service that this VM sends requests to.

use std::rc::Rc;

use nickellead_balance::{even_subset, subset_size};
use nickellead_core::Timestamp;

use crate::fleet::FleetTable;
use crate::load_counter::VmId;
use crate::registered_target::RegisteredTarget;

/// Most targets of a service in this VM's own zone that are in its subset.
///
/// Requests that are spread over too many targets can't reuse idle connections before they time
/// out.
const MAX_NEAR_TARGETS: usize = 8;
/// Most targets of other zones in the subset, which serve when the near ones are at capacity.
const MAX_FAR_TARGETS: usize = 4;
/// Fewest targets of either kind in a subset, however many VMs share the service.
const MIN_TARGETS: usize = 2;

/// This VM's subset of a service: near and far targets, and the cold ones that it sends requests
/// to.
pub(crate) fn choose_subset(
    vm: VmId,
    zone: &str,
    targets: &[Rc<RegisteredTarget>],
    fleet: &FleetTable,
    now: Timestamp,
) -> Vec<Rc<RegisteredTarget>> {
    let is_bounded = |target: &&Rc<RegisteredTarget>| target.cold_limiter.is_limited(now);
    let (cold, warm): (Vec<_>, Vec<_>) = targets.iter().partition(is_bounded);
    let warmed = cold.into_iter().filter(|target| target.cold_limiter.has_quota());
    let (near, far): (Vec<_>, Vec<_>) = warm.into_iter().partition(|target| target.zone == zone);
    let near_subset = match fleet.index_in_zone(vm) {
        Some((index, vms)) => even_targets(near, index, vms, MAX_NEAR_TARGETS),
        None => ranked_targets(vm, near, MAX_NEAR_TARGETS),
    };
    let far_subset = match fleet.index(vm) {
        Some((index, vms)) => even_targets(far, index, vms, MAX_FAR_TARGETS),
        None => ranked_targets(vm, far, MAX_FAR_TARGETS),
    };
    near_subset.into_iter().chain(far_subset).chain(warmed).map(Rc::clone).collect()
}

/// Size of this VM's subset of a service in a small fleet.
pub(crate) fn largest_subset(zone: &str, targets: &[Rc<RegisteredTarget>]) -> usize {
    let near = targets.iter().filter(|target| target.zone == zone).count();
    near.min(MAX_NEAR_TARGETS) + (targets.len() - near).min(MAX_FAR_TARGETS)
}

/// An even subset of the targets for the VM with this index among `vms` VMs.
fn even_targets(
    mut targets: Vec<&Rc<RegisteredTarget>>,
    index: usize,
    vms: usize,
    max: usize,
) -> Vec<&Rc<RegisteredTarget>> {
    targets.sort_by_cached_key(|target| xxhash_rust::xxh3::xxh3_64(target.id.as_bytes()));
    let slots = targets.iter().map(|target| target.slots).sum();
    let size = subset_size(slots, vms, targets.len(), MIN_TARGETS, max);
    even_subset(index, vms, targets.len(), size).map(|index| targets[index]).collect()
}

/// The targets that rendezvous hashing assigns to a VM that does not know the fleet.
fn ranked_targets(
    vm: VmId,
    mut targets: Vec<&Rc<RegisteredTarget>>,
    max: usize,
) -> Vec<&Rc<RegisteredTarget>> {
    targets.sort_by_cached_key(|target| vm.rank(&target.id));
    targets.truncate(max);
    targets
}
