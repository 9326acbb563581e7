//! Until when a request is worth working on.

use std::time::{Duration, Instant};

/// A request's deadline on this machine's clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Deadline(Instant);

impl Deadline {
    pub(crate) fn after(length: Duration) -> Self {
        Self(Instant::now() + length)
    }

    /// The earlier of this deadline and one after `length`.
    pub(crate) fn or_after(self, length: Duration) -> Self {
        Self(self.0.min(Instant::now() + length))
    }

    pub(crate) fn left(self) -> Duration {
        self.0.saturating_duration_since(Instant::now())
    }

    pub(crate) fn is_over(self) -> bool {
        self.left().is_zero()
    }
}
