//! What a dispatcher knows of one target: permits in use, speed, load, failures.

use std::time::Duration;

use nickellead_balance::{TargetOutcome, TargetScore};
use nickellead_core::Timestamp;

use crate::duration_model::{
    ReportedSlowness, RouteDurations, SlownessOutlook, TargetFactor, millis, millis_between,
};
use crate::held_permit::HeldPermit;
use crate::return_times::ReturnTimes;
use crate::target_outlook::{SlotStarts, TargetOutlook, TargetRoom};
use crate::{DispatchRequest, PermitId, PermitOutcome, ReportedLoad, TargetKey};

/// Permits above the number of slots: the next permit travels while a response does.
const EXTRA_PERMITS: u32 = 1;
/// How long after its deadline a permit is kept for a release that is on its way.
const PERMIT_GRACE: Duration = Duration::from_millis(200);
/// Part of a request's duration for which a target that shed one counts as full.
const FULL_AFTER_SHED_SHARE: f64 = 0.25;
/// Age at which requests that others sent are no longer expected to run.
const FOREIGN_LIFETIME_MS: f64 = 1_000.0;

/// Whether a target may get requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TargetUse {
    /// It may.
    Usable,
    /// Not at present.
    Suspended,
    /// It is no longer listed; its permits in use are still counted in case that it returns.
    Removed,
}

/// Requests that others sent to a target, by its last report.
#[derive(Clone, Copy, Debug, Default)]
struct ForeignLoad {
    requests: u32,
    at: Timestamp,
}

impl ForeignLoad {
    fn requests(&self, now: Timestamp) -> u32 {
        let age_ms = millis_between(self.at, now);
        let persistence = (1.0 - age_ms / FOREIGN_LIFETIME_MS).max(0.0);
        (f64::from(self.requests) * persistence).round() as u32
    }
}

/// One target.
#[derive(Debug)]
pub(crate) struct TargetState {
    /// Names the target.
    pub(crate) key: TargetKey,
    /// Whether it may get requests.
    pub(crate) usage: TargetUse,
    /// When it got a request last, as the number of the permit.
    pub(crate) last_permit: PermitId,
    /// Places promised to callers that only this target can serve.
    pub(crate) return_times: ReturnTimes,
    declared_slots: u32,
    reported_slots: Option<u32>,
    permits: Vec<HeldPermit>,
    foreign: ForeignLoad,
    factor: TargetFactor,
    slowness: Option<ReportedSlowness>,
    score: TargetScore,
    full_until: Timestamp,
}

impl TargetState {
    /// Creates a usable target.
    pub(crate) fn new(key: TargetKey, slots: u32) -> Self {
        Self {
            key,
            usage: TargetUse::Usable,
            last_permit: PermitId(0),
            return_times: ReturnTimes::default(),
            declared_slots: slots,
            reported_slots: None,
            permits: Vec::new(),
            foreign: ForeignLoad::default(),
            factor: TargetFactor::default(),
            slowness: None,
            score: TargetScore::new(Duration::ZERO),
            full_until: Timestamp::ZERO,
        }
    }

    /// Sets the declared slots and makes the target usable.
    pub(crate) fn declare(&mut self, slots: u32) {
        self.declared_slots = slots;
        self.usage = TargetUse::Usable;
    }

    /// Whether it may get requests.
    pub(crate) fn is_usable(&self) -> bool {
        self.usage == TargetUse::Usable
    }

    /// Number of requests that it runs concurrently.
    pub(crate) fn slots(&self) -> u32 {
        self.reported_slots.map_or(self.declared_slots, |slots| slots.min(self.declared_slots))
    }

    /// Number of permits in use.
    pub(crate) fn permits(&self) -> usize {
        self.permits.len()
    }

    /// Number of permits in use for a key.
    pub(crate) fn permits_of_key(&self, key: u16) -> u32 {
        self.permits.iter().filter(|permit| permit.key == Some(key)).count() as u32
    }

    /// What to expect of the target now.
    pub(crate) fn outlook(&self, now: Timestamp) -> TargetOutlook {
        let running = (self.permits.len() as u32).saturating_add(self.foreign.requests(now));
        let free = self.slots().saturating_sub(running);
        let taken = running.saturating_sub(self.slots());
        let starts = SlotStarts::new(self.ends_ms(now), taken, free);
        let overdue_ratios = self.permits.iter().map(|permit| permit.overdue_ratio(now));
        TargetOutlook {
            room: self.room(running, now),
            is_idle: running == 0,
            is_ejected: self.score.is_ejected(now),
            slots: self.slots(),
            starts: starts.not_before(millis_between(now, self.full_until)),
            factor: self.factor.value(now),
            slowness: self.slowness.map_or(SlownessOutlook::NONE, |reported| reported.outlook(now)),
            overdue_ratio: overdue_ratios.fold(0.0, f64::max),
            failure_factor: self.score.failure_factor(),
        }
    }

    /// Expected times until the ends of the requests with a permit.
    fn ends_ms(&self, now: Timestamp) -> impl Iterator<Item = f64> {
        let running_ms = self.permits.iter().filter_map(move |permit| permit.remaining_ms(now));
        let first_end_ms = running_ms.fold(f64::INFINITY, f64::min);
        let until_start_ms = if first_end_ms.is_finite() { first_end_ms } else { 0.0 };
        self.permits.iter().map(move |permit| {
            permit.remaining_ms(now).unwrap_or(until_start_ms + permit.duration_ms)
        })
    }

    fn room(&self, running: u32, now: Timestamp) -> TargetRoom {
        if now < self.full_until {
            TargetRoom::Full
        } else if running < self.slots() {
            TargetRoom::Free
        } else if running < self.slots().saturating_add(EXTRA_PERMITS) {
            TargetRoom::Extra
        } else {
            TargetRoom::Full
        }
    }

    /// Records a permit, given what was expected of the target.
    pub(crate) fn grant(
        &mut self,
        id: PermitId,
        request: &DispatchRequest,
        outlook: &TargetOutlook,
        usual_ms: f64,
        now: Timestamp,
    ) {
        let estimate = outlook.estimate(usual_ms);
        let work_ms = usual_ms * outlook.factor;
        self.last_permit = id;
        self.permits.push(HeldPermit {
            id,
            route: request.route,
            key: request.owner.and(request.key),
            granted_at: now,
            started_at: (estimate.room == TargetRoom::Free).then_some(now),
            expires_at: request.deadline + PERMIT_GRACE,
            duration_ms: estimate.duration_ms,
            slowness: outlook.slowness.expected_ms(work_ms) / work_ms,
            overtaken: false,
        });
    }

    /// Ends a permit and learns from its outcome; false if the permit is unknown.
    pub(crate) fn release(
        &mut self,
        id: PermitId,
        outcome: PermitOutcome,
        load: Option<ReportedLoad>,
        durations: &mut RouteDurations,
        now: Timestamp,
    ) -> bool {
        let Some(index) = self.permits.iter().position(|permit| permit.id == id) else {
            return false;
        };
        if let Some(load) = load {
            self.record_load(&load, now);
        }
        let permit = self.permits.remove(index);
        if permit.started_at.is_some() {
            self.start_waiting(now);
        }
        if matches!(outcome, PermitOutcome::Responded(_)) {
            self.mark_overtaken(permit.granted_at);
        }
        self.learn(&permit, outcome, durations, now);
        self.record_outcome(&permit, outcome, now);
        true
    }

    fn record_load(&mut self, load: &ReportedLoad, now: Timestamp) {
        let reported = load.running.saturating_add(load.waiting);
        let requests = reported.saturating_sub(self.permits.len() as u32);
        self.foreign = ForeignLoad { requests, at: now };
        self.reported_slots = (load.slots > 0).then_some(load.slots);
        self.slowness = ReportedSlowness::new(load, now);
    }

    /// Gives the slot that became free to the request that waits for one.
    fn start_waiting(&mut self, now: Timestamp) {
        let waiting = self.permits.iter_mut().find(|permit| permit.started_at.is_none());
        if let Some(permit) = waiting {
            permit.started_at = Some(now);
        }
    }

    fn mark_overtaken(&mut self, granted_at: Timestamp) {
        for earlier in self.permits.iter_mut().filter(|permit| permit.granted_at < granted_at) {
            earlier.overtaken = true;
        }
    }

    fn learn(
        &mut self,
        permit: &HeldPermit,
        outcome: PermitOutcome,
        durations: &mut RouteDurations,
        now: Timestamp,
    ) {
        let Some(waited_ms) = permit.waited_ms() else { return };
        if waited_ms > 0.0 && self.foreign.requests(now) > 0 {
            // A request of others may have had the slot in between.
            return;
        }
        let duration_ms = match outcome {
            PermitOutcome::Responded(latency) => millis(latency) - waited_ms,
            // The response would have taken longer than the caller stayed.
            PermitOutcome::Abandoned(elapsed)
                if millis(elapsed) - waited_ms > permit.duration_ms =>
            {
                millis(elapsed) - waited_ms
            }
            PermitOutcome::Abandoned(_)
            | PermitOutcome::Failed
            | PermitOutcome::Shed
            | PermitOutcome::NoResponse
            | PermitOutcome::NotSent => return,
        };
        let work_ms = duration_ms.max(0.0) / permit.slowness;
        let factor = self.factor.value(now);
        if let Some(usual_ms) = durations.learned_ms(permit.route) {
            self.factor.record(work_ms / usual_ms, now);
        }
        durations.record(permit.route, work_ms / factor);
    }

    fn record_outcome(&mut self, permit: &HeldPermit, outcome: PermitOutcome, now: Timestamp) {
        let outcome = match outcome {
            PermitOutcome::Responded(latency) => TargetOutcome::Responded(latency),
            PermitOutcome::Failed => TargetOutcome::Failed,
            PermitOutcome::Shed => TargetOutcome::Shed,
            PermitOutcome::NoResponse => TargetOutcome::NoResponse,
            PermitOutcome::Abandoned(elapsed) => TargetOutcome::Abandoned(elapsed),
            PermitOutcome::NotSent => return,
        };
        self.score.record(outcome, now);
        // A target that sheds with slots free sheds for another reason than its load.
        let was_full = self.permits.len() as u32 + 1 >= self.slots();
        if outcome == TargetOutcome::Shed && was_full {
            let pause_ms = permit.duration_ms * FULL_AFTER_SHED_SHARE;
            self.full_until = now + Duration::from_millis(pause_ms as u64);
        }
    }

    /// Ends the permits whose requests are over for certain; false if there are none.
    pub(crate) fn expire_permits(&mut self, now: Timestamp) -> bool {
        let permits = self.permits.len();
        self.permits.retain(|permit| now < permit.expires_at);
        self.permits.len() < permits
    }

    /// When the next permit expires.
    pub(crate) fn next_expiry(&self) -> Option<Timestamp> {
        self.permits.iter().map(|permit| permit.expires_at).min()
    }
}
