//! Recovery times and failure counts of processes on real sockets.
//!
//! `cargo bench --bench failover [-- scenario...]` prints results without checking them.
//! `FAILOVER_LOSSES` sets the number of targets to kill (default 100).
#![allow(clippy::unwrap_used, clippy::print_stdout, missing_docs)]

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::{Duration, Instant};

use common::fleet::{Fleet, FleetSpec, number_after};
use common::request;

/// Labels of the fleets that lose targets concurrently.
const FLEET_LABELS: [&str; 4] = ["lose-a", "lose-b", "lose-c", "lose-d"];

fn main() {
    let arguments = std::env::args().skip(1);
    let wanted: Vec<String> = arguments.filter(|argument| !argument.starts_with('-')).collect();
    let scenarios: [(&str, fn()); 6] = [
        ("target", measure_target_losses),
        ("coordinator", measure_coordinator_losses),
        ("both", measure_coordinator_and_target_losses),
        ("drain", measure_drains),
        ("outage", measure_platform_outage),
        ("config", measure_config_changes),
    ];
    for (name, scenario) in scenarios {
        if wanted.is_empty() || wanted.iter().any(|argument| argument == name) {
            scenario();
        }
    }
}

fn print_times(scenario: &str, mut times_ms: Vec<u64>, extra: &str) {
    times_ms.sort_unstable();
    let at = |percent: usize| times_ms[(times_ms.len() * percent).div_ceil(100).max(1) - 1];
    let (count, p50, p99, max) = (times_ms.len(), at(50), at(99), at(100));
    println!("scenario={scenario} count={count} p50_ms={p50} p99_ms={p99} max_ms={max} {extra}");
}

/// Returns the milliseconds until a key is served again.
fn time_until_served(fleet: &Fleet, vm: usize, key: &str) -> u64 {
    let start = Instant::now();
    loop {
        let response = request(fleet.vms[vm].callers, "GET", &format!("/boards/look/{key}"));
        if response.starts_with("HTTP/1.1 200") {
            return start.elapsed().as_millis() as u64;
        }
        assert!(start.elapsed() < Duration::from_secs(30), "not served again in 30 s: {response}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

fn fleet(label: &'static str) -> Fleet {
    Fleet::start(FleetSpec { label, ..FleetSpec::default() })
}

fn measure_target_losses() {
    let losses = std::env::var("FAILOVER_LOSSES").ok().and_then(|text| text.parse().ok());
    let losses_per_fleet = losses.unwrap_or(100_usize).div_ceil(FLEET_LABELS.len());
    let run = |label: &'static str| {
        std::thread::spawn(move || {
            let mut fleet = fleet(label);
            (0..losses_per_fleet)
                .map(|round| measure_target_loss(&mut fleet, round % 3))
                .collect::<Vec<u64>>()
        })
    };
    let threads: Vec<_> = FLEET_LABELS.into_iter().map(run).collect();
    let times: Vec<Vec<u64>> = threads.into_iter().map(|thread| thread.join().unwrap()).collect();
    print_times("target-lost", times.concat(), "");
}

fn measure_target_loss(fleet: &mut Fleet, target: usize) -> u64 {
    let key = fleet.find_key_of(target);
    fleet.kill_target(target);
    let time = time_until_served(fleet, 0, &key);
    fleet.start_target(target);
    fleet.wait_for_zone(0);
    time
}

fn measure_coordinator_losses() {
    let mut fleet = fleet("lose-coordinator");
    let (mut answered, mut failed) = (0, 0);
    let rounds = 10;
    for _ in 0..rounds {
        let leader = fleet.coordinator("zone-a").unwrap();
        let others: Vec<usize> = (0..3).filter(|vm| *vm != leader).collect();
        let load = fleet.load(5, &others);
        fleet.kill_vm(leader);
        let report = load.join().unwrap();
        fleet.check_guarantees(&report);
        answered += report.answered;
        failed += report.refused + report.unknown;
        fleet.start_vm(leader);
        fleet.wait_for_zone(0);
    }
    let moved = fleet.moved_shards();
    println!(
        "scenario=coordinator-lost count={rounds} answered={answered} \
         refused_or_unknown={failed} moved_shards={moved}"
    );
}

fn measure_coordinator_and_target_losses() {
    let mut fleet = fleet("lose-both");
    let mut times = Vec::new();
    for round in 0..6 {
        let leader = fleet.coordinator("zone-a").unwrap();
        let other = (0..3).find(|vm| *vm != leader).unwrap();
        let target = round % 3;
        let key = fleet.find_key_of(target);
        fleet.kill_target(target);
        fleet.kill_vm(leader);
        let start = Instant::now();
        // The platform removes the VM from its list one second later.
        std::thread::sleep(Duration::from_secs(1));
        fleet.set_vm_list(&fleet.vm_list_without(leader));
        time_until_served(&fleet, other, &key);
        times.push(start.elapsed().as_millis() as u64);
        fleet.set_vm_list(&fleet.vm_list());
        fleet.start_vm(leader);
        fleet.start_target(target);
        fleet.wait_for_zone(0);
    }
    print_times("coordinator-and-target-lost", times, "vm_gone_from_list_after_ms=1000");
}

fn measure_drains() {
    let fleet = fleet("drain");
    let mut latencies = Vec::new();
    let (mut answered, mut failed) = (0, 0);
    for round in 0..6 {
        let load = fleet.load(3, &[0, 1, 2]);
        fleet.declare_target(round % 3, "draining");
        let report = load.join().unwrap();
        fleet.check_guarantees(&report);
        answered += report.answered;
        failed += report.refused + report.unknown;
        latencies.push(report.latency_us);
        fleet.declare_target(round % 3, "active");
        fleet.wait_for_zone(0);
    }
    let worst = |index: usize| latencies.iter().map(|latency| latency[index]).max().unwrap_or(0);
    println!(
        "scenario=drain count={} answered={answered} refused_or_unknown={failed} \
         request_p99_us={} request_max_us={}",
        latencies.len(),
        worst(1),
        worst(2)
    );
}

fn measure_platform_outage() {
    let fleet = fleet("outage");
    let load = fleet.load(15, &[0, 1, 2]);
    fleet.set_platform_faults(r#"{"down": true}"#);
    let report = load.join().unwrap();
    fleet.check_guarantees(&report);
    let failed = report.refused + report.unknown;
    let answered = report.answered;
    println!("scenario=platform-outage seconds=15 answered={answered} refused_or_unknown={failed}");
}

fn measure_config_changes() {
    let fleet = Fleet::start(FleetSpec { label: "config", zones: 3, ..FleetSpec::default() });
    let times = (0..50).map(|round| {
        let state = if round % 2 == 0 { "draining" } else { "active" };
        fleet.declare_target(round / 2 % 9, state);
        let start = Instant::now();
        let wanted = fleet.platform_revision();
        fleet.vms.iter().for_each(|vm| wait_for_revision(vm.operators, wanted));
        start.elapsed().as_millis() as u64
    });
    print_times("config-in-force", times.collect(), "vms=9 zones=3");
}

fn wait_for_revision(operators: std::net::SocketAddr, wanted: u64) {
    loop {
        let status = request(operators, "GET", "/v1/status");
        let revision = number_after(&status, "\"config_revision\":");
        if revision.is_some_and(|revision| revision >= wanted) {
            return;
        }
    }
}
