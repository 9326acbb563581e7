//! What the mandate's holder does at each look: keeps a keeper, and does what it decides.

use std::rc::Rc;
use std::time::Duration;

use nickellead_core::{DriftBound, Timestamp};
use nickellead_event::{EventName, log_event};
use nickellead_range::{
    ControllerSettings, InheritedMap, MandateAuthority, RangeController, RangeMap,
};
use nickellead_time::BootClock;

use super::{ControlDuty, draw_number};
use crate::{OrderPort, OwnershipSettings, StorePort, Stored};

/// Between two looks at what is due.
const TICK: Duration = Duration::from_millis(40);
/// Between two looks at how load is spread.
pub(super) const BALANCE_PERIOD: Duration = Duration::from_millis(500);
/// Between two tries of an order that was not answered: well below a target's hold time.
const ORDER_RETRY: Duration = Duration::from_millis(200);
/// Added to every bound on a hold, for messages under way.
const HOLD_MARGIN: Duration = Duration::from_millis(300);
/// `applied_late` carries orders out 2 to 12 seconds later.
const ORDER_LATENESS: Duration = Duration::from_millis(12_500);
/// The users' targets may run 2% slow.
const TARGET_DRIFT: DriftBound = DriftBound { parts_per_million: 25_000 };

/// Sees to orders, writes of the map and moves, for as long as the mandate is held.
pub(super) async fn keep_ranges<S: StorePort, O: OrderPort>(duty: Rc<ControlDuty<S, O>>) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut balanced = BootClock.now();
    loop {
        ticks.tick().await;
        let now = BootClock.now();
        if now.since(balanced) >= BALANCE_PERIOD {
            balanced = now;
            duty.note_load();
        }
        duty.see_to_ranges(now, balanced == now).await;
    }
}

impl<S: StorePort, O: OrderPort> ControlDuty<S, O> {
    /// Does what is due now, as far as this VM's mandate allows.
    async fn see_to_ranges(self: &Rc<Self>, now: Timestamp, balance_due: bool) {
        self.note_told_mandate(now);
        self.note_era(now);
        let power = self.mandate.borrow().authority(now);
        self.metrics.mandate.set(i64::from(power != MandateAuthority::None));
        if power == MandateAuthority::None {
            // A mandate that only ran out is renewed by nobody but this VM, unless it is lost: what
            // the keeper knows of holds stays true, and lost targets' keys need not wait anew.
            if !self.mandate.borrow().is_held() {
                self.keeper.replace(None);
            }
            self.paused.set(true);
            return;
        }
        if self.paused.replace(false)
            && let Some(keeper) = self.keeper.borrow_mut().as_mut()
        {
            keeper.resume();
        }
        if self.keeper_is_outdated() {
            self.keeper.replace(None);
        }
        let missing = self.keeper.borrow().is_none();
        if missing && (power != MandateAuthority::Full || !self.load_keeper().await) {
            return;
        }
        if power == MandateAuthority::Full {
            self.enter_era();
            self.take_in_leaving();
            self.update_candidates();
            if balance_due {
                self.balance();
                self.tell_admissions();
                self.tell_fleet();
            }
            self.write_map();
        }
        self.send_orders(power);
    }

    /// Takes in the mandate that another VM told, as soon as it is told.
    fn note_told_mandate(&self, now: Timestamp) {
        if !self.mandate.borrow().is_held() {
            let told = self.book.mandate();
            self.mandate.borrow_mut().apply_read(told, now);
        }
    }

    /// Takes in which era of the store is the newest that this VM heard of.
    fn note_era(&self, now: Timestamp) {
        let era = self.store.era();
        self.mandate.borrow_mut().observe_era(era, now);
        self.metrics.set_era(era, self.store.invalid_eras());
        if era > self.era.replace(era) {
            // Watches of the era before hear nothing of this one.
            self.health.recovered.notify_waiters();
        }
    }

    /// Goes on with the keeper, if there is one, in the newest era of the store.
    fn enter_era(&self) {
        let mandate = self.mandate.borrow();
        if let Some(keeper) = self.keeper.borrow_mut().as_mut() {
            keeper.enter_era(mandate.era(), mandate.rival_until());
        }
    }

    /// Whether somebody else wrote the map after this VM's keeper read it.
    fn keeper_is_outdated(&self) -> bool {
        let known = self.map_revision.get().unwrap_or_default();
        let Some(writer) = self.keeper_writer() else { return false };
        let foreign =
            |stored: &Stored<RangeMap>| stored.revision > known && stored.value.writer != writer;
        self.book.ranges().as_ref().is_some_and(foreign)
    }

    /// Reads the map and makes a keeper of it; tells whether that succeeded.
    async fn load_keeper(&self) -> bool {
        let read = self.store.ranges().await;
        self.health.record(&read);
        let Ok(snapshot) = read else {
            self.health.backoff().await;
            return false;
        };
        let now = BootClock.now();
        self.map_revision.set(snapshot.value.as_ref().map(|found| found.revision));
        let known = self.book.ranges();
        let inherited = InheritedMap::newest(snapshot.value, known, snapshot.as_of.era);
        let settings = keeper_settings(&self.ownership);
        let predecessors = self.mandate.borrow_mut().take_predecessors();
        let writer = draw_number();
        let lateness = &mut self.lateness.borrow_mut();
        let keeper =
            RangeController::inherit(settings, predecessors, inherited, writer, lateness, now);
        self.keeper.replace(Some(keeper));
        log_event(EventName::CoordinatorLeading, &[("vm", &self.vm)]);
        true
    }
}

/// The keeper's times on the users' platform.
pub(super) fn keeper_settings(ownership: &OwnershipSettings) -> ControllerSettings {
    ControllerSettings {
        lease: ownership.lease(),
        renewal_interval: ownership.renewal_interval(),
        retry_interval: ORDER_RETRY,
        margin: HOLD_MARGIN,
        max_lateness: ORDER_LATENESS,
        drift: TARGET_DRIFT,
    }
}
