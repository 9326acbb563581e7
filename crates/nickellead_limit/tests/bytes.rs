//! Accounting of held bytes under any sequence of requests, responses and ends.
#![allow(clippy::unwrap_used)]

use nickellead_limit::{
    ByteBudget, BytePurpose, HeldBytes, InFlightBytes, MemoryBounds, NoRoom, SizeEstimate,
};
use quickcheck::{Arbitrary, Gen, quickcheck};

const BOUND: usize = 1_000;

/// One step of a process under load.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A request of this size begins.
    Admit(u8),
    /// The held bytes at this index become as many as its response has.
    Respond(u8, u16),
    /// The caller at this index has taken its response, or left.
    End(u8),
}

impl Arbitrary for Step {
    fn arbitrary(gen_: &mut Gen) -> Self {
        match u8::arbitrary(gen_) % 3 {
            0 => Self::Admit(u8::arbitrary(gen_)),
            1 => Self::Respond(u8::arbitrary(gen_), u16::arbitrary(gen_) % 2_000),
            _ => Self::End(u8::arbitrary(gen_)),
        }
    }
}

fn play(step: Step, budget: &ByteBudget, all: &mut Vec<HeldBytes>) {
    match step {
        Step::Admit(bytes) => all.extend(budget.admit(usize::from(bytes))),
        Step::Respond(_, _) | Step::End(_) if all.is_empty() => {}
        Step::Respond(index, bytes) => {
            let index = usize::from(index) % all.len();
            // A response that does not fit is refused and leaves the sum as it was.
            let _ = all[index].resize(usize::from(bytes), BytePurpose::Completion);
        }
        Step::End(index) => {
            all.swap_remove(usize::from(index) % all.len());
        }
    }
}

quickcheck! {
    fn the_sum_is_exact_never_above_the_bound_and_all_returned(steps: Vec<Step>) -> bool {
        let budget = ByteBudget::new(Some(BOUND));
        let mut all = Vec::new();
        let mut is_right = true;
        for step in steps {
            play(step, &budget, &mut all);
            let sum: usize = all.iter().map(HeldBytes::bytes).sum();
            is_right &= budget.held() == sum && sum <= BOUND;
        }
        drop(all);
        is_right && budget.held() == 0
    }
}

/// Load: more callers than the memory bears, whose responses are larger than expected.
#[test]
fn room_is_kept_for_responses_that_are_already_made() {
    let budget = ByteBudget::new(Some(BOUND));
    let mut admitted: Vec<_> = std::iter::from_fn(|| budget.admit(50).ok()).collect();
    assert_eq!((admitted.len(), budget.held()), (15, 750));
    assert!(!budget.has_room(1) && budget.has_room(0));
    let grown = admitted[0].resize(300, BytePurpose::Completion);
    assert_eq!((grown, budget.held()), (Ok(()), 1_000));
    assert_eq!(admitted[1].resize(51, BytePurpose::Completion), Err(NoRoom));
    assert_eq!((admitted[1].bytes(), budget.held()), (50, 1_000));
}

/// Load: a route whose responses take nearly all of the memory.
#[test]
fn a_route_with_large_responses_is_still_served() {
    let budget = ByteBudget::new(Some(BOUND));
    let estimate = SizeEstimate::default();
    for _ in 0..10 {
        let held = budget.admit(budget.reservation(&estimate));
        let grown = held.and_then(|mut held| held.resize(BOUND, BytePurpose::Completion));
        assert_eq!(grown, Ok(()));
        estimate.record(BOUND);
    }
}

#[test]
fn without_a_bound_everything_fits() {
    let budget = ByteBudget::new(None);
    let held = budget.admit(usize::MAX / 2);
    assert!(held.is_ok() && !budget.is_bounded() && budget.bound().is_none());
}

/// Load: large requests to a target that reads slowly.
#[test]
fn a_target_gets_no_more_than_it_may_hold_but_any_request_alone() {
    let in_flight = InFlightBytes::new(BOUND);
    assert!(in_flight.has_room(2 * BOUND), "a large request goes alone");
    in_flight.add(600);
    assert!(in_flight.has_room(400) && !in_flight.has_room(401));
    in_flight.add(400);
    assert!(!in_flight.has_room(1));
    in_flight.remove(600);
    assert!(in_flight.has_room(600) && !in_flight.has_room(601));
}

/// Load: one in ten responses of a route is large.
#[test]
fn the_expected_size_covers_large_responses_and_forgets_them() {
    let estimate = SizeEstimate::default();
    (0..200).for_each(|index| estimate.record(if index % 10 == 0 { 300_000 } else { 400 }));
    assert!(estimate.bytes() > 150_000, "{}", estimate.bytes());
    (0..200).for_each(|_| estimate.record(400));
    assert!(estimate.bytes() < 1_000, "{}", estimate.bytes());
}

/// Bounds of a machine with 6,000 bytes.
const BOUNDS: MemoryBounds =
    MemoryBounds { shared: 2_000, single: 4_800, connections: 1_500, total: 4_800 };

/// One step of a process whose callers hold bodies and connections.
#[derive(Clone, Copy, Debug)]
enum CallerStep {
    Connect(u16),
    Body(u16),
    Respond(u16),
    /// The body at this index grows by as many bytes.
    Grow(u8, u16),
    /// The caller at this index leaves.
    Leave(u8),
    Disconnect(u8),
}

impl Arbitrary for CallerStep {
    fn arbitrary(gen_: &mut Gen) -> Self {
        let bytes = u16::arbitrary(gen_) % 5_000;
        let index = u8::arbitrary(gen_);
        match u8::arbitrary(gen_) % 6 {
            0 => Self::Connect(bytes % 600),
            1 => Self::Body(bytes),
            2 => Self::Respond(bytes % 300),
            3 => Self::Grow(index, bytes % 2_000),
            4 => Self::Leave(index),
            _ => Self::Disconnect(index),
        }
    }
}

quickcheck! {
    /// Load: callers with bodies of any size, and connections, come and go in any order.
    fn callers_never_hold_more_than_the_machine_allows(steps: Vec<CallerStep>) -> bool {
        let budget = ByteBudget::with_bounds(BOUNDS);
        let (mut held, mut connections) = (Vec::new(), Vec::new());
        let mut is_right = true;
        for step in steps {
            match step {
                CallerStep::Connect(bytes) => {
                    connections.extend(budget.hold_connection(usize::from(bytes)));
                }
                CallerStep::Body(bytes) => held.extend(budget.admit_body(usize::from(bytes))),
                CallerStep::Respond(bytes) => held.extend(budget.admit(usize::from(bytes))),
                CallerStep::Grow(index, bytes) if !held.is_empty() => {
                    let index = usize::from(index) % held.len();
                    let grown = held[index].bytes() + usize::from(bytes);
                    // What does not fit leaves the sum as it was.
                    let _ = held[index].resize(grown, BytePurpose::Admission);
                }
                CallerStep::Leave(index) if !held.is_empty() => {
                    held.swap_remove(usize::from(index) % held.len());
                }
                CallerStep::Disconnect(index) if !connections.is_empty() => {
                    connections.swap_remove(usize::from(index) % connections.len());
                }
                CallerStep::Grow(..) | CallerStep::Leave(_) | CallerStep::Disconnect(_) => {}
            }
            let sum: usize = held.iter().map(HeldBytes::bytes).sum();
            is_right &= budget.held() == sum
                && budget.held_by_connections() <= BOUNDS.connections
                && sum + budget.held_by_connections() <= BOUNDS.total;
        }
        drop(held);
        drop(connections);
        is_right && budget.held() + budget.held_by_connections() == 0
    }
}

/// Load: as many large bodies as are admitted. Small requests must find room beside them.
#[test]
fn large_bodies_leave_room_for_small_ones() {
    let budget = ByteBudget::with_bounds(BOUNDS);
    let large: Vec<_> = std::iter::from_fn(|| budget.admit_body(300).ok()).collect();
    // Three of them share half of the bound, and one is the single body.
    assert_eq!((large.len(), budget.held()), (4, 1_200));
    let small: Vec<_> = std::iter::from_fn(|| budget.admit_body(100).ok()).collect();
    assert_eq!(small.len(), 6);
    drop(large);
    assert!(budget.admit_body(300).is_ok());
}

/// Load: the largest legal body, in calm and beside another one.
#[test]
fn one_body_may_take_what_others_leave() {
    let budget = ByteBudget::with_bounds(BOUNDS);
    let connection = budget.hold_connection(500).unwrap();
    let mut largest = budget.admit_body(100).unwrap();
    (200..=4_100).step_by(100).for_each(|bytes| {
        assert_eq!(largest.resize(bytes, BytePurpose::Admission), Ok(()), "{bytes}");
    });
    assert_eq!(largest.resize(4_200, BytePurpose::Admission), Err(NoRoom));
    assert!(budget.admit_body(1_600).is_err(), "there is one such body already");
    assert!(budget.admit(100).is_ok());
    drop((largest, connection));
    assert!(budget.admit_body(4_600).is_ok());
}

/// Load: connections until there is no more room for them.
#[test]
fn connections_leave_room_for_requests() {
    let budget = ByteBudget::with_bounds(BOUNDS);
    let mut connections: Vec<_> = std::iter::from_fn(|| budget.hold_connection(100).ok()).collect();
    assert_eq!(connections.len(), 15);
    assert_eq!(connections[0].resize(101), Err(NoRoom));
    assert_eq!(connections[0].resize(50), Ok(()));
    assert_eq!(connections[1].resize(150), Ok(()));
    let requests: Vec<_> = std::iter::from_fn(|| budget.admit(100).ok()).collect();
    assert_eq!(requests.len(), 15);
}
