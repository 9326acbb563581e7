//! Schedules that once broke a promise, by name.
#![allow(clippy::unwrap_used)]

mod world;

use world::World;
use world::schedule::{Schedule, Step};

/// Plays the steps, heals, and expects every shard to have one owner again.
fn play(steps: &[Step]) -> World {
    let mut world = Schedule(steps.to_vec()).play();
    world.heal();
    world.declare(&[]);
    world.run(20_000);
    assert!(world.all_owned(), "not every shard has an owner:\n{}", world.describe());
    world
}

/// A fenced target that refused connections was asked again at once, for ever:
/// the retry of an order that must come first had no pause.
#[test]
fn a_target_out_of_reach_is_not_asked_in_a_tight_loop() {
    play(&[
        Step::Run(564),
        Step::PauseTarget(9),
        Step::Run(714),
        Step::Run(1_252),
        Step::CutTarget(169, 242),
        Step::Run(1_032),
    ]);
}

/// While the platform answered every call with an error at once, a placement
/// was written, read and written again without a pause.
#[test]
fn a_platform_that_refuses_is_not_called_in_a_tight_loop() {
    let steps = [Step::Run(1_017), Step::PlatformDown(true), Step::Stall(2_554), Step::Run(1_009)];
    play(&steps);
}

/// A standby whose read of the mandate was never answered waited for ever, and
/// nobody else may take over for it.
#[test]
fn a_call_that_is_never_answered_does_not_stop_a_standby() {
    play(&[
        Step::Run(763),
        Step::StopLeader,
        Step::Run(135),
        Step::PauseVm(209),
        Step::Run(987),
        Step::Heal,
        Step::Lose(62),
        Step::KillVm(255),
    ]);
}
