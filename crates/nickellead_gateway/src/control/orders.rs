//! Sending orders to targets, and logging those that failed.

use std::rc::Rc;
use std::time::Duration;

use nickellead_event::{EventName, log_event};
use nickellead_range::{MandateAuthority, OrderKind, OrderOutcome, RangeOrder, TargetInstance};
use nickellead_time::BootClock;

use super::ControlDuty;
use super::ranges::keeper_settings;
use crate::{OrderPort, OrderReply, StorePort};

/// How long a target may take to answer a grant.
const GRANT_WAIT: Duration = Duration::from_millis(500);
/// The same for a release, which is answered when the work that runs has ended.
const RELEASE_WAIT: Duration = Duration::from_millis(1_500);
/// An order that was decided longer ago is not sent: what it rests on may have changed.
const ORDER_AGE_MOST: Duration = Duration::from_millis(250);

impl<S: StorePort, O: OrderPort> ControlDuty<S, O> {
    /// Sends the orders that are due, all at once, and takes in what becomes of each.
    pub(super) fn send_orders(self: &Rc<Self>, power: MandateAuthority) {
        let writer = self.keeper_writer();
        let only = power == MandateAuthority::RenewalsOnly;
        let orders = match self.keeper.borrow_mut().as_mut() {
            Some(keeper) => keeper.due_orders(BootClock.now(), only, &self.lateness.borrow()),
            None => return,
        };
        for order in orders {
            let duty = Rc::clone(self);
            actix_rt::spawn(async move {
                let reply = duty.send_order(&order).await;
                if reply.leaving {
                    duty.note_leaving(&order.target, "order");
                }
                let outcome = reply.outcome;
                let now = BootClock.now();
                let longest = keeper_settings(&duty.ownership).late_lease_bound(now);
                duty.lateness.borrow_mut().observe_outcome(&order, &outcome, now, longest);
                if duty.keeper_writer() != writer {
                    // The keeper made meanwhile reckons with every order sent before it.
                    return;
                }
                if let Some(keeper) = duty.keeper.borrow_mut().as_mut() {
                    keeper.apply_outcome(&order, outcome, now);
                }
            });
        }
    }

    /// Sends one order, if the mandate still allows it at this moment.
    async fn send_order(&self, order: &RangeOrder) -> OrderReply {
        let now = BootClock.now();
        let power = self.mandate.borrow().authority(now);
        let stale = now.since(order.decided_at) > ORDER_AGE_MOST;
        if power == MandateAuthority::None || stale {
            return OrderOutcome::NotSent.into();
        }
        let wait = match order.kind {
            OrderKind::Grant(_) => GRANT_WAIT,
            OrderKind::Release => RELEASE_WAIT,
        };
        let reply = self.orders.send(order, self.ownership.lease(), wait).await;
        self.metrics.count_order(&order.kind, &reply.outcome);
        if !matches!(reply.outcome, OrderOutcome::Done(_)) {
            log_order_failure(order, &reply.outcome);
        }
        reply
    }

    /// Takes in which targets told any VM that they leave.
    pub(super) fn take_in_leaving(&self) {
        for holder in self.keys.take_leaving() {
            self.note_leaving(&holder, "request");
        }
        self.leaving.borrow_mut().retain(|holder| self.book.lists(holder));
    }

    /// Notes a target that said that it leaves: it is to own no keys.
    fn note_leaving(&self, holder: &TargetInstance, told_on: &str) {
        if self.leaving.borrow_mut().insert(holder.clone()) {
            let pairs: [(&str, &dyn std::fmt::Display); 2] =
                [("target", &holder.id), ("told_on", &told_on)];
            log_event(EventName::OwnerLeaving, &pairs);
        }
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
