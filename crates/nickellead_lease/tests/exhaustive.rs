//! Every sequence of a few disturbances: two coordinators, two targets.
//!
//! The depth is set by `NICKELLEAD_DEPTH`. A sequence that breaks the promise
//! panics with the moment and the owners; the steps stand in the message.
#![allow(clippy::unwrap_used, clippy::print_stdout)]

mod world;

use std::panic::{AssertUnwindSafe, catch_unwind};

use world::World;

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

fn play(world: &mut World, step: Move) {
    match step {
        Move::KillOrRestartLeader => match world.leader() {
            Some(leader) => world.kill_vm(leader),
            None => {
                let dead = (0..2).find(|vm| !world.vms[*vm].alive);
                dead.into_iter().for_each(|vm| world.restart_vm(vm));
            }
        },
        Move::FreezeOrThawTarget => world.targets[0].paused = !world.targets[0].paused,
        Move::RestartTarget => world.restart_target(0),
        Move::CutFirstFromTarget => toggle(&mut world.cut_targets, (0, 0)),
        Move::CutSecondFromTarget => toggle(&mut world.cut_targets, (1, 0)),
        Move::CutVms => toggle(&mut world.cut_vms, (0, 1)),
        Move::CutFirstFromPlatform => toggle(&mut world.cut_platform, 0),
        Move::PlatformDown => world.platform.down = !world.platform.down,
        Move::LoseAnswers => world.platform.lose_answers = !world.platform.lose_answers,
        Move::RunShort => world.run(30),
        Move::RunTakeover => world.run(1_700),
        Move::RunLease => world.run(2_700),
    }
    // Whatever was disturbed, what is left goes on for a moment.
    world.run(20);
}

/// Plays every sequence that goes on from `world`; returns how many states were checked.
fn explore(world: &World, path: &mut Vec<Move>, depth: usize) -> u64 {
    if depth == 0 {
        return 0;
    }
    let mut states = 0;
    for step in MOVES {
        let mut next = world.clone();
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
    let mut world = World::new(2, 2);
    world.run(4_000);
    assert!(world.all_owned(), "{}", world.describe());
    let states = explore(&world, &mut Vec::new(), depth);
    println!("depth={depth} states={states}");
    let moves = MOVES.len() as u64;
    assert_eq!(states, (1..=depth as u32).map(|level| moves.pow(level)).sum::<u64>());
}
