//! Estimates how long a caller has been retrying from its remaining deadline.
//!
//! A retrying caller has less time left than a caller on its first attempt. The value of a response
//! depends on the time since the *first* attempt, so a request that is already late must not
//! displace one that is not.

use std::cell::Cell;
use std::time::Duration;

/// Fraction of the difference by which the longest known wait decays towards a shorter one.
///
/// The effect of a single caller with an unusually long deadline fades within a few hundred requests.
const DECAY_FRACTION: f64 = 0.01;

/// Longest time that callers of one route wait, learned from the deadlines of their requests.
///
/// If callers of one route use different deadlines, the estimated age is too high by the difference.
/// The estimate only decides which requests are refused first when there is no capacity.
#[derive(Debug, Default)]
pub struct WaitTolerance {
    longest: Cell<Duration>,
}

impl WaitTolerance {
    /// Records a caller's remaining time and returns the estimated time since its first attempt.
    pub fn observe_remaining(&self, remaining: Duration) -> Duration {
        let longest = self.longest.get();
        let age = longest.saturating_sub(remaining);
        let updated =
            if remaining > longest { remaining } else { longest - age.mul_f64(DECAY_FRACTION) };
        self.longest.set(updated);
        age
    }
}
