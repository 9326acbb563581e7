//! Deadlines of requests.

use std::time::{Duration, Instant};

/// Deadline of a request on the monotonic clock of this machine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Deadline(Instant);

impl Deadline {
    pub(crate) fn after(duration: Duration) -> Self {
        Self(Instant::now() + duration)
    }

    /// Returns the earlier of this deadline and the one after `duration`.
    pub(crate) fn or_after(self, duration: Duration) -> Self {
        Self(self.0.min(Instant::now() + duration))
    }

    pub(crate) fn remaining(self) -> Duration {
        self.0.saturating_duration_since(Instant::now())
    }

    pub(crate) fn has_passed(self) -> bool {
        self.remaining().is_zero()
    }
}
