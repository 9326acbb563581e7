//! Retry budget and backoff.

use std::time::Duration;

/// Token bucket that first attempts fill and retries drain.
///
/// Each first attempt adds a tenth of a token and each retry takes a whole one, so that retries add at
/// most a tenth to the load however many targets fail.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tenths: u32,
    max_tenths: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(100)
    }
}

impl RetryBudget {
    const TENTHS_PER_RETRY: u32 = 10;

    /// Creates a full bucket for `tokens` retries.
    #[must_use]
    pub const fn new(tokens: u32) -> Self {
        let max_tenths = tokens * Self::TENTHS_PER_RETRY;
        Self { tenths: max_tenths, max_tenths }
    }

    /// Records the first attempt of a request.
    pub fn record_request(&mut self) {
        self.tenths = (self.tenths + 1).min(self.max_tenths);
    }

    /// Takes a token for a retry. Returns whether one was available.
    pub fn try_take(&mut self) -> bool {
        let Some(remaining) = self.tenths.checked_sub(Self::TENTHS_PER_RETRY) else {
            return false;
        };
        self.tenths = remaining;
        true
    }
}

/// Delay before attempt number `attempt`, counted from 1: exponential with full jitter.
#[must_use]
pub fn backoff(attempt: u32, rng: &mut fastrand::Rng) -> Duration {
    const BASE_MS: u64 = 4;
    const MAX_MS: u64 = 64;
    let ceiling = (BASE_MS << attempt.min(8)).min(MAX_MS);
    Duration::from_millis(rng.u64(1..=ceiling))
}
