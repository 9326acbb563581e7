//! The times that sessions and mandates live by.

use std::time::Duration;

use nickellead_core::{DriftBound, Timestamp};

use nickellead_core::enforced;

/// Lengths of time, with the relations between them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimes {
    /// Between two heartbeats to a target.
    pub heartbeat: Duration,
    /// How long a target may serve after it issued the nonce that came back.
    pub lease: Duration,
    /// Added to every bound on another process's lease.
    pub margin: Duration,
    /// How long an answer of a target is waited for.
    pub order_timeout: Duration,
    /// Between two renewals of the mandate.
    pub renewal: Duration,
    /// How long the mandate's version must stand still before a standby takes it.
    pub standstill: Duration,
    /// How long without an answer of the platform before a coordinator is detached.
    pub detach_after: Duration,
    /// Bound on the difference of clock rates.
    pub drift: DriftBound,
}

impl Default for LeaseTimes {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(400),
            lease: Duration::from_millis(2_400),
            margin: Duration::from_millis(100),
            order_timeout: Duration::from_millis(350),
            renewal: Duration::from_millis(500),
            standstill: Duration::from_millis(1_000),
            detach_after: Duration::from_millis(1_500),
            drift: DriftBound::default(),
        }
    }
}

impl LeaseTimes {
    /// The safe upper bound of a lease that began no later than `from`, on this clock.
    #[must_use]
    pub fn bound(&self, from: Timestamp) -> Timestamp {
        if enforced!("drift_margin") {
            from + self.drift.stretch(self.lease) + self.margin
        } else {
            from + self.lease
        }
    }

    /// Checks the relations between the times.
    ///
    /// # Errors
    /// Returns the name of the field that does not fit and the reason.
    pub fn check(&self) -> Result<(), (&'static str, String)> {
        if self.heartbeat.is_zero() {
            return Err(("heartbeat_ms", "must be at least 1".to_owned()));
        }
        if self.lease < self.heartbeat * 4 {
            return Err(("lease_ms", "must be at least 4 heartbeats: two may be lost".to_owned()));
        }
        if self.order_timeout > self.heartbeat {
            return Err(("order_timeout_ms", "must not exceed heartbeat_ms".to_owned()));
        }
        if self.standstill < self.renewal * 2 {
            return Err(("standstill_ms", "must be at least 2 renewals".to_owned()));
        }
        if self.lease < self.standstill + self.heartbeat * 3 {
            let reason = "must be at least standstill_ms and 3 heartbeats, \
                          so that a new coordinator comes before sessions lapse";
            return Err(("lease_ms", reason.to_owned()));
        }
        if self.detach_after < self.renewal * 2 {
            return Err(("detach_after_ms", "must be at least 2 renewals".to_owned()));
        }
        Ok(())
    }
}
