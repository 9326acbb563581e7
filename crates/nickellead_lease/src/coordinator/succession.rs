//! Decides when this VM may acquire the mandate, and which VMs become its standbys.

use std::time::Duration;

use nickellead_core::{Name, Timestamp};

use super::{Predecessor, ZoneCoordinator};
use crate::mandate::VmIncarnation;

/// How long after its last message a VM counts as reachable.
const PEER_TTL: Duration = Duration::from_millis(1_500);

impl ZoneCoordinator {
    /// Returns what is known of the predecessor if this VM may acquire the mandate, else `None`.
    pub(super) fn predecessor_to_succeed(&self, now: Timestamp) -> Option<Predecessor> {
        if self.config.is_none() || !self.is_listed(&self.settings.vm.vm) {
            return None;
        }
        let former = self.watch.object.as_ref().filter(|object| !object.stopped);
        let Some(object) = former else {
            // There was no holder, or it released the mandate and sends no more orders.
            return Some(Predecessor {
                stopped_at: Some(now),
                records_known: true,
                ..Predecessor::default()
            });
        };
        let timings = &self.settings.timings;
        let unrenewed = now.since(self.watch.version_since) >= timings.mandate_timeout;
        let unannounced = now.since(self.last_announcement_at) >= timings.mandate_timeout;
        if !unrenewed || !unannounced {
            return None;
        }
        let ended = self.has_ended(&object.holder);
        let records_known = object.standbys.contains(&self.settings.vm);
        let all_ended = ended && object.standbys.iter().all(|standby| self.has_ended(standby));
        (records_known || all_ended).then(|| Predecessor {
            stopped_at: ended.then_some(now),
            records_known,
            holder: Some(object.holder.clone()),
            ..Predecessor::default()
        })
    }

    /// Returns whether this VM is a standby, or any VM may acquire the mandate.
    pub(super) fn may_acquire_soon(&self) -> bool {
        let Some(object) = &self.watch.object else { return true };
        let standby = object.standbys.contains(&self.settings.vm);
        standby || object.stopped || object.standbys.is_empty()
    }

    /// Chooses the standbys to name in the mandate: reachable standbys first, then other
    /// reachable VMs, then unreachable standbys, which may still take over.
    pub(super) fn choose_standbys(&self, now: Timestamp) -> Vec<VmIncarnation> {
        let is_reachable = |vm: &VmIncarnation| {
            let peer = self.peers.get(&vm.vm);
            peer.is_some_and(|(known, at)| known == vm && now.since(*at) < PEER_TTL)
        };
        let eligible = |vm: &&VmIncarnation| {
            **vm != self.settings.vm && self.is_listed(&vm.vm) && !self.has_ended(vm)
        };
        let current = self.watch.object.iter().flat_map(|object| &object.standbys);
        let current: Vec<&VmIncarnation> = current.filter(eligible).collect();
        let reachable = self.peers.values().map(|(vm, _)| vm);
        let reachable = reachable.filter(eligible).filter(|vm| is_reachable(vm));
        let first = current.iter().copied().filter(|vm| is_reachable(vm)).chain(reachable);
        let last = current.iter().copied().filter(|vm| !is_reachable(vm));
        let mut chosen: Vec<VmIncarnation> = Vec::new();
        for vm in first.chain(last) {
            if chosen.len() < self.settings.max_standbys && !chosen.contains(vm) {
                chosen.push(vm.clone());
            }
        }
        chosen
    }

    pub(super) fn is_listed(&self, vm: &Name) -> bool {
        self.listed_vms.as_ref().is_some_and(|listed| listed.contains(vm))
    }

    /// Returns whether a process has certainly ended.
    ///
    /// The platform listed coordinators and standbys before the mandate named them. Absence
    /// from the list, which may lag, therefore proves that the process has ended, and so does a
    /// message of the VM with another incarnation.
    pub(super) fn has_ended(&self, vm: &VmIncarnation) -> bool {
        let unlisted = self.listed_vms.as_ref().is_some_and(|listed| !listed.contains(&vm.vm));
        let peer = self.peers.get(&vm.vm);
        let restarted = peer.is_some_and(|(known, _)| known.incarnation != vm.incarnation);
        let own = vm.vm == self.settings.vm.vm && vm.incarnation != self.settings.vm.incarnation;
        unlisted || restarted || own
    }
}
