//! Taking, renewing and watching the mandate.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use nickellead_core::Timestamp;
use nickellead_event::{EventName, log_event};
use nickellead_range::{MANDATE_POLL_INTERVAL, MANDATE_RENEWAL_INTERVAL};
use nickellead_time::BootClock;

use super::ControlLoop;
use crate::relay::{SubscriptionEnd, UnavailableStorePolicy};
use crate::{OrderPort, StoreError, StorePort, Stored};

/// VMs of a fleet that starts for the first time ask for the mandate spread over this time, weak ones
/// after the others: one of them makes it, and the others find it made.
const START_JITTER: Duration = Duration::from_millis(250);
/// A VM that has just started follows the store when it found no other source within this time.
const UPSTREAM_SEARCH_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Between two tries to find a source within that time.
const UPSTREAM_SEARCH_INTERVAL: Duration = Duration::from_millis(40);
/// VMs that lose their source at once turn to the store spread over this time.
const FALL_BACK_JITTER: Duration = Duration::from_millis(400);
/// Between two probes of the store by the mandate's holder.
const PROBE_INTERVAL: Duration = Duration::from_millis(330);
/// How long a probe may take; the store takes about 4 ms when well.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Between two looks at a store that answers neither this VM nor the one at the root: whoever hears of
/// its return sooner tells it. Of 295 VMs each made three calls a second before.
const UNAVAILABLE_STORE_CHECK_INTERVAL: Duration = Duration::from_millis(2_000);
/// Between two looks of a VM that follows another whether the mandate has run out.
const MANDATE_EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time between two looks at the mandate, as a part of [`MANDATE_POLL_INTERVAL`].
const MIN_POLL_INTERVAL_FRACTION: f64 = 0.8;
/// Looks of many VMs are spread over this part of [`MANDATE_POLL_INTERVAL`], so that their mean is kept.
const POLL_JITTER_FRACTION: f64 = 0.4;

/// Takes, renews and watches the mandate.
pub(super) async fn run_mandate_loop<S: StorePort, O: OrderPort>(control: Rc<ControlLoop<S, O>>) {
    let started = BootClock.now();
    let mut has_delayed_start = false;
    loop {
        if control.mandate.borrow().is_held() {
            control.write_mandate().await;
            control.probe_store(MANDATE_RENEWAL_INTERVAL).await;
            continue;
        }
        let Ok(holder) = control.read_mandate().await else {
            control.end_upstream_search(started);
            control.health.backoff().await;
            continue;
        };
        if control.mandate.borrow().is_absent() && !std::mem::replace(&mut has_delayed_start, true)
        {
            tokio::time::sleep(control.takeover_delay + START_JITTER.mul_f64(fastrand::f64()))
                .await;
            continue;
        }
        if control.may_take_mandate() {
            control.write_mandate().await;
        } else if let Some(holder) = holder {
            tokio::select! {
                () = control.subscribe(holder) => {}
                () = control.wait_for_mandate_expiry() => continue,
            }
            if control.is_searching(started) {
                // The holder may have just started as well.
                tokio::time::sleep(UPSTREAM_SEARCH_INTERVAL).await;
                continue;
            }
            control.fall_back_to_store().await;
        }
        control.end_upstream_search(started);
        let fraction = MIN_POLL_INTERVAL_FRACTION + fastrand::f64() * POLL_JITTER_FRACTION;
        tokio::time::sleep(MANDATE_POLL_INTERVAL.mul_f64(fraction)).await;
    }
}

impl<S: StorePort, O: OrderPort> ControlLoop<S, O> {
    /// Whether a VM that knows nothing yet goes on looking for another VM that tells it.
    fn is_searching(&self, started: Timestamp) -> bool {
        let within = BootClock.now().since(started) < UPSTREAM_SEARCH_TIMEOUT;
        self.cluster.known().declarations.is_none() && within
    }

    /// Has news from other VMs for as long as any tells them.
    ///
    /// While the store answers nobody, VMs keep their places: those that hear of its return first tell
    /// all others.
    async fn subscribe(&self, holder: SocketAddr) {
        let mut policy = UnavailableStorePolicy::Leave;
        loop {
            let outcome = tokio::select! {
                outcome = self.relay.subscribe(holder, policy) => outcome,
                () = self.wait_for_store_response(policy) => return,
            };
            if outcome == SubscriptionEnd::NoUpstream || self.read_mandate().await.is_ok() {
                return;
            }
            policy = UnavailableStorePolicy::Stay;
        }
    }

    /// Waits until the store answers this VM though it does not answer the VM at the root.
    async fn wait_for_store_response(&self, policy: UnavailableStorePolicy) {
        if policy == UnavailableStorePolicy::Leave {
            return std::future::pending().await;
        }
        loop {
            tokio::time::sleep(
                UNAVAILABLE_STORE_CHECK_INTERVAL
                    .mul_f64(MIN_POLL_INTERVAL_FRACTION + fastrand::f64() * POLL_JITTER_FRACTION),
            )
            .await;
            if self.relay.is_root_store_unavailable() && self.read_mandate().await.is_ok() {
                return;
            }
        }
    }

    /// Follows the store after the source was lost: a watch from what is known costs one call a part.
    async fn fall_back_to_store(&self) {
        if !self.relay.has_subscribers() {
            tokio::time::sleep(FALL_BACK_JITTER.mul_f64(fastrand::f64())).await;
            return self.relay.watch_store();
        }
        // Others have their news from this VM, and need not follow it to the store if it is in touch
        // at once. An error is noted by what reads.
        self.relay.watch_store();
        let _ = self.read_mandate().await;
    }

    /// Waits until the mandate has run out, as told by other VMs; for ever on a weak VM, which leaves
    /// it to others as long as it has news.
    ///
    /// VMs that keep their source while the holder is lost would else leave the mandate to those that
    /// followed the holder itself, whether they are strong enough or not.
    async fn wait_for_mandate_expiry(&self) {
        if !self.takeover_delay.is_zero() {
            return std::future::pending().await;
        }
        while !self.may_take_mandate() {
            tokio::time::sleep(MANDATE_EXPIRY_CHECK_INTERVAL).await;
        }
    }

    /// Follows the store once the time for finding another source is over.
    fn end_upstream_search(&self, started: Timestamp) {
        if BootClock.now().since(started) > UPSTREAM_SEARCH_TIMEOUT {
            self.relay.watch_store();
        }
    }

    /// Reads the mandate; gives the address of its holder, if another VM holds it.
    async fn read_mandate(&self) -> Result<Option<SocketAddr>, StoreError> {
        let may_take = self.mandate.borrow().due_write(BootClock.now()).is_some()
            // While the store is away the cheapest call finds out when it is back.
            && !self.health.is_unavailable();
        let read = match may_take {
            true => self.store.mandate().await,
            false => self.store.mandate_cached().await,
        };
        self.health.record(&read);
        match &read {
            Ok(_) => self.mandate.borrow_mut().observe_store_response(BootClock.now()),
            Err(_) => self.mandate.borrow_mut().observe_store_failure(BootClock.now()),
        }
        let read = read?;
        self.mandate.borrow_mut().observe_era(self.store.era(), BootClock.now());
        if let Some(read) = &read {
            self.cluster.apply_mandate(read);
        }
        let holder = read.as_ref().filter(|read| !read.value.vacant && read.value.vm != self.vm);
        let address = holder.map(|read| read.value.address);
        self.mandate.borrow_mut().apply_read(read, BootClock.now());
        Ok(address)
    }

    /// Waits, and meanwhile asks the store cheaply whether it still answers.
    ///
    /// Other VMs rely on it that the holder notices soon when the store is out of its reach.
    async fn probe_store(&self, wait: Duration) {
        let until = Instant::now() + wait;
        while Instant::now() + PROBE_INTERVAL < until {
            tokio::time::sleep(PROBE_INTERVAL).await;
            let probe = tokio::time::timeout(PROBE_TIMEOUT, self.store.mandate_cached()).await;
            let probe = probe.unwrap_or(Err(StoreError::NoResponse("probe".to_owned())));
            self.health.record(&probe);
        }
        tokio::time::sleep_until(until.into()).await;
    }

    /// Whether this VM may take the mandate and there is anything to decide for its holder.
    fn may_take_mandate(&self) -> bool {
        let mandate = self.mandate.borrow();
        !mandate.is_held() && mandate.due_write(BootClock.now()).is_some()
    }

    async fn write_mandate(&self) {
        self.mandate.borrow_mut().observe_era(self.store.era(), BootClock.now());
        if self.mandate.borrow().is_held() && self.mandate.borrow().is_outdated() {
            self.reread_mandate().await;
        }
        let Some(write) = self.mandate.borrow().due_write(BootClock.now()) else {
            return;
        };
        let sent = BootClock.now();
        let response = self.store.write_mandate(write.expected, &write.record).await;
        self.health.record(&response);
        let taken = self.mandate.borrow_mut().apply_write(
            &write,
            response.as_ref().ok().copied(),
            sent,
            BootClock.now(),
        );
        if let Some(seen) = self.mandate.borrow().seen() {
            self.cluster.apply_mandate(seen);
        }
        if taken {
            log_event(EventName::MandateTaken, &[("vm", &self.vm)]);
            self.controller.replace(None);
            self.relay.set_holds_mandate(true);
        }
        if response.is_err() {
            self.reread_mandate().await;
        }
    }

    /// What does the store hold, after a write that failed, or after it came back from a copy?
    async fn reread_mandate(&self) {
        let read = self.store.mandate().await;
        self.health.record(&read);
        let Ok(read) = read else { return };
        let now = BootClock.now();
        let mut mandate = self.mandate.borrow_mut();
        mandate.observe_era(self.store.era(), now);
        if mandate.apply_read(read, now) {
            self.controller.replace(None);
            self.relay.set_holds_mandate(false);
            let pairs: [(&str, &dyn std::fmt::Display); 2] =
                [("vm", &self.vm), ("renewals", &mandate.renewals())];
            log_event(EventName::MandateLost, &pairs);
        }
    }

    /// Whether this VM has seen late orders and the map in the store does not say so.
    fn has_unrecorded_late_orders(&self) -> bool {
        let written = self.cluster.ranges().is_some_and(|ranges| ranges.value.late_orders);
        self.late_orders.borrow().is_late(BootClock.now()) && !written
    }

    /// Waits until the store can be told that this VM gives the mandate back.
    ///
    /// While the store is away nobody else can take the mandate, so this VM goes on renewing what
    /// stands until its process ends: keys keep their owners, and a successor that finds the
    /// mandate given back knows that no unanswered order is left, where it would else reckon with
    /// late ones for a quarter of a minute.
    pub(super) async fn wait_to_release_mandate(&self) {
        while self.mandate.borrow().is_held() && self.health.is_unavailable() {
            self.probe_store(PROBE_INTERVAL + PROBE_TIMEOUT).await;
        }
    }

    /// Gives the mandate back so that another VM takes it without waiting.
    pub(super) async fn release_mandate(&self) {
        let unrecorded = self.has_unrecorded_late_orders();
        self.controller.replace(None);
        if unrecorded {
            // A successor must not take it that this VM left nothing unsaid.
            return log_event(EventName::MandateHandedOver, &[("done", &false)]);
        }
        let write = self.mandate.borrow_mut().vacating_write(BootClock.now());
        if let Some(write) = write {
            let response = self.store.write_mandate(write.expected, &write.record).await;
            let done = response.is_ok();
            if let Ok(revision) = response {
                // Those who follow this VM hear of it at once.
                self.cluster.apply_mandate(&Stored { revision, value: write.record });
            }
            log_event(EventName::MandateHandedOver, &[("done", &done)]);
        }
    }
}
