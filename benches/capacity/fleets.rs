//! Processes at rest: processor time, memory and platform calls by number of VMs.

use std::time::Duration;

use crate::common::fleet::{Fleet, FleetSpec, number_after};
use crate::common::request;
use crate::{Point, resident_bytes};

/// VMs of one zone.
const VMS: [usize; 4] = [3, 12, 25, 50];
/// How long a fleet that was just started is left alone before it is measured.
const SETTLE: Duration = Duration::from_secs(4);
/// How long the fleet is left at rest.
const REST: Duration = Duration::from_secs(8);
/// Clock ticks of the system in a second, as `/proc` counts processor time.
const TICKS: f64 = 100.0;

/// Targets of one zone, with three VMs.
const TARGETS: [usize; 3] = [12, 60, 180];

pub fn measure(points: &mut Vec<Point>) {
    for (targets, label) in TARGETS.into_iter().zip(["many-12", "many-60", "many-180"]) {
        let spec =
            FleetSpec { label, targets_per_zone: targets, shards: 16_384, ..FleetSpec::default() };
        measure_orders(&Fleet::start(spec), targets as u64, points);
    }
    for (vms, label) in VMS.into_iter().zip(["rest-3", "rest-12", "rest-25", "rest-50"]) {
        let spec = FleetSpec {
            label,
            vms_per_zone: vms,
            targets_per_zone: 12,
            shards: 1_024,
            ..FleetSpec::default()
        };
        let fleet = Fleet::start(spec);
        measure_rest(&fleet, vms as u64, points);
    }
}

fn measure_rest(fleet: &Fleet, vms: u64, points: &mut Vec<Point>) {
    // What the start itself cost is over by then.
    std::thread::sleep(SETTLE);
    let leader = fleet.coordinator("zone-a").unwrap();
    let processes: Vec<String> =
        fleet.vms.iter().map(|vm| vm.process.as_ref().unwrap().id().to_string()).collect();
    let ticks: Vec<f64> = processes.iter().map(|process| processor_ticks(process)).collect();
    let calls = platform_calls(fleet);
    std::thread::sleep(REST);
    let after = platform_calls(fleet);
    let spent = after.iter().zip(&calls).map(|(after, before)| after - before);
    let rates: Vec<f64> = spent.map(|calls| calls as f64 / REST.as_secs_f64()).collect();
    let share = |place: usize| {
        (processor_ticks(&processes[place]) - ticks[place]) / TICKS / REST.as_secs_f64() * 100.0
    };
    let follower = (0..fleet.vms.len()).filter(|place| *place != leader).map(share);
    let follower = follower.sum::<f64>() / (fleet.vms.len() - 1) as f64;
    points.push(Point::new("coordinator-process", "vms", vms, "percent_of_core", share(leader)));
    points.push(Point::new("follower-process", "vms", vms, "percent_of_core", follower));
    let memory = resident_bytes(&processes[leader]) as f64;
    points.push(Point::new("coordinator-process-memory", "vms", vms, "bytes", memory));
    let calls = rates.iter().sum();
    points.push(Point::new("platform-calls-of-zone", "vms", vms, "a_second", calls));
    let others = calls - rates[leader];
    points.push(Point::new("platform-calls-of-followers", "vms", vms, "a_second", others));
}

/// What heartbeats cost the coordinator's process, sockets and all.
fn measure_orders(fleet: &Fleet, targets: u64, points: &mut Vec<Point>) {
    std::thread::sleep(SETTLE);
    let leader = fleet.coordinator("zone-a").unwrap();
    let process = fleet.vms[leader].process.as_ref().unwrap().id().to_string();
    let ticks = processor_ticks(&process);
    std::thread::sleep(REST);
    let share = (processor_ticks(&process) - ticks) / TICKS / REST.as_secs_f64() * 100.0;
    points.push(Point::new("coordinator-orders", "targets", targets, "percent_of_core", share));
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

fn processor_ticks(process: &str) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let field = |place: usize| fields.get(place).and_then(|text| text.parse::<f64>().ok());
    field(11).unwrap_or(0.0) + field(12).unwrap_or(0.0)
}
