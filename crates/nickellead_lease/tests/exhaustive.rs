//! Exhaustive search over short sequences of disturbances, with two VMs and two targets.
//!
//! `NICKELLEAD_DEPTH` sets the length of the sequences. A violation panics with the time, the
//! owners and the sequence.
#![allow(clippy::unwrap_used, clippy::print_stdout)]

mod simulation;

use std::panic::{AssertUnwindSafe, catch_unwind};

use simulation::Simulation;

/// Default number of disturbances in a sequence.
const DEPTH: usize = 5;

/// A disturbance whose effect depends only on the state of the simulation.
#[derive(Clone, Copy, Debug)]
enum Disturbance {
    KillOrRestartLeader,
    FreezeOrThawTarget,
    RestartTarget,
    CutFirstFromTarget,
    CutSecondFromTarget,
    CutVms,
    CutFirstFromPlatform,
    PlatformDown,
    LoseResponses,
    RunShort,
    RunTakeover,
    RunLease,
}

const DISTURBANCES: [Disturbance; 12] = [
    Disturbance::KillOrRestartLeader,
    Disturbance::FreezeOrThawTarget,
    Disturbance::RestartTarget,
    Disturbance::CutFirstFromTarget,
    Disturbance::CutSecondFromTarget,
    Disturbance::CutVms,
    Disturbance::CutFirstFromPlatform,
    Disturbance::PlatformDown,
    Disturbance::LoseResponses,
    Disturbance::RunShort,
    Disturbance::RunTakeover,
    Disturbance::RunLease,
];

fn toggle<T: PartialEq>(list: &mut Vec<T>, item: T) {
    match list.iter().position(|known| *known == item) {
        Some(index) => drop(list.remove(index)),
        None => list.push(item),
    }
}

fn play(simulation: &mut Simulation, step: Disturbance) {
    match step {
        Disturbance::KillOrRestartLeader => match simulation.leader() {
            Some(leader) => simulation.kill_vm(leader),
            None => {
                let dead = (0..2).find(|vm| !simulation.vms[*vm].alive);
                dead.into_iter().for_each(|vm| simulation.restart_vm(vm));
            }
        },
        Disturbance::FreezeOrThawTarget => {
            simulation.targets[0].paused = !simulation.targets[0].paused
        }
        Disturbance::RestartTarget => simulation.restart_target(0),
        Disturbance::CutFirstFromTarget => toggle(&mut simulation.cut_target_links, (0, 0)),
        Disturbance::CutSecondFromTarget => toggle(&mut simulation.cut_target_links, (1, 0)),
        Disturbance::CutVms => toggle(&mut simulation.cut_vm_links, (0, 1)),
        Disturbance::CutFirstFromPlatform => toggle(&mut simulation.cut_platform_links, 0),
        Disturbance::PlatformDown => simulation.platform.down = !simulation.platform.down,
        Disturbance::LoseResponses => {
            simulation.platform.lose_responses = !simulation.platform.lose_responses
        }
        Disturbance::RunShort => simulation.run(30),
        Disturbance::RunTakeover => simulation.run(1_700),
        Disturbance::RunLease => simulation.run(2_700),
    }
    // Lets the undisturbed parts continue.
    simulation.run(20);
}

/// Plays every continuation of `path`, and returns the number of checked states.
fn explore(simulation: &Simulation, path: &mut Vec<Disturbance>, depth: usize) -> u64 {
    if depth == 0 {
        return 0;
    }
    let mut states = 0;
    for step in DISTURBANCES {
        let mut next = simulation.clone();
        path.push(step);
        let result = catch_unwind(AssertUnwindSafe(|| play(&mut next, step)));
        assert!(result.is_ok(), "broken by {path:?}");
        states += 1 + explore(&next, path, depth - 1);
        path.pop();
    }
    states
}

#[test]
fn no_short_sequence_of_disturbances_gives_a_shard_two_owners() {
    let configured = std::env::var("NICKELLEAD_DEPTH").ok().and_then(|text| text.parse().ok());
    let depth: usize = configured.unwrap_or(DEPTH);
    let mut simulation = Simulation::new(2, 2);
    simulation.run(4_000);
    assert!(simulation.all_owned(), "{}", simulation.describe());
    let states = explore(&simulation, &mut Vec::new(), depth);
    println!("depth={depth} states={states}");
    let moves = DISTURBANCES.len() as u64;
    assert_eq!(states, (1..=depth as u32).map(|level| moves.pow(level)).sum::<u64>());
}
