//! Applies changes of the availability zones in reach to requests that wait or connect.

use std::cell::Cell;

use nickellead_balance::{FailedTry, ReachChange, ReachFailure, ReachRules};
use nickellead_core::Timestamp;
use nickellead_event::{EventName, log_event};
use nickellead_time::BootClock;

use super::{AttemptState, RequestWorker, UnconnectedAttempt};
use crate::connections::ConnectFailure;
use crate::exchange::{AttemptResult, LossReason};
use crate::registered_target::RegisteredTarget;
use crate::waiting::wait_for;

/// Most attempts of one request in one availability zone that fail while connecting.
const MAX_UNCONNECTED_PER_ZONE: usize = 2;

impl RequestWorker {
    /// Tells the other VMs of this VM's zone about zones that it can't reach, for as long as the
    /// runtime runs.
    pub(crate) async fn tell_zone_reports(&self) {
        let Some(dispatch) = &self.dispatch else { return };
        loop {
            self.zone_reports.wait_for_reports().await;
            let reports = self.zone_reports.take_reports(BootClock.now());
            let addresses = self.state.borrow().fleet.dispatch_addresses(&self.zone);
            dispatch.client.tell(&addresses, &reports);
        }
    }

    /// Updates whether the target's availability zone is in reach.
    pub(super) fn record_reachability(
        &self,
        target: &RegisteredTarget,
        result: &AttemptResult,
        began: Timestamp,
        now: Timestamp,
    ) {
        match result {
            AttemptResult::NotSent(failure) => {
                let Some(failure) = reach_failure(*failure) else { return };
                let tried = FailedTry { target: &target.id, failure, began };
                self.reachability.record_failure(&target.zone, &tried, now);
                self.suspect_cut(began);
            }
            AttemptResult::Responded(_) | AttemptResult::Shed | AttemptResult::Misdirected => {
                self.reachability.record_response(&target.zone, now);
                self.last_response.set(now);
                self.vm_reach.record_reached(now);
            }
            AttemptResult::Lost(LossReason::Late | LossReason::Broken) => self.suspect_cut(began),
            AttemptResult::Withheld | AttemptResult::Forbidden(_) | AttemptResult::Lost(_) => {}
        }
        self.apply_reach_changes();
    }

    /// Applies changes that were caused by reports of other VMs, as they arrive.
    pub(crate) async fn apply_zone_reports(&self) {
        loop {
            self.zone_reports.wait_for_received().await;
            self.apply_reach_changes();
        }
    }

    /// Logs changes of the zones in reach, reports them and wakes requests that they concern.
    pub(super) fn apply_reach_changes(&self) {
        let now = BootClock.now();
        let changes = self.reachability.take_changes(now);
        for change in &changes {
            log_change(change);
            if !self.is_cut_off() {
                self.zone_reports.record_change(change, now);
            }
            if !change.in_reach {
                self.wake_zone(&change.zone);
            }
        }
        if !changes.is_empty() {
            self.reach_changed.notify_waiters();
        }
    }

    /// Wakes all requests that wait for a target.
    pub(super) fn wake_all(&self) {
        self.state.borrow().registry.all().for_each(|target| target.wait_queue.wake_all());
        self.queues.borrow().values().for_each(|queue| queue.wake_all());
        self.changed.notify_waiters();
    }

    /// Wakes the requests that wait for a target of a zone, so that they select another one or are
    /// refused.
    fn wake_zone(&self, zone: &str) {
        self.state.borrow().registry.in_zone(zone).for_each(|target| target.wait_queue.wake_all());
        self.queues.borrow().values().for_each(|queue| queue.wake_all());
    }

    /// Waits until the zone goes out of reach while `connecting` is set. Never ends for an attempt
    /// that began while the zone was out of reach, which shows whether it has returned.
    pub(super) async fn wait_for_lost_zone(&self, zone: &str, connecting: &Cell<bool>) {
        let is_in_reach = || self.reachability.is_in_reach(zone, BootClock.now());
        if self.reachability.rules() == ReachRules::Timeouts || !is_in_reach() {
            return std::future::pending().await;
        }
        let is_lost = || (connecting.get() && !is_in_reach()).then_some(());
        wait_for(&self.reach_changed, is_lost).await;
    }

    /// Whether a request has used up its attempts at a target or in the target's zone.
    pub(super) fn is_used_up(&self, target: &RegisteredTarget, attempts: &AttemptState) -> bool {
        if self.reachability.rules() == ReachRules::Timeouts {
            return false;
        }
        let failed = &attempts.unconnected;
        let in_zone = failed.iter().filter(|attempt| attempt.zone == target.zone);
        let is_hopeless = |attempt: &UnconnectedAttempt| {
            attempt.target == target.id
                && match attempt.failure {
                    ConnectFailure::Refused => true,
                    // A single timeout may be due to a lost packet.
                    ConnectFailure::TimedOut => target.pool.is_silent(),
                    ConnectFailure::Broken
                    | ConnectFailure::Unopened
                    | ConnectFailure::OutOfReach => false,
                }
        };
        in_zone.count() >= MAX_UNCONNECTED_PER_ZONE || failed.iter().any(is_hopeless)
    }
}

/// What a failure tells about the target's zone; `None` if the cause is this VM.
fn reach_failure(failure: ConnectFailure) -> Option<ReachFailure> {
    match failure {
        ConnectFailure::Refused => Some(ReachFailure::Refused),
        ConnectFailure::Broken => Some(ReachFailure::Broken),
        ConnectFailure::TimedOut => Some(ReachFailure::TimedOut),
        ConnectFailure::Unopened | ConnectFailure::OutOfReach => None,
    }
}

fn log_change(change: &ReachChange) {
    let pairs: [(&str, &dyn std::fmt::Display); 3] = [
        ("zone", &change.zone),
        ("in_reach", &change.in_reach),
        ("first_hand", &change.first_hand),
    ];
    log_event(EventName::ZoneOutOfReach, &pairs);
}
