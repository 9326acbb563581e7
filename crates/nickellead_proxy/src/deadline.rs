//! Deadlines of requests.

use std::time::{Duration, Instant};

use actix_http::Request;

use crate::arrival::arrival_of;

/// Deadline of a request on the monotonic clock of this machine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Deadline(Instant);

impl Deadline {
    /// Returns the deadline of a request that may take this long from its arrival.
    pub(crate) fn of(request: &Request, duration: Duration) -> Self {
        Self(arrival_of(request) + duration)
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
