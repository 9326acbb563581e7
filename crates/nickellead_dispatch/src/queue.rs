//! The queue of one group of targets.

use std::time::Duration;

use nickellead_core::Timestamp;

use crate::choice::{
    CandidateList, NO_SPREAD, TargetCandidate, TargetChoice, TimeLimits, USUAL_SPREAD,
};
use crate::duration_model::{RouteDurations, millis_between};
use crate::return_times::ReturnTimes;
use crate::target_outlook::TargetOutlook;
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

/// Fewest targets of a group for each one that is left out for its failures.
const MIN_TARGETS_PER_EJECTED: usize = 4;

/// Multiples of the expected duration that must fit for a new request behind others: more that go before it
/// may follow.
const LAST_SPREADS: [f64; 1] = [USUAL_SPREAD];
/// Multiples of the expected duration that must fit for a request that has waited or goes first.
const FIRST_SPREADS: [f64; 2] = [USUAL_SPREAD, NO_SPREAD];

/// Decides which request each target of a group runs next.
///
/// It has no clock: every method that depends on time takes the present one, which must not go back.
/// After every change, and at [`next_deadline`](Self::next_deadline), call [`poll`](Self::poll).
#[derive(Debug)]
pub struct DispatchQueue {
    targets: Vec<TargetState>,
    /// What to expect of each of the targets, in the same order; refreshed before each decision.
    outlooks: Vec<TargetOutlook>,
    /// Targets for the request that is being decided on.
    candidates: CandidateList,
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
            outlooks: Vec::new(),
            candidates: CandidateList::default(),
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
        self.refresh_outlooks(now);
        self.refill_candidates(&request, now);
        if self.candidates.is_empty() {
            return DispatchDecision::Refused(no_target());
        }
        let mut entry = WaitingRequest::new(TicketId(self.next_id), request, request.due);
        let ahead = self.ahead_of(&entry);
        self.candidates.place_behind(ahead, &self.outlooks);
        let spreads: &[f64] = if ahead == 0 { &FIRST_SPREADS } else { &LAST_SPREADS };
        let mut choice = self.choose_for_new(&entry, spreads, now);
        if choice == TargetChoice::Hopeless && self.claim_place(&request, now) {
            entry.limit = request.deadline;
            choice = self.choose_for_new(&entry, spreads, now);
        }
        match choice {
            TargetChoice::Send(index) if !self.must_queue() => {
                DispatchDecision::Granted(self.grant(index, &request, now))
            }
            TargetChoice::Send(_) | TargetChoice::Wait => {
                DispatchDecision::Queued(self.enqueue(entry))
            }
            TargetChoice::Hopeless => DispatchDecision::Refused(self.refuse(&request, now)),
        }
    }

    fn choose_for_new(
        &self,
        entry: &WaitingRequest,
        spreads: &[f64],
        now: Timestamp,
    ) -> TargetChoice {
        let limits = time_limits(entry, self.waiting.is_empty(), now);
        self.candidates.choose(limits, spreads)
    }

    /// Whether a new request has to wait although it may be sent: others may go before it.
    fn must_queue(&self) -> bool {
        self.has_changed && !self.waiting.is_empty()
    }

    fn enqueue(&mut self, entry: WaitingRequest) -> TicketId {
        self.next_id = self.next_id.wrapping_add(1);
        self.has_changed = true;
        self.waiting.push(entry);
        entry.ticket
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
        for target in &mut self.targets {
            self.has_changed |= target.expire_permits(now);
        }
        self.drop_removed_targets();
        let is_due = self.has_changed || self.next_recheck().is_some_and(|at| at <= now);
        if !is_due {
            return Vec::new();
        }
        self.has_changed = false;
        self.polled_at = now;
        if self.waiting.is_empty() {
            return Vec::new();
        }
        self.refresh_outlooks(now);
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
        self.refill_candidates(request, now);
        if self.candidates.is_empty() {
            return Some(DispatchEvent::Refused(entry.ticket, no_target()));
        }
        let competing = ahead.iter().filter(|other| competes(&other.request, request)).count();
        self.candidates.place_behind(competing, &self.outlooks);
        let choice = if now < request.deadline {
            let limits = time_limits(entry, ahead.is_empty(), now);
            self.candidates.choose(limits, &FIRST_SPREADS)
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
                let refusal = self.refuse(request, now);
                Some(DispatchEvent::Refused(entry.ticket, refusal))
            }
        }
    }

    /// When [`poll`](Self::poll) has to be called next, if nothing changes before.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let expiries = self.targets.iter().filter_map(TargetState::next_expiry);
        expiries.chain(self.next_recheck()).min()
    }

    /// When the waiting requests have to be decided on again without a change.
    fn next_recheck(&self) -> Option<Timestamp> {
        let first_deadline = self.waiting.first_deadline()?;
        Some(first_deadline.min(self.polled_at + RECHECK_INTERVAL))
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

    fn refresh_outlooks(&mut self, now: Timestamp) {
        self.outlooks.clear();
        self.outlooks.extend(self.targets.iter().map(|target| target.outlook(now)));
    }

    /// Finds the targets that may serve the request, and its expected times there.
    ///
    /// Targets that fail are left out if they are few: others then have room for their requests. If many
    /// fail, they are only chosen last.
    fn refill_candidates(&mut self, request: &DispatchRequest, now: Timestamp) {
        let usual_ms = self.durations.expected_ms(request, now);
        let targets = self.targets.iter().zip(&self.outlooks).enumerate();
        let usable = targets.filter(|(_, (target, _))| may_serve(target, request));
        let ejected = usable.clone().filter(|(_, (_, outlook))| outlook.is_ejected).count();
        let leaves_out = ejected * MIN_TARGETS_PER_EJECTED <= usable.clone().count();
        let chosen = usable.filter(|(_, (_, outlook))| !(leaves_out && outlook.is_ejected));
        self.candidates.refill(chosen.map(|(index, (target, outlook))| TargetCandidate {
            index,
            last_permit: target.last_permit,
            slots: outlook.slots,
            estimate: outlook.estimate(usual_ms),
        }));
    }

    /// Whether a place was promised to the caller, who can still use it.
    fn claim_place(&mut self, request: &DispatchRequest, now: Timestamp) -> bool {
        let has_time = self.candidates.least_duration_ms() <= millis_between(now, request.deadline);
        has_time && self.return_times_of(request).is_some_and(|times| times.claim(request, now))
    }

    /// Number of waiting requests that go before a new one.
    fn ahead_of(&self, entry: &WaitingRequest) -> usize {
        let running = |key| permits_of_key(&self.targets, key);
        let is_competing = |other: &DispatchRequest| competes(other, &entry.request);
        self.waiting.ahead_of(entry, running, is_competing)
    }

    fn grant(&mut self, index: usize, request: &DispatchRequest, now: Timestamp) -> DispatchPermit {
        let id = PermitId(self.next_id);
        self.next_id = self.next_id.wrapping_add(1);
        let usual_ms = self.durations.expected_ms(request, now);
        let target = &mut self.targets[index];
        target.grant(id, request, &self.outlooks[index], usual_ms, now);
        self.outlooks[index] = target.outlook(now);
        DispatchPermit { id, target: target.key }
    }

    /// Refuses a request, and promises a place to its caller if it can still use one.
    fn refuse(&mut self, request: &DispatchRequest, now: Timestamp) -> DispatchRefusal {
        let rate = self.candidates.service_rate();
        let turn_ms = self.candidates.least_turn_ms();
        let needed_ms = self.candidates.least_duration_ms() * USUAL_SPREAD;
        let stay_ms = millis_between(now, request.deadline);
        let mut retry_after = RETRY_WITHOUT_TARGET;
        if let Some(times) = self.return_times_of(request) {
            let time = times.next(now, turn_ms, rate);
            retry_after = time.retry_after;
            if time.is_usable(needed_ms, stay_ms) {
                times.book(request, time, now);
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

fn time_limits(entry: &WaitingRequest, nobody_waits: bool, now: Timestamp) -> TimeLimits {
    TimeLimits {
        due_ms: millis_between(now, entry.limit),
        deadline_ms: millis_between(now, entry.request.deadline),
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
