//! Limits the requests that VMs send to a cold target.
//!
//! A target that has just started ("cold") fails under a small multiple of the load that it can
//! serve, and its requests then fall on other targets. The bound applies to all VMs together and
//! must also hold between VMs that cannot reach each other, so each VM derives its quota from
//! fleet membership alone. If other targets can serve the requests, a few VMs warm up the target
//! and the others send nothing. Requests for the keys of an owner can come from every VM, so each
//! VM gets an equal share of the bound.

use std::cell::Cell;

use nickellead_core::Timestamp;

/// Number of VMs that send to a cold target whose requests other targets can serve.
///
/// With two, the target still warms up when one of them stops or is cut off. Each sender starts with
/// a whole request, so more senders would use up a small bound at the start.
pub const COLD_SENDERS: usize = 2;
/// Fraction of [`ColdBounds::max_in_one_second`] available to VMs with the same view of the fleet.
///
/// While a membership change spreads, two views of the fleet coexist, and the senders of both add up.
const SAME_VIEW_FRACTION: f64 = 0.5;

/// Load that a cold target can take from all VMs together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBounds {
    /// Average requests per second.
    pub rate: f64,
    /// Maximum number of requests in any one second.
    pub max_in_one_second: f64,
}

impl ColdBounds {
    /// Requests per second that VMs with the same view of the fleet may send together.
    fn same_view_rate(&self) -> f64 {
        self.rate.min(self.max_in_one_second * SAME_VIEW_FRACTION)
    }
}

/// Whether the VM with this rank is one of the [`COLD_SENDERS`] with the highest ranks for a target.
pub fn is_cold_sender(rank: u64, others: impl Iterator<Item = u64>) -> bool {
    others.filter(|other| *other > rank).take(COLD_SENDERS).count() < COLD_SENDERS
}

/// What one VM may send to a cold target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ColdQuota {
    /// No limit beyond that of a warm target.
    Unlimited,
    /// No requests: other VMs warm up the target.
    Zero,
    /// One request at the start, then this many requests per second.
    Sender(f64),
    /// This many requests per second, starting with a fraction of a request.
    EqualShare(f64),
}

impl ColdQuota {
    /// Quota of one of the [`COLD_SENDERS`].
    #[must_use]
    pub fn for_sender(bounds: ColdBounds) -> Self {
        let senders = COLD_SENDERS as f64;
        // Each sender may start with a whole request.
        let max_rate = bounds.max_in_one_second * SAME_VIEW_FRACTION - senders;
        Self::Sender(bounds.rate.min(max_rate).max(0.0) / senders)
    }

    /// Equal share of one of `vms` VMs that send requests for the keys of an owner.
    #[must_use]
    pub fn equal_share(bounds: ColdBounds, vms: usize) -> Self {
        match vms {
            0 => Self::Zero,
            _ => Self::EqualShare(bounds.same_view_rate() / vms as f64),
        }
    }

    /// Requests per second.
    fn rate(self) -> f64 {
        match self {
            Self::Unlimited => f64::INFINITY,
            Self::Zero => 0.0,
            Self::Sender(rate) | Self::EqualShare(rate) => rate,
        }
    }

    /// Tokens in a new bucket.
    fn initial_tokens(self, phase: f64) -> f64 {
        match self {
            Self::Unlimited | Self::Sender(_) => 1.0,
            Self::Zero => 0.0,
            Self::EqualShare(_) => phase,
        }
    }
}

/// Token bucket that limits one VM's requests to a target while the target is cold.
#[derive(Debug)]
pub struct ColdLimiter {
    cold_until: Cell<Timestamp>,
    quota: Cell<ColdQuota>,
    phase: f64,
    tokens: Cell<f64>,
    refilled_at: Cell<Timestamp>,
}

impl ColdLimiter {
    /// Creates the limiter of a target that is cold until `cold_until`.
    ///
    /// `phase`, from 0 to 1, must differ between VMs, so that their buckets do not all reach a whole
    /// token at the same time.
    #[must_use]
    pub fn new(cold_until: Timestamp, phase: f64, now: Timestamp) -> Self {
        Self {
            cold_until: Cell::new(cold_until),
            quota: Cell::new(ColdQuota::Unlimited),
            phase,
            tokens: Cell::new(0.0),
            refilled_at: Cell::new(now),
        }
    }

    /// End of the cold phase.
    #[must_use]
    pub fn cold_until(&self) -> Timestamp {
        self.cold_until.get()
    }

    /// Whether the cold phase has not ended.
    #[must_use]
    pub fn is_cold(&self, now: Timestamp) -> bool {
        now < self.cold_until.get()
    }

    /// Whether the target is cold and this VM's requests to it are limited.
    #[must_use]
    pub fn is_limited(&self, now: Timestamp) -> bool {
        self.is_cold(now) && self.quota.get() != ColdQuota::Unlimited
    }

    /// Whether this VM may send any requests to the target while it is cold.
    #[must_use]
    pub fn has_quota(&self) -> bool {
        self.quota.get() != ColdQuota::Zero
    }

    /// Sets the end of the cold phase. A target that was warm starts with a new bucket.
    pub fn set_cold_until(&self, cold_until: Timestamp, now: Timestamp) {
        if !self.is_cold(now) {
            self.restart(now);
        }
        self.cold_until.set(cold_until);
    }

    /// Sets this VM's quota. A different kind of quota starts with a new bucket.
    pub fn set_quota(&self, quota: ColdQuota, now: Timestamp) {
        let previous = self.quota.replace(quota);
        if std::mem::discriminant(&previous) != std::mem::discriminant(&quota) {
            self.restart(now);
        }
    }

    fn restart(&self, now: Timestamp) {
        self.tokens.set(self.quota.get().initial_tokens(self.phase));
        self.refilled_at.set(now);
    }

    /// Whether one more request may be sent now.
    #[must_use]
    pub fn may_send(&self, now: Timestamp) -> bool {
        if !self.is_limited(now) {
            return true;
        }
        self.refill(now);
        self.tokens.get() >= 1.0
    }

    /// Takes the token of a request that is sent.
    pub fn record_sent(&self, now: Timestamp) {
        if self.is_limited(now) {
            self.tokens.set(self.tokens.get() - 1.0);
        }
    }

    /// Returns the token of a request that was recorded but not sent.
    pub fn refund(&self, now: Timestamp) {
        if self.is_limited(now) {
            self.tokens.set(self.tokens.get() + 1.0);
        }
    }

    fn refill(&self, now: Timestamp) {
        let elapsed_s = now.since(self.refilled_at.replace(now)).as_secs_f64();
        let tokens = self.tokens.get() + elapsed_s * self.quota.get().rate();
        self.tokens.set(tokens.min(1.0));
    }
}
