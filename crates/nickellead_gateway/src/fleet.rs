//! The VMs that take requests, as the mandate's holder tells all VMs.

use std::collections::BTreeSet;

use bincode::{Decode, Encode};
use nickellead_limit::is_cold_sender;

use crate::load_counter::VmId;
use crate::{MandateRecord, StoreEra, Stored};

/// Which word is newer: first by when its holder took the mandate, in which era of the store, then by the
/// holder's own count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub(crate) struct AnnouncementStamp {
    pub(crate) term: MandateTerm,
    /// Number of the holder's word.
    pub(crate) sequence: u64,
}

/// One term of a mandate, as its holder's words go on in one era of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub(crate) struct MandateTerm {
    /// Era of the store in which the mandate was last renewed.
    pub(crate) era: StoreEra,
    /// Number of the write by which the holder took it.
    pub(crate) taken: u64,
}

impl MandateTerm {
    /// The term of a mandate.
    pub(crate) fn of(mandate: &Stored<MandateRecord>) -> Self {
        Self { era: mandate.revision.era, taken: mandate.value.taken }
    }
}

/// The VMs that take requests.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub(crate) struct FleetTable {
    pub(crate) stamp: AnnouncementStamp,
    pub(crate) vms: BTreeSet<VmId>,
}

impl FleetTable {
    /// How many VMs there are, this one included; 0 while none are known.
    pub(crate) fn count_including(&self, vm: VmId) -> usize {
        match self.vms.len() {
            0 => 0,
            known => known + usize::from(!self.vms.contains(&vm)),
        }
    }

    /// Place of a VM among those of its availability zone, and how many these are; `None` for a VM that
    /// the fleet does not name.
    pub(crate) fn index_in_zone(&self, vm: VmId) -> Option<(usize, usize)> {
        let near = self.vms.iter().filter(|one| one.shares_zone_with(vm));
        place_among(vm, near)
    }

    /// The same among all VMs.
    pub(crate) fn index(&self, vm: VmId) -> Option<(usize, usize)> {
        place_among(vm, self.vms.iter())
    }

    /// Whether a VM is one of those that send to a target of this availability zone while it is cold.
    ///
    /// They are the VMs of the zone whose hashes with the target are highest, or of all zones if the zone
    /// has none: VMs that know the same fleet agree without asking each other, also while they are cut
    /// off, and a VM that comes or goes changes few of them.
    pub(crate) fn sends_to_cold(&self, vm: VmId, target: &str, zone: &str) -> bool {
        if !self.vms.contains(&vm) {
            return false;
        }
        let has_near = self.vms.iter().any(|one| one.is_in_zone(zone));
        if has_near && !vm.is_in_zone(zone) {
            return false;
        }
        let rivals = self.vms.iter().filter(|one| !has_near || one.is_in_zone(zone));
        is_cold_sender(vm.rank(target), rivals.map(|one| one.rank(target)))
    }
}

fn place_among<'a>(
    vm: VmId,
    all: impl Iterator<Item = &'a VmId> + Clone,
) -> Option<(usize, usize)> {
    let place = all.clone().position(|one| *one == vm)?;
    Some((place, all.count()))
}
