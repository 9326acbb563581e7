//! Schedules of faults: the same for the same seed, overlapping, and over in time.

use std::collections::HashSet;
use std::mem::discriminant;
use std::time::Duration;

use nickellead_soak::{FleetSize, draw_schedule};

const SIZE: FleetSize = FleetSize { zones: 2, vms_per_zone: 3, targets_per_zone: 4 };
const LENGTH: Duration = Duration::from_secs(15);

#[test]
fn a_seed_gives_the_same_schedule_each_time_and_another_seed_another() {
    assert_eq!(draw_schedule(7, SIZE, LENGTH), draw_schedule(7, SIZE, LENGTH));
    assert_ne!(draw_schedule(7, SIZE, LENGTH), draw_schedule(8, SIZE, LENGTH));
}

#[test]
fn every_fault_is_over_at_the_end_and_some_overlap() {
    for seed in 0..200 {
        let schedule = draw_schedule(seed, SIZE, LENGTH);
        assert!(schedule.iter().all(|one| one.at < one.until && one.until <= LENGTH), "{seed}");
        let overlaps = schedule.windows(2).filter(|pair| pair[1].at < pair[0].until).count();
        assert!(overlaps > 0, "seed {seed} has no faults at the same time");
    }
}

#[test]
fn every_kind_of_fault_is_drawn() {
    let kinds: HashSet<_> = (0..50)
        .flat_map(|seed| draw_schedule(seed, SIZE, LENGTH))
        .map(|one| discriminant(&one.fault))
        .collect();
    assert_eq!(kinds.len(), 12);
}
