//! Latency of a target without queueing.

/// Weight of a response faster than the baseline, which therefore follows the faster responses.
const FASTER_WEIGHT: f64 = 0.2;
/// Weight of a response slower than the baseline.
const SLOWER_WEIGHT: f64 = 0.05;

/// Estimated latency of a target without queueing, learned from responses that may have queued.
///
/// The estimate follows the faster responses, which have queued least. It starts as the plain average
/// of the first responses: with an assumed start value a VM of a large fleet, which rarely sends to a
/// given target, would take too long to learn how targets differ.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BaselineLatency {
    millis: f64,
    samples: u32,
    /// Factor applied to [`FASTER_WEIGHT`] and [`SLOWER_WEIGHT`].
    weight_factor: f64,
}

impl Default for BaselineLatency {
    fn default() -> Self {
        Self::with_weight_factor(1.0)
    }
}

impl BaselineLatency {
    /// Creates an estimate that scales the weight of each response.
    ///
    /// A low factor suits the responses of a whole fleet, which are many and vary widely: each may be three
    /// times as fast or as slow as the mean.
    #[must_use]
    pub fn with_weight_factor(weight_factor: f64) -> Self {
        Self { millis: 0.0, samples: 0, weight_factor }
    }

    /// Records the latency of a response in milliseconds.
    pub fn record(&mut self, millis: f64) {
        self.samples = self.samples.saturating_add(1);
        let base_weight = if millis < self.millis { FASTER_WEIGHT } else { SLOWER_WEIGHT };
        let weight = (base_weight * self.weight_factor).max(1.0 / f64::from(self.samples));
        self.millis += (millis - self.millis) * weight;
    }

    /// Estimate in milliseconds; 0 before the first response.
    #[must_use]
    pub fn millis(&self) -> f64 {
        self.millis
    }

    /// Number of recorded responses.
    #[must_use]
    pub fn samples(&self) -> u32 {
        self.samples
    }
}
