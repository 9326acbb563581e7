//! Expected durations of requests, learned from responses.
//!
//! The expected duration of a request is the usual duration of its route, times the learned factor of
//! the target, times how slow the target is now. All durations are in milliseconds.

use std::collections::HashMap;
use std::time::Duration;

use nickellead_core::Timestamp;

use crate::{DispatchRequest, ReportedLoad, RouteKey};

/// Most routes of which durations are learned.
const MAX_ROUTES: usize = 4_096;
/// Least weight of a new sample in the usual duration of a route.
const ROUTE_WEIGHT: f64 = 0.02;
/// Least weight of a new sample in the factor of a target, which sees a part of the requests only.
const FACTOR_WEIGHT: f64 = 0.05;
/// Bounds of a target's factor.
const FACTOR_BOUNDS: (f64, f64) = (0.2, 10.0);
/// Time constant with which a factor returns to 1 without samples: a target that once was slow is
/// avoided, and would otherwise never show that it has recovered.
const FACTOR_PERSISTENCE_MS: f64 = 10_000.0;
/// Expected duration on a route without samples, as a part of the time until the response is due.
const ASSUMED_SHARE_OF_TIME: f64 = 0.3;
/// Least expected duration.
const MIN_DURATION_MS: f64 = 1.0;
/// How long a reported slowness lasts on average: targets change speed several times a second.
const SLOWNESS_PERSISTENCE_MS: f64 = 200.0;
/// Age at which a reported slowness is ignored.
const MAX_SLOWNESS_AGE_MS: f64 = 1_000.0;
/// Bounds of a reported slowness.
const SLOWNESS_BOUNDS: (f64, f64) = (0.1, 20.0);

/// Length of a duration in milliseconds.
pub(crate) fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

/// Milliseconds from `earlier` to `later`; zero if `later` is before it.
pub(crate) fn millis_between(earlier: Timestamp, later: Timestamp) -> f64 {
    millis(later.since(earlier))
}

/// Moving average in which the first samples have equal weights.
#[derive(Clone, Copy, Debug, Default)]
struct MovingAverage {
    value: f64,
    samples: u32,
}

impl MovingAverage {
    fn record(&mut self, sample: f64, least_weight: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = least_weight.max(1.0 / f64::from(self.samples));
        self.value += (sample - self.value) * weight;
    }
}

/// Usual durations of routes, at a target of factor 1 that is not slow.
#[derive(Debug, Default)]
pub(crate) struct RouteDurations {
    averages: HashMap<RouteKey, MovingAverage>,
}

impl RouteDurations {
    /// The learned duration of a route.
    pub(crate) fn learned_ms(&self, route: RouteKey) -> Option<f64> {
        self.averages.get(&route).map(|average| average.value.max(MIN_DURATION_MS))
    }

    /// The learned or assumed duration of a request.
    pub(crate) fn expected_ms(&self, request: &DispatchRequest, now: Timestamp) -> f64 {
        let assumed_ms = ASSUMED_SHARE_OF_TIME * millis_between(now, request.due);
        self.learned_ms(request.route).unwrap_or(assumed_ms.max(MIN_DURATION_MS))
    }

    /// Records a duration, already divided by the factor and the slowness of the target.
    pub(crate) fn record(&mut self, route: RouteKey, duration_ms: f64) {
        if self.averages.len() < MAX_ROUTES || self.averages.contains_key(&route) {
            self.averages.entry(route).or_default().record(duration_ms, ROUTE_WEIGHT);
        }
    }
}

/// Learned ratio between the durations at one target and the usual ones.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TargetFactor {
    average: MovingAverage,
    sampled_at: Timestamp,
}

impl TargetFactor {
    /// The factor now.
    pub(crate) fn value(&self, now: Timestamp) -> f64 {
        if self.average.samples == 0 {
            return 1.0;
        }
        let age_ms = millis_between(self.sampled_at, now);
        let persistence = (-age_ms / FACTOR_PERSISTENCE_MS).exp();
        1.0 + (self.average.value - 1.0) * persistence
    }

    /// Records the ratio between a duration and the usual one.
    pub(crate) fn record(&mut self, ratio: f64, now: Timestamp) {
        self.average.value = self.value(now);
        self.average.record(ratio.clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1), FACTOR_WEIGHT);
        self.sampled_at = now;
    }
}

/// Slowness that a target reported.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportedSlowness {
    slowness: f64,
    at: Timestamp,
}

impl ReportedSlowness {
    /// The slowness of a report; none if it is not a positive number.
    pub(crate) fn new(load: &ReportedLoad, at: Timestamp) -> Option<Self> {
        let is_valid = load.slowness.is_finite() && load.slowness > 0.0;
        let slowness = load.slowness.clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1);
        is_valid.then_some(Self { slowness, at })
    }

    /// What it means for requests that start now.
    pub(crate) fn outlook(&self, now: Timestamp) -> SlownessOutlook {
        let age_ms = millis_between(self.at, now);
        if age_ms > MAX_SLOWNESS_AGE_MS {
            return SlownessOutlook::NONE;
        }
        let probability = (-age_ms / SLOWNESS_PERSISTENCE_MS).exp();
        SlownessOutlook { slowness: self.slowness, probability }
    }
}

/// Slowness that a target probably has.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlownessOutlook {
    slowness: f64,
    /// Probability that it has not ended yet.
    probability: f64,
}

impl SlownessOutlook {
    /// Usual speed.
    pub(crate) const NONE: Self = Self { slowness: 1.0, probability: 0.0 };

    /// Expected duration of work that takes `work_ms` at usual speed.
    ///
    /// If the target is slow, it remains so for a while, and the rest of the work proceeds at usual speed.
    pub(crate) fn expected_ms(&self, work_ms: f64) -> f64 {
        let slow_work_ms = SLOWNESS_PERSISTENCE_MS / self.slowness;
        let slow_ms = if work_ms <= slow_work_ms {
            work_ms * self.slowness
        } else {
            SLOWNESS_PERSISTENCE_MS + work_ms - slow_work_ms
        };
        work_ms + (slow_ms - work_ms) * self.probability
    }
}
