//! Regression tests of schedules that violated an invariant.
#![allow(clippy::unwrap_used)]

mod simulation;

use nickellead_core::{Term, Version};
use nickellead_lease::ShardOwner;
use simulation::Simulation;
use simulation::schedule::{Schedule, Step};

/// Plays the steps, undoes all disturbances, and expects every shard to have one owner.
fn play(steps: &[Step]) -> Simulation {
    let mut simulation = Schedule(steps.to_vec()).play();
    simulation.heal();
    simulation.declare(&[]);
    simulation.run(20_000);
    assert!(simulation.all_owned(), "not every shard has an owner:\n{}", simulation.describe());
    simulation
}

/// Guards against retrying an order to a fenced target without delay when connections are refused.
#[test]
fn an_unreachable_target_gets_no_orders_in_a_tight_loop() {
    play(&[
        Step::Run(564),
        Step::PauseTarget(9),
        Step::Run(714),
        Step::Run(1_252),
        Step::CutTarget(169, 242),
        Step::Run(1_032),
    ]);
}

/// Guards against writing and reading a placement without delay while every call fails at once.
#[test]
fn a_platform_that_refuses_is_not_called_in_a_tight_loop() {
    let steps = [Step::Run(1_017), Step::PlatformDown(true), Step::Stall(2_554), Step::Run(1_009)];
    play(&steps);
}

/// Guards against a standby that waits forever for the outcome of a lost mandate read.
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

/// Guards against a standby that reads the mandate at the idle interval because its latest read
/// did not name it yet.
#[test]
fn a_standby_takes_over_within_its_targets_leases() {
    let mut simulation = Simulation::new(3, 3);
    simulation.run(6_000);
    let leader = simulation.leader().unwrap();
    let others: Vec<usize> = (0..3).filter(|vm| *vm != leader).collect();
    let (newcomer, standby) = (others[0], others[1]);
    simulation.kill_vm(newcomer);
    simulation.run(1_000);
    // The newcomer gets no messages at first, and reads a mandate that does not name it.
    simulation.cut_vm_links.extend([(newcomer, leader), (newcomer, standby)]);
    simulation.restart_vm(newcomer);
    simulation.run(3_000);
    simulation.cut_vm_links.clear();
    simulation.run(4_000);
    simulation.kill_vm(leader);
    simulation.kill_vm(standby);
    simulation.run(1_900);
    assert_eq!(simulation.leader(), Some(newcomer), "{}", simulation.describe());
    assert!(simulation.all_owned(), "{}", simulation.describe());
}

/// Counts the shards published as unowned since `known`, and advances `known`.
fn published_unowned(simulation: &Simulation, known: &mut Option<(Term, Version)>) -> usize {
    let Some(leader) = simulation.leader() else { return 0 };
    let delta = simulation.vms[leader].coordinator.delta(*known);
    *known = Some((delta.term, delta.version));
    delta.changes.iter().filter(|change| change.owner == ShardOwner::Unowned).count()
}

/// Runs the simulation in short steps, and counts the shards published as unowned.
fn count_unowned_while_running(
    simulation: &mut Simulation,
    known: &mut Option<(Term, Version)>,
    millis: u64,
) -> usize {
    const CHECK_INTERVAL_MS: u64 = 10;
    let step = |_| {
        simulation.run(CHECK_INTERVAL_MS);
        published_unowned(simulation, known)
    };
    (0..millis / CHECK_INTERVAL_MS).map(step).sum()
}

/// Guards against refused requests after a coordinator stalls for a lease duration: it finds the
/// leases of all targets expired, although the targets reply at once.
#[test]
fn a_stalled_coordinator_lets_requests_wait_for_its_targets() {
    let mut simulation = Simulation::new(3, 3);
    simulation.run(4_000);
    let mut known = None;
    published_unowned(&simulation, &mut known);
    simulation.vms.iter_mut().for_each(|vm| vm.paused = true);
    simulation.run(3_000);
    simulation.vms.iter_mut().for_each(|vm| vm.paused = false);
    let unowned = count_unowned_while_running(&mut simulation, &mut known, 4_000);
    assert!(simulation.all_owned(), "{}", simulation.describe());
    assert_eq!(unowned, 0, "{unowned} shards were published as unowned");
}

/// Guards against shards that stay with a lost target: a successor that reads its placement after
/// all leases have expired must reassign the shards of a target that is gone.
#[test]
fn a_successor_that_reads_its_placement_late_replaces_a_target_that_is_gone() {
    let mut simulation = Simulation::new(3, 3);
    simulation.run(4_000);
    assert!(simulation.all_owned(), "{}", simulation.describe());
    simulation.stop_leader();
    simulation.platform.placements_down = true;
    simulation.run(100);
    simulation.targets[0].alive = false;
    simulation.run(4_000);
    assert!(!simulation.all_owned(), "the leases outlasted the outage");
    simulation.platform.placements_down = false;
    let unowned = count_unowned_while_running(&mut simulation, &mut None, 4_000);
    assert!(simulation.all_owned(), "{}", simulation.describe());
    assert_eq!(unowned, 0, "{unowned} shards were published as unowned");
}
