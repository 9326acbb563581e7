//! Announces the VMs that take requests, from which each VM derives its subsets and whether it
//! sends to cold targets.

use std::collections::BTreeSet;
use std::time::Duration;

use nickellead_core::Timestamp;
use nickellead_time::BootClock;

use super::ControlLoop;
use crate::fleet::{AnnouncementStamp, FleetTable, MandateTerm};
use crate::{OrderPort, StorePort};

/// Minimum time between two announcements, and from taking the mandate (leader lease) to the first
/// one. All VMs report within this time, also those that report by way of another VM.
const FLEET_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_500);

/// The last announcement in one term of the mandate.
#[derive(Clone, Copy)]
pub(super) struct FleetAnnouncement {
    term: MandateTerm,
    /// When it was made, or when the term began if there was none.
    since: Timestamp,
}

impl<S: StorePort, O: OrderPort> ControlLoop<S, O> {
    /// Announces the VMs that take requests, if they have changed.
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
