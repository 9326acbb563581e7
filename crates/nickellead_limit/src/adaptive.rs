//! One VM's share of a target, found by how long its answers take.

use std::time::Duration;

use nickellead_core::Timestamp;

/// Least limit: one request may always be tried.
const LEAST: f64 = 1.0;
/// What is left of the limit after a refusal.
const REFUSAL_SHRINK: f64 = 0.7;
/// What is left of the limit when answers get too slow.
const SLOW_SHRINK: f64 = 0.8;
/// Growth for a whole limit's worth of answers.
const GROWTH: f64 = 0.35;
/// Growth for one answer before the target was first seen full: the limit doubles in one answer's time.
const START_GROWTH: f64 = 0.5;
/// Weight of a new answer in the moving average of answer times: about the last five count.
const TIME_WEIGHT: f64 = 0.2;
/// Answers may take this part of the latency target on average.
///
/// The rest is for the ways, for a wait on the VM, and for answers slower than the average, which
/// take up to twice as long.
const TIME_PART: f64 = 0.6;
/// Answers may take this many times as long as unhurried ones, whatever the latency target: a slow
/// target is not a full one.
pub(crate) const MAX_LATENCY_PER_BASELINE: f64 = 2.2;

/// A limit on requests under way that follows what the target takes.
///
/// A full target may say nothing at all: it queues requests until they are late, or swallows them.
/// So the limit shrinks as soon as answers take a good part of the latency target, and not only
/// when requests are lost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdaptiveLimit {
    limit: f64,
    most: f64,
    /// Average answer time as a part of the latency target; 0 before the first answer.
    time: f64,
    /// Whether the target was seen full.
    met: bool,
    /// The limit shrinks for slow answers no more before this: those under way were sent before.
    settled: Timestamp,
}

impl AdaptiveLimit {
    /// Starts at `start` requests and never allows more than `most`.
    #[must_use]
    pub fn new(start: u32, most: u32) -> Self {
        let most = f64::from(most.max(1));
        let limit = f64::from(start.max(1)).min(most);
        Self { limit, most, time: 0.0, met: false, settled: Timestamp::ZERO }
    }

    /// How long a request waits for its turn behind `waiting` others, if answers take `length`.
    #[must_use]
    pub fn expected_wait(&self, waiting: usize, length: Duration) -> Duration {
        length.mul_f64((waiting as f64 + 1.0) / self.limit)
    }

    /// Average time of an answer, for requests with this latency target.
    #[must_use]
    pub fn mean_latency(&self, goal: Duration) -> Duration {
        goal.mul_f64(self.time)
    }

    /// Whether one more request may be sent while `running` are under way.
    #[must_use]
    pub fn has_capacity(&self, running: u32) -> bool {
        f64::from(running) + 1.0 <= self.limit + 1e-9
    }

    /// The target answered after `length` while `running` requests, this one included, were under
    /// way; `unhurried` is what its answers take when it has room, `goal` the latency target.
    pub fn record_response(
        &mut self,
        running: u32,
        length: Duration,
        unhurried: Duration,
        goal: Duration,
        now: Timestamp,
    ) {
        let goal = goal.as_secs_f64().max(f64::EPSILON);
        let part = length.as_secs_f64() / goal;
        let most = TIME_PART.max(MAX_LATENCY_PER_BASELINE * unhurried.as_secs_f64() / goal);
        let weight = if self.time == 0.0 { 1.0 } else { TIME_WEIGHT };
        self.time += (part - self.time) * weight;
        if self.time > most {
            self.record_slow(length, now);
        } else if !self.has_capacity(running) {
            let growth = if self.met { GROWTH / self.limit } else { START_GROWTH };
            self.limit = (self.limit + growth).min(self.most);
        }
    }

    /// A request has been under way for a whole latency target, and no answer has come.
    pub fn record_overdue(&mut self, goal: Duration, now: Timestamp) {
        self.time = self.time.max(1.0);
        self.record_slow(goal, now);
    }

    fn record_slow(&mut self, length: Duration, now: Timestamp) {
        self.met = true;
        if now >= self.settled {
            self.limit = (self.limit * SLOW_SHRINK).max(LEAST);
            self.settled = now + length;
        }
    }

    /// The target refused a request, or reset its connection.
    pub fn record_refusal(&mut self) {
        self.met = true;
        self.limit = (self.limit * REFUSAL_SHRINK).max(LEAST);
    }
}
