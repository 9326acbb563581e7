//! What one VM may send a target that is cold: its share of what the target bears from all VMs.
//!
//! A cold target falls over for a few times what it bears, and what it would have served then falls on
//! others. Hundreds of VMs each see a part of the requests, and some may be cut off from all others, so a
//! bound on what all of them send can't rest on what any of them hears: it rests on who they are. For a
//! target that any VM may leave out, a few VMs send and all others send nothing. An owner of keys is asked
//! by every VM, each of which has an equal part of what it bears.

use std::cell::Cell;

use nickellead_core::Timestamp;

/// VMs that send to a cold target which others can stand in for.
///
/// One of them may stop or be cut off, and the target is warmed all the same; each more has a request of
/// its own to begin with, which is what a target that bears six a second bears in a sixth of one.
pub const COLD_SENDERS: usize = 2;
/// Part of what may reach a cold target in a second that VMs of one mind send it: while they learn of a
/// VM that came or went, there are two minds about who sends.
const AGREED_PART: f64 = 0.5;

/// What a target bears from all VMs together while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBounds {
    /// Requests a second, on average.
    pub rate: f64,
    /// Most requests in any one second.
    pub max_in_one_second: f64,
}

impl ColdBounds {
    /// Requests a second that VMs of one mind send.
    fn agreed_rate(&self) -> f64 {
        self.rate.min(self.max_in_one_second * AGREED_PART)
    }
}

/// Whether a VM is one of the [`COLD_SENDERS`] of a target, by its rank there and the ranks of all others.
pub fn is_cold_sender(rank: u64, others: impl Iterator<Item = u64>) -> bool {
    others.filter(|other| *other > rank).take(COLD_SENDERS).count() < COLD_SENDERS
}

/// What a VM may send a cold target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ColdQuota {
    /// As much as a warm one.
    Unlimited,
    /// Zero: other VMs warm it.
    Zero,
    /// One request at once and this many a second.
    Sender(f64),
    /// This many a second, and a part of a request to begin with: every VM may have requests for the keys
    /// that the target owns.
    EqualShare(f64),
}

impl ColdQuota {
    /// The share of one of [`COLD_SENDERS`] VMs.
    #[must_use]
    pub fn for_sender(bound: ColdBounds) -> Self {
        let senders = COLD_SENDERS as f64;
        // Each of them may begin with a whole request.
        let rate = bound.rate.min(bound.max_in_one_second * AGREED_PART - senders).max(0.0);
        Self::Sender(rate / senders)
    }

    /// The share of one of this many VMs that ask an owner for its keys.
    #[must_use]
    pub fn equal_share(bound: ColdBounds, vms: usize) -> Self {
        match vms {
            0 => Self::Zero,
            _ => Self::EqualShare(bound.agreed_rate() / vms as f64),
        }
    }

    /// Requests a second.
    fn rate(self) -> f64 {
        match self {
            Self::Unlimited => f64::INFINITY,
            Self::Zero => 0.0,
            Self::Sender(rate) | Self::EqualShare(rate) => rate,
        }
    }

    /// Requests to begin with.
    fn first(self, phase: f64) -> f64 {
        match self {
            Self::Unlimited | Self::Sender(_) => 1.0,
            Self::Zero => 0.0,
            Self::EqualShare(_) => phase,
        }
    }
}

/// A bucket of requests for one target that refills while the target is cold.
#[derive(Debug)]
pub struct ColdLimiter {
    cold_until: Cell<Timestamp>,
    quota: Cell<ColdQuota>,
    phase: f64,
    tokens: Cell<f64>,
    filled: Cell<Timestamp>,
}

impl ColdLimiter {
    /// The gate of a target that is cold until then.
    ///
    /// `phase` from 0 to 1 differs from VM to VM, so that their parts of a request are not whole all at
    /// the same time.
    #[must_use]
    pub fn new(until: Timestamp, phase: f64, now: Timestamp) -> Self {
        Self {
            cold_until: Cell::new(until),
            quota: Cell::new(ColdQuota::Unlimited),
            phase,
            tokens: Cell::new(0.0),
            filled: Cell::new(now),
        }
    }

    /// Until when the target is cold.
    #[must_use]
    pub fn cold_until(&self) -> Timestamp {
        self.cold_until.get()
    }

    /// Whether the target is cold.
    #[must_use]
    pub fn is_cold(&self, now: Timestamp) -> bool {
        now < self.cold_until.get()
    }

    /// Whether the target is cold, and what it is sent meanwhile is bounded.
    #[must_use]
    pub fn is_limited(&self, now: Timestamp) -> bool {
        self.is_cold(now) && self.quota.get() != ColdQuota::Unlimited
    }

    /// Whether this VM sends to the target at all while it is cold.
    #[must_use]
    pub fn has_quota(&self) -> bool {
        self.quota.get() != ColdQuota::Zero
    }

    /// Notes until when the target is cold; one that was warm begins with a new bucket.
    pub fn set_cold_until(&self, until: Timestamp, now: Timestamp) {
        if !self.is_cold(now) {
            self.restart(now);
        }
        self.cold_until.set(until);
    }

    /// Notes this VM's share; another kind of share begins with a new bucket.
    pub fn set_quota(&self, quota: ColdQuota, now: Timestamp) {
        let known = self.quota.replace(quota);
        if std::mem::discriminant(&known) != std::mem::discriminant(&quota) {
            self.restart(now);
        }
    }

    fn restart(&self, now: Timestamp) {
        self.tokens.set(self.quota.get().first(self.phase));
        self.filled.set(now);
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

    /// Counts a request that is sent.
    pub fn record_sent(&self, now: Timestamp) {
        if self.is_limited(now) {
            self.tokens.set(self.tokens.get() - 1.0);
        }
    }

    /// Gives a request back that was counted and not sent.
    pub fn refund(&self, now: Timestamp) {
        if self.is_limited(now) {
            self.tokens.set(self.tokens.get() + 1.0);
        }
    }

    fn refill(&self, now: Timestamp) {
        let grown = now.since(self.filled.replace(now)).as_secs_f64();
        let tokens = self.tokens.get() + grown * self.quota.get().rate();
        self.tokens.set(tokens.min(1.0));
    }
}
