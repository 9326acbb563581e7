//! Limit on one VM's requests in flight at a target, adapted to the target's response latency.

use std::time::Duration;

use nickellead_core::Timestamp;

/// Lower bound of the limit: one request may always be sent.
const MIN_LIMIT: f64 = 1.0;
/// Factor applied to the limit after a refusal.
const REFUSAL_DECAY: f64 = 0.7;
/// Factor applied to the limit when the average latency exceeds its bound.
const SLOW_DECAY: f64 = 0.8;
/// Increase of the limit per full window of responses.
const GROWTH_PER_WINDOW: f64 = 0.35;
/// Increase of the limit per response until the target is first found full: the limit doubles within the
/// time of one response.
const START_GROWTH_PER_RESPONSE: f64 = 0.5;
/// Weight of a new response in the moving average of latencies: about the last five count.
const LATENCY_WEIGHT: f64 = 0.2;
/// Fraction of the latency target that the average latency may reach.
///
/// The remainder covers network transit, queueing on the VM, and responses slower than the average,
/// which take up to twice as long.
const MAX_LATENCY_FRACTION: f64 = 0.6;
/// Average latency relative to the baseline that is accepted whatever the latency target is, so that
/// a target that is slow without queueing does not count as full.
pub(crate) const MAX_LATENCY_PER_BASELINE: f64 = 2.2;

/// An adaptive limit on the number of requests in flight at one target.
///
/// An overloaded target may refuse nothing: it can queue requests until they are late, or never
/// respond. The limit therefore also decreases when the average latency comes close to the latency
/// target, before requests are lost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdaptiveLimit {
    limit: f64,
    max: f64,
    /// Average latency as a fraction of the latency target; 0 before the first response.
    latency_fraction: f64,
    /// Whether the target was ever found full.
    was_full: bool,
    /// Slow responses before this time do not decrease the limit again: their requests were sent
    /// before the last decrease.
    no_decrease_until: Timestamp,
}

impl AdaptiveLimit {
    /// Creates a limit that starts at `start` requests and never exceeds `max`.
    #[must_use]
    pub fn new(start: u32, max: u32) -> Self {
        let max = f64::from(max.max(1));
        let limit = f64::from(start.max(1)).min(max);
        Self {
            limit,
            max,
            latency_fraction: 0.0,
            was_full: false,
            no_decrease_until: Timestamp::ZERO,
        }
    }

    /// Expected wait behind `waiting` other requests if each response takes `latency`.
    #[must_use]
    pub fn expected_wait(&self, waiting: usize, latency: Duration) -> Duration {
        latency.mul_f64((waiting as f64 + 1.0) / self.limit)
    }

    /// Average latency of requests with this latency target.
    #[must_use]
    pub fn mean_latency(&self, latency_target: Duration) -> Duration {
        latency_target.mul_f64(self.latency_fraction)
    }

    /// Whether one more request may be sent while `in_flight` are in flight.
    #[must_use]
    pub fn has_capacity(&self, in_flight: u32) -> bool {
        f64::from(in_flight) + 1.0 <= self.limit + 1e-9
    }

    /// Records a response.
    ///
    /// `in_flight` includes the request that was answered. `baseline` is the latency of the target
    /// without queueing.
    pub fn record_response(
        &mut self,
        in_flight: u32,
        latency: Duration,
        baseline: Duration,
        latency_target: Duration,
        now: Timestamp,
    ) {
        let target_s = latency_target.as_secs_f64().max(f64::EPSILON);
        let fraction = latency.as_secs_f64() / target_s;
        let max_fraction =
            MAX_LATENCY_FRACTION.max(MAX_LATENCY_PER_BASELINE * baseline.as_secs_f64() / target_s);
        let weight = if self.latency_fraction == 0.0 { 1.0 } else { LATENCY_WEIGHT };
        self.latency_fraction += (fraction - self.latency_fraction) * weight;
        if self.latency_fraction > max_fraction {
            self.record_slow(latency, now);
        } else if !self.has_capacity(in_flight) {
            let growth = if self.was_full {
                GROWTH_PER_WINDOW / self.limit
            } else {
                START_GROWTH_PER_RESPONSE
            };
            self.limit = (self.limit + growth).min(self.max);
        }
    }

    /// Records that a request got no response within the latency target.
    pub fn record_overdue(&mut self, latency_target: Duration, now: Timestamp) {
        self.latency_fraction = self.latency_fraction.max(1.0);
        self.record_slow(latency_target, now);
    }

    fn record_slow(&mut self, latency: Duration, now: Timestamp) {
        self.was_full = true;
        if now >= self.no_decrease_until {
            self.limit = (self.limit * SLOW_DECAY).max(MIN_LIMIT);
            self.no_decrease_until = now + latency;
        }
    }

    /// Records that the target refused a request or reset its connection.
    pub fn record_refusal(&mut self) {
        self.was_full = true;
        self.limit = (self.limit * REFUSAL_DECAY).max(MIN_LIMIT);
    }
}
