//! Health of the store as seen by this VM.

use std::cell::Cell;
use std::time::{Duration, Instant};

use nickellead_event::{EventName, log_event};
use tokio::sync::Notify;

use crate::metrics::ControlMetrics;
use crate::store_call::StoreCall;
use crate::{StoreError, StorePort};

/// Initial backoff after a failed call; it doubles with each further failure or refusal.
const INITIAL_BACKOFF: Duration = Duration::from_millis(120);
/// Upper bound of the backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(900);
/// Most doublings of [`INITIAL_BACKOFF`].
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Fraction of the backoff that is always waited; the rest is random, so that VMs do not retry at
/// once.
const MIN_BACKOFF_FRACTION: f64 = 0.5;

/// Timeout of a probe; a healthy store responds within a fraction of this.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// What the result of a call tells about the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StoreSign {
    /// It responds to this VM.
    Responding,
    /// It does not respond to this VM, or refuses its calls.
    Unavailable,
    /// Nothing: the next call tells.
    Inconclusive,
}

impl StoreSign {
    fn of<T>(call: StoreCall, result: &Result<T, StoreError>) -> Self {
        match result {
            Ok(_) | Err(StoreError::Conflict | StoreError::Compacted) => Self::Responding,
            // A VM that can't read the response is no more up to date than before.
            Err(StoreError::Malformed(_)) => Self::Inconclusive,
            // Of a store that is well, calls beyond the rate are refused.
            Err(StoreError::RateLimited) if call.counts_toward_rate() => Self::Inconclusive,
            // A store that is well may end a watch that waits.
            Err(StoreError::Disconnected(_)) if call.is_watch() => Self::Inconclusive,
            Err(
                StoreError::Disconnected(_)
                | StoreError::NoResponse(_)
                | StoreError::Refused(_)
                | StoreError::RateLimited,
            ) => Self::Unavailable,
        }
    }
}

/// Failures and recoveries of the store, shared by everything on this VM that calls it.
#[derive(Default)]
pub(crate) struct StoreHealth {
    /// Consecutive failed calls.
    failures: Cell<u32>,
    /// Consecutive calls that were refused because VMs make too many.
    rate_limits: Cell<u32>,
    /// When the store last recovered.
    recovered_at: Cell<Option<Instant>>,
    /// When the store last responded.
    last_response: Cell<Option<Instant>>,
    /// Notified when the store recovers, so that hanging watches are restarted.
    pub(crate) recovered: Notify,
    metrics: ControlMetrics,
}

impl StoreHealth {
    /// The state before the first call.
    pub(crate) fn new(metrics: ControlMetrics) -> Self {
        Self { metrics, ..Self::default() }
    }

    /// Records the result of a call.
    pub(crate) fn record<T>(&self, call: StoreCall, result: &Result<T, StoreError>) {
        self.metrics.count_store_call(call, result);
        match result {
            Err(StoreError::RateLimited) => {
                self.rate_limits.set(self.rate_limits.get().saturating_add(1));
            }
            _ if call.counts_toward_rate() => self.rate_limits.set(0),
            _ => {}
        }
        match StoreSign::of(call, result) {
            StoreSign::Responding => self.record_response(),
            StoreSign::Unavailable => self.record_failure(call, result.as_ref().err()),
            StoreSign::Inconclusive => {}
        }
    }

    fn record_response(&self) {
        self.last_response.set(Some(Instant::now()));
        if self.failures.replace(0) > 0 {
            self.recovered_at.set(Some(Instant::now()));
            self.recovered.notify_waiters();
            log_event(EventName::StoreRegained, &[]);
        }
    }

    fn record_failure(&self, call: StoreCall, error: Option<&StoreError>) {
        let failures = self.failures.get();
        self.failures.set(failures.saturating_add(1));
        if let Some(error) = error.filter(|_| failures == 0) {
            self.metrics.store_outages.inc();
            let pairs: [(&str, &dyn std::fmt::Display); 2] =
                [("call", &call.as_str()), ("reason", error)];
            log_event(EventName::StoreLost, &pairs);
        }
    }

    /// Makes the cheapest call, to learn whether the store responds to this VM.
    pub(crate) async fn probe(&self, store: &impl StorePort) {
        let probe = tokio::time::timeout(PROBE_TIMEOUT, store.mandate_cached()).await;
        let probe = probe.unwrap_or(Err(StoreError::NoResponse("probe".to_owned())));
        self.record(StoreCall::ProbeMandate, &probe);
    }

    /// Whether the last call failed.
    pub(crate) fn is_unavailable(&self) -> bool {
        self.failures.get() > 0
    }

    /// When the store last responded.
    pub(crate) fn last_response(&self) -> Option<Instant> {
        self.last_response.get()
    }

    /// When the store last responded again after a failure; `None` if it never failed.
    pub(crate) fn recovered_at(&self) -> Option<Instant> {
        self.recovered_at.get()
    }

    /// Waits before the next call, with exponential backoff and jitter.
    pub(crate) async fn backoff(&self) {
        let failures = self.failures.get().max(self.rate_limits.get());
        let doubled = INITIAL_BACKOFF * (1 << failures.min(MAX_BACKOFF_DOUBLINGS));
        let max = doubled.min(MAX_BACKOFF);
        tokio::time::sleep(
            max.mul_f64(MIN_BACKOFF_FRACTION + fastrand::f64() * (1.0 - MIN_BACKOFF_FRACTION)),
        )
        .await;
    }
}

#[cfg(test)]
mod tests;
