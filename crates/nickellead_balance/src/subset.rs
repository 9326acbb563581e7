//! Subsets of a service's targets for each VM.
//!
//! Each VM may have at least one request in flight at every target that it uses. With many VMs per
//! slot this exceeds what targets can hold. Each VM therefore uses fewer targets the more VMs there
//! are, and VMs with the same view of the fleet spread over the targets evenly without coordination.

/// Requests in flight per slot when every VM has one at each target of its subset: one that runs and
/// one that is queued.
const REQUESTS_PER_SLOT: f64 = 2.0;

/// Number of targets that each of `vms` VMs uses of `targets` targets with `slots` slots in total.
///
/// `min` keeps a VM from depending on a single target. `max` keeps a VM from spreading its requests
/// so thinly that targets close its idle connections before their next use.
#[must_use]
pub fn subset_size(slots: u64, vms: usize, targets: usize, min: usize, max: usize) -> usize {
    let size = (slots as f64 * REQUESTS_PER_SLOT / vms.max(1) as f64).ceil();
    (size as usize).clamp(min, max).min(targets)
}

/// Indices of the `size` adjacent targets that the VM with index `vm` of `vms` uses.
///
/// Nearly equal numbers of VMs use each target. Adding or removing a VM or a target shifts each subset
/// by at most one index.
pub fn even_subset(
    vm: usize,
    vms: usize,
    targets: usize,
    size: usize,
) -> impl Iterator<Item = usize> {
    let first = vm * targets / vms.max(1);
    (0..size.min(targets)).map(move |offset| (first + offset) % targets)
}
