//! Detection of targets that execute unanswered orders late.
#![allow(clippy::unwrap_used)]

mod simulation;

use nickellead_core::Timestamp;

use nickellead_range::{
    InheritedMap, LastOrder, LateOrderDetector, OrderKind, OrderOutcome, OwnerCandidate,
    PredecessorBounds, RangeController, RangeOrder,
};
use simulation::{SERVICE, instance, settings};

/// Bounds for a map that no controller kept before.
const NO_PREDECESSORS: PredecessorBounds = PredecessorBounds {
    last_holder: LastOrder::NOW,
    earlier_holders: LastOrder::NOW,
    late_orders_unknown: false,
};

/// A controller whose two targets have confirmed their grants at 10,000 ms.
fn settled_controller() -> (RangeController, LateOrderDetector) {
    let mut late_orders = LateOrderDetector::default();
    let candidates: Vec<OwnerCandidate> = (0..2)
        .map(|index| OwnerCandidate { target: instance(index, 1), capacity: 1.0, max_load: None })
        .collect();
    let mut controller = RangeController::inherit(
        settings(),
        NO_PREDECESSORS,
        InheritedMap::default(),
        1,
        &mut late_orders,
        Timestamp(0),
    );
    controller.set_candidates(SERVICE, &candidates, |_, _, _| None);
    let (_, edit) = controller.take_write().unwrap();
    controller.confirm_write(edit);
    let now = Timestamp(10_000);
    let orders = controller.due_orders(now, false, &late_orders);
    assert_eq!(orders.len(), 2);
    orders.iter().for_each(|order| controller.apply_outcome(order, OrderOutcome::Done(None), now));
    (controller, late_orders)
}

/// Whether the map records late orders after two renewals with these outcomes and answered ones
/// after them.
fn records_late_orders_after(outcomes: [OrderOutcome; 2]) -> bool {
    let (mut controller, mut late_orders) = settled_controller();
    let now = Timestamp(11_300);
    let orders = controller.due_orders(now, false, &late_orders);
    for (order, outcome) in orders.iter().zip(outcomes) {
        late_orders.observe_outcome(order, &outcome, now, settings().late_lease_bound(now));
        controller.apply_outcome(order, outcome, now);
    }
    let now = Timestamp(12_600);
    for order in controller.due_orders(now, false, &late_orders) {
        let outcome = OrderOutcome::Done(None);
        late_orders.observe_outcome(&order, &outcome, now, settings().late_lease_bound(now));
        controller.apply_outcome(&order, outcome, now);
    }
    controller.due_orders(now, false, &late_orders);
    controller.map().late_orders
}

#[test]
fn missing_answers_of_several_targets_that_then_answer_are_late_orders() {
    assert!(records_late_orders_after([OrderOutcome::Unanswered, OrderOutcome::Unanswered]));
}

/// Guards against one overloaded target delaying the reassignment of every lost target's keys.
#[test]
fn missing_answers_of_one_target_are_no_late_orders() {
    assert!(!records_late_orders_after([OrderOutcome::Unanswered, OrderOutcome::Done(None)]));
}

/// Guards against lost answers delaying the reassignment of every lost target's keys.
#[test]
fn broken_connections_are_no_late_orders() {
    assert!(!records_late_orders_after([OrderOutcome::Broken, OrderOutcome::Broken]));
    assert!(!records_late_orders_after([OrderOutcome::NotSent, OrderOutcome::NotSent]));
}

/// Whether late orders are detected after some rounds of renewals to a number of targets.
///
/// `outcome` returns the outcome of the order to a target in a round.
fn detects_late_orders(
    targets: u32,
    rounds: u64,
    outcome: impl Fn(u32, u64) -> OrderOutcome,
) -> bool {
    let mut late_orders = LateOrderDetector::default();
    for round in 0..rounds {
        let now = Timestamp(10_000 + round * 1_000);
        for index in 0..targets {
            let order = RangeOrder {
                service: SERVICE.to_owned(),
                first: index as u16,
                last: index as u16,
                fence: 1,
                target: instance(index as usize, 1),
                kind: OrderKind::Grant(None),
                renews: true,
                decided_at: now,
            };
            late_orders.observe_outcome(
                &order,
                &outcome(index, round),
                now,
                settings().late_lease_bound(now),
            );
        }
    }
    late_orders.is_late(Timestamp(10_000 + rounds * 1_000))
}

/// Guards against counting the unanswered orders of a disconnected availability zone when two other
/// targets are slow to answer once.
#[test]
fn a_disconnected_zone_and_two_slow_targets_are_no_late_orders() {
    let disconnected = 8;
    let outcome = |index, round| match index {
        index if index < disconnected => OrderOutcome::Unanswered,
        8 | 9 if round == 1 => OrderOutcome::Unanswered,
        _ => OrderOutcome::Done(None),
    };
    assert!(!detects_late_orders(40, 4, outcome));
}

/// Guards against missing late orders, a third of all, while a zone is disconnected.
#[test]
fn late_orders_are_detected_despite_a_disconnected_zone() {
    let disconnected = 8;
    let outcome = |index: u32, round: u64| match index {
        index if index < disconnected || (u64::from(index) + round).is_multiple_of(3) => {
            OrderOutcome::Unanswered
        }
        _ => OrderOutcome::Done(None),
    };
    assert!(detects_late_orders(40, 2, outcome));
}

/// Guards against counting the unanswered orders of a zone that is lost just after a takeover, during
/// which a few overloaded owners answer too late.
#[test]
fn a_few_overloaded_owners_and_lost_targets_are_no_late_orders() {
    let (lost, overloaded) = (38, 6);
    let outcome = |index: u32, round: u64| match index {
        index if index < lost && round >= 1 => OrderOutcome::Unanswered,
        index if (lost..lost + overloaded).contains(&index) && round == 0 => {
            OrderOutcome::Unanswered
        }
        _ => OrderOutcome::Done(None),
    };
    assert!(!detects_late_orders(104, 2, outcome));
    assert!(!detects_late_orders(104, 3, outcome));
}

/// Guards against missing late orders when only a tenth of the orders to many targets is unanswered.
#[test]
fn few_late_orders_at_many_targets_are_detected() {
    let outcome = |index: u32, round: u64| match (index + round as u32 * 7).is_multiple_of(10) {
        true => OrderOutcome::Unanswered,
        false => OrderOutcome::Done(None),
    };
    assert!(detects_late_orders(66, 4, outcome));
}
