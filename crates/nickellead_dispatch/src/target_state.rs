//! What a dispatcher knows of one target: permits in use, speed, load, failures.

use std::time::Duration;

use nickellead_balance::{TargetOutcome, TargetScore};
use nickellead_core::Timestamp;

use crate::duration_model::{
    ReportedSlowness, RouteDurations, TargetFactor, millis, millis_between,
};
use crate::return_times::ReturnTimes;
use crate::{DispatchRequest, PermitId, PermitOutcome, ReportedLoad, RouteKey, TargetKey};

/// Permits above the number of slots: the next permit travels while a response does.
const EXTRA_PERMITS: u32 = 1;
/// How long after its deadline a permit is kept for a release that is on its way.
const PERMIT_GRACE: Duration = Duration::from_millis(200);
/// Multiple of its expected duration after which a running request shows that its target is slow.
const OVERDUE_RATIO: f64 = 2.0;
/// Least expected remaining time of a running request, as a part of the duration of a new one.
const LEAST_REMAINING_SHARE: f64 = 0.25;
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

/// Room at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TargetRoom {
    /// A slot is free.
    Free,
    /// All slots are in use, but one more request may be sent.
    Extra,
    /// No request may be sent.
    Full,
}

/// A permit in use.
#[derive(Clone, Copy, Debug)]
struct HeldPermit {
    id: PermitId,
    route: RouteKey,
    /// Key of a request to an owner.
    key: Option<u16>,
    granted_at: Timestamp,
    expires_at: Timestamp,
    /// Expected time until its response.
    expected_ms: f64,
    /// Reported slowness, averaged over the expected duration.
    slowness: f64,
    /// Whether a slot was free when it was granted, so that its latency contains no waiting.
    in_slot: bool,
}

impl HeldPermit {
    /// Expected time until its end; negative if it is overdue.
    fn remaining_ms(&self, now: Timestamp) -> f64 {
        self.expected_ms - millis_between(self.granted_at, now)
    }

    /// Ratio between its age and its expected duration.
    fn overdue_ratio(&self, now: Timestamp) -> f64 {
        millis_between(self.granted_at, now) / self.expected_ms
    }
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

/// Expected times of one request at one target, from now.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetEstimate {
    /// Room at the target.
    pub(crate) room: TargetRoom,
    /// Time until a slot is free for it.
    pub(crate) wait_ms: f64,
    /// Duration of the request in its slot.
    pub(crate) duration_ms: f64,
    /// Time until its end with a penalty for failures, to compare targets.
    pub(crate) cost: f64,
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
            permits: Vec::with_capacity((slots + EXTRA_PERMITS) as usize),
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

    /// Whether it is left out for its failures.
    pub(crate) fn is_ejected(&self, now: Timestamp) -> bool {
        self.score.is_ejected(now)
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

    /// Estimates a request whose usual duration is `usual_ms`.
    pub(crate) fn estimate(&self, usual_ms: f64, now: Timestamp) -> TargetEstimate {
        let duration_ms = self.duration_ms(usual_ms, now);
        let room = self.room(now);
        let wait_ms = match room {
            TargetRoom::Free => 0.0,
            TargetRoom::Extra | TargetRoom::Full => self.wait_ms(duration_ms, now),
        };
        let cost = wait_ms + duration_ms * self.score.failure_factor();
        TargetEstimate { room, wait_ms, duration_ms, cost }
    }

    fn room(&self, now: Timestamp) -> TargetRoom {
        let running = self.running(now);
        if now < self.full_until {
            TargetRoom::Full
        } else if running < self.slots() {
            TargetRoom::Free
        } else if running < self.slots() + EXTRA_PERMITS {
            TargetRoom::Extra
        } else {
            TargetRoom::Full
        }
    }

    fn running(&self, now: Timestamp) -> u32 {
        self.permits.len() as u32 + self.foreign.requests(now)
    }

    /// Expected duration of a request in a slot.
    fn duration_ms(&self, usual_ms: f64, now: Timestamp) -> f64 {
        let work_ms = self.work_ms(usual_ms, now);
        let overdue_ratio = self.overdue_ratio(now);
        let overdue_ms = if overdue_ratio > OVERDUE_RATIO { work_ms * overdue_ratio } else { 0.0 };
        self.stretched_ms(work_ms, now).max(overdue_ms)
    }

    /// Duration of a request while the target has its own usual speed.
    fn work_ms(&self, usual_ms: f64, now: Timestamp) -> f64 {
        usual_ms * self.factor.value(now)
    }

    /// Duration of work at the reported slowness.
    fn stretched_ms(&self, work_ms: f64, now: Timestamp) -> f64 {
        self.slowness.map_or(work_ms, |slowness| slowness.stretch(work_ms, now))
    }

    /// Highest ratio between the age and the expected duration of a running request.
    fn overdue_ratio(&self, now: Timestamp) -> f64 {
        self.permits.iter().map(|permit| permit.overdue_ratio(now)).fold(0.0, f64::max)
    }

    /// Expected time until a slot is free for one more request.
    fn wait_ms(&self, duration_ms: f64, now: Timestamp) -> f64 {
        let ends_needed = (self.running(now) + 1).saturating_sub(self.slots());
        let slot_ms = self.nth_end_ms(ends_needed, duration_ms, now);
        slot_ms.max(millis_between(now, self.full_until))
    }

    /// Expected time until `count` running requests have ended.
    fn nth_end_ms(&self, count: u32, duration_ms: f64, now: Timestamp) -> f64 {
        if count as usize > self.permits.len() {
            // Of requests that others sent only their number is known.
            return duration_ms * f64::from(count) / f64::from(self.slots().max(1));
        }
        let least_ms = duration_ms * LEAST_REMAINING_SHARE;
        let ends = || self.permits.iter().map(|permit| permit.remaining_ms(now).max(least_ms));
        let ended_by = |time: f64| ends().filter(|end| *end <= time).count() as u32;
        let enough = ends().filter(|end| ended_by(*end) >= count);
        enough.min_by(f64::total_cmp).unwrap_or(0.0)
    }

    /// Records a permit.
    pub(crate) fn grant(
        &mut self,
        id: PermitId,
        request: &DispatchRequest,
        usual_ms: f64,
        now: Timestamp,
    ) {
        let estimate = self.estimate(usual_ms, now);
        let work_ms = self.work_ms(usual_ms, now);
        self.last_permit = id;
        self.permits.push(HeldPermit {
            id,
            route: request.route,
            key: request.owner.and(request.key),
            granted_at: now,
            expires_at: request.deadline + PERMIT_GRACE,
            expected_ms: estimate.wait_ms + estimate.duration_ms,
            slowness: self.stretched_ms(work_ms, now) / work_ms,
            in_slot: estimate.room == TargetRoom::Free,
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
        let permit = self.permits.swap_remove(index);
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

    fn learn(
        &mut self,
        permit: &HeldPermit,
        outcome: PermitOutcome,
        durations: &mut RouteDurations,
        now: Timestamp,
    ) {
        let latency_ms = match outcome {
            PermitOutcome::Responded(latency) => millis(latency),
            // The response would have taken longer than the caller stayed.
            PermitOutcome::Abandoned(elapsed) if millis(elapsed) > permit.expected_ms => {
                millis(elapsed)
            }
            PermitOutcome::Abandoned(_)
            | PermitOutcome::Failed
            | PermitOutcome::Shed
            | PermitOutcome::NoResponse
            | PermitOutcome::NotSent => return,
        };
        if !permit.in_slot {
            return;
        }
        let work_ms = latency_ms / permit.slowness;
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
        if outcome == TargetOutcome::Shed {
            let pause_ms = permit.expected_ms * FULL_AFTER_SHED_SHARE;
            self.full_until = now + Duration::from_millis(pause_ms as u64);
        }
    }

    /// Ends the permits whose requests are over for certain.
    pub(crate) fn expire_permits(&mut self, now: Timestamp) {
        self.permits.retain(|permit| now < permit.expires_at);
    }

    /// When the next permit expires.
    pub(crate) fn next_expiry(&self) -> Option<Timestamp> {
        self.permits.iter().map(|permit| permit.expires_at).min()
    }
}
