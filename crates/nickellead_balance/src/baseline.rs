//! How long a target takes when it is not hurried.

/// Weight of an answer faster than the unhurried time, which so follows the faster answers.
const FASTER_WEIGHT: f64 = 0.2;
/// Weight of an answer slower than the unhurried time.
const SLOWER_WEIGHT: f64 = 0.05;

/// Time of an answer of a target with room, learned from answers that may have waited there.
///
/// It follows the faster ones, for those have waited least. The first answers are simply averaged:
/// an assumed time to start from would hide for dozens of answers how unlike targets are, and on a
/// fleet of hundreds of VMs each of them sees a target only now and then.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BaselineLatency {
    millis: f64,
    samples: u32,
    /// Part of the usual weights that an answer has.
    weight: f64,
}

impl Default for BaselineLatency {
    fn default() -> Self {
        Self::with_weight_factor(1.0)
    }
}

impl BaselineLatency {
    /// A time that gives an answer this part of its usual weight: the answers that all VMs see are
    /// many, and each may be three times as fast or as slow as the mean.
    #[must_use]
    pub fn with_weight_factor(weight: f64) -> Self {
        Self { millis: 0.0, samples: 0, weight }
    }

    /// Takes in an answer that took `millis` milliseconds.
    pub fn record(&mut self, millis: f64) {
        self.samples = self.samples.saturating_add(1);
        let usual = if millis < self.millis { FASTER_WEIGHT } else { SLOWER_WEIGHT };
        let weight = (usual * self.weight).max(1.0 / f64::from(self.samples));
        self.millis += (millis - self.millis) * weight;
    }

    /// The time in milliseconds; 0 before the first answer.
    #[must_use]
    pub fn millis(&self) -> f64 {
        self.millis
    }

    /// Answers taken in so far.
    #[must_use]
    pub fn samples(&self) -> u32 {
        self.samples
    }
}
