//! Quota of a workspace that all VMs together must keep.
//!
//! One VM, the holder of the mandate (leader lease), grants tokens from a bucket, and a VM sends a
//! request only with a token. Tokens expire, so that what all VMs send within any window is bounded
//! by the bucket, whatever happens to messages and VMs. A new holder starts with an almost empty
//! bucket, because its predecessor may have spent the burst.

use std::time::Duration;

use nickellead_core::Timestamp;

/// Share of the permitted excess that the validity of tokens may use. As much again is used when
/// tokens are given back, and the rest covers takeovers and the time between the check of a token
/// and the arrival of its request.
const VALIDITY_FRACTION: f64 = 0.4;
/// Shortest validity of tokens, for which a VM can still use them.
const MIN_VALIDITY: Duration = Duration::from_millis(100);
/// Longest validity of tokens, for workspaces with a small rate.
const MAX_VALIDITY: Duration = Duration::from_secs(3);
/// Time for which the tokens of a workspace without a burst are kept.
const MIN_BURST_TIME: Duration = Duration::from_millis(50);
/// Tokens of a new bucket.
const INITIAL_TOKENS: f64 = 1.0;
/// Upper bound of the time after which a refused caller should return.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// How the requests of a workspace are counted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTolerance {
    /// Length of the sliding window.
    pub window: Duration,
    /// Permitted excess within a window, as a fraction of the quota.
    pub overage: f64,
    /// Permitted excess within a window, in requests.
    pub slack: f64,
}

/// Limit for the requests of a workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimit {
    /// Requests per second.
    pub rate: f64,
    /// Requests at once in addition.
    pub burst: f64,
}

impl QuotaLimit {
    /// How long a token may be used after it was granted, so that expired grants and new ones
    /// together stay within the tolerance.
    #[must_use]
    pub fn token_validity(self, tolerance: QuotaTolerance) -> Duration {
        let quota = self.rate * tolerance.window.as_secs_f64() + self.burst;
        let excess = quota * tolerance.overage + tolerance.slack;
        let validity = (excess / self.rate * VALIDITY_FRACTION).min(MAX_VALIDITY.as_secs_f64());
        Duration::from_secs_f64(validity.max(0.0)).max(MIN_VALIDITY)
    }

    /// Most tokens that a bucket holds: at least what comes between two requests for tokens, or the
    /// rate could not be used.
    fn capacity(self) -> f64 {
        self.burst.max(self.rate * MIN_BURST_TIME.as_secs_f64()).max(1.0)
    }
}

/// Answer to a request for tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenGrant {
    /// Number of granted tokens.
    pub granted: u32,
    /// When refused callers should return; zero if all tokens were granted.
    pub retry_after: Duration,
}

/// Tokens that a VM needs, and those that it no longer does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenDemand {
    /// Tokens for requests that wait.
    pub wanted: u32,
    /// Tokens of earlier grants that are still valid and with which no request was run.
    pub unused: u32,
}

impl TokenDemand {
    /// Adds another demand.
    pub fn add(&mut self, other: Self) {
        self.wanted = self.wanted.saturating_add(other.wanted);
        self.unused = self.unused.saturating_add(other.unused);
    }
}

/// Bucket of one workspace's tokens on the VM that grants them.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    limit: QuotaLimit,
    tokens: f64,
    /// Requests that were refused and are expected to return, one for each token to come.
    returning: f64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    /// Creates a bucket that was almost empty at `since`, when this VM became the one that grants
    /// tokens.
    #[must_use]
    pub fn new(limit: QuotaLimit, since: Timestamp) -> Self {
        Self { limit, tokens: INITIAL_TOKENS, returning: 0.0, refilled_at: since }
    }

    /// Changes the limit, from now on.
    pub fn set_limit(&mut self, limit: QuotaLimit, now: Timestamp) {
        self.refill(now);
        self.limit = limit;
        self.tokens = self.tokens.min(limit.capacity());
    }

    /// Takes back unused tokens and grants as many of the wanted ones as there are.
    ///
    /// While tokens were out, the bucket may have gained what it could not have held with them: at
    /// most the refill within their validity.
    pub fn grant(&mut self, demand: TokenDemand, now: Timestamp) -> TokenGrant {
        self.refill(now);
        self.tokens = (self.tokens + f64::from(demand.unused)).min(self.limit.capacity());
        let wanted = demand.wanted;
        let granted = wanted.min(self.tokens.max(0.0) as u32);
        self.tokens -= f64::from(granted);
        if granted == wanted {
            return TokenGrant { granted, retry_after: Duration::ZERO };
        }
        self.returning += f64::from(wanted - granted);
        let seconds = (self.returning - self.tokens).max(0.0) / self.limit.rate;
        let retry_after = Duration::from_secs_f64(seconds.min(MAX_RETRY_AFTER.as_secs_f64()));
        TokenGrant { granted, retry_after }
    }

    fn refill(&mut self, now: Timestamp) {
        let refill = now.since(self.refilled_at).as_secs_f64() * self.limit.rate;
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + refill).min(self.limit.capacity());
        self.returning = (self.returning - refill).max(0.0);
    }
}
