//! When unanswered orders count as carried out late.
#![allow(clippy::unwrap_used)]

mod simulation;

use nickellead_core::Timestamp;

use nickellead_range::{
    InheritedMap, LastOrder, LateOrderDetector, OrderKind, OrderOutcome, OwnerCandidate,
    PredecessorBounds, RangeController, RangeOrder,
};
use simulation::{SERVICE, instance, settings};

/// A map that nobody kept before.
const NO_PREDECESSORS: PredecessorBounds = PredecessorBounds {
    last_holder: LastOrder::NOW,
    earlier_holders: LastOrder::NOW,
    late_orders_unknown: false,
};

/// A keeper whose two targets have confirmed their grants at 10,000 ms.
fn settled_keeper() -> (RangeController, LateOrderDetector) {
    let mut lateness = LateOrderDetector::default();
    let candidates: Vec<OwnerCandidate> = (0..2)
        .map(|place| OwnerCandidate { target: instance(place, 1), capacity: 1.0, max_load: None })
        .collect();
    let mut keeper = RangeController::inherit(
        settings(),
        NO_PREDECESSORS,
        InheritedMap::default(),
        1,
        &mut lateness,
        Timestamp(0),
    );
    keeper.set_candidates(SERVICE, &candidates, |_, _, _| None);
    let (_, edit) = keeper.take_write().unwrap();
    keeper.confirm_write(edit);
    let now = Timestamp(10_000);
    let orders = keeper.due_orders(now, false, &lateness);
    assert_eq!(orders.len(), 2);
    orders.iter().for_each(|order| keeper.apply_outcome(order, OrderOutcome::Done(None), now));
    (keeper, lateness)
}

/// Both renewals have this outcome, and the next ones are answered.
fn after(outcomes: [OrderOutcome; 2]) -> bool {
    let (mut keeper, mut lateness) = settled_keeper();
    let now = Timestamp(11_300);
    let orders = keeper.due_orders(now, false, &lateness);
    for (order, outcome) in orders.iter().zip(outcomes) {
        lateness.observe_outcome(order, &outcome, now, settings().late_lease_bound(now));
        keeper.apply_outcome(order, outcome, now);
    }
    let now = Timestamp(12_600);
    for order in keeper.due_orders(now, false, &lateness) {
        let outcome = OrderOutcome::Done(None);
        lateness.observe_outcome(&order, &outcome, now, settings().late_lease_bound(now));
        keeper.apply_outcome(&order, outcome, now);
    }
    keeper.due_orders(now, false, &lateness);
    keeper.map().late_orders
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

/// Rounds of renewals to a fleet of targets; tells whether orders then count as carried out late.
///
/// `outcome` gives what becomes of a round's order to a target.
fn verdict(targets: u32, rounds: u64, outcome: impl Fn(u32, u64) -> OrderOutcome) -> bool {
    let mut lateness = LateOrderDetector::default();
    for round in 0..rounds {
        let now = Timestamp(10_000 + round * 1_000);
        for place in 0..targets {
            let order = RangeOrder {
                service: SERVICE.to_owned(),
                first: place as u16,
                last: place as u16,
                fence: 1,
                target: instance(place as usize, 1),
                kind: OrderKind::Grant(None),
                decided_at: now,
            };
            lateness.observe_outcome(
                &order,
                &outcome(place, round),
                now,
                settings().late_lease_bound(now),
            );
        }
    }
    lateness.is_late(Timestamp(10_000 + rounds * 1_000))
}

/// Pattern: a cut zone, whose packets are dropped, beside two targets that were slow to answer once.
///
/// It was taken for late orders at all targets, and no key moved for the next half of a minute: the cut
/// targets' silence counted though they answered nothing that could show them at work.
#[test]
fn a_cut_zone_beside_two_slow_targets_is_not_lateness() {
    let cut = 8;
    let outcome = |place, round| match place {
        place if place < cut => OrderOutcome::Unanswered,
        8 | 9 if round == 1 => OrderOutcome::Unanswered,
        _ => OrderOutcome::Done(None),
    };
    assert!(!verdict(40, 4, outcome));
}

/// The same cut while a third of all orders is left unanswered.
#[test]
fn late_orders_beside_a_cut_zone_are_seen() {
    let cut = 8;
    let outcome = |place: u32, round: u64| match place {
        place if place < cut || (u64::from(place) + round).is_multiple_of(3) => {
            OrderOutcome::Unanswered
        }
        _ => OrderOutcome::Done(None),
    };
    assert!(verdict(40, 2, outcome));
}

/// Pattern: a holder takes over while a few owners have more than they can do, and their queues hold its
/// orders up for longer than it waits; a moment later a zone of targets is lost.
///
/// It was taken for late orders at all targets, and the lost targets' keys had no owner for 16 s: they had
/// answered the new holder once, so their silence afterwards counted as that of targets at work.
#[test]
fn a_few_busy_owners_beside_targets_that_are_lost_are_not_lateness() {
    let (lost, busy) = (38, 6);
    let outcome = |place: u32, round: u64| match place {
        place if place < lost && round >= 1 => OrderOutcome::Unanswered,
        place if (lost..lost + busy).contains(&place) && round == 0 => OrderOutcome::Unanswered,
        _ => OrderOutcome::Done(None),
    };
    assert!(!verdict(104, 2, outcome));
    assert!(!verdict(104, 3, outcome));
}

/// A tenth of the orders to 66 targets is left unanswered.
#[test]
fn few_late_orders_at_many_targets_are_seen() {
    let outcome = |place: u32, round: u64| match (place + round as u32 * 7).is_multiple_of(10) {
        true => OrderOutcome::Unanswered,
        false => OrderOutcome::Done(None),
    };
    assert!(verdict(66, 4, outcome));
}
