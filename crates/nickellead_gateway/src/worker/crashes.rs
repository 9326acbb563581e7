//! Finds out which requests targets had when they fell, and refuses those that made several fall.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use nickellead_core::{ErrorKind, Timestamp};
use nickellead_event::{EventName, log_event};
use nickellead_quarantine::{BrokenRequest, FallEvidence, RequestMark, RequestVerdict};
use nickellead_time::BootClock;
use tokio::sync::Notify;

use super::{AttemptState, RequestWorker};
use crate::connections::ConnectFailure;
use crate::exchange::{AttemptResult, LossReason, OutgoingRequest};
use crate::incoming::IncomingRequest;
use crate::registered_target::RegisteredTarget;

/// Waits before each of the connections that show whether a target fell. The first one lets a process
/// that ends close its listener.
const CHECK_DELAYS: [Duration; 4] = [
    Duration::from_millis(30),
    Duration::from_millis(250),
    Duration::from_millis(750),
    Duration::from_millis(1_500),
];
/// Longest time until such a connection is open.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Targets that one request may make fall before it is no longer sent to another one by this VM itself.
const MAX_RISKED_TARGETS: usize = 2;

/// Targets to which connections broke, and of which it is to be found out whether they fell.
#[derive(Default)]
pub(super) struct FallChecks {
    due: RefCell<Vec<Rc<RegisteredTarget>>>,
    added: Notify,
}

impl FallChecks {
    fn add(&self, target: &Rc<RegisteredTarget>) {
        if !target.fall_checked.replace(true) {
            self.due.borrow_mut().push(Rc::clone(target));
            self.added.notify_one();
        }
    }
}

/// What the fall of a target is to be known by, of the request that it had.
pub(crate) struct SentRequest<'a> {
    pub(crate) outgoing: &'a OutgoingRequest,
    /// Most requests end without a need for their mark.
    pub(crate) mark: &'a dyn Fn() -> RequestMark,
    /// When it arrived at this VM.
    pub(crate) arrived_at: Instant,
}

impl SentRequest<'_> {
    fn broken(&self, sent: Timestamp) -> BrokenRequest {
        let now = BootClock.now();
        BrokenRequest {
            mark: (self.mark)(),
            id: String::from_utf8_lossy(self.outgoing.request_id.as_bytes()).into_owned(),
            sent,
            broke: now,
            waited: self.arrived_at.elapsed().saturating_sub(now.since(sent)),
        }
    }
}

impl RequestWorker {
    /// Refuses a request that made several targets fall.
    ///
    /// # Errors
    /// [`ErrorKind::RequestQuarantined`] if it did.
    pub(crate) fn check_mark(&self, mark: impl FnOnce() -> RequestMark) -> Result<(), ErrorKind> {
        let verdict = match self.is_suspicious() {
            true => self.quarantine.verdict(mark()),
            false => RequestVerdict::Unsuspected,
        };
        match verdict {
            RequestVerdict::Quarantined { .. } => Err(ErrorKind::RequestQuarantined),
            RequestVerdict::Unsuspected | RequestVerdict::Suspected { .. } => Ok(()),
        }
    }

    /// Whether any request is known to have made a target fall.
    fn is_suspicious(&self) -> bool {
        self.policy.quarantine.is_on() && self.quarantine.has_marks()
    }

    /// Whether a request may be sent once more as far as falls are concerned: not if two targets fell with
    /// it, or broke its connections and may have fallen.
    pub(super) fn may_risk_target(
        &self,
        incoming: &IncomingRequest,
        attempts: &AttemptState,
    ) -> bool {
        let elsewhere = match self.is_suspicious() && attempts.broken > 0 {
            true => self.quarantine.count_falls(incoming.mark(), &attempts.tried),
            false => 0,
        };
        let may_risk = elsewhere + attempts.broken < MAX_RISKED_TARGETS;
        if !may_risk {
            self.metrics.crashes.repeats_withheld.inc();
        }
        may_risk || !self.policy.quarantine.is_on()
    }

    /// Checks each target to which a connection broke, for as long as the runtime runs.
    pub(crate) async fn run_fall_checks(self: Rc<Self>) {
        loop {
            self.fall_checks.added.notified().await;
            for target in self.fall_checks.due.take() {
                actix_rt::spawn(Rc::clone(&self).check_fall(target));
            }
        }
    }

    /// Connects to a target until that shows whether it fell. A connection that is made is kept for requests.
    async fn check_fall(self: Rc<Self>, target: Rc<RegisteredTarget>) {
        self.find_fall(&target).await;
        target.fall_checked.set(false);
    }

    async fn find_fall(&self, target: &RegisteredTarget) {
        for delay in CHECK_DELAYS {
            tokio::time::sleep(delay).await;
            if target.broken.borrow().is_empty() {
                return;
            }
            match target.pool.check(target.address, CHECK_TIMEOUT).await {
                Ok(()) => return target.broken.borrow_mut().clear(),
                Err(ConnectFailure::Refused) => {
                    return self.record_fall(target, FallEvidence::Refused);
                }
                // A target that lost its power, or a cut path.
                Err(_) => {}
            }
        }
    }

    /// Draws conclusions from the end of an attempt that was sent at `sent`.
    pub(crate) fn observe_fall(
        &self,
        request: &SentRequest<'_>,
        target: &Rc<RegisteredTarget>,
        result: &AttemptResult,
        sent: Timestamp,
    ) {
        match result {
            AttemptResult::Responded(_) => {
                target.broken.borrow_mut().observe_answer(sent);
                if self.quarantine.has_marks() {
                    self.quarantine.record_answer((request.mark)());
                }
            }
            AttemptResult::Shed => target.broken.borrow_mut().observe_answer(sent),
            AttemptResult::Lost(LossReason::Broken) => {
                target.broken.borrow_mut().record(request.broken(sent));
                self.fall_checks.add(target);
            }
            AttemptResult::NotSent(ConnectFailure::Refused) => {
                self.record_fall(target, FallEvidence::Refused);
            }
            // An instance that turns a request away as misdirected may be another one.
            AttemptResult::Misdirected
            | AttemptResult::NotSent(_)
            | AttemptResult::Withheld
            | AttemptResult::Forbidden(_)
            | AttemptResult::Lost(_) => {}
        }
    }

    /// Records the falls of targets that are no longer listed. Targets that announced that they leave end
    /// as planned.
    pub(super) fn record_retired(&self, retired: &[Rc<RegisteredTarget>]) {
        let unplanned = retired.iter().filter(|target| target.is_ready() && !target.is_leaving());
        unplanned.for_each(|target| self.record_fall(target, FallEvidence::Gone));
    }

    /// Records that a target fell, if connections to it broke shortly before.
    fn record_fall(&self, target: &RegisteredTarget, evidence: FallEvidence) {
        let now = BootClock.now();
        let fallen = target.broken.borrow_mut().take_fallen(now);
        // A VM that reaches no target can't tell a fall from a path that refuses.
        if fallen.is_empty() || self.is_cut_off() {
            return;
        }
        self.metrics.crashes.count_fall(evidence, fallen.len());
        for request in &fallen {
            log_fall(target, request, evidence, now);
            self.quarantine.record_fall(&target.id, request);
        }
    }
}

fn log_fall(
    target: &RegisteredTarget,
    request: &BrokenRequest,
    evidence: FallEvidence,
    now: Timestamp,
) {
    let pairs: [(&str, &dyn std::fmt::Display); 7] = [
        ("target", &target.id),
        ("request", &request.id),
        ("mark", &request.mark),
        ("evidence", &evidence.as_str()),
        ("waited_ms", &request.waited.as_millis()),
        ("ran_ms", &request.broke.since(request.sent).as_millis()),
        ("known_ms", &now.since(request.broke).as_millis()),
    ];
    log_event(EventName::TargetFell, &pairs);
}
