//! Sends orders to targets, and logs those that fail.

use std::rc::Rc;
use std::time::Duration;

use nickellead_event::{EventName, log_event};
use nickellead_range::{MandateAuthority, OrderKind, OrderOutcome, RangeOrder, TargetInstance};
use nickellead_time::BootClock;

use super::ControlLoop;
use super::ranges::controller_settings;
use crate::{OrderPort, OrderReply, StorePort};

/// Timeout of a target's response to a grant.
const GRANT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of the response to a release, which a target sends when its running requests have ended.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// An order that was decided longer ago is not sent, because the state behind it may have changed.
const MAX_ORDER_AGE: Duration = Duration::from_millis(250);

impl<S: StorePort, O: OrderPort> ControlLoop<S, O> {
    /// Sends all due orders concurrently, and records the outcome of each.
    pub(super) fn send_orders(self: &Rc<Self>, authority: MandateAuthority) {
        let writer = self.controller_writer();
        let renewals_only = authority == MandateAuthority::RenewalsOnly;
        let orders = match self.controller.borrow_mut().as_mut() {
            Some(controller) => {
                controller.due_orders(BootClock.now(), renewals_only, &self.late_orders.borrow())
            }
            None => return,
        };
        for order in orders {
            let control = Rc::clone(self);
            actix_rt::spawn(async move {
                let reply = control.send_order(&order).await;
                if reply.leaving {
                    control.record_leaving(&order.target, "order");
                }
                let outcome = reply.outcome;
                let now = BootClock.now();
                let late_until = controller_settings(&control.ownership).late_lease_bound(now);
                control.late_orders.borrow_mut().observe_outcome(&order, &outcome, now, late_until);
                if control.controller_writer() != writer {
                    // The current controller already counts on every order that was sent before it
                    // was created.
                    return;
                }
                if let Some(controller) = control.controller.borrow_mut().as_mut() {
                    controller.apply_outcome(&order, outcome, now);
                }
            });
        }
    }

    /// Sends one order, if the mandate (leader lease) still allows it at this moment.
    async fn send_order(&self, order: &RangeOrder) -> OrderReply {
        let now = BootClock.now();
        let authority = self.mandate.borrow().authority(now);
        let is_stale = now.since(order.decided_at) > MAX_ORDER_AGE;
        if authority == MandateAuthority::None || is_stale {
            return OrderOutcome::NotSent.into();
        }
        let timeout = match order.kind {
            OrderKind::Grant(_) => GRANT_TIMEOUT,
            OrderKind::Release => RELEASE_TIMEOUT,
        };
        let reply = self.orders.send(order, self.ownership.lease(), timeout).await;
        self.metrics.count_order(&order.kind, &reply.outcome);
        if !has_arrived(&reply.outcome) {
            self.reach_signal.report_failed_order();
        }
        if !matches!(reply.outcome, OrderOutcome::Done(_)) {
            log_order_failure(order, &reply.outcome);
        }
        reply
    }

    /// Records the targets that announced to any VM that they leave.
    pub(super) fn record_reported_leaving(&self) {
        for instance in self.load_counter.take_leaving() {
            self.record_leaving(&instance, "request");
        }
        self.leaving.borrow_mut().retain(|instance| self.cluster.is_listed(instance));
    }

    /// Records a target that announced that it leaves; it gets no more keys.
    fn record_leaving(&self, instance: &TargetInstance, reported_on: &str) {
        if self.leaving.borrow_mut().insert(instance.clone()) {
            self.candidate_sources.replace(None);
            let pairs: [(&str, &dyn std::fmt::Display); 2] =
                [("target", &instance.id), ("told_on", &reported_on)];
            log_event(EventName::OwnerLeaving, &pairs);
        }
    }
}

/// Whether a target responded to an order.
fn has_arrived(outcome: &OrderOutcome) -> bool {
    match outcome {
        OrderOutcome::Done(_) | OrderOutcome::Outranked | OrderOutcome::Ended => true,
        OrderOutcome::NotSent | OrderOutcome::Broken | OrderOutcome::Unanswered => false,
    }
}

fn log_order_failure(order: &RangeOrder, outcome: &OrderOutcome) {
    let pairs: [(&str, &dyn std::fmt::Display); 6] = [
        ("order", &order.kind.as_str()),
        ("outcome", &outcome.as_str()),
        ("target", &order.target.id),
        ("first", &order.first),
        ("last", &order.last),
        ("fence", &order.fence),
    ];
    log_event(EventName::OrderFailed, &pairs);
}
