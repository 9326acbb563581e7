//! Whether the store answers this VM.

use std::cell::Cell;
use std::time::{Duration, Instant};

use nickellead_event::{EventName, log_event};
use tokio::sync::Notify;

use crate::StoreError;
use crate::metrics::ControlMetrics;

/// Shortest pause after a call that failed.
const PAUSE_FIRST: Duration = Duration::from_millis(120);
/// Longest pause after a call that failed; all VMs come back spread over this time.
const PAUSE_MOST: Duration = Duration::from_millis(900);
/// Most doublings of [`PAUSE_FIRST`].
const PAUSE_DOUBLINGS: u32 = 4;
/// Shortest pause as a part of the longest one: the rest is drawn at random.
const PAUSE_LEAST: f64 = 0.5;

/// One VM's view of the store's health, shared by all that call it.
#[derive(Default)]
pub(crate) struct StoreHealth {
    /// Calls in a row that failed.
    failures: Cell<u32>,
    /// When the store last answered again after a failure.
    recovered_at: Cell<Option<Instant>>,
    /// When the store last answered.
    last_response: Cell<Option<Instant>>,
    /// Woken when the store answers again: watches that hang are started anew.
    pub(crate) recovered: Notify,
    metrics: ControlMetrics,
}

impl StoreHealth {
    /// A store that was not called yet.
    pub(crate) fn new(metrics: ControlMetrics) -> Self {
        Self { metrics, ..Self::default() }
    }

    /// Notes the outcome of a call.
    pub(crate) fn record<T>(&self, result: &Result<T, StoreError>) {
        self.metrics.count_store_call(result);
        match result {
            Err(error @ (StoreError::NoResponse(_) | StoreError::Refused(_))) => {
                if self.failures.get() == 0 {
                    log_event(EventName::StoreLost, &[("reason", error)]);
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

    /// When the store last answered.
    pub(crate) fn last_response(&self) -> Option<Instant> {
        self.last_response.get()
    }

    /// When the store last answered again after a failure.
    pub(crate) fn recovered_at(&self) -> Option<Instant> {
        self.recovered_at.get()
    }

    /// Waits before the next call, longer after each failure, spread at random.
    pub(crate) async fn backoff(&self) {
        let doubled = PAUSE_FIRST * (1 << self.failures.get().min(PAUSE_DOUBLINGS));
        let most = doubled.min(PAUSE_MOST);
        tokio::time::sleep(most.mul_f64(PAUSE_LEAST + fastrand::f64() * (1.0 - PAUSE_LEAST))).await;
    }
}
