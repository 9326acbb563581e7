//! Time that the controller needs for a service with thousands of targets.
#![allow(clippy::unwrap_used, clippy::print_stdout)]

use std::time::Duration;

use nickellead_core::{DriftBound, Timestamp};
use nickellead_range::{
    ControllerSettings, InheritedMap, KeyLoad, LastOrder, LateOrderDetector, OwnerCandidate,
    OwnerPicker, PredecessorBounds, RangeController, RangeRecord, TargetInstance, plan_moves,
};

const SERVICE: &str = "board";
const NO_PREDECESSORS: PredecessorBounds = PredecessorBounds {
    last_holder: LastOrder::NOW,
    earlier_holders: LastOrder::NOW,
    late_orders_unknown: false,
};
/// Number of targets of the service.
const TARGETS: u16 = 3_440;
/// Longest time that the mandate holder may compute without a pause.
///
/// Its subscribers wait 850 ms for an answer, of which it may use 500 ms to wait for news.
const MAX_COMPUTING_TIME: Duration = Duration::from_millis(100);

fn candidate(number: u16) -> OwnerCandidate {
    let target = TargetInstance {
        id: format!("i-{number:08x}"),
        born: Some(1_778_000_000_000 + u64::from(number)),
        address: format!("10.1.{}.{}:8762", number / 256, number % 256),
    };
    OwnerCandidate { target, capacity: 4.0, max_load: None }
}

fn candidates(numbers: std::ops::Range<u16>) -> Vec<OwnerCandidate> {
    numbers.map(candidate).collect()
}

/// Load in which each sixteenth part of the keys is busier than the one before it.
fn uneven_load() -> KeyLoad {
    let mut load = KeyLoad::default();
    (0..=u16::MAX).for_each(|key| load.record(key, 1 + u32::from(key / 4_096) * 4));
    load
}

/// Processor time of this thread for `work`.
fn computing_time(work: impl FnOnce()) -> Duration {
    let spent = || -> u64 {
        let times = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap();
        times.split_whitespace().next().unwrap().parse().unwrap()
    };
    let before = spent();
    work();
    Duration::from_nanos(spent() - before)
}

fn controller(candidates: &[OwnerCandidate]) -> RangeController {
    let settings = ControllerSettings {
        lease: Duration::from_secs(4),
        renewal_interval: Duration::from_secs(1),
        retry_interval: Duration::from_millis(200),
        margin: Duration::from_millis(300),
        max_lateness: Duration::from_secs(12),
        drift: DriftBound { parts_per_million: 25_000 },
    };
    let mut controller = RangeController::inherit(
        settings,
        NO_PREDECESSORS,
        InheritedMap::default(),
        1,
        &mut LateOrderDetector::default(),
        Timestamp::ZERO,
    );
    controller.set_candidates(SERVICE, candidates, |_, _, _| None);
    controller
}

/// Guards against a mandate holder that stands still when many targets leave at once, so that no VM
/// gets updates from it: each new owner was picked by summing up the load of every target anew.
#[test]
fn a_fifth_of_the_owners_is_replaced_without_a_long_pause() {
    let all = candidates(0..TARGETS);
    let mut controller = controller(&all);
    let staying = candidates(TARGETS / 5..TARGETS);
    let load = uneven_load();
    let took = computing_time(|| {
        let mut picker = None;
        controller.set_candidates(SERVICE, &staying, |ranges, first, last| {
            let picker = picker.get_or_insert_with(|| OwnerPicker::new(ranges, &staying, &load));
            picker.pick(first, last)
        });
    });
    println!("owners replaced in {took:?}");
    let gone = |range: &RangeRecord| range.owner.as_ref().unwrap() < &staying[0].target;
    assert!(!controller.map().services[SERVICE].iter().any(gone), "an owner was not replaced");
    assert!(took <= MAX_COMPUTING_TIME, "took {took:?}");
}

/// Guards against a mandate holder that stands still while it balances load: each move was planned
/// by summing up the load of every target anew.
#[test]
fn hundreds_of_moves_are_planned_without_a_long_pause() {
    let all = candidates(0..TARGETS);
    let mut ranges = controller(&all).map().services[SERVICE].clone();
    ranges.iter_mut().for_each(|range| range.settled = true);
    let load = uneven_load();
    let mut moves = Vec::new();
    let took = computing_time(|| {
        moves = plan_moves(&ranges, &all, &load, usize::from(TARGETS / 8));
    });
    println!("{} moves planned in {took:?}", moves.len());
    assert_eq!(moves.len(), usize::from(TARGETS / 8));
    assert!(took <= MAX_COMPUTING_TIME, "took {took:?}");
}
