//! What one VM has learned about one target.

use std::time::Duration;

use nickellead_core::Timestamp;

use crate::BaselineLatency;

/// How a try at a target ended, as far as balancing is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetOutcome {
    /// A whole answer, after this long.
    Responded(Duration),
    /// An answer that reports a failure of the target.
    Failed,
    /// The target shed the request before running it.
    Shed,
    /// No connection, a broken one, or no answer in time.
    NoResponse,
    /// The caller left; this long had passed.
    Abandoned(Duration),
}

/// Learned figures of one target.
#[derive(Clone, Debug)]
pub struct TargetScore {
    /// Requests of this VM under way at the target.
    pub in_flight: u32,
    latency_ms: f64,
    /// Answers that the latency was learned from.
    timed: u32,
    baseline: BaselineLatency,
    trouble: f64,
    answers: u32,
    ejected_until: Timestamp,
    ejections: u32,
}

/// Weight of a new latency in the moving average: about the last five answers count.
const LATENCY_WEIGHT: f64 = 0.2;
/// Weight of a new outcome in the share of troubled requests.
const TROUBLE_WEIGHT: f64 = 0.15;
/// Trouble that a shed request counts as; a failure counts as 1.0.
const SHED_TROUBLE: f64 = 0.6;
/// Share of troubled requests from which a target is left out for a while.
const EJECT_SHARE: f64 = 0.4;
/// Below this share a target's earlier ejections are forgotten.
const CALM_SHARE: f64 = EJECT_SHARE / 4.0;
/// Share that a target returns with: on its return one good answer counts more than the past.
const RETURN_SHARE: f64 = EJECT_SHARE * 0.8;
/// Outcomes needed before a target may be left out.
const EJECT_LEAST: u32 = 4;
/// First time that a target is left out; doubles with each further time.
const EJECT_FIRST: Duration = Duration::from_millis(700);
/// Most doublings of [`EJECT_FIRST`].
const EJECT_DOUBLINGS: u32 = 2;
/// How much a fully troubled target seems slower than it is.
const TROUBLE_PENALTY: f64 = 8.0;

impl TargetScore {
    /// A target of which nothing is known but what its service usually takes.
    #[must_use]
    pub fn new(usual: Duration) -> Self {
        Self {
            in_flight: 0,
            latency_ms: usual.as_secs_f64() * 1_000.0,
            timed: 0,
            baseline: BaselineLatency::default(),
            trouble: 0.0,
            answers: 0,
            ejected_until: Timestamp::ZERO,
            ejections: 0,
        }
    }

    /// Takes in the outcome of one try.
    pub fn record(&mut self, outcome: TargetOutcome, now: Timestamp) {
        self.answers = self.answers.saturating_add(1);
        match outcome {
            TargetOutcome::Responded(length) => {
                self.record_latency(length);
                self.record_trouble(0.0, now);
            }
            TargetOutcome::Abandoned(length) => {
                // The answer would have taken longer than this.
                if length.as_secs_f64() * 1_000.0 > self.latency_ms {
                    self.record_latency(length);
                }
            }
            TargetOutcome::Shed => self.record_trouble(SHED_TROUBLE, now),
            TargetOutcome::Failed | TargetOutcome::NoResponse => self.record_trouble(1.0, now),
        }
    }

    fn record_latency(&mut self, length: Duration) {
        let millis = length.as_secs_f64() * 1_000.0;
        // The first answers are simply averaged: a VM of a large fleet may see no more than these.
        self.timed = self.timed.saturating_add(1);
        let weight = LATENCY_WEIGHT.max(1.0 / f64::from(self.timed));
        self.latency_ms += (millis - self.latency_ms) * weight;
        self.baseline.record(millis);
    }

    /// Time of an answer when the target is not hurried, in milliseconds; 0 before the first one.
    #[must_use]
    pub fn baseline_ms(&self) -> f64 {
        self.baseline.millis()
    }

    fn record_trouble(&mut self, trouble: f64, now: Timestamp) {
        self.trouble += (trouble - self.trouble) * TROUBLE_WEIGHT;
        if trouble == 0.0 {
            if self.trouble < CALM_SHARE {
                self.ejections = 0;
            }
        } else if self.trouble > EJECT_SHARE && self.answers >= EJECT_LEAST {
            self.ejected_until = now + EJECT_FIRST * (1 << self.ejections.min(EJECT_DOUBLINGS));
            self.ejections += 1;
            self.trouble = RETURN_SHARE;
        }
    }

    /// Whether the target is left out for now.
    #[must_use]
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        now < self.ejected_until
    }

    /// Expected cost of one more request, in milliseconds.
    #[must_use]
    pub fn cost(&self, slots: u32) -> f64 {
        let queued = f64::from(self.in_flight) / f64::from(slots.max(1));
        self.latency_ms * (1.0 + queued) * (1.0 + TROUBLE_PENALTY * self.trouble)
    }
}
