//! The VMs that take requests, as announced to all VMs by the holder of the mandate (leader lease).

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bincode::{Decode, Encode};
use nickellead_limit::is_cold_sender;

use crate::load_counter::VmId;
use crate::{MandateRecord, StoreEra, Stored};

/// Orders announcements: by the term of the mandate, then by their sequence number within the term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub(crate) struct AnnouncementStamp {
    pub(crate) term: MandateTerm,
    /// Number of the announcement within the term.
    pub(crate) sequence: u64,
}

/// One term of the mandate within one era of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub(crate) struct MandateTerm {
    /// The store's era when the mandate was last renewed.
    pub(crate) era: StoreEra,
    /// Number of the write that acquired the mandate.
    pub(crate) taken: u64,
}

impl MandateTerm {
    /// The term that a stored mandate belongs to.
    pub(crate) fn of(mandate: &Stored<MandateRecord>) -> Self {
        Self { era: mandate.revision.era, taken: mandate.value.taken }
    }
}

/// The VMs that take requests; empty while unknown.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub(crate) struct FleetTable {
    pub(crate) stamp: AnnouncementStamp,
    /// The VMs, with the address where each takes dispatch messages; `None` for VMs without one.
    pub(crate) vms: BTreeMap<VmId, Option<SocketAddr>>,
}

impl FleetTable {
    /// Number of VMs including `vm`; 0 while the fleet is unknown.
    pub(crate) fn count_including(&self, vm: VmId) -> usize {
        match self.vms.len() {
            0 => 0,
            known => known + usize::from(!self.vms.contains_key(&vm)),
        }
    }

    /// Index of a VM within its availability zone and the number of VMs there; `None` if the fleet
    /// does not contain the VM.
    pub(crate) fn index_in_zone(&self, vm: VmId) -> Option<(usize, usize)> {
        let vms_in_zone = self.vms.keys().filter(|one| one.shares_zone_with(vm));
        index_among(vm, vms_in_zone)
    }

    /// Index of a VM among all VMs and their number; `None` if the fleet does not contain the VM.
    pub(crate) fn index(&self, vm: VmId) -> Option<(usize, usize)> {
        index_among(vm, self.vms.keys())
    }

    /// Whether a VM may send requests to a target of this availability zone while the target is
    /// cold.
    ///
    /// Rendezvous hashing selects the senders from the VMs of the zone, or from all VMs if the zone
    /// has none. VMs with the same view of the fleet agree without communication, and a VM that
    /// joins or leaves changes few senders.
    pub(crate) fn sends_to_cold(&self, vm: VmId, target: &str, zone: &str) -> bool {
        if !self.vms.contains_key(&vm) {
            return false;
        }
        let has_vms_in_zone = self.vms.keys().any(|one| one.is_in_zone(zone));
        if has_vms_in_zone && !vm.is_in_zone(zone) {
            return false;
        }
        let candidates = self.vms.keys().filter(|one| !has_vms_in_zone || one.is_in_zone(zone));
        is_cold_sender(vm.rank(target), candidates.map(|one| one.rank(target)))
    }

    /// Where the VMs of an availability zone take dispatch messages.
    pub(crate) fn dispatch_addresses(&self, zone: &str) -> Vec<SocketAddr> {
        let in_zone = self.vms.iter().filter(|(vm, _)| vm.is_in_zone(zone));
        in_zone.filter_map(|(_, address)| *address).collect()
    }

    /// Where the two VMs of an availability zone that rendezvous hashing selects for `seed` take
    /// dispatch messages, best first.
    pub(crate) fn dispatchers(&self, zone: &str, seed: u64) -> [Option<SocketAddr>; 2] {
        self.zone_dispatchers(zone).select(seed)
    }

    /// The VMs of an availability zone that may dispatch; those without an address are left out.
    pub(crate) fn zone_dispatchers(&self, zone: &str) -> ZoneDispatchers {
        let in_zone = self.vms.iter().filter(|(vm, _)| vm.is_in_zone(zone));
        ZoneDispatchers(in_zone.filter_map(|(vm, address)| Some((*vm, (*address)?))).collect())
    }
}

/// The VMs of one availability zone that may dispatch, with the address where each takes dispatch
/// messages.
pub(crate) struct ZoneDispatchers(Vec<(VmId, SocketAddr)>);

impl ZoneDispatchers {
    /// Addresses of the two VMs that rendezvous hashing selects for `seed`, best first.
    ///
    /// VMs with the same view of the fleet agree without communication, and a VM that joins or leaves
    /// changes few selections.
    pub(crate) fn select(&self, seed: u64) -> [Option<SocketAddr>; 2] {
        let ranked = self.0.iter().map(|(vm, address)| (vm.rank_seed(seed), *vm, *address));
        let mut best = [None; 2];
        for candidate in ranked.map(Some) {
            if candidate > best[0] {
                best = [candidate, best[0]];
            } else if candidate > best[1] {
                best[1] = candidate;
            }
        }
        best.map(|selected| selected.map(|(_, _, address)| address))
    }
}

fn index_among<'a>(
    vm: VmId,
    all: impl Iterator<Item = &'a VmId> + Clone,
) -> Option<(usize, usize)> {
    let index = all.clone().position(|one| *one == vm)?;
    Some((index, all.count()))
}

#[cfg(test)]
mod tests;
