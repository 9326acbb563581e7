//! A permit in use.

use nickellead_core::Timestamp;

use crate::duration_model::millis_between;
use crate::{PermitId, RouteKey};

/// Least expected remaining time of a running request, as a part of its expected duration or its age.
const LEAST_REMAINING_SHARE: f64 = 0.25;

/// A permit in use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldPermit {
    /// Names it.
    pub(crate) id: PermitId,
    /// Route of the request.
    pub(crate) route: RouteKey,
    /// Key of a request to an owner.
    pub(crate) key: Option<u16>,
    /// When it was granted.
    pub(crate) granted_at: Timestamp,
    /// When the request got a slot; `None` while it waits at the target.
    pub(crate) started_at: Option<Timestamp>,
    /// When the request is over for certain.
    pub(crate) expires_at: Timestamp,
    /// Expected duration in its slot.
    pub(crate) duration_ms: f64,
    /// Reported slowness, averaged over that duration.
    pub(crate) slowness: f64,
    /// Whether a later request has been responded to, so that the target is not the reason if it is slow.
    pub(crate) overtaken: bool,
}

impl HeldPermit {
    /// Expected time until its end; `None` while it waits for a slot.
    pub(crate) fn remaining_ms(&self, now: Timestamp) -> Option<f64> {
        let age_ms = millis_between(self.started_at?, now);
        let least_ms = self.duration_ms.max(age_ms) * LEAST_REMAINING_SHARE;
        Some((self.duration_ms - age_ms).max(least_ms))
    }

    /// Ratio between its age and its expected duration; zero while it waits for a slot, or if the request
    /// itself is the reason that it takes long.
    pub(crate) fn overdue_ratio(&self, now: Timestamp) -> f64 {
        match self.started_at {
            Some(started_at) if !self.overtaken => {
                millis_between(started_at, now) / self.duration_ms
            }
            Some(_) | None => 0.0,
        }
    }

    /// How long it waited for a slot; `None` if it still does.
    pub(crate) fn waited_ms(&self) -> Option<f64> {
        Some(millis_between(self.granted_at, self.started_at?))
    }
}
