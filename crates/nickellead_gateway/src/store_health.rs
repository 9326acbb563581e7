//! Health of the store as seen by this VM.

use std::cell::Cell;
use std::time::{Duration, Instant};

use nickellead_event::{EventName, log_event};
use tokio::sync::Notify;

use crate::StoreError;
use crate::metrics::ControlMetrics;
use crate::store_call::StoreCall;

/// Initial backoff after a failed call; it doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(120);
/// Upper bound of the backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(900);
/// Most doublings of [`INITIAL_BACKOFF`].
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Fraction of the backoff that is always waited; the rest is random, so that VMs do not retry at
/// once.
const MIN_BACKOFF_FRACTION: f64 = 0.5;

/// Failures and recoveries of the store, shared by everything on this VM that calls it.
#[derive(Default)]
pub(crate) struct StoreHealth {
    /// Consecutive failed calls.
    failures: Cell<u32>,
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
            Err(error @ (StoreError::NoResponse(_) | StoreError::Refused(_))) => {
                if self.failures.get() == 0 {
                    self.metrics.store_outages.inc();
                    let pairs: [(&str, &dyn std::fmt::Display); 2] =
                        [("call", &call.as_str()), ("reason", error)];
                    log_event(EventName::StoreLost, &pairs);
                }
                self.failures.set(self.failures.get().saturating_add(1));
            }
            _ => {
                self.last_response.set(Some(Instant::now()));
                if self.failures.replace(0) > 0 {
                    self.recovered_at.set(Some(Instant::now()));
                    self.recovered.notify_waiters();
                    log_event(EventName::StoreRegained, &[]);
                }
            }
        }
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
        let doubled = INITIAL_BACKOFF * (1 << self.failures.get().min(MAX_BACKOFF_DOUBLINGS));
        let max = doubled.min(MAX_BACKOFF);
        tokio::time::sleep(
            max.mul_f64(MIN_BACKOFF_FRACTION + fastrand::f64() * (1.0 - MIN_BACKOFF_FRACTION)),
        )
        .await;
    }
}
