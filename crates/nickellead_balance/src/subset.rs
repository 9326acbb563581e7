//! Which of a service's targets a VM sends to.
//!
//! Each VM may have at least one request under way at every target that it uses. On a fleet with many VMs
//! for each slot that is more than targets hold, and what is beyond is broken or late. So a VM uses the
//! fewer targets the more VMs there are, and VMs that know the same fleet share the targets out evenly
//! without asking each other.

/// Requests for each slot that all VMs together may have under way when each has one at every target that
/// it uses: one that is worked on, and one that is next.
const REQUESTS_A_SLOT: f64 = 2.0;

/// How many targets a VM uses of those with this many slots together, shared by this many VMs.
///
/// At least `least`, so that a lost one can be done without, and `most` at most: a VM that spread its
/// requests over hundreds of targets would use no connection twice before its target closes it.
#[must_use]
pub fn subset_size(slots: u32, vms: usize, targets: usize, least: usize, most: usize) -> usize {
    let size = (f64::from(slots) * REQUESTS_A_SLOT / vms.max(1) as f64).ceil();
    (size as usize).clamp(least, most).min(targets)
}

/// The places of the targets that the VM at place `vm` of `vms` uses: `size` neighbours.
///
/// Each target has the same number of VMs, but for one; a VM or target that comes or goes moves the parts
/// by one place at most for each.
pub fn even_subset(
    vm: usize,
    vms: usize,
    targets: usize,
    size: usize,
) -> impl Iterator<Item = usize> {
    let first = vm * targets / vms.max(1);
    (0..size.min(targets)).map(move |next| (first + next) % targets)
}
