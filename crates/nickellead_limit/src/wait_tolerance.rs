//! How long a caller has been trying already, told from how long it still waits.
//!
//! A caller that comes back has less time left than one that comes for the first
//! time. An answer is worth what its time since the *first* try makes it, so a
//! request that is late already must not take the place of one that is not.

use std::cell::Cell;
use std::time::Duration;

/// Part of the difference by which the longest wait follows shorter ones: after a few hundred
/// requests the word of one caller that waits longer than all others is forgotten.
const FOLLOW_PART: f64 = 0.01;

/// The longest time that callers of one route wait, as their requests say.
///
/// Callers that wait for unlike times look older than they are by the difference; it only decides who
/// is refused first where there is no room.
#[derive(Debug, Default)]
pub struct WaitTolerance {
    longest: Cell<Duration>,
}

impl WaitTolerance {
    /// Takes in how long a caller still waits; gives how long it has been trying, as far as that
    /// shows.
    pub fn observe_remaining(&self, left: Duration) -> Duration {
        let longest = self.longest.get();
        let age = longest.saturating_sub(left);
        let known = if left > longest { left } else { longest - age.mul_f64(FOLLOW_PART) };
        self.longest.set(known);
        age
    }
}
