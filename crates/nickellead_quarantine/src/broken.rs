//! Requests whose connections to one target broke while the target had them.

use std::time::Duration;

use nickellead_core::Timestamp;

use crate::RequestMark;

/// How long after a connection broke the fall of its target may become known. The entry of a target
/// that fell expires within this time.
pub const FALL_WINDOW: Duration = Duration::from_secs(4);

/// Most requests that are kept for one target; further ones are dropped.
const MAX_BROKEN: usize = 64;

/// What shows that a target fell, after its connections broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FallEvidence {
    /// Nobody listens at its address.
    Refused,
    /// Its entry is gone, or another instance took its place.
    Gone,
}

impl FallEvidence {
    /// The evidence in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Gone => "gone",
        }
    }
}

/// A request whose connection broke before a response came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrokenRequest {
    /// Its mark.
    pub mark: RequestMark,
    /// Its id, for the log.
    pub id: String,
    /// When it was sent.
    pub sent: Timestamp,
    /// When the connection broke.
    pub broke: Timestamp,
    /// Time from its arrival at this VM until it was sent.
    pub waited: Duration,
}

/// The requests of one target that broke and of which it is not known whether the target fell.
#[derive(Clone, Debug, Default)]
pub struct BrokenRequests(Vec<BrokenRequest>);

impl BrokenRequests {
    /// Adds a request.
    pub fn record(&mut self, request: BrokenRequest) {
        self.forget_old(request.broke);
        if self.0.len() < MAX_BROKEN {
            self.0.push(request);
        }
    }

    /// Removes the requests that broke before the target was sent a request that it answered, and so
    /// did not fall.
    pub fn observe_answer(&mut self, answered_sent: Timestamp) {
        self.0.retain(|request| request.broke >= answered_sent);
    }

    /// Removes all requests: the target was found to listen.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Takes the requests that the target had when it fell, now that the fall is known.
    pub fn take_fallen(&mut self, now: Timestamp) -> Vec<BrokenRequest> {
        self.forget_old(now);
        std::mem::take(&mut self.0)
    }

    /// Whether there are none.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn forget_old(&mut self, now: Timestamp) {
        self.0.retain(|request| now.since(request.broke) < FALL_WINDOW);
    }
}
