//! Every sequence of a few disturbances: two coordinators, two targets.
//!
//! The depth is set by `NICKELLEAD_DEPTH`. A sequence that breaks the promise
//! panics with the moment and the owners; the steps stand in the message.
#![allow(clippy::unwrap_used, clippy::print_stdout)]

mod simulation;

use std::panic::{AssertUnwindSafe, catch_unwind};

use simulation::Simulation;

/// Steps of a sequence in an ordinary run.
const DEPTH: usize = 5;

/// One disturbance; each does the same wherever it stands.
#[derive(Clone, Copy, Debug)]
enum Move {
    KillOrRestartLeader,
    FreezeOrThawTarget,
    RestartTarget,
    CutFirstFromTarget,
    CutSecondFromTarget,
    CutVms,
    CutFirstFromPlatform,
    PlatformDown,
    LoseAnswers,
    RunShort,
    RunTakeover,
    RunLease,
}

const MOVES: [Move; 12] = [
    Move::KillOrRestartLeader,
    Move::FreezeOrThawTarget,
    Move::RestartTarget,
    Move::CutFirstFromTarget,
    Move::CutSecondFromTarget,
    Move::CutVms,
    Move::CutFirstFromPlatform,
    Move::PlatformDown,
    Move::LoseAnswers,
    Move::RunShort,
    Move::RunTakeover,
    Move::RunLease,
];

fn toggle<T: PartialEq>(list: &mut Vec<T>, item: T) {
    match list.iter().position(|known| *known == item) {
        Some(place) => drop(list.remove(place)),
        None => list.push(item),
    }
}

fn play(simulation: &mut Simulation, step: Move) {
    match step {
        Move::KillOrRestartLeader => match simulation.leader() {
            Some(leader) => simulation.kill_vm(leader),
            None => {
                let dead = (0..2).find(|vm| !simulation.vms[*vm].alive);
                dead.into_iter().for_each(|vm| simulation.restart_vm(vm));
            }
        },
        Move::FreezeOrThawTarget => simulation.targets[0].paused = !simulation.targets[0].paused,
        Move::RestartTarget => simulation.restart_target(0),
        Move::CutFirstFromTarget => toggle(&mut simulation.cut_targets, (0, 0)),
        Move::CutSecondFromTarget => toggle(&mut simulation.cut_targets, (1, 0)),
        Move::CutVms => toggle(&mut simulation.cut_vms, (0, 1)),
        Move::CutFirstFromPlatform => toggle(&mut simulation.cut_platform, 0),
        Move::PlatformDown => simulation.platform.down = !simulation.platform.down,
        Move::LoseAnswers => simulation.platform.lose_answers = !simulation.platform.lose_answers,
        Move::RunShort => simulation.run(30),
        Move::RunTakeover => simulation.run(1_700),
        Move::RunLease => simulation.run(2_700),
    }
    // Whatever was disturbed, what is left goes on for a moment.
    simulation.run(20);
}

/// Plays every sequence that goes on from `world`; returns how many states were checked.
fn explore(simulation: &Simulation, path: &mut Vec<Move>, depth: usize) -> u64 {
    if depth == 0 {
        return 0;
    }
    let mut states = 0;
    for step in MOVES {
        let mut next = simulation.clone();
        path.push(step);
        let held = catch_unwind(AssertUnwindSafe(|| play(&mut next, step)));
        assert!(held.is_ok(), "broken by {path:?}");
        states += 1 + explore(&next, path, depth - 1);
        path.pop();
    }
    states
}

#[test]
fn no_short_sequence_of_disturbances_gives_a_shard_two_owners() {
    let wanted = std::env::var("NICKELLEAD_DEPTH").ok().and_then(|text| text.parse().ok());
    let depth: usize = wanted.unwrap_or(DEPTH);
    let mut simulation = Simulation::new(2, 2);
    simulation.run(4_000);
    assert!(simulation.all_owned(), "{}", simulation.describe());
    let states = explore(&simulation, &mut Vec::new(), depth);
    println!("depth={depth} states={states}");
    let moves = MOVES.len() as u64;
    assert_eq!(states, (1..=depth as u32).map(|level| moves.pow(level)).sum::<u64>());
}
