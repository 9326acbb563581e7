//! Random schedules of losses, delays, pauses, partitions and restarts.
//!
//! `NICKELLEAD_SCHEDULES` sets the number of schedules; the seed is fixed.
#![allow(clippy::unwrap_used)]

mod simulation;

use quickcheck::{Gen, QuickCheck, TestResult};
use simulation::schedule::Schedule;

/// Default number of schedules.
const SCHEDULES: u64 = 1_500;
/// Number of steps in one schedule.
const STEPS: usize = 40;
const SEED: u64 = 20_261_202;

fn schedule_count() -> u64 {
    let configured = std::env::var("NICKELLEAD_SCHEDULES").ok();
    configured.and_then(|text| text.parse().ok()).unwrap_or(SCHEDULES)
}

fn quickcheck() -> QuickCheck {
    let random = Gen::from_size_and_seed(STEPS, SEED);
    QuickCheck::new().rng(random).tests(schedule_count()).max_tests(schedule_count())
}

#[test]
fn no_schedule_gives_a_shard_two_owners_and_healing_gives_every_shard_one() {
    fn holds(schedule: Schedule) -> TestResult {
        let mut simulation = schedule.play();
        simulation.heal();
        simulation.declare(&[]);
        simulation.run(20_000);
        assert!(simulation.all_owned(), "not every shard has an owner:\n{}", simulation.describe());
        TestResult::passed()
    }
    quickcheck().quickcheck(holds as fn(Schedule) -> TestResult);
}
