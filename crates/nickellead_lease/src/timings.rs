//! Durations of sessions and of the mandate (leader lease).

use std::time::Duration;

use nickellead_core::{DriftBound, Timestamp};

use nickellead_core::enforced;

/// Intervals and timeouts of leases; [`validate`](Self::validate) checks their relations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimings {
    /// Interval between heartbeats to a target.
    pub heartbeat_interval: Duration,
    /// How long a target may serve, counted from when it issued the echoed nonce.
    pub lease_duration: Duration,
    /// Safety margin added to every upper bound of another process's lease.
    pub lease_margin: Duration,
    /// How long a coordinator waits for the reply to an order.
    pub order_timeout: Duration,
    /// Interval between renewals of the mandate.
    pub renewal_interval: Duration,
    /// How long the mandate must go without renewal before another VM may acquire it.
    pub mandate_timeout: Duration,
    /// How long renewals must fail before a coordinator detaches from the platform.
    pub detach_timeout: Duration,
    /// Upper bound of the difference between clock rates.
    pub drift_bound: DriftBound,
}

impl Default for LeaseTimings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(400),
            lease_duration: Duration::from_millis(2_400),
            lease_margin: Duration::from_millis(100),
            order_timeout: Duration::from_millis(350),
            renewal_interval: Duration::from_millis(500),
            mandate_timeout: Duration::from_millis(1_000),
            detach_timeout: Duration::from_millis(1_500),
            drift_bound: DriftBound::default(),
        }
    }
}

impl LeaseTimings {
    /// Returns the upper bound, on the local clock, of a lease that began no later than `from`.
    #[must_use]
    pub fn lease_upper_bound(&self, from: Timestamp) -> Timestamp {
        if enforced!("drift_margin") {
            from + self.drift_bound.stretch(self.lease_duration) + self.lease_margin
        } else {
            from + self.lease_duration
        }
    }

    /// Checks the relations between the durations.
    ///
    /// # Errors
    /// Returns the name of the invalid setting and the reason.
    pub fn validate(&self) -> Result<(), (&'static str, String)> {
        if self.heartbeat_interval.is_zero() {
            return Err(("heartbeat_ms", "must be at least 1".to_owned()));
        }
        if self.lease_duration < self.heartbeat_interval * 4 {
            return Err((
                "lease_ms",
                "must be at least 4 heartbeats, so that two may be lost".to_owned(),
            ));
        }
        if self.order_timeout > self.heartbeat_interval {
            return Err(("order_timeout_ms", "must not exceed heartbeat_ms".to_owned()));
        }
        if self.mandate_timeout < self.renewal_interval * 2 {
            return Err(("standstill_ms", "must be at least 2 renewals".to_owned()));
        }
        if self.lease_duration < self.mandate_timeout + self.heartbeat_interval * 3 {
            let reason = "must be at least standstill_ms plus 3 heartbeats, \
                          so that a new coordinator takes over before sessions expire";
            return Err(("lease_ms", reason.to_owned()));
        }
        if self.detach_timeout < self.renewal_interval * 2 {
            return Err(("detach_after_ms", "must be at least 2 renewals".to_owned()));
        }
        Ok(())
    }
}
