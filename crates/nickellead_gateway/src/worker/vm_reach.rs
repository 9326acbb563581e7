//! Checks whether this VM reaches any target.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use nickellead_balance::{ReachCheck, VmReachability};
use nickellead_core::Timestamp;
use nickellead_event::{EventName, log_event};
use nickellead_time::BootClock;
use tokio::sync::Notify;

use super::RequestWorker;
use crate::connections::ConnectFailure;
use crate::incoming::IncomingRequest;
use crate::registered_target::RegisteredTarget;
use crate::vm_reach::ReachSignal;
use crate::waiting::wait_for;

/// Interval between checks while this VM reaches no target.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Most targets of one check.
const MAX_CHECKED_TARGETS: usize = 4;
/// Targets of this VM's own availability zone among them.
const NEAR_CHECKED_TARGETS: usize = 2;
/// Time between the connection attempts of one check. The first one usually suffices.
const CHECK_STAGGER: Duration = Duration::from_millis(40);
/// Timeout of each connection attempt of a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest time that a failed order may have taken.
const MAX_ORDER_DURATION: Duration = Duration::from_millis(500);

/// What the request path knows of this VM's reach.
pub(super) struct VmReach {
    state: RefCell<VmReachability>,
    /// Whether a check is due or being made.
    checking: Cell<bool>,
    due: Notify,
    /// Notified when a check ends.
    checked: Notify,
    signal: ReachSignal,
}

impl VmReach {
    pub(super) fn new(signal: ReachSignal) -> Self {
        Self {
            state: RefCell::default(),
            checking: Cell::new(false),
            due: Notify::new(),
            checked: Notify::new(),
            signal,
        }
    }

    /// Records that a target responded.
    pub(super) fn record_reached(&self, now: Timestamp) {
        self.state.borrow_mut().record_reached(now);
    }
}

impl RequestWorker {
    /// Whether this VM reaches no target.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.vm_reach.state.borrow().is_cut_off()
    }

    /// Whether this VM reaches no target, and connections to targets hang.
    pub(super) fn is_cut_off_silently(&self) -> bool {
        self.vm_reach.state.borrow().is_silent()
    }

    /// Whether this VM reaches neither a target nor another VM.
    pub(crate) fn is_isolated(&self) -> bool {
        self.is_cut_off() && self.assist_client().is_some_and(|client| client.is_isolated())
    }

    /// Whether this request is one of those that this VM does not send to targets itself.
    pub(super) fn leaves_to_others(&self) -> bool {
        let own_fraction = self.vm_reach.state.borrow().own_fraction(BootClock.now());
        own_fraction < 1.0 && self.rng.borrow_mut().f64() >= own_fraction
    }

    /// Has targets checked after something that began at `began` failed, unless one was reached since.
    pub(super) fn suspect_cut(&self, began: Timestamp) {
        if self.assist_client().is_none() {
            return;
        }
        let reach = &self.vm_reach;
        if reach.state.borrow_mut().record_failure(began, BootClock.now()) {
            reach.checking.set(true);
            reach.due.notify_one();
        }
    }

    /// Waits for the end of a check that is being made, at most until the request's deadline.
    pub(super) async fn wait_for_check(&self, incoming: &IncomingRequest) {
        let reach = &self.vm_reach;
        let ended = wait_for(&reach.checked, || (!reach.checking.get()).then_some(()));
        // Without a result in time the request ends as if there had been no check.
        let _ = tokio::time::timeout(incoming.remaining(), ended).await;
    }

    /// Waits until this VM is found to be cut off while `connecting` is set.
    pub(super) async fn wait_until_cut_off(&self, connecting: &Cell<bool>) {
        if self.is_cut_off() {
            return std::future::pending().await;
        }
        let is_cut_off = || (connecting.get() && self.is_cut_off()).then_some(());
        wait_for(&self.vm_reach.checked, is_cut_off).await;
    }

    /// Makes checks when they are due, for as long as the runtime runs.
    pub(crate) async fn run_reach_checks(self: Rc<Self>) {
        loop {
            self.wait_for_due_check().await;
            let check = self.check_targets().await;
            if let Some(check) = check {
                self.apply_check(check);
            }
            self.vm_reach.checking.set(false);
            self.vm_reach.checked.notify_waiters();
            if self.is_cut_off() {
                self.probe_assistant().await;
            }
            self.update_yielding();
        }
    }

    /// Waits until a failure calls for a check, or the next check of a VM that is cut off is due.
    async fn wait_for_due_check(&self) {
        let repeating = async {
            match self.is_cut_off() {
                true => tokio::time::sleep(CHECK_INTERVAL).await,
                false => std::future::pending().await,
            }
        };
        let observing_orders = async {
            loop {
                self.vm_reach.signal.wait_for_failed_order().await;
                let now = BootClock.now();
                self.suspect_cut(now.checked_sub(MAX_ORDER_DURATION).unwrap_or(now));
            }
        };
        tokio::select! {
            () = self.vm_reach.due.notified() => {}
            () = repeating => {}
            () = observing_orders => {}
        }
    }

    /// Tries to connect to a few targets until one accepts; `None` without a result.
    async fn check_targets(&self) -> Option<ReachCheck> {
        let targets = self.targets_to_check();
        let attempts = targets.iter().enumerate().map(|(index, target)| async move {
            tokio::time::sleep(CHECK_STAGGER * index as u32).await;
            target.pool.check(target.address, CHECK_TIMEOUT).await
        });
        let mut attempts: FuturesUnordered<_> = attempts.collect();
        let mut check = ReachCheck::default();
        while let Some(result) = attempts.next().await {
            match result {
                Ok(()) => return Some(ReachCheck { reached: true, ..check }),
                Err(ConnectFailure::TimedOut) => check.silent += 1,
                Err(ConnectFailure::Refused | ConnectFailure::Broken) => check.refused += 1,
                Err(ConnectFailure::Unopened | ConnectFailure::OutOfReach) => {}
            }
        }
        (check != ReachCheck::default()).then_some(check)
    }

    /// Targets of different availability zones, those of the VM's own zone first.
    fn targets_to_check(&self) -> Vec<Rc<RegisteredTarget>> {
        let state = self.state.borrow();
        let now = BootClock.now();
        let is_serving = |target: &&Rc<RegisteredTarget>| target.is_ready() && !target.is_leaving();
        let mut targets: Vec<_> = state.registry.all().filter(is_serving).map(Rc::clone).collect();
        self.rng.borrow_mut().shuffle(&mut targets);
        targets.sort_by_key(|target| target.is_down(now));
        let mut chosen: Vec<Rc<RegisteredTarget>> = Vec::new();
        let mut rest = Vec::new();
        for target in targets {
            let in_zone = chosen.iter().filter(|one| one.zone == target.zone).count();
            let most = if target.zone == self.zone { NEAR_CHECKED_TARGETS } else { 1 };
            match in_zone < most && chosen.len() < MAX_CHECKED_TARGETS {
                true => chosen.push(target),
                false => rest.push(target),
            }
        }
        chosen.extend(rest);
        chosen.truncate(MAX_CHECKED_TARGETS);
        chosen.sort_by_key(|target| target.zone != self.zone);
        chosen
    }

    fn apply_check(&self, check: ReachCheck) {
        let changed = self.vm_reach.state.borrow_mut().apply_check(check, BootClock.now());
        if !changed {
            return;
        }
        log_cut(self.is_cut_off(), check);
        if self.is_cut_off() {
            // Requests that wait for room at a target are handed to other VMs.
            self.wake_all();
        }
    }

    /// Tells the control thread whether to leave roles that need targets to other VMs.
    fn update_yielding(&self) {
        let reach = &self.vm_reach;
        let is_confirmed = reach.state.borrow().is_confirmed();
        let client = self.assist_client();
        let has_assistant = client.is_some_and(|client| client.has_assistant(BootClock.now()));
        reach.signal.set_yields(is_confirmed && has_assistant);
    }
}

fn log_cut(cut_off: bool, check: ReachCheck) {
    let pairs: [(&str, &dyn std::fmt::Display); 3] =
        [("cut_off", &cut_off), ("refused", &check.refused), ("silent", &check.silent)];
    log_event(EventName::VmCutOff, &pairs);
}
