//! Announces the VMs that take requests, from which each VM derives its subsets and whether it
//! sends to cold targets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use nickellead_core::Timestamp;
use nickellead_time::BootClock;

use super::ControlLoop;
use crate::fleet::{AnnouncementStamp, FleetTable, MandateTerm};
use crate::load_counter::VmId;
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

/// A VM that reported load.
#[derive(Clone, Copy)]
pub(super) struct FleetReporter {
    /// When it last did.
    pub(super) seen: Timestamp,
    /// Where it takes dispatch messages.
    pub(super) dispatch_address: Option<SocketAddr>,
}

impl<S: StorePort, O: OrderPort> ControlLoop<S, O> {
    /// This VM and those that reported load to it.
    fn reporting_vms(&self) -> BTreeMap<VmId, Option<SocketAddr>> {
        let reporters = self.reporters.borrow();
        let others = reporters.iter().map(|(vm, reporter)| (*vm, reporter.dispatch_address));
        let own = (self.own_report.vm, self.own_report.dispatch_address);
        others.chain([own]).collect()
    }

    /// Announces the VMs that take requests, if they have changed.
    pub(super) fn announce_fleet(&self) {
        let Some(term) = self.cluster.mandate().as_ref().map(MandateTerm::of) else { return };
        let now = BootClock.now();
        let last = self.fleet_announcement.get().filter(|last| last.term == term);
        let Some(last) = last else {
            return self.fleet_announcement.set(Some(FleetAnnouncement { term, since: now }));
        };
        let vms = self.reporting_vms();
        let known = self.cluster.fleet();
        if now.since(last.since) < FLEET_ANNOUNCE_INTERVAL || known.vms == vms {
            return;
        }
        self.fleet_announcement.set(Some(FleetAnnouncement { term, since: now }));
        let sequence = if known.stamp.term == term { known.stamp.sequence + 1 } else { 1 };
        self.cluster.apply_fleet(FleetTable { stamp: AnnouncementStamp { term, sequence }, vms });
    }
}
