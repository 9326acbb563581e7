//! What VMs of one availability zone tell each other about other zones.
//!
//! Only what a VM saw by its own requests is reported. Reports of others are never passed on, so that
//! VMs do not confirm each other.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use nickellead_balance::{ReachChange, ReachReport, ZoneReachability};
use nickellead_core::Timestamp;
use tokio::sync::Notify;

use super::messages::ZoneReport;
use crate::load_counter::VmId;

/// Age at which a report that a zone is out of reach is no longer sent: it would not count.
const REPORT_TTL: Duration = Duration::from_millis(2_000);

/// A change that other VMs have not been told yet.
#[derive(Clone, Copy)]
struct PendingReport {
    in_reach: bool,
    seen: Timestamp,
}

/// Reports to and from the other VMs of this VM's zone.
pub struct ZoneReports {
    vm: VmId,
    zone: String,
    reachability: Rc<ZoneReachability>,
    /// Zones that other VMs were told to be out of reach.
    reported: RefCell<HashSet<String>>,
    /// The newest change of each zone.
    pending: RefCell<BTreeMap<String, PendingReport>>,
    ready: Notify,
    received: Notify,
}

impl ZoneReports {
    /// Reports of a VM in `zone`; received ones are applied to `reachability`.
    #[must_use]
    pub fn new(vm: &str, zone: &str, reachability: Rc<ZoneReachability>) -> Self {
        Self {
            vm: VmId::new(vm, zone),
            zone: zone.to_owned(),
            reachability,
            reported: RefCell::default(),
            pending: RefCell::default(),
            ready: Notify::new(),
            received: Notify::new(),
        }
    }

    /// Queues a report of a change where the other VMs need it.
    pub fn record_change(&self, change: &ReachChange, now: Timestamp) {
        let was_reported = self.reported.borrow_mut().remove(&change.zone);
        let is_needed = match change.in_reach {
            true => was_reported,
            false => self.is_connected(&change.zone, now),
        };
        if !change.first_hand || !is_needed {
            self.pending.borrow_mut().remove(&change.zone);
            return;
        }
        if !change.in_reach {
            self.reported.borrow_mut().insert(change.zone.clone());
        }
        let report = PendingReport { in_reach: change.in_reach, seen: now };
        self.pending.borrow_mut().insert(change.zone.clone(), report);
        self.ready.notify_one();
    }

    /// Whether a failure to reach another zone says something about that zone: a VM that does not
    /// reach its own zone either may be cut off itself.
    fn is_connected(&self, lost_zone: &str, now: Timestamp) -> bool {
        lost_zone != self.zone && self.reachability.is_in_reach(&self.zone, now)
    }

    /// Waits until there may be reports to send.
    pub(crate) async fn wait_for_reports(&self) {
        self.ready.notified().await;
    }

    /// Takes the reports that every other VM of the zone is to get.
    pub fn take_reports(&self, now: Timestamp) -> Vec<ZoneReport> {
        let pending = self.pending.take();
        let fresh = pending.into_iter().filter(|(_, one)| now.since(one.seen) < REPORT_TTL);
        fresh.map(|(zone, one)| self.report(zone, one, now)).collect()
    }

    fn report(&self, zone: String, pending: PendingReport, now: Timestamp) -> ZoneReport {
        ZoneReport {
            vm: self.vm,
            zone,
            in_reach: pending.in_reach,
            seen_ms_ago: now.since(pending.seen).as_millis() as u32,
        }
    }

    /// Applies a report of another VM. Those of other zones and those about this VM's own zone are
    /// ignored.
    pub fn receive(&self, report: &ZoneReport, now: Timestamp) {
        let is_peer = report.vm.shares_zone_with(self.vm) && report.vm != self.vm;
        let age = Duration::from_millis(u64::from(report.seen_ms_ago));
        let Some(seen) = now.checked_sub(age).filter(|_| is_peer && report.zone != self.zone)
        else {
            return;
        };
        let seen = ReachReport { vm: report.vm.key(), in_reach: report.in_reach, seen };
        self.reachability.record_report(&report.zone, &seen, now);
        self.received.notify_one();
    }

    /// Waits until a report was received.
    pub(crate) async fn wait_for_received(&self) {
        self.received.notified().await;
    }
}
