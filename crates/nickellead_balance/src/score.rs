//! Statistics of one VM's requests to one target.

use std::time::Duration;

use nickellead_core::Timestamp;

use crate::BaselineLatency;

/// Outcome of an attempt, as far as load balancing is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetOutcome {
    /// A complete response after this latency.
    Responded(Duration),
    /// A response that reports a failure of the target.
    Failed,
    /// The target shed the request before running it.
    Shed,
    /// No connection, a broken connection, or no response in time.
    NoResponse,
    /// The caller disconnected after this time.
    Abandoned(Duration),
}

/// Latency and failures of one target.
#[derive(Clone, Debug)]
pub struct TargetScore {
    /// Number of this VM's requests in flight at the target.
    pub in_flight: u32,
    latency_ms: f64,
    /// Number of recorded latencies.
    latency_samples: u32,
    baseline: BaselineLatency,
    /// Moving average of the failure weights of outcomes, from 0 to 1.
    failure_rate: f64,
    outcomes: u32,
    ejected_until: Timestamp,
    /// Ejections since the failure rate was last low.
    ejections: u32,
}

/// Weight of a new latency in the moving average: about the last five responses count.
const LATENCY_WEIGHT: f64 = 0.2;
/// Weight of a new outcome in the failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.15;
/// Failure weight of a shed request; a failed request has weight 1.0.
const SHED_FAILURE_WEIGHT: f64 = 0.6;
/// Failure rate above which a target is ejected.
const EJECTION_FAILURE_RATE: f64 = 0.4;
/// Failure rate below which earlier ejections no longer extend the next one.
const LOW_FAILURE_RATE: f64 = EJECTION_FAILURE_RATE / 4.0;
/// Failure rate that a target has after its ejection, so that its next outcomes count more than the
/// earlier ones.
const INITIAL_RATE_AFTER_EJECTION: f64 = EJECTION_FAILURE_RATE * 0.8;
/// Minimum number of outcomes before a target can be ejected.
const MIN_OUTCOMES_FOR_EJECTION: u32 = 4;
/// Duration of the first ejection; each further one doubles it.
const BASE_EJECTION_DURATION: Duration = Duration::from_millis(700);
/// Maximum number of doublings of [`BASE_EJECTION_DURATION`].
const MAX_EJECTION_DOUBLINGS: u32 = 2;
/// Increase of the cost factor per unit of failure rate.
const COST_PER_FAILURE_RATE: f64 = 8.0;

impl TargetScore {
    /// Creates the score of a target without statistics, which starts at its service's usual latency.
    #[must_use]
    pub fn new(usual_latency: Duration) -> Self {
        Self {
            in_flight: 0,
            latency_ms: usual_latency.as_secs_f64() * 1_000.0,
            latency_samples: 0,
            baseline: BaselineLatency::default(),
            failure_rate: 0.0,
            outcomes: 0,
            ejected_until: Timestamp::ZERO,
            ejections: 0,
        }
    }

    /// Records the outcome of one attempt.
    pub fn record(&mut self, outcome: TargetOutcome, now: Timestamp) {
        self.outcomes = self.outcomes.saturating_add(1);
        match outcome {
            TargetOutcome::Responded(latency) => {
                self.record_latency(latency);
                self.record_failure_weight(0.0, now);
            }
            TargetOutcome::Abandoned(elapsed) => {
                // The response would have taken longer than the elapsed time.
                if elapsed.as_secs_f64() * 1_000.0 > self.latency_ms {
                    self.record_latency(elapsed);
                }
            }
            TargetOutcome::Shed => self.record_failure_weight(SHED_FAILURE_WEIGHT, now),
            TargetOutcome::Failed | TargetOutcome::NoResponse => {
                self.record_failure_weight(1.0, now);
            }
        }
    }

    fn record_latency(&mut self, latency: Duration) {
        let millis = latency.as_secs_f64() * 1_000.0;
        // The first responses have equal weights: a VM of a large fleet may see only a few.
        self.latency_samples = self.latency_samples.saturating_add(1);
        let weight = LATENCY_WEIGHT.max(1.0 / f64::from(self.latency_samples));
        self.latency_ms += (millis - self.latency_ms) * weight;
        self.baseline.record(millis);
    }

    /// Latency of the target without queueing, in milliseconds; 0 before the first response.
    #[must_use]
    pub fn baseline_ms(&self) -> f64 {
        self.baseline.millis()
    }

    fn record_failure_weight(&mut self, failure_weight: f64, now: Timestamp) {
        self.failure_rate += (failure_weight - self.failure_rate) * FAILURE_RATE_WEIGHT;
        if failure_weight == 0.0 {
            if self.failure_rate < LOW_FAILURE_RATE {
                self.ejections = 0;
            }
        } else if self.failure_rate > EJECTION_FAILURE_RATE
            && self.outcomes >= MIN_OUTCOMES_FOR_EJECTION
        {
            let doublings = self.ejections.min(MAX_EJECTION_DOUBLINGS);
            self.ejected_until = now + BASE_EJECTION_DURATION * (1 << doublings);
            self.ejections += 1;
            self.failure_rate = INITIAL_RATE_AFTER_EJECTION;
        }
    }

    /// Whether the target is temporarily ejected for its failures.
    #[must_use]
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        now < self.ejected_until
    }

    /// Expected cost of one more request: its latency in milliseconds with a penalty for failures.
    #[must_use]
    pub fn cost(&self, slots: u32) -> f64 {
        let queued = f64::from(self.in_flight) / f64::from(slots.max(1));
        self.latency_ms * (1.0 + queued) * self.failure_factor()
    }

    /// Factor by which the target's failures increase its cost; 1 without failures.
    #[must_use]
    pub fn failure_factor(&self) -> f64 {
        1.0 + COST_PER_FAILURE_RATE * self.failure_rate
    }
}
