//! Accounting of held bytes under any sequence of requests, responses and ends.

use nickellead_limit::{ByteBudget, BytePurpose, HeldBytes, InFlightBytes, NoRoom, SizeEstimate};
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
