//! Reports of lost zones between the VMs of one zone.

use std::collections::HashMap;
use std::rc::Rc;

use nickellead_balance::{FailedTry, ReachFailure, ReachRules, ZoneReachability};
use nickellead_core::Timestamp;
use nickellead_gateway::{ZoneReport, ZoneReports};

const OWN_ZONE: &str = "zone-a";
const LOST_ZONE: &str = "zone-b";
/// When the other zone is cut off.
const START: u64 = 10_000;

struct Vm {
    reach: Rc<ZoneReachability>,
    reports: ZoneReports,
}

impl Vm {
    fn new(name: &str) -> Self {
        Self::in_zone(name, OWN_ZONE)
    }

    fn in_zone(name: &str, zone: &str) -> Self {
        let reach = Rc::new(ZoneReachability::new(ReachRules::AllFailures));
        reach.set_targets(&HashMap::from([(OWN_ZONE, 8), (LOST_ZONE, 8)]));
        let reports = ZoneReports::new(name, zone, Rc::clone(&reach));
        Self { reach, reports }
    }

    /// Fails at three targets of a zone.
    fn fail(&self, zone: &str, at: u64) {
        for target in ["t1", "t2", "t3"] {
            let began = Timestamp(at);
            let tried = FailedTry { target, failure: ReachFailure::Refused, began };
            self.reach.record_attempt(zone, target, began);
            self.reach.record_failure(zone, &tried, began);
        }
        self.settle(at);
    }

    /// Queues reports of the changes so far.
    fn settle(&self, at: u64) {
        for change in self.reach.take_changes(Timestamp(at)) {
            self.reports.record_change(&change, Timestamp(at));
        }
    }

    fn hear(&self, reports: &[ZoneReport], at: u64) {
        reports.iter().for_each(|report| self.reports.receive(report, Timestamp(at)));
        self.settle(at);
    }

    fn tell(&self, at: u64) -> Vec<ZoneReport> {
        self.reports.take_reports(Timestamp(at))
    }

    fn reaches(&self, at: u64) -> bool {
        self.reach.is_in_reach(LOST_ZONE, Timestamp(at))
    }
}

/// Three VMs that lost a zone.
fn witnesses() -> Vec<ZoneReport> {
    let vms = ["vm-1", "vm-2", "vm-3"].map(Vm::new);
    vms.iter().for_each(|vm| vm.fail(LOST_ZONE, START));
    vms.iter().flat_map(|vm| vm.tell(START)).collect()
}

/// Each VM of a zone found out alone.
#[test]
fn what_three_vms_saw_closes_a_zone_for_the_others() {
    let (vm, reports) = (Vm::new("vm-9"), witnesses());
    vm.hear(&reports[..2], START + 10);
    assert!(vm.reaches(START + 10));
    vm.hear(&reports[2..], START + 20);
    assert!(!vm.reaches(START + 20));
}

/// Reports that go round among VMs would keep a zone closed for ever.
#[test]
fn reports_are_not_passed_on_and_expire() {
    let (vm, reports) = (Vm::new("vm-9"), witnesses());
    vm.hear(&reports, START + 10);
    assert!(vm.tell(START + 10).is_empty());
    assert!(!vm.reaches(START + 1_900));
    assert!(vm.reaches(START + 2_100));
    vm.settle(START + 9_000);
    assert!(vm.tell(START + 9_000).is_empty(), "an expiry is not seen first-hand");
}

/// All VMs of a large fleet lose a zone within the same second.
#[test]
fn a_vm_that_needed_reports_sends_none() {
    let (vm, reports) = (Vm::new("vm-9"), witnesses());
    vm.hear(&reports[..2], START + 10);
    vm.fail(LOST_ZONE, START + 10);
    assert!(!vm.reaches(START + 10));
    assert!(vm.tell(START + 10).is_empty());
}

/// The zone returns: whoever told of its loss tells of its return, and the next try is due at once.
#[test]
fn the_return_of_a_zone_is_reported() {
    let (vm, other) = (Vm::new("vm-1"), Vm::new("vm-2"));
    vm.fail(LOST_ZONE, START);
    other.fail(LOST_ZONE, START);
    assert_eq!(vm.tell(START).len(), 1);
    vm.reach.record_response(LOST_ZONE, Timestamp(START + 100));
    vm.settle(START + 100);
    let reports = vm.tell(START + 105);
    assert_eq!(reports.len(), 1);
    assert!(!other.reach.may_attempt(LOST_ZONE, Timestamp(START + 110)));
    other.hear(&reports, START + 110);
    assert!(other.reach.may_attempt(LOST_ZONE, Timestamp(START + 110)));
}

/// A VM whose own link is cut sees every zone fail.
#[test]
fn a_vm_that_is_cut_off_itself_reports_nothing() {
    let vm = Vm::new("vm-1");
    vm.fail(OWN_ZONE, START);
    vm.fail(LOST_ZONE, START);
    assert!(vm.tell(START).is_empty());
}

/// A zone may be cut off from one zone only.
#[test]
fn reports_from_vms_of_other_zones_do_not_count() {
    let vms = ["vm-1", "vm-2", "vm-3"].map(|name| Vm::in_zone(name, "zone-c"));
    vms.iter().for_each(|vm| vm.fail(LOST_ZONE, START));
    let vm = Vm::new("vm-9");
    vms.iter().for_each(|other| vm.hear(&other.tell(START), START));
    assert!(vm.reaches(START));
}

/// A link that was cut delivers late.
#[test]
fn old_reports_are_not_sent() {
    let vm = Vm::new("vm-1");
    vm.fail(LOST_ZONE, START);
    assert!(vm.tell(START + 2_000).is_empty());
}
