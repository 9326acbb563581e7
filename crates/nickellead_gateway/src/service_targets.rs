//! The listed targets of one service, sorted so that a change of one of them costs little.

use std::collections::BTreeMap;
use std::rc::Rc;

use nickellead_time::BootClock;

use crate::fleet::FleetTable;
use crate::load_counter::VmId;
use crate::registered_target::RegisteredTarget;
use crate::sorted_targets::SortedTargets;
use crate::target_subset::SubsetTargets;

/// The targets of one service.
#[derive(Default)]
pub(crate) struct ServiceTargets {
    /// All listed ones by availability zone.
    by_zone: BTreeMap<String, SortedTargets>,
    /// Those that accept requests, in zones that are not evacuated.
    available: SortedTargets,
    /// The available ones of the VM's own zone.
    near: SortedTargets,
    /// The available ones of other zones.
    far: SortedTargets,
    /// The VM's subset of the available ones.
    subset: Vec<Rc<RegisteredTarget>>,
    /// Whether the subset is smaller than it would be in a small fleet.
    partitioned: bool,
}

impl ServiceTargets {
    /// The targets of a service, which are sorted here.
    pub(crate) fn sort(targets: &[(Rc<RegisteredTarget>, Placement)]) -> Self {
        let select = |wanted: &[Placement]| -> SortedTargets {
            let selected = targets.iter().filter(|(_, placement)| wanted.contains(placement));
            selected.map(|(target, _)| Rc::clone(target)).collect()
        };
        let mut by_zone: BTreeMap<String, Vec<Rc<RegisteredTarget>>> = BTreeMap::new();
        for (target, _) in targets {
            by_zone.entry(target.zone.clone()).or_default().push(Rc::clone(target));
        }
        let by_zone = by_zone.into_iter();
        Self {
            available: select(&[Placement::Near, Placement::Far]),
            near: select(&[Placement::Near]),
            far: select(&[Placement::Far]),
            by_zone: by_zone.map(|(zone, targets)| (zone, targets.into_iter().collect())).collect(),
            ..Self::default()
        }
    }

    /// Whether no target of the service is listed.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_zone.is_empty()
    }

    /// All listed ones by availability zone.
    pub(crate) fn by_zone(&self) -> impl Iterator<Item = (&str, &SortedTargets)> {
        self.by_zone.iter().map(|(zone, targets)| (zone.as_str(), targets))
    }

    /// The listed ones of an availability zone; `None` without any.
    pub(crate) fn in_zone(&self, zone: &str) -> Option<&SortedTargets> {
        self.by_zone.get(zone)
    }

    /// Those that accept requests, in zones that are not evacuated.
    pub(crate) fn available(&self) -> &[Rc<RegisteredTarget>] {
        self.available.as_slice()
    }

    /// The VM's subset of the available ones.
    pub(crate) fn subset(&self) -> &[Rc<RegisteredTarget>] {
        &self.subset
    }

    /// Whether the subset is smaller than it would be in a small fleet.
    pub(crate) fn is_partitioned(&self) -> bool {
        self.partitioned
    }

    /// Adds a target that is not among them.
    pub(crate) fn add(&mut self, target: &Rc<RegisteredTarget>, placement: Placement) {
        self.by_zone.entry(target.zone.clone()).or_default().insert(target);
        if let Some(side) = self.side(placement) {
            side.insert(target);
            self.available.insert(target);
        }
    }

    pub(crate) fn remove(&mut self, target: &RegisteredTarget) {
        if let Some(targets) = self.by_zone.get_mut(&target.zone) {
            targets.remove(target);
            if targets.is_empty() {
                self.by_zone.remove(&target.zone);
            }
        }
        for targets in [&mut self.available, &mut self.near, &mut self.far] {
            targets.remove(target);
        }
    }

    /// The available targets near or far; `None` for a target that is not available.
    fn side(&mut self, placement: Placement) -> Option<&mut SortedTargets> {
        match placement {
            Placement::Near => Some(&mut self.near),
            Placement::Far => Some(&mut self.far),
            Placement::Unavailable => None,
        }
    }

    /// Selects the VM's subset anew; `may_be_cold` tells whether targets of the service may be cold.
    pub(crate) fn update_subset(&mut self, vm: VmId, fleet: &FleetTable, may_be_cold: bool) {
        let targets = SubsetTargets { near: &self.near, far: &self.far, may_be_cold };
        self.subset = targets.choose_subset(vm, fleet, BootClock.now());
        self.partitioned = self.subset.len() < targets.largest_subset();
    }
}

/// Whether a target is available to a VM, and where.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Placement {
    Near,
    Far,
    Unavailable,
}
