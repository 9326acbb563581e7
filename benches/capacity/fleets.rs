//! Idle processes: processor time, memory and platform calls by number of VMs and targets.

use std::time::Duration;

use crate::common::fleet::{Fleet, FleetSpec, number_after};
use crate::common::request;
use crate::{Point, resident_bytes};

/// Numbers of VMs of one zone.
const VM_COUNTS: [usize; 4] = [3, 12, 25, 50];
/// Time between the start of a fleet and the measurement.
const WARMUP: Duration = Duration::from_secs(4);
/// Duration of the measurement of an idle fleet.
const IDLE_DURATION: Duration = Duration::from_secs(8);
/// Clock ticks per second, the unit of processor time in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Numbers of targets of one zone with three VMs.
const TARGET_COUNTS: [usize; 3] = [12, 60, 180];

pub fn measure(points: &mut Vec<Point>) {
    for (targets, label) in TARGET_COUNTS.into_iter().zip(["many-12", "many-60", "many-180"]) {
        let spec =
            FleetSpec { label, targets_per_zone: targets, shards: 16_384, ..FleetSpec::default() };
        measure_orders(&Fleet::start(spec), targets as u64, points);
    }
    for (vms, label) in VM_COUNTS.into_iter().zip(["rest-3", "rest-12", "rest-25", "rest-50"]) {
        let spec = FleetSpec {
            label,
            vms_per_zone: vms,
            targets_per_zone: 12,
            shards: 1_024,
            ..FleetSpec::default()
        };
        let fleet = Fleet::start(spec);
        measure_idle(&fleet, vms as u64, points);
    }
}

fn measure_idle(fleet: &Fleet, vms: u64, points: &mut Vec<Point>) {
    // Excludes the cost of the start.
    std::thread::sleep(WARMUP);
    let leader = fleet.coordinator("zone-a").unwrap();
    let processes: Vec<String> =
        fleet.vms.iter().map(|vm| vm.process.as_ref().unwrap().id().to_string()).collect();
    let ticks: Vec<f64> = processes.iter().map(|process| cpu_ticks(process)).collect();
    let calls = platform_calls(fleet);
    std::thread::sleep(IDLE_DURATION);
    let after = platform_calls(fleet);
    let call_counts = after.iter().zip(&calls).map(|(after, before)| after - before);
    let rates: Vec<f64> =
        call_counts.map(|calls| calls as f64 / IDLE_DURATION.as_secs_f64()).collect();
    let core_percent = |index: usize| {
        (cpu_ticks(&processes[index]) - ticks[index])
            / TICKS_PER_SECOND
            / IDLE_DURATION.as_secs_f64()
            * 100.0
    };
    let follower = (0..fleet.vms.len()).filter(|index| *index != leader).map(core_percent);
    let follower = follower.sum::<f64>() / (fleet.vms.len() - 1) as f64;
    points.push(Point::new(
        "coordinator-process",
        "vms",
        vms,
        "percent_of_core",
        core_percent(leader),
    ));
    points.push(Point::new("follower-process", "vms", vms, "percent_of_core", follower));
    let memory = resident_bytes(&processes[leader]) as f64;
    points.push(Point::new("coordinator-process-memory", "vms", vms, "bytes", memory));
    let calls = rates.iter().sum();
    points.push(Point::new("platform-calls-of-zone", "vms", vms, "a_second", calls));
    let follower_calls = calls - rates[leader];
    points.push(Point::new("platform-calls-of-followers", "vms", vms, "a_second", follower_calls));
}

/// Measures the cost of heartbeats to the coordinator's process, including sockets.
fn measure_orders(fleet: &Fleet, targets: u64, points: &mut Vec<Point>) {
    std::thread::sleep(WARMUP);
    let leader = fleet.coordinator("zone-a").unwrap();
    let process = fleet.vms[leader].process.as_ref().unwrap().id().to_string();
    let ticks = cpu_ticks(&process);
    std::thread::sleep(IDLE_DURATION);
    let core_percent =
        (cpu_ticks(&process) - ticks) / TICKS_PER_SECOND / IDLE_DURATION.as_secs_f64() * 100.0;
    points.push(Point::new(
        "coordinator-orders",
        "targets",
        targets,
        "percent_of_core",
        core_percent,
    ));
    let memory = resident_bytes(&process) as f64;
    points.push(Point::new("coordinator-orders-memory", "targets", targets, "bytes", memory));
}

fn platform_calls(fleet: &Fleet) -> Vec<u64> {
    let calls = fleet.vms.iter().map(|vm| {
        let status = request(vm.operators, "GET", "/v1/status");
        number_after(&status, "\"platform_calls\":").unwrap_or(0)
    });
    calls.collect()
}

fn cpu_ticks(process: &str) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let field = |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok());
    field(11).unwrap_or(0.0) + field(12).unwrap_or(0.0)
}
