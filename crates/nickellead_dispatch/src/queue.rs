//! The queue of one group of targets.

use std::time::Duration;

use nickellead_core::Timestamp;

use crate::choice::{NO_SPREAD, TargetCandidate, TargetChoice, TimeLimits, USUAL_SPREAD, choose};
use crate::duration_model::{RouteDurations, millis_between};
use crate::return_times::ReturnTimes;
use crate::target_state::{TargetState, TargetUse};
use crate::waiting_list::{OwnedKey, WaitingList, WaitingRequest};
use crate::{
    DispatchDecision, DispatchEvent, DispatchPermit, DispatchRefusal, DispatchRequest, PermitId,
    PermitOutcome, RefusalReason, ReportedLoad, TargetKey, TicketId,
};

/// When a caller may return that found no usable target: targets that start or pause take about as long.
const RETRY_WITHOUT_TARGET: Duration = Duration::from_millis(500);
/// How often the estimates of waiting requests are computed again without a change: they depend on
/// how long requests have been running.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Multiples of the expected duration that must fit for a new request, which may still go elsewhere.
const NEW_SPREADS: [f64; 1] = [USUAL_SPREAD];
/// Multiples of the expected duration that must fit for a request that has waited.
const WAITING_SPREADS: [f64; 2] = [USUAL_SPREAD, NO_SPREAD];

/// Decides which request each target of a group runs next.
///
/// It has no clock: every method that depends on time takes the present one, which must not go back.
/// After every change, and at [`next_deadline`](Self::next_deadline), call [`poll`](Self::poll).
#[derive(Debug)]
pub struct DispatchQueue {
    targets: Vec<TargetState>,
    durations: RouteDurations,
    waiting: WaitingList,
    /// Places promised to callers that any target can serve.
    return_times: ReturnTimes,
    next_id: u64,
    /// Whether something changed for the waiting requests since the last poll.
    has_changed: bool,
    polled_at: Timestamp,
}

impl DispatchQueue {
    /// Creates a queue without targets.
    ///
    /// `first_id` numbers its first permit or ticket. A process chooses it at random, so that identifiers
    /// of an earlier process are unknown to it.
    #[must_use]
    pub fn new(first_id: u64) -> Self {
        Self {
            targets: Vec::new(),
            durations: RouteDurations::default(),
            waiting: WaitingList::default(),
            return_times: ReturnTimes::default(),
            next_id: first_id,
            has_changed: false,
            polled_at: Timestamp::ZERO,
        }
    }

    /// Adds a target that runs `slots` requests concurrently, or makes it usable again.
    pub fn set_target(&mut self, target: TargetKey, slots: u32) {
        self.has_changed = true;
        match self.target_mut(target) {
            Some(state) => state.declare(slots),
            None => self.targets.push(TargetState::new(target, slots)),
        }
    }

    /// Grants no permits for a target until it is set again.
    pub fn suspend_target(&mut self, target: TargetKey) {
        self.set_use(target, TargetUse::Suspended);
    }

    /// Removes a target.
    pub fn remove_target(&mut self, target: TargetKey) {
        self.set_use(target, TargetUse::Removed);
        self.drop_removed_targets();
    }

    /// Whether a target may get requests.
    #[must_use]
    pub fn is_usable(&self, target: TargetKey) -> bool {
        self.target(target).is_some_and(TargetState::is_usable)
    }

    /// Decides on a new request.
    pub fn request(&mut self, request: DispatchRequest, now: Timestamp) -> DispatchDecision {
        if !self.has_candidate(&request) {
            return DispatchDecision::Refused(no_target());
        }
        let entry = WaitingRequest::new(TicketId(self.next_id), request, self.limit(&request, now));
        let backlog_ms = self.backlog_ms(&entry, now);
        let limits = time_limits(&entry, backlog_ms, self.waiting.is_empty(), now);
        let choice = choose(self.candidates(&request, now), limits, &NEW_SPREADS);
        match choice {
            TargetChoice::Send(_) | TargetChoice::Wait if self.must_queue(choice) => {
                self.next_id = self.next_id.wrapping_add(1);
                self.waiting.push(entry);
                DispatchDecision::Queued(entry.ticket)
            }
            TargetChoice::Send(index) => {
                DispatchDecision::Granted(self.grant(index, &request, now))
            }
            TargetChoice::Wait | TargetChoice::Hopeless => {
                DispatchDecision::Refused(self.refuse(&request, backlog_ms, now))
            }
        }
    }

    /// Ends the waiting of a request whose caller left.
    pub fn cancel(&mut self, ticket: TicketId) {
        self.has_changed = true;
        self.waiting.remove(ticket);
    }

    /// Ends the use of a permit; an unknown one is ignored.
    ///
    /// `load` is what the response reported.
    pub fn release(
        &mut self,
        permit: PermitId,
        outcome: PermitOutcome,
        load: Option<ReportedLoad>,
        now: Timestamp,
    ) {
        self.has_changed = true;
        for target in &mut self.targets {
            if target.release(permit, outcome, load, &mut self.durations, now) {
                break;
            }
        }
        self.drop_removed_targets();
    }

    /// Decides on the waiting requests, and returns what was decided.
    pub fn poll(&mut self, now: Timestamp) -> Vec<DispatchEvent> {
        self.has_changed = false;
        self.polled_at = now;
        for target in &mut self.targets {
            target.expire_permits(now);
        }
        self.drop_removed_targets();
        if self.waiting.is_empty() {
            return Vec::new();
        }
        self.poll_waiting(now)
    }

    fn poll_waiting(&mut self, now: Timestamp) -> Vec<DispatchEvent> {
        let targets = &self.targets;
        let entries = self.waiting.take_ordered(|key| permits_of_key(targets, key));
        let mut kept: Vec<WaitingRequest> = Vec::with_capacity(entries.len());
        let mut events = Vec::new();
        for entry in entries {
            match self.decide_waiting(&entry, &kept, now) {
                Some(event) => events.push(event),
                None => kept.push(entry),
            }
        }
        self.waiting.restore(kept);
        events
    }

    /// Decides on a request that waits behind those in `ahead`; `None` if it goes on waiting.
    fn decide_waiting(
        &mut self,
        entry: &WaitingRequest,
        ahead: &[WaitingRequest],
        now: Timestamp,
    ) -> Option<DispatchEvent> {
        let request = &entry.request;
        if !self.has_candidate(request) {
            return Some(DispatchEvent::Refused(entry.ticket, no_target()));
        }
        let competing = ahead.iter().filter(|other| competes(&other.request, request)).count();
        let backlog_ms = competing as f64 / self.service_rate(request, now);
        let choice = if now < request.deadline {
            let limits = time_limits(entry, backlog_ms, ahead.is_empty(), now);
            choose(self.candidates(request, now), limits, &WAITING_SPREADS)
        } else {
            TargetChoice::Hopeless
        };
        match choice {
            TargetChoice::Send(index) => {
                let permit = self.grant(index, request, now);
                Some(DispatchEvent::Granted(entry.ticket, permit))
            }
            TargetChoice::Wait => None,
            TargetChoice::Hopeless => {
                let refusal = self.refuse(request, backlog_ms, now);
                Some(DispatchEvent::Refused(entry.ticket, refusal))
            }
        }
    }

    /// When [`poll`](Self::poll) has to be called next, if nothing changes before.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let recheck = (!self.waiting.is_empty()).then(|| self.polled_at + RECHECK_INTERVAL);
        let expiries = self.targets.iter().filter_map(TargetState::next_expiry);
        expiries.chain(recheck).min()
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Number of permits in use.
    #[must_use]
    pub fn running(&self) -> usize {
        self.targets.iter().map(TargetState::permits).sum()
    }

    fn target(&self, key: TargetKey) -> Option<&TargetState> {
        self.targets.iter().find(|target| target.key == key)
    }

    fn target_mut(&mut self, key: TargetKey) -> Option<&mut TargetState> {
        self.targets.iter_mut().find(|target| target.key == key)
    }

    fn set_use(&mut self, key: TargetKey, usage: TargetUse) {
        self.has_changed = true;
        if let Some(target) = self.target_mut(key) {
            target.usage = usage;
        }
    }

    fn drop_removed_targets(&mut self) {
        self.targets.retain(|target| target.usage != TargetUse::Removed || target.permits() > 0);
    }

    /// Whether a new request has to wait although it may be sent: others may go before it.
    fn must_queue(&self, choice: TargetChoice) -> bool {
        match choice {
            TargetChoice::Wait => true,
            TargetChoice::Send(_) => self.has_changed && !self.waiting.is_empty(),
            TargetChoice::Hopeless => false,
        }
    }

    /// Whether the request may be sent to a target, apart from its load and failures.
    fn has_candidate(&self, request: &DispatchRequest) -> bool {
        self.targets.iter().any(|target| may_serve(target, request))
    }

    /// Targets that may get the request, with its expected times there.
    ///
    /// Targets that fail are left out unless they are most of the group: the cause is then probably not in
    /// the targets.
    fn candidates<'a>(
        &'a self,
        request: &'a DispatchRequest,
        now: Timestamp,
    ) -> impl Iterator<Item = TargetCandidate> + Clone + 'a {
        let usable = self.targets.iter().filter(|target| may_serve(target, request));
        let ejected = usable.clone().filter(|target| target.is_ejected(now)).count();
        let leaves_out = ejected * 2 <= usable.count();
        let usual_ms = self.durations.expected_ms(request, now);
        let targets = self.targets.iter().enumerate();
        targets
            .filter(move |(_, target)| may_serve(target, request))
            .filter(move |(_, target)| !(leaves_out && target.is_ejected(now)))
            .map(move |(index, target)| TargetCandidate {
                index,
                last_permit: target.last_permit,
                estimate: target.estimate(usual_ms, now),
            })
    }

    /// When the response to a new request has to arrive.
    fn limit(&mut self, request: &DispatchRequest, now: Timestamp) -> Timestamp {
        let durations = self.candidates(request, now).map(|one| one.estimate.duration_ms);
        let least_ms = durations.fold(f64::INFINITY, f64::min);
        let is_late = least_ms > millis_between(now, request.due);
        if is_late && self.return_times_of(request).is_some_and(|times| times.claim(now)) {
            request.deadline
        } else {
            request.due
        }
    }

    /// Expected time until the targets have started those that go before a new request.
    fn backlog_ms(&self, entry: &WaitingRequest, now: Timestamp) -> f64 {
        if self.waiting.is_empty() {
            return 0.0;
        }
        let running = |key| permits_of_key(&self.targets, key);
        let is_competing = |other: &DispatchRequest| competes(other, &entry.request);
        let ahead = self.waiting.ahead_of(entry, running, is_competing);
        f64::from(ahead) / self.service_rate(&entry.request, now)
    }

    /// Requests like this one that its targets serve per millisecond.
    fn service_rate(&self, request: &DispatchRequest, now: Timestamp) -> f64 {
        let rate = |one: TargetCandidate| {
            f64::from(self.targets[one.index].slots().max(1)) / one.estimate.duration_ms
        };
        self.candidates(request, now).map(rate).sum()
    }

    fn grant(&mut self, index: usize, request: &DispatchRequest, now: Timestamp) -> DispatchPermit {
        let id = PermitId(self.next_id);
        self.next_id = self.next_id.wrapping_add(1);
        let usual_ms = self.durations.expected_ms(request, now);
        let target = &mut self.targets[index];
        target.grant(id, request, usual_ms, now);
        DispatchPermit { id, target: target.key }
    }

    /// Refuses a request, and promises a place to its caller if it can still use one.
    fn refuse(
        &mut self,
        request: &DispatchRequest,
        backlog_ms: f64,
        now: Timestamp,
    ) -> DispatchRefusal {
        let rate = self.service_rate(request, now);
        let waits = self.candidates(request, now).map(|one| one.estimate.wait_ms);
        let wait_ms = waits.fold(f64::INFINITY, f64::min);
        let durations = self.candidates(request, now).map(|one| one.estimate.duration_ms);
        let duration_ms = durations.fold(f64::INFINITY, f64::min);
        let stay_ms = millis_between(now, request.deadline);
        let mut retry_after = RETRY_WITHOUT_TARGET;
        if let Some(times) = self.return_times_of(request) {
            let time = times.next(now, wait_ms + backlog_ms, rate);
            retry_after = time.retry_after;
            if retry_after.as_secs_f64() * 1_000.0 + duration_ms <= stay_ms {
                times.book(time, now);
            }
        }
        DispatchRefusal { reason: RefusalReason::NoCapacity, retry_after }
    }

    /// Where places for callers like this one are promised.
    fn return_times_of(&mut self, request: &DispatchRequest) -> Option<&mut ReturnTimes> {
        match request.owner {
            Some(owner) => self.target_mut(owner).map(|target| &mut target.return_times),
            None => Some(&mut self.return_times),
        }
    }
}

/// Whether a request may be sent to a target, apart from the target's load and failures.
fn may_serve(target: &TargetState, request: &DispatchRequest) -> bool {
    let is_listed = match request.owner {
        Some(owner) => target.key == owner,
        None => !request.avoid.contains(&Some(target.key)),
    };
    is_listed && target.is_usable()
}

fn time_limits(
    entry: &WaitingRequest,
    backlog_ms: f64,
    nobody_waits: bool,
    now: Timestamp,
) -> TimeLimits {
    TimeLimits {
        due_ms: millis_between(now, entry.limit),
        deadline_ms: millis_between(now, entry.request.deadline),
        backlog_ms,
        nobody_waits,
    }
}

/// Whether two requests may need the same target.
fn competes(one: &DispatchRequest, other: &DispatchRequest) -> bool {
    match (one.owner, other.owner) {
        (Some(owner), Some(other)) => owner == other,
        (Some(_), None) | (None, Some(_)) | (None, None) => true,
    }
}

fn permits_of_key(targets: &[TargetState], key: OwnedKey) -> u32 {
    let owner = targets.iter().find(|target| target.key == key.owner);
    owner.map_or(0, |target| target.permits_of_key(key.key))
}

fn no_target() -> DispatchRefusal {
    DispatchRefusal { reason: RefusalReason::NoTarget, retry_after: RETRY_WITHOUT_TARGET }
}
