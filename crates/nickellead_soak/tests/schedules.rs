//! Fault schedules: reproducible from the seed, overlapping, and ending in time.

use std::collections::HashSet;
use std::mem::discriminant;
use std::time::Duration;

use nickellead_adapter_standin::{OddAnswer, TargetBehavior};
use nickellead_soak::{
    FleetSize, GatewayFault, GatewaySite, ScheduledGatewayFault, gateway_schedule, random_schedule,
};

const SIZE: FleetSize = FleetSize { zones: 2, vms_per_zone: 3, targets_per_zone: 4 };
const DURATION: Duration = Duration::from_secs(15);

#[test]
fn schedules_are_equal_for_equal_seeds_only() {
    assert_eq!(random_schedule(7, SIZE, DURATION), random_schedule(7, SIZE, DURATION));
    assert_ne!(random_schedule(7, SIZE, DURATION), random_schedule(8, SIZE, DURATION));
}

#[test]
fn every_fault_ends_in_time_and_some_overlap() {
    for seed in 0..200 {
        let schedule = random_schedule(seed, SIZE, DURATION);
        assert!(
            schedule
                .iter()
                .all(|scheduled| scheduled.start < scheduled.end && scheduled.end <= DURATION),
            "{seed}"
        );
        let overlaps = schedule.windows(2).filter(|pair| pair[1].start < pair[0].end).count();
        assert!(overlaps > 0, "seed {seed} has no faults at the same time");
    }
}

#[test]
fn every_kind_of_fault_is_generated() {
    let kinds: HashSet<_> = (0..50)
        .flat_map(|seed| random_schedule(seed, SIZE, DURATION))
        .map(|scheduled| discriminant(&scheduled.fault))
        .collect();
    assert_eq!(kinds.len(), 12);
}

/// Whether `first` and `second` overlap in time.
fn overlap(first: &ScheduledGatewayFault, second: &ScheduledGatewayFault) -> bool {
    first.start < second.end && second.start < first.end
}

#[test]
fn faults_of_gateways_are_reproducible_overlap_and_end_in_time() {
    let site = GatewaySite { vms: 12, load: 1.0 };
    let schedule = |seed| gateway_schedule(seed, site, 60, DURATION);
    assert_eq!(schedule(7), schedule(7));
    assert_ne!(schedule(7), schedule(8));
    for seed in 0..200 {
        let faults = schedule(seed).faults;
        assert!(faults.iter().all(|fault| fault.start < fault.end && fault.end <= DURATION));
        let overlaps = faults.windows(2).filter(|pair| overlap(&pair[0], &pair[1])).count();
        assert!(overlaps > 0, "seed {seed} has no faults at the same time");
    }
    let faults = (0..50).flat_map(|seed| schedule(seed).faults);
    let kinds: HashSet<_> = faults.map(|fault| discriminant(&fault.fault)).collect();
    assert_eq!(kinds.len(), 9);
}

/// The kinds of behavior and of unusual responses that the schedules of some seeds give targets.
#[test]
fn every_behavior_of_targets_and_every_unusual_response_is_generated() {
    let site = GatewaySite { vms: 12, load: 1.0 };
    let faults = (0..200).flat_map(|seed| gateway_schedule(seed, site, 60, DURATION).faults);
    let behaviors: Vec<TargetBehavior> = faults
        .filter_map(|scheduled| match scheduled.fault {
            GatewayFault::Targets(_, behavior) => Some(behavior),
            _ => None,
        })
        .collect();
    let kinds: HashSet<_> = behaviors.iter().map(discriminant).collect();
    assert_eq!(kinds.len(), 9);
    let odd_answers = behaviors.iter().filter_map(|behavior| match behavior {
        TargetBehavior::Odd { answer, .. } => Some(*answer),
        _ => None,
    });
    let odd_answers: Vec<OddAnswer> = odd_answers.collect();
    let kinds: HashSet<_> = odd_answers.iter().map(discriminant).collect();
    assert_eq!(kinds.len(), 6);
    let deliveries = odd_answers.iter().filter_map(|answer| match answer {
        OddAnswer::Delivered(delivery) => Some(discriminant(delivery)),
        _ => None,
    });
    assert_eq!(deliveries.collect::<HashSet<_>>().len(), 4);
}
