//! Who may follow whom: when this VM may take the mandate, and whom it names as standbys.

use std::time::Duration;

use nickellead_core::{Name, Timestamp};

use super::{Predecessor, ZoneCoordinator};
use crate::mandate::VmIncarnation;

/// How long a VM stays eligible as a standby after it was last heard.
const PEER_TTL: Duration = Duration::from_millis(1_500);

impl ZoneCoordinator {
    /// Whether this VM may take the mandate, and what it then knows of the one before.
    pub(super) fn acquisition_basis(&self, now: Timestamp) -> Option<Predecessor> {
        if self.config.is_none() || !self.is_listed(&self.settings.vm.vm) {
            return None;
        }
        let former = self.watch.object.as_ref().filter(|object| !object.stopped);
        let Some(object) = former else {
            // There was none, or it gave the mandate up as its last act.
            return Some(Predecessor {
                stopped_at: Some(now),
                records_known: true,
                ..Predecessor::default()
            });
        };
        let timings = &self.settings.timings;
        let still = now.since(self.watch.version_since) >= timings.mandate_timeout;
        let silent = now.since(self.last_announcement_at) >= timings.mandate_timeout;
        if !still || !silent {
            return None;
        }
        let gone = self.is_gone(&object.holder);
        let records_known = object.standbys.contains(&self.settings.vm);
        let all_gone = gone && object.standbys.iter().all(|standby| self.is_gone(standby));
        (records_known || all_gone).then(|| Predecessor {
            stopped_at: gone.then_some(now),
            records_known,
            holder: Some(object.holder.clone()),
            ..Predecessor::default()
        })
    }

    /// Whether this VM is a standby, or anyone may take the mandate.
    pub(super) fn may_acquire_soon(&self) -> bool {
        let Some(object) = &self.watch.object else { return true };
        let standby = object.standbys.contains(&self.settings.vm);
        standby || object.stopped || object.standbys.is_empty()
    }

    /// Keeps the standbys that are heard, fills up with others that are, and
    /// only then with those not heard: a silent standby may still take over.
    pub(super) fn choose_standbys(&self, now: Timestamp) -> Vec<VmIncarnation> {
        let fresh = |vm: &VmIncarnation| {
            let heard = self.peers.get(&vm.vm);
            heard.is_some_and(|(known, at)| known == vm && now.since(*at) < PEER_TTL)
        };
        let eligible = |vm: &&VmIncarnation| {
            **vm != self.settings.vm && self.is_listed(&vm.vm) && !self.is_gone(vm)
        };
        let current = self.watch.object.iter().flat_map(|object| &object.standbys);
        let current: Vec<&VmIncarnation> = current.filter(eligible).collect();
        let heard = self.peers.values().map(|(vm, _)| vm);
        let heard = heard.filter(eligible).filter(|vm| fresh(vm));
        let first = current.iter().copied().filter(|vm| fresh(vm)).chain(heard);
        let last = current.iter().copied().filter(|vm| !fresh(vm));
        let mut chosen: Vec<VmIncarnation> = Vec::new();
        for vm in first.chain(last) {
            if chosen.len() < self.settings.max_standbys && !chosen.contains(vm) {
                chosen.push(vm.clone());
            }
        }
        chosen
    }

    pub(super) fn is_listed(&self, vm: &Name) -> bool {
        self.listed_vms.as_ref().is_some_and(|listed_vms| listed_vms.contains(vm))
    }

    /// Whether a process surely runs no more.
    ///
    /// Coordinators and standbys were listed_vms before the mandate named them, so
    /// that absence from the lagging list means gone, not "not there yet". A VM
    /// heard under another incarnation has started anew.
    pub(super) fn is_gone(&self, vm: &VmIncarnation) -> bool {
        let unlisted =
            self.listed_vms.as_ref().is_some_and(|listed_vms| !listed_vms.contains(&vm.vm));
        let heard = self.peers.get(&vm.vm);
        let restarted = heard.is_some_and(|(known, _)| known.incarnation != vm.incarnation);
        let own = vm.vm == self.settings.vm.vm && vm.incarnation != self.settings.vm.incarnation;
        unlisted || restarted || own
    }
}
