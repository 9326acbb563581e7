//! How much retries may add, and how long to wait between them.

use std::time::Duration;

/// A bucket that requests fill and retries drain.
///
/// Each request adds a tenth of a token, each retry takes a whole one, so that
/// retries add at capacity a tenth to the load however many targets fail.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tenths: u32,
    capacity: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(100)
    }
}

impl RetryBudget {
    /// Tenths of a token that a retry costs.
    const COST: u32 = 10;

    /// A full bucket that holds `tokens` retries.
    #[must_use]
    pub const fn new(tokens: u32) -> Self {
        let capacity = tokens * Self::COST;
        Self { tenths: capacity, capacity }
    }

    /// Notes a first try.
    pub fn record_request(&mut self) {
        self.tenths = (self.tenths + 1).min(self.capacity);
    }

    /// Takes a token for a retry, if there is one.
    pub fn try_take(&mut self) -> bool {
        let Some(rest) = self.tenths.checked_sub(Self::COST) else {
            return false;
        };
        self.tenths = rest;
        true
    }
}

/// How long to wait before try number `attempt` (from 1): doubling, with full jitter.
#[must_use]
pub fn backoff(attempt: u32, rng: &mut fastrand::Rng) -> Duration {
    const FIRST_MS: u64 = 4;
    const MOST_MS: u64 = 64;
    let ceiling = (FIRST_MS << attempt.min(8)).min(MOST_MS);
    Duration::from_millis(rng.u64(1..=ceiling))
}
