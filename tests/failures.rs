//! Kills, pauses and outages of processes on real sockets.
//!
//! Each test checks the records of callers and targets: one owner at a time, no
//! operation run twice or despite a "not run" response, no response of another request.
#![allow(clippy::unwrap_used)]

mod common;

use common::fleet::{Fleet, FleetSpec};
use nickellead_standin::LoadReport;

fn fleet(label: &'static str) -> Fleet {
    Fleet::start(FleetSpec { label, ..FleetSpec::default() })
}

/// Asserts that no request was refused or ended with an unknown outcome.
fn assert_all_answered(report: &LoadReport) {
    assert!(report.answered > 100, "{} answered, {:?}", report.answered, report.errors);
    assert_eq!((report.refused, report.unknown), (0, 0), "{:?}", report.errors);
}

/// Asserts that every key is served while the failed process is still down.
fn assert_served_again(fleet: &Fleet) {
    let report = fleet.load(1, &[0, 1, 2]).join().unwrap();
    fleet.check_guarantees(&report);
    assert_all_answered(&report);
}

#[test]
fn other_targets_serve_the_keys_of_a_killed_target() {
    let mut fleet = fleet("killed-target");
    let load = fleet.load(6, &[0, 1, 2]);
    fleet.wait_for_effects(0);
    fleet.kill_target(0);
    let report = load.join().unwrap();
    fleet.check_guarantees(&report);
    assert!(report.refused > 0, "no request failed at the killed target");
    assert!(fleet.moved_shards() > 0, "no shard moved to a new epoch");
    assert_served_again(&fleet);
}

#[test]
fn a_resumed_target_runs_no_request_for_shards_it_lost() {
    let fleet = fleet("frozen-target");
    let load = fleet.load(9, &[0, 1, 2]);
    fleet.signal_target(0, "STOP");
    let leader = fleet.coordinator("zone-a").unwrap();
    fleet.wait_until("the target lost its shards", |fleet| {
        let status = common::request(fleet.vms[leader].operators, "GET", "/v1/status");
        status.contains(r#""phase":"lost""#)
    });
    fleet.signal_target(0, "CONT");
    let report = load.join().unwrap();
    fleet.check_guarantees(&report);
    fleet.wait_for_zone(0);
}

#[test]
fn a_killed_coordinator_makes_no_key_unavailable_and_moves_none() {
    let mut fleet = fleet("killed-coordinator");
    let leader = fleet.coordinator("zone-a").unwrap();
    let others: Vec<usize> = (0..3).filter(|vm| *vm != leader).collect();
    let load = fleet.load(6, &others);
    fleet.kill_vm(leader);
    let report = load.join().unwrap();
    fleet.check_guarantees(&report);
    assert_all_answered(&report);
    assert_eq!(fleet.moved_shards(), 0);
    fleet.wait_until("a successor coordinates", |fleet| fleet.coordinator("zone-a").is_some());
}

#[test]
fn a_paused_coordinator_steps_down_when_it_resumes() {
    let fleet = fleet("frozen-coordinator");
    let leader = fleet.coordinator("zone-a").unwrap();
    let others: Vec<usize> = (0..3).filter(|vm| *vm != leader).collect();
    let load = fleet.load(7, &others);
    fleet.signal_vm(leader, "STOP");
    fleet.wait_until("a successor coordinates", |fleet| {
        others.iter().any(|vm| {
            let status = common::request(fleet.vms[*vm].operators, "GET", "/v1/status");
            status.contains(r#""phase":"leading""#)
        })
    });
    fleet.signal_vm(leader, "CONT");
    let report = load.join().unwrap();
    fleet.check_guarantees(&report);
    assert_all_answered(&report);
    let status = common::request(fleet.vms[leader].operators, "GET", "/v1/status");
    assert!(status.contains(r#""phase":"follower""#), "{status}");
    assert_eq!(fleet.moved_shards(), 0);
}

#[test]
fn an_outage_of_the_platform_alone_refuses_nothing() {
    let fleet = fleet("platform-outage");
    let load = fleet.load(11, &[0, 1, 2]);
    fleet.set_platform_faults(r#"{"down": true}"#);
    let report = load.join().unwrap();
    fleet.check_guarantees(&report);
    assert_all_answered(&report);
    fleet.set_platform_faults("{}");
    fleet.wait_until("the coordinator is attached again", |fleet| {
        fleet.vms.iter().any(|vm| {
            let status = common::request(vm.operators, "GET", "/v1/status");
            status.contains(r#""phase":"leading""#)
        })
    });
}

#[test]
fn a_target_killed_during_an_outage_is_replaced_by_the_detached_coordinator() {
    let mut fleet = fleet("outage-and-target");
    fleet.set_platform_faults(r#"{"down": true}"#);
    fleet.wait_until("the coordinator is detached", |fleet| {
        fleet.vms.iter().any(|vm| {
            let status = common::request(vm.operators, "GET", "/v1/status");
            status.contains(r#""phase":"detached""#)
        })
    });
    let load = fleet.load(7, &[0, 1, 2]);
    fleet.kill_target(1);
    let report = load.join().unwrap();
    fleet.check_guarantees(&report);
    assert!(report.refused > 0, "no request failed at the killed target");
    assert_served_again(&fleet);
    fleet.set_platform_faults("{}");
    fleet.wait_for_zone(0);
}

#[test]
fn a_draining_target_hands_over_its_keys_without_refusals() {
    let fleet = fleet("drain");
    let load = fleet.load(4, &[0, 1, 2]);
    fleet.wait_for_effects(2);
    fleet.declare_target(2, "draining");
    let report = load.join().unwrap();
    fleet.check_guarantees(&report);
    assert_all_answered(&report);
    assert!(fleet.moved_shards() > 0, "no shard moved");
}

#[test]
fn planned_stops_of_all_vms_one_after_another_cut_nothing() {
    let mut fleet = fleet("rolling-stop");
    for number in 0..3 {
        let others: Vec<usize> = (0..3).filter(|vm| *vm != number).collect();
        let load = fleet.load(3, &others);
        let process = fleet.vms[number].process.take().unwrap();
        process.signal("TERM");
        assert_eq!(process.exit_code(), Some(0), "vm-{number}");
        let report = load.join().unwrap();
        fleet.check_guarantees(&report);
        assert_all_answered(&report);
        fleet.start_vm(number);
        fleet.wait_for_zone(0);
    }
    assert_eq!(fleet.moved_shards(), 0);
}

/// All VMs of one zone are paused: its keys are refused after its sessions expire, the
/// other zone is not affected, and no shard moves.
#[test]
fn a_paused_zone_keeps_its_keys_and_the_other_zone_serves() {
    let fleet = Fleet::start(FleetSpec { label: "silent-zone", zones: 2, ..FleetSpec::default() });
    let vms_in = |zone: &str| -> Vec<usize> {
        (0..fleet.vms.len()).filter(|vm| fleet.vms[*vm].zone == zone).collect()
    };
    let (running, paused) = (vms_in("zone-a"), vms_in("zone-b"));
    paused.iter().for_each(|vm| fleet.signal_vm(*vm, "STOP"));
    let report = fleet.load(6, &running).join().unwrap();
    fleet.check_guarantees(&report);
    assert!(report.refused > 0, "no key of the paused zone was refused in six seconds");
    assert_eq!(report.unknown, 0, "{:?}", report.errors);
    let half = fleet.spec.shards / 2;
    let last_effect = fleet.effects().into_iter().max_by_key(|effect| effect.at_us).unwrap();
    assert!(last_effect.shard < half, "the last effect was in the paused zone");
    assert_eq!(fleet.moved_shards(), 0);
    paused.iter().for_each(|vm| fleet.signal_vm(*vm, "CONT"));
    fleet.wait_for_zone(1);
    let report = fleet.load(2, &running).join().unwrap();
    fleet.check_guarantees(&report);
    assert_all_answered(&report);
    assert_eq!(fleet.moved_shards(), 0, "the targets of the zone lost shards to others");
}
