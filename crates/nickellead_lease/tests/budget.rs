//! Bounds on platform calls, which must not grow with the number of VMs.
#![allow(clippy::unwrap_used)]

mod simulation;

use simulation::Simulation;

/// Runs the simulation and returns the number of calls of all VMs.
fn calls_in(simulation: &mut Simulation, millis: u64) -> u64 {
    let before = simulation.platform.calls;
    simulation.run(millis);
    simulation.platform.calls - before
}

#[test]
fn at_rest_only_the_coordinator_calls() {
    for vms in [3, 12, 48] {
        let mut simulation = Simulation::new(vms, 3);
        simulation.run(6_000);
        let calls = calls_in(&mut simulation, 10_000);
        assert!(calls <= 21, "{vms} VMs make {calls} calls in 10 s: the renewals are 20");
    }
}

#[test]
fn a_lost_coordinator_costs_few_calls_whatever_the_number_of_vms() {
    for vms in [3, 12, 48] {
        let mut simulation = Simulation::new(vms, 3);
        simulation.run(6_000);
        let leader = simulation.leader().unwrap();
        simulation.kill_vm(leader);
        let calls = calls_in(&mut simulation, 3_000);
        // Each of two standbys reads five times a second, and each other VM once; the rest are
        // renewals.
        let bound = 40 + 2 * vms as u64;
        assert!(calls <= bound, "{vms} VMs make {calls} calls in 3 s");
        assert!(simulation.leader().is_some());
    }
}

#[test]
fn an_outage_is_not_answered_with_a_storm_of_calls() {
    let mut simulation = Simulation::new(12, 3);
    simulation.run(6_000);
    simulation.platform.down = true;
    let calls = calls_in(&mut simulation, 60_000);
    assert!(calls <= 10 * 60, "{calls} calls in 60 s");
    assert!(simulation.all_owned(), "an outage alone makes no key unavailable");
}
