//! The loop that acquires, renews and watches the mandate (leader lease).

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use nickellead_core::Timestamp;
use nickellead_event::{EventName, log_event};
use nickellead_range::{MANDATE_POLL_INTERVAL, MANDATE_RENEWAL_INTERVAL};
use nickellead_time::BootClock;

use super::ControlLoop;
use crate::relay::{SubscriptionEnd, UnavailableStorePolicy};
use crate::store_call::StoreCall;
use crate::store_health::PROBE_TIMEOUT;
use crate::{OrderPort, StoreError, StorePort, Stored};

/// When a fleet starts for the first time, its VMs try to create the mandate spread over this time,
/// and weak VMs after the others.
const START_JITTER: Duration = Duration::from_millis(250);
/// A VM that has just started watches the store if it finds no upstream within this time.
const UPSTREAM_SEARCH_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay between attempts to find an upstream within [`UPSTREAM_SEARCH_TIMEOUT`].
const UPSTREAM_SEARCH_INTERVAL: Duration = Duration::from_millis(40);
/// VMs that lose the same upstream start to watch the store spread over this time.
const FALL_BACK_JITTER: Duration = Duration::from_millis(400);
/// Interval between the mandate holder's probes of the store.
const PROBE_INTERVAL: Duration = Duration::from_millis(330);
/// Mean interval between checks of a store that responds neither to this VM nor to the one at the
/// root. It is long because each VM checks, and the first one to reach the store informs the
/// others.
const UNAVAILABLE_STORE_CHECK_INTERVAL: Duration = Duration::from_millis(2_000);
/// Interval at which a VM with an upstream checks whether the mandate has expired.
const MANDATE_EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum poll interval, as a fraction of the mean one, such as [`MANDATE_POLL_INTERVAL`].
const MIN_POLL_INTERVAL_FRACTION: f64 = 0.8;
/// Width of the jitter of poll intervals, as a fraction of the mean interval.
const POLL_JITTER_FRACTION: f64 = 0.4;

/// Acquires, renews and watches the mandate.
pub(super) async fn run_mandate_loop<S: StorePort, O: OrderPort>(control: Rc<ControlLoop<S, O>>) {
    let started = BootClock.now();
    let mut has_delayed_start = false;
    loop {
        if control.mandate.borrow().is_held() {
            if control.reach_signal.yields() && control.yield_mandate().await {
                continue;
            }
            control.write_mandate().await;
            let may_yield_later = !control.reach_signal.yields();
            tokio::select! {
                () = control.probe_store(MANDATE_RENEWAL_INTERVAL) => {}
                () = control.reach_signal.wait_to_yield(), if may_yield_later => {}
            }
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
                // The mandate holder may have just started as well.
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
    /// Whether a VM that has just started still searches for an upstream.
    fn is_searching(&self, started: Timestamp) -> bool {
        let within = BootClock.now().since(started) < UPSTREAM_SEARCH_TIMEOUT;
        self.cluster.known().declarations.is_none() && within
    }

    /// Gets updates from other VMs for as long as any provides them.
    ///
    /// While the store is unavailable to all VMs, they keep their upstreams, and the first VM to
    /// reach the store again informs the others.
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

    /// Waits until the store responds to this VM, though it does not respond to the VM at the root.
    /// Never completes if the policy is to leave the upstream.
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

    /// Watches the store after the upstream was lost. A watch from the known revisions costs one
    /// call per part.
    async fn fall_back_to_store(&self) {
        if !self.relay.has_subscribers() {
            tokio::time::sleep(FALL_BACK_JITTER.mul_f64(fastrand::f64())).await;
            return self.relay.watch_store();
        }
        // Subscribers can stay with this VM if it reaches the store at once. `read_mandate` records
        // an error.
        self.relay.watch_store();
        let _ = self.read_mandate().await;
    }

    /// Waits until the mandate has expired according to updates. Never completes on a weak VM,
    /// which leaves the mandate to others while it has an upstream.
    ///
    /// Without this check only direct subscribers of a lost mandate holder would try to take the
    /// mandate, even if all of them are weak.
    async fn wait_for_mandate_expiry(&self) {
        if !self.takeover_delay.is_zero() {
            return std::future::pending().await;
        }
        while !self.may_take_mandate() {
            tokio::time::sleep(MANDATE_EXPIRY_CHECK_INTERVAL).await;
        }
    }

    /// Watches the store once the time to find an upstream has passed.
    fn end_upstream_search(&self, started: Timestamp) {
        if BootClock.now().since(started) > UPSTREAM_SEARCH_TIMEOUT {
            self.relay.watch_store();
        }
    }

    /// Reads the mandate. Returns the address of its holder, if another VM holds it.
    async fn read_mandate(&self) -> Result<Option<SocketAddr>, StoreError> {
        let may_take = self.mandate.borrow().due_write(BootClock.now()).is_some()
            // The cached read is the cheapest call to detect that the store is available again.
            && !self.health.is_unavailable();
        let (call, read) = match may_take {
            true => (StoreCall::ReadMandate, self.store.mandate().await),
            false => (StoreCall::ProbeMandate, self.store.mandate_cached().await),
        };
        self.health.record(call, &read);
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

    /// Waits for `wait`, and probes the store with cheap calls meanwhile.
    ///
    /// Other VMs rely on the mandate holder to detect soon that it can't reach the store.
    async fn probe_store(&self, wait: Duration) {
        let until = Instant::now() + wait;
        while Instant::now() + PROBE_INTERVAL < until {
            tokio::time::sleep(PROBE_INTERVAL).await;
            self.health.probe(&*self.store).await;
        }
        tokio::time::sleep_until(until.into()).await;
    }

    /// Whether this VM may take the mandate now and does not hold it.
    fn may_take_mandate(&self) -> bool {
        let mandate = self.mandate.borrow();
        let may_lead = !mandate.is_held() && !self.reach_signal.yields();
        may_lead && mandate.due_write(BootClock.now()).is_some()
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
        self.health.record(StoreCall::WriteMandate, &response);
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

    /// Reads the mandate after a failed write, or after the store was restored from a copy.
    async fn reread_mandate(&self) {
        let read = self.store.mandate().await;
        self.health.record(StoreCall::ReadMandate, &read);
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

    /// Whether this VM has detected late orders that the map in the store does not record.
    fn has_unrecorded_late_orders(&self) -> bool {
        let written = self.cluster.ranges().is_some_and(|ranges| ranges.value.late_orders);
        self.late_orders.borrow().is_late(BootClock.now()) && !written
    }

    /// Waits until the store can record that this VM releases the mandate.
    ///
    /// While the store is unavailable no other VM can take the mandate, so this VM keeps renewing
    /// leases until its process ends. Keys keep their owners, and a successor that finds the
    /// mandate released need not wait for late orders.
    pub(super) async fn wait_to_release_mandate(&self) {
        while self.mandate.borrow().is_held() && self.health.is_unavailable() {
            self.probe_store(PROBE_INTERVAL + PROBE_TIMEOUT).await;
        }
    }

    /// Releases the mandate of a VM that reaches no target, so that one that does renews the leases.
    /// Returns whether this VM no longer holds it.
    async fn yield_mandate(&self) -> bool {
        // The map must record late orders first.
        if self.has_unrecorded_late_orders() || self.health.is_unavailable() {
            return false;
        }
        self.release_mandate().await;
        self.relay.set_holds_mandate(false);
        true
    }

    /// Releases the mandate, so that another VM takes it without waiting.
    pub(super) async fn release_mandate(&self) {
        let unrecorded = self.has_unrecorded_late_orders();
        self.controller.replace(None);
        if unrecorded {
            // A successor must not assume that no late order is outstanding.
            return log_event(EventName::MandateHandedOver, &[("done", &false)]);
        }
        let write = self.mandate.borrow_mut().vacating_write(BootClock.now());
        if let Some(write) = write {
            let response = self.store.write_mandate(write.expected, &write.record).await;
            let done = response.is_ok();
            if let Ok(revision) = response {
                // Subscribers of this VM receive the release at once.
                self.cluster.apply_mandate(&Stored { revision, value: write.record });
            }
            log_event(EventName::MandateHandedOver, &[("done", &done)]);
        }
    }
}
