//! When unanswered orders count as carried out late.
#![allow(clippy::unwrap_used)]

mod world;

use nickellead_core::Timestamp;

use nickellead_range::{
    LastOrder, LatenessWatch, OrderOutcome, OwnerCandidate, PredecessorBounds, RangeKeeper,
    RangeMap,
};
use world::{SERVICE, holder, settings};

/// A map that nobody kept before.
const NO_PREDECESSORS: PredecessorBounds =
    PredecessorBounds { last: LastOrder::NOW, earlier: LastOrder::NOW, lateness_unknown: false };

/// A keeper whose two targets have confirmed their grants at 10,000 ms.
fn settled_keeper() -> (RangeKeeper, LatenessWatch) {
    let mut lateness = LatenessWatch::default();
    let candidates: Vec<OwnerCandidate> =
        (0..2).map(|place| OwnerCandidate { holder: holder(place, 1), capacity: 1.0 }).collect();
    let mut keeper = RangeKeeper::take_over(
        settings(),
        NO_PREDECESSORS,
        RangeMap::default(),
        1,
        &mut lateness,
        Timestamp(0),
    );
    keeper.set_candidates(SERVICE, &candidates, |_, _, _| None);
    let (_, edit) = keeper.take_write().unwrap();
    keeper.note_written(edit);
    let now = Timestamp(10_000);
    let orders = keeper.due_orders(now, false, &lateness);
    assert_eq!(orders.len(), 2);
    orders.iter().for_each(|order| keeper.note_outcome(order, OrderOutcome::Done(None), now));
    (keeper, lateness)
}

/// Both renewals have this outcome, and the next ones are answered.
fn after(outcomes: [OrderOutcome; 2]) -> bool {
    let (mut keeper, mut lateness) = settled_keeper();
    let now = Timestamp(11_300);
    let orders = keeper.due_orders(now, false, &lateness);
    for (order, outcome) in orders.iter().zip(outcomes) {
        lateness.note(order, &outcome, now, settings().longest_debt(now));
        keeper.note_outcome(order, outcome, now);
    }
    let now = Timestamp(12_600);
    for order in keeper.due_orders(now, false, &lateness) {
        let outcome = OrderOutcome::Done(None);
        lateness.note(&order, &outcome, now, settings().longest_debt(now));
        keeper.note_outcome(&order, outcome, now);
    }
    keeper.due_orders(now, false, &lateness);
    keeper.map().late
}

#[test]
fn silence_of_several_targets_that_then_answer_is_lateness() {
    assert!(after([OrderOutcome::Unanswered, OrderOutcome::Unanswered]));
}

/// One overloaded target made every lost target's keys wait for 18 seconds and more.
#[test]
fn silence_of_one_target_is_not() {
    assert!(!after([OrderOutcome::Unanswered, OrderOutcome::Done(None)]));
}

/// Lost answers did the same.
#[test]
fn broken_connections_before_answers_are_not() {
    assert!(!after([OrderOutcome::Broken, OrderOutcome::Broken]));
    assert!(!after([OrderOutcome::NotSent, OrderOutcome::NotSent]));
}
