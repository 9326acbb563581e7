//! Selects the targets of a service that this VM sends requests to.

use std::rc::Rc;

use nickellead_balance::{even_subset, subset_size};
use nickellead_core::Timestamp;

use crate::fleet::FleetTable;
use crate::load_counter::VmId;
use crate::registered_target::RegisteredTarget;
use crate::sorted_targets::SortedTargets;

/// Most targets of a service in this VM's own zone that are in its subset.
///
/// Requests that are spread over too many targets can't reuse idle connections before they time
/// out.
const MAX_NEAR_TARGETS: usize = 8;
/// Most targets of other zones in the subset, which serve when the near ones are at capacity.
const MAX_FAR_TARGETS: usize = 4;
/// Fewest targets of either kind in a subset, however many VMs share the service.
const MIN_TARGETS: usize = 2;

/// The available targets of one service, as one VM sees them.
pub(crate) struct SubsetTargets<'a> {
    /// Targets of the VM's own availability zone.
    pub(crate) near: &'a SortedTargets,
    /// Targets of other zones.
    pub(crate) far: &'a SortedTargets,
    /// Whether targets of the service may be cold.
    pub(crate) may_be_cold: bool,
}

impl SubsetTargets<'_> {
    /// Size of the VM's subset in a small fleet.
    pub(crate) fn largest_subset(&self) -> usize {
        self.near.len().min(MAX_NEAR_TARGETS) + self.far.len().min(MAX_FAR_TARGETS)
    }

    /// The VM's subset of the service: near and far targets, and the cold ones that it sends requests
    /// to.
    pub(crate) fn choose_subset(
        &self,
        vm: VmId,
        fleet: &FleetTable,
        now: Timestamp,
    ) -> Vec<Rc<RegisteredTarget>> {
        if !self.may_be_cold {
            return choose_warm(vm, self.near, self.far, fleet);
        }
        let is_cold = |target: &&Rc<RegisteredTarget>| target.cold_limiter.is_limited(now);
        let warm = |targets: &SortedTargets| -> SortedTargets {
            targets.as_slice().iter().filter(|target| !is_cold(target)).map(Rc::clone).collect()
        };
        let mut subset = choose_warm(vm, &warm(self.near), &warm(self.far), fleet);
        let cold = self.near.as_slice().iter().chain(self.far.as_slice()).filter(is_cold);
        subset.extend(cold.filter(|target| target.cold_limiter.has_quota()).map(Rc::clone));
        subset
    }
}

/// The subset of a service without cold targets.
fn choose_warm(
    vm: VmId,
    near: &SortedTargets,
    far: &SortedTargets,
    fleet: &FleetTable,
) -> Vec<Rc<RegisteredTarget>> {
    let mut subset = match fleet.index_in_zone(vm) {
        Some((index, vms)) => even_targets(near, index, vms, MAX_NEAR_TARGETS),
        None => ranked_targets(vm, near, MAX_NEAR_TARGETS),
    };
    subset.extend(match fleet.index(vm) {
        Some((index, vms)) => even_targets(far, index, vms, MAX_FAR_TARGETS),
        None => ranked_targets(vm, far, MAX_FAR_TARGETS),
    });
    subset
}

/// An even subset of the targets for the VM with this index among `vms` VMs.
fn even_targets(
    targets: &SortedTargets,
    index: usize,
    vms: usize,
    max: usize,
) -> Vec<Rc<RegisteredTarget>> {
    let size = subset_size(targets.slots(), vms, targets.len(), MIN_TARGETS, max);
    let subset = even_subset(index, vms, targets.len(), size);
    subset.map(|index| Rc::clone(&targets.as_slice()[index])).collect()
}

/// The targets that rendezvous hashing assigns to a VM that does not know the fleet.
fn ranked_targets(vm: VmId, targets: &SortedTargets, max: usize) -> Vec<Rc<RegisteredTarget>> {
    let mut ranked: Vec<_> =
        targets.as_slice().iter().map(|target| (vm.rank(&target.id), target)).collect();
    ranked.sort_unstable_by_key(|(rank, _)| *rank);
    ranked.into_iter().take(max).map(|(_, target)| Rc::clone(target)).collect()
}
