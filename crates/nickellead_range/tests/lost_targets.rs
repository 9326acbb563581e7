//! How long the keys of a lost target have no owner.
#![allow(clippy::unwrap_used)]

mod simulation;

use std::time::Duration;

use nickellead_core::Timestamp;
use nickellead_range::{
    InheritedMap, LastOrder, LateOrderDetector, OrderOutcome, OwnerCandidate, PredecessorBounds,
    RENEWAL_GRACE, RangeController, RangeMap, RangeOrder, TargetInstance,
};
use simulation::{SERVICE, instance, settings};

/// Duration of one step.
const STEP: Duration = Duration::from_millis(100);

/// Bounds for a map that no controller kept before.
const NO_PREDECESSORS: PredecessorBounds = PredecessorBounds {
    last_holder: LastOrder::NOW,
    earlier_holders: LastOrder::NOW,
    late_orders_unknown: false,
};

fn candidate(index: usize) -> OwnerCandidate {
    OwnerCandidate { target: instance(index, 1), capacity: 1.0, max_load: None }
}

/// A controller with two targets, of which the second is lost at `lost` and unlisted at `unlisted`.
struct LostTarget {
    controller: RangeController,
    late_orders: LateOrderDetector,
    lost: Timestamp,
    unlisted: Timestamp,
}

impl LostTarget {
    fn new(lost: Timestamp, unlisted: Timestamp) -> Self {
        let mut late_orders = LateOrderDetector::default();
        let controller = RangeController::inherit(
            settings(),
            NO_PREDECESSORS,
            InheritedMap::default(),
            1,
            &mut late_orders,
            Timestamp::ZERO,
        );
        Self { controller, late_orders, lost, unlisted }
    }

    /// The map once both targets have confirmed their grants.
    fn settled_map(mut self) -> RangeMap {
        self.step(Timestamp::ZERO + STEP);
        self.controller.map().clone()
    }

    /// Runs one step without outcomes: sets the candidates, writes the map and returns due orders.
    fn decide(&mut self, now: Timestamp) -> Vec<RangeOrder> {
        let listed: Vec<OwnerCandidate> =
            (0..2).filter(|index| *index == 0 || now < self.unlisted).map(candidate).collect();
        let first = listed[0].target.clone();
        self.controller.set_candidates(SERVICE, &listed, |_, _, _| Some(first.clone()));
        if let Some((_, edit)) = self.controller.take_write() {
            self.controller.confirm_write(edit);
        }
        self.controller.due_orders(now, false, &self.late_orders)
    }

    /// Runs one step and applies the outcomes of its orders.
    fn step(&mut self, now: Timestamp) -> Vec<(RangeOrder, OrderOutcome)> {
        let orders = self.decide(now);
        let results: Vec<_> =
            orders.into_iter().map(|order| (order.clone(), self.outcome(&order, now))).collect();
        for (order, outcome) in &results {
            self.controller.apply_outcome(order, outcome.clone(), now);
        }
        results
    }

    fn outcome(&self, order: &RangeOrder, now: Timestamp) -> OrderOutcome {
        match order.target == lost_target() && now >= self.lost {
            true => OrderOutcome::NotSent,
            false => OrderOutcome::Done(None),
        }
    }
}

fn lost_target() -> TargetInstance {
    instance(1, 1)
}

/// Guards against renewal attempts that were never sent prolonging a lost target's lease.
#[test]
fn grants_that_were_never_sent_do_not_prolong_a_lease() {
    let (lost, unlisted) = (Timestamp(10_000), Timestamp(13_500));
    let mut run = LostTarget::new(lost, unlisted);
    let mut last_renewal = Timestamp::ZERO;
    let mut now = Timestamp::ZERO;
    let freed = loop {
        now = now + STEP;
        for (order, outcome) in run.step(now) {
            if order.target == lost_target() && outcome == OrderOutcome::Done(None) {
                last_renewal = now;
            }
        }
        let ranges = &run.controller.map().services[SERVICE];
        if now > unlisted && ranges.iter().all(|range| range.settled) {
            break now;
        }
        assert!(now < Timestamp(30_000), "the keys never got an owner");
    };
    assert!(last_renewal < lost);
    let bound =
        settings().late_lease_bound(last_renewal).since(last_renewal) - settings().max_lateness;
    let waited = freed.since(last_renewal);
    assert!(waited >= bound, "the lease must expire first: {waited:?}");
    assert!(waited <= bound + STEP * 4, "{waited:?} after the last grant that was sent");
}

/// Guards against an unsent grant, decided before the mandate expired, resetting the bound on the
/// lease below what the orders of predecessors may have caused.
#[test]
fn a_grant_that_was_never_sent_keeps_the_bound_on_orders_of_predecessors() {
    let before = LostTarget::new(Timestamp(60_000), Timestamp(60_000)).settled_map();
    let taken = Timestamp(20_000);
    let last = LastOrder::After(RENEWAL_GRACE);
    let predecessors = PredecessorBounds { last_holder: last, ..NO_PREDECESSORS };
    let mut run = LostTarget::new(taken, taken + STEP * 3);
    run.controller = RangeController::inherit(
        settings(),
        predecessors,
        InheritedMap { map: before, ..InheritedMap::default() },
        2,
        &mut run.late_orders,
        taken,
    );
    let in_flight = run.decide(taken);
    assert!(in_flight.iter().any(|order| order.target == lost_target()));
    run.controller.resume();
    let mut now = taken + STEP * 2;
    for order in in_flight {
        run.controller.apply_outcome(&order, run.outcome(&order, now), now);
    }
    while run.controller.map().services[SERVICE]
        .iter()
        .any(|range| !range.settled || range.owner == Some(lost_target()))
    {
        now = now + STEP;
        run.step(now);
        assert!(now < Timestamp(60_000), "the keys never got an owner");
    }
    let bound = settings().late_lease_bound(taken + RENEWAL_GRACE);
    assert!(
        now >= bound,
        "free at {now:?}, orders of predecessors may have an effect until {bound:?}"
    );
}

/// Guards against taking the grant that moves keys for a renewal: such a grant would share its connection
/// with others, where a late copy of their responses could pass for its own.
#[test]
fn only_grants_that_their_targets_confirmed_before_are_renewals() {
    let mut run = LostTarget::new(Timestamp(10_000), Timestamp(13_500));
    let mut confirmed = Vec::new();
    let (mut grants, mut renewals) = (0, 0);
    let mut now = Timestamp::ZERO;
    while now < Timestamp(30_000) {
        now = now + STEP;
        for (order, outcome) in run.step(now) {
            let grant = (order.first, order.target.clone());
            let was_confirmed = confirmed.contains(&grant);
            assert!(!order.renews || was_confirmed, "{order:?}");
            renewals += usize::from(order.renews);
            grants += usize::from(!was_confirmed && outcome == OrderOutcome::Done(None));
            if outcome == OrderOutcome::Done(None) && !was_confirmed {
                confirmed.push(grant);
            }
        }
    }
    assert!(grants >= 3 && renewals > grants, "{grants} grants, {renewals} renewals");
}
