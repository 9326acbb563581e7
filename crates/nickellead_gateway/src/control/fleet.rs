//! Telling all VMs which VMs take requests, so that few of them send to a cold target, and each to its part
//! of a service.

use std::collections::BTreeSet;
use std::time::Duration;

use nickellead_core::Timestamp;
use nickellead_time::BootClock;

use super::ControlLoop;
use crate::fleet::{AnnouncementStamp, FleetTable, MandateTerm};
use crate::{OrderPort, StorePort};

/// Least time between two words about the fleet, and from taking the mandate to the first one: by then all
/// VMs have reported, who do so each half second by way of one other VM at most. While VMs are stopped in
/// turn each word costs all others eight bytes a VM.
const FLEET_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_500);

/// The last word about the fleet in one term of the mandate.
#[derive(Clone, Copy)]
pub(super) struct FleetAnnouncement {
    term: MandateTerm,
    /// When the word was told, or else when the term began.
    since: Timestamp,
}

impl<S: StorePort, O: OrderPort> ControlLoop<S, O> {
    /// Tells which VMs take requests, if that has changed.
    pub(super) fn announce_fleet(&self) {
        let Some(term) = self.cluster.mandate().as_ref().map(MandateTerm::of) else { return };
        let now = BootClock.now();
        let last = self.fleet_announcement.get().filter(|last| last.term == term);
        let Some(last) = last else {
            return self.fleet_announcement.set(Some(FleetAnnouncement { term, since: now }));
        };
        let vms: BTreeSet<_> =
            self.reporters.borrow().keys().copied().chain([self.vm_id]).collect();
        let known = self.cluster.fleet();
        if now.since(last.since) < FLEET_ANNOUNCE_INTERVAL || known.vms == vms {
            return;
        }
        self.fleet_announcement.set(Some(FleetAnnouncement { term, since: now }));
        let sequence = if known.stamp.term == term { known.stamp.sequence + 1 } else { 1 };
        self.cluster.apply_fleet(FleetTable { stamp: AnnouncementStamp { term, sequence }, vms });
    }
}
