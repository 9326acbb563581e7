//! Decides under load whether a zone is out of reach, by failures of all kinds and reports of other
//! VMs.

use std::collections::HashMap;

use nickellead_balance::{FailedTry, ReachFailure, ReachReport, ReachRules, ZoneReachability};
use nickellead_core::Timestamp;

const ZONE: &str = "zone-b";
/// When the failure of each test begins; requests are served before.
const START: u64 = 10_000;

/// One VM that sends requests to targets of one zone.
struct Vm {
    reach: ZoneReachability,
    tries: u64,
}

impl Vm {
    /// A VM that got responses from all targets within the second before [`START`].
    fn serving(targets: usize) -> Self {
        let reach = ZoneReachability::new(ReachRules::AllFailures);
        reach.set_targets(&HashMap::from([(ZONE, targets)]));
        for index in 0..targets {
            let at = Timestamp(START - 1_000 + 1_000 * index as u64 / targets as u64);
            reach.record_attempt(ZONE, &format!("t{index}"), at);
            reach.record_response(ZONE, at);
        }
        Self { reach, tries: 0 }
    }

    /// Whether a request may be sent; counts it.
    fn starts(&mut self, target: usize, at: u64) -> bool {
        let may_attempt = self.reach.may_attempt(ZONE, Timestamp(at));
        if may_attempt {
            self.tries += 1;
            self.reach.record_attempt(ZONE, &format!("t{target}"), Timestamp(at));
        }
        may_attempt
    }

    fn fails(&self, target: usize, failure: ReachFailure, began: u64, ended: u64) {
        let target = format!("t{target}");
        let tried = FailedTry { target: &target, failure, began: Timestamp(began) };
        self.reach.record_failure(ZONE, &tried, Timestamp(ended));
    }

    /// Sends 500 requests for random targets within eight seconds, all of which fail at once.
    fn send_into_cut(&mut self, targets: usize, failure: ReachFailure) {
        let mut rng = fastrand::Rng::with_seed(7);
        for number in 0..500 {
            let at = START + number * 16;
            let target = rng.usize(..targets);
            if self.starts(target, at) {
                self.fails(target, failure, at, at);
            }
        }
    }

    fn is_in_reach(&self, at: u64) -> bool {
        self.reach.is_in_reach(ZONE, Timestamp(at))
    }

    /// Closes the zone by own failures at [`START`].
    fn closed(targets: usize) -> Self {
        let mut vm = Self::serving(targets);
        for target in 0..targets {
            if vm.starts(target, START) {
                vm.fails(target, ReachFailure::Refused, START, START);
            }
        }
        assert!(!vm.is_in_reach(START));
        vm
    }

    fn hears(&self, vm: u64, in_reach: bool, seen: u64, now: u64) {
        let report = ReachReport { vm, in_reach, seen: Timestamp(seen) };
        self.reach.record_report(ZONE, &report, Timestamp(now));
    }
}

/// A cut that refuses or resets connections: each request used to fail at its target again.
#[test]
fn a_cut_by_refusal_or_reset_costs_few_tries() {
    for failure in [ReachFailure::Refused, ReachFailure::Broken] {
        let mut vm = Vm::serving(30);
        vm.send_into_cut(30, failure);
        assert!(vm.tries < 60, "{failure:?}: {} tries", vm.tries);
        let changes = vm.reach.take_changes(Timestamp(START + 8_000));
        assert_eq!(changes.len(), 1, "{failure:?}: {changes:?}");
        assert!(!changes[0].in_reach && changes[0].first_hand);
    }
}

/// A cut that answers nothing: two silent targets are sufficient, as each costs the time of a request.
#[test]
fn a_cut_by_silence_is_found_at_two_targets() {
    let mut vm = Vm::serving(30);
    for target in 0..2 {
        assert!(vm.starts(target, START));
        vm.fails(target, ReachFailure::TimedOut, START, START + 400);
    }
    assert!(!vm.is_in_reach(START + 400));
}

/// Few requests, as at night: the evidence must not expire before it is sufficient.
#[test]
fn a_cut_is_found_at_two_requests_a_second() {
    let mut vm = Vm::serving(30);
    for number in 0..16 {
        let (target, at) = (number as usize * 7 % 30, START + number * 500);
        if vm.starts(target, at) {
            vm.fails(target, ReachFailure::Refused, at, at);
        }
    }
    assert!(!vm.is_in_reach(START + 8_000));
}

/// Three of 40 targets crash and get much of the traffic.
#[test]
fn a_zone_with_some_crashed_targets_stays_open() {
    let mut vm = Vm::serving(40);
    for number in 0..200 {
        let at = START + number * 20;
        let crashed = number as usize % 3;
        assert!(vm.starts(crashed, at));
        vm.fails(crashed, ReachFailure::Refused, at, at);
        let serving = 3 + number as usize % 37;
        assert!(vm.starts(serving, at), "request {number}");
        // Responses take longer than refusals.
        if number >= 15 {
            vm.reach.record_response(ZONE, Timestamp(at));
        }
    }
    assert!(vm.reach.take_changes(Timestamp(START + 4_000)).is_empty());
}

/// One owner restarts, and all its callers try again.
#[test]
fn a_single_target_that_refuses_closes_nothing() {
    let mut vm = Vm::serving(1);
    for number in 0..100 {
        assert!(vm.starts(0, START + number));
        vm.fails(0, ReachFailure::Refused, START + number, START + number);
    }
}

/// Both targets of a small zone are down: there is nothing else to try there.
#[test]
fn a_zone_of_two_targets_is_out_of_reach_when_both_refuse() {
    let mut vm = Vm::serving(2);
    vm.fails(0, ReachFailure::Refused, START, START);
    assert!(vm.starts(1, START));
    vm.fails(1, ReachFailure::Refused, START, START);
    assert!(!vm.is_in_reach(START));
}

/// All callers of a lost zone come back at once when it returns.
#[test]
fn a_zone_that_returns_gets_one_request_at_a_time() {
    let mut vm = Vm::closed(10);
    assert!(!vm.starts(0, START + 299));
    assert!(vm.starts(0, START + 300));
    vm.reach.record_response(ZONE, Timestamp(START + 310));
    assert!(vm.is_in_reach(START + 310));
    for response in 0..2 {
        let at = START + 310 + response * 50;
        assert!(vm.starts(1, at));
        assert!(!vm.starts(2, at + 1), "another request is in flight");
        vm.reach.record_response(ZONE, Timestamp(at + 50));
    }
    let burst = (0..30).filter(|target| vm.starts(*target, START + 410)).count();
    assert_eq!(burst, 30, "the zone is used as before");
}

/// A first response must not be outweighed by tries that were in flight while the zone was lost.
#[test]
fn tries_from_before_the_first_response_do_not_close_the_zone_again() {
    let mut vm = Vm::closed(10);
    assert!(vm.starts(0, START + 300));
    vm.reach.record_response(ZONE, Timestamp(START + 310));
    for target in 1..6 {
        vm.fails(target, ReachFailure::TimedOut, START - 1, START + 320);
    }
    assert!(vm.is_in_reach(START + 320));
}

/// Silent tries of the requests that were sent together end after the zone was closed.
#[test]
fn tries_from_before_the_closing_do_not_prolong_it() {
    let vm = Vm::closed(10);
    vm.fails(1, ReachFailure::TimedOut, START - 10, START + 390);
    assert!(!vm.is_in_reach(START + 1_999));
    assert!(vm.is_in_reach(START + 2_000));
}

/// A VM without requests for a lost zone must not keep it closed, and a single one is a trial.
#[test]
fn expired_evidence_allows_one_request_whose_failure_closes_the_zone_again() {
    let mut vm = Vm::closed(10);
    assert!(vm.starts(1, START + 2_000));
    assert!(!vm.starts(2, START + 2_001));
    vm.fails(1, ReachFailure::Refused, START + 2_000, START + 2_002);
    assert!(!vm.is_in_reach(START + 2_002));
    let changes = vm.reach.take_changes(Timestamp(START + 2_002));
    assert_eq!(changes.len(), 1, "{changes:?}");
    let changes = vm.reach.take_changes(Timestamp(START + 7_000));
    assert!(changes[0].in_reach && !changes[0].first_hand, "{changes:?}");
}

/// Other VMs of the zone lost contact: this one needs no failures of its own.
#[test]
fn reports_of_several_vms_close_a_zone_that_was_not_tried_lately() {
    let vm = Vm::serving(4);
    let now = START + 3_000;
    (1..=2).for_each(|other| vm.hears(other, false, now, now));
    vm.hears(2, false, now, now);
    assert!(vm.is_in_reach(now), "the same VM counts once");
    vm.hears(3, false, now, now);
    assert!(!vm.is_in_reach(now));
    let changes = vm.reach.take_changes(Timestamp(now));
    assert!(!changes[0].first_hand, "{changes:?}");
}

/// A VM that is cut off itself reports all zones.
#[test]
fn a_response_refutes_reports() {
    let vm = Vm::serving(4);
    vm.reach.record_response(ZONE, Timestamp(START + 100));
    (1..=9).for_each(|other| vm.hears(other, false, START + 100, START + 120));
    assert!(vm.is_in_reach(START + 120));
}

/// VMs that closed a zone by reports alone must not confirm each other.
#[test]
fn reports_expire_and_a_report_of_its_return_makes_a_try_due() {
    let vm = Vm::serving(4);
    let now = START + 3_000;
    (1..=5).for_each(|other| vm.hears(other, false, now, now + 100));
    assert!(!vm.is_in_reach(now + 1_999));
    assert!(vm.is_in_reach(now + 2_000));
    let mut closed = Vm::closed(4);
    closed.hears(1, true, START + 100, START + 100);
    assert!(closed.starts(0, START + 100));
    assert!(!closed.starts(0, START + 101));
    vm.hears(9, false, now, now + 2_500);
    assert!(vm.is_in_reach(now + 2_500), "too old");
}
