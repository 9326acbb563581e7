//! The loop that manages ranges on the VM that holds the mandate (leader lease).

use std::rc::Rc;
use std::time::Duration;

use nickellead_core::{DriftBound, Timestamp};
use nickellead_event::{EventName, log_event};
use nickellead_range::{
    ControllerSettings, InheritedMap, MandateAuthority, RangeController, RangeMap,
};
use nickellead_time::BootClock;

use super::{ControlLoop, random_id};
use crate::metrics::ThreadStep;
use crate::store_call::StoreCall;
use crate::thread_turns::run_step;
use crate::{OrderPort, OwnershipSettings, StorePort, Stored};

/// Interval between checks for due work.
const TICK_INTERVAL: Duration = Duration::from_millis(40);
/// Interval between checks of the load balance.
pub(super) const BALANCE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between attempts of an unanswered order; well below the lease of a range.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Margin for messages in transit, added to every bound on a lease.
const LEASE_MARGIN: Duration = Duration::from_millis(300);
/// How long after it was sent an unanswered order may still take effect at a target.
const MAX_ORDER_LATENESS: Duration = Duration::from_millis(12_500);
/// Bound on the drift of targets' clocks, with a margin over the drift that the platform specifies.
const MAX_TARGET_CLOCK_DRIFT: DriftBound = DriftBound { parts_per_million: 25_000 };

/// Manages orders, writes of the map and moves, for as long as the control loop runs.
pub(super) async fn run_ranges_loop<S: StorePort, O: OrderPort>(control: Rc<ControlLoop<S, O>>) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut balanced = BootClock.now();
    loop {
        ticks.tick().await;
        let now = BootClock.now();
        if now.since(balanced) >= BALANCE_INTERVAL {
            balanced = now;
            control.record_load();
        }
        control.update_ranges(now, balanced == now).await;
    }
}

impl<S: StorePort, O: OrderPort> ControlLoop<S, O> {
    /// Does the work that is due, as far as the VM's authority allows.
    async fn update_ranges(self: &Rc<Self>, now: Timestamp, balance_due: bool) {
        self.apply_received_mandate(now);
        self.observe_era(now);
        let authority = self.mandate.borrow().authority(now);
        self.metrics.mandate.set(i64::from(authority != MandateAuthority::None));
        if authority == MandateAuthority::None {
            // Only this VM renews an expired mandate, unless it is lost. What the controller knows
            // of leases stays valid, so that the keys of lost targets need not wait again.
            if !self.mandate.borrow().is_held() {
                self.controller.replace(None);
            }
            self.without_authority.set(true);
            return;
        }
        if self.without_authority.replace(false)
            && let Some(controller) = self.controller.borrow_mut().as_mut()
        {
            controller.resume();
        }
        if self.is_controller_outdated() {
            self.controller.replace(None);
        }
        let is_missing = self.controller.borrow().is_none();
        if is_missing && (authority != MandateAuthority::Full || !self.load_controller().await) {
            return;
        }
        if authority == MandateAuthority::Full {
            self.enter_token_term(now);
            self.enter_era();
            self.record_reported_leaving();
            if balance_due || !self.are_candidates_current() {
                run_step(ThreadStep::Owners, &self.thread_metrics, || self.update_candidates());
            }
            if balance_due {
                run_step(ThreadStep::Balance, &self.thread_metrics, || self.balance());
                self.announce_admissions();
                self.announce_fleet();
            }
            self.write_map();
        }
        self.send_orders(authority);
    }

    /// Applies the mandate that another VM sent, if this VM does not hold it.
    fn apply_received_mandate(&self, now: Timestamp) {
        if !self.mandate.borrow().is_held() {
            let mandate = self.cluster.mandate();
            self.mandate.borrow_mut().apply_read(mandate, now);
        }
    }

    /// Records the newest era of the store that this VM has observed.
    fn observe_era(&self, now: Timestamp) {
        let era = self.store.era();
        self.mandate.borrow_mut().observe_era(era, now);
        self.metrics.set_era(era, self.store.invalid_eras());
        if era > self.era.replace(era) {
            // Watches that were started in an earlier era receive no changes of this one.
            self.health.recovered.notify_waiters();
        }
    }

    /// Moves the controller, if there is one, to the newest era of the store.
    fn enter_era(&self) {
        let mandate = self.mandate.borrow();
        if let Some(controller) = self.controller.borrow_mut().as_mut() {
            controller.enter_era(mandate.era(), mandate.rival_until());
        }
    }

    /// Whether another VM wrote the map after this VM's controller read it.
    fn is_controller_outdated(&self) -> bool {
        let known = self.map_revision.get().unwrap_or_default();
        let Some(writer) = self.controller_writer() else { return false };
        let foreign =
            |stored: &Stored<RangeMap>| stored.revision > known && stored.value.writer != writer;
        self.cluster.ranges().as_ref().is_some_and(foreign)
    }

    /// Reads the map and creates a controller from it; returns whether that succeeded.
    async fn load_controller(&self) -> bool {
        let read = self.store.ranges().await;
        self.health.record(StoreCall::ReadRanges, &read);
        let Ok(snapshot) = read else {
            self.health.backoff().await;
            return false;
        };
        let now = BootClock.now();
        self.map_revision.set(snapshot.value.as_ref().map(|found| found.revision));
        let known = self.cluster.ranges();
        let inherited = InheritedMap::newest(snapshot.value, known, snapshot.as_of.era);
        let settings = controller_settings(&self.ownership);
        let predecessors = self.mandate.borrow_mut().take_predecessors();
        let writer = random_id();
        let late_orders = &mut self.late_orders.borrow_mut();
        let controller =
            RangeController::inherit(settings, predecessors, inherited, writer, late_orders, now);
        self.controller.replace(Some(controller));
        self.candidate_sources.replace(None);
        log_event(EventName::CoordinatorLeading, &[("vm", &self.vm)]);
        true
    }
}

/// The controller's settings from the lease times of the VM's settings.
pub(super) fn controller_settings(ownership: &OwnershipSettings) -> ControllerSettings {
    ControllerSettings {
        lease: ownership.lease(),
        renewal_interval: ownership.renewal_interval(),
        retry_interval: ORDER_RETRY_INTERVAL,
        margin: LEASE_MARGIN,
        max_lateness: MAX_ORDER_LATENESS,
        drift: MAX_TARGET_CLOCK_DRIFT,
    }
}
