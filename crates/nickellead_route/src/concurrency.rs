//! Limits one worker's requests in flight at one target.

use std::cell::Cell;
use std::rc::Rc;

use nickellead_api::UrgencyClass;
use nickellead_core::ErrorKind;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Limits the number of requests in flight at one target and of those that wait for a permit.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimiter {
    semaphore: std::sync::Arc<Semaphore>,
    waiting: Rc<Cell<u32>>,
    max_waiting: u32,
}

/// Permit for one request in flight; dropping it releases the permit.
#[derive(Debug)]
pub struct ConcurrencyPermit(#[allow(dead_code)] OwnedSemaphorePermit);

impl ConcurrencyLimiter {
    /// Creates a limiter for `max_in_flight` concurrent and `max_waiting` waiting requests.
    #[must_use]
    pub fn new(max_in_flight: u32, max_waiting: u32) -> Self {
        let semaphore = std::sync::Arc::new(Semaphore::new(max_in_flight.max(1) as usize));
        Self { semaphore, waiting: Rc::default(), max_waiting }
    }

    /// Acquires a permit if one is available.
    #[must_use]
    pub fn try_acquire(&self) -> Option<ConcurrencyPermit> {
        self.semaphore.clone().try_acquire_owned().ok().map(ConcurrencyPermit)
    }

    /// Waits for a permit.
    ///
    /// Deferrable requests may fill only a quarter of the queue, which leaves space for urgent ones.
    /// Both are served in order of arrival.
    ///
    /// # Errors
    /// Returns [`ErrorKind::QueueFull`] without waiting if the queue is full.
    pub async fn acquire(&self, urgency: UrgencyClass) -> Result<ConcurrencyPermit, ErrorKind> {
        if let Some(permit) = self.try_acquire() {
            return Ok(permit);
        }
        let max_waiting = match urgency {
            UrgencyClass::Urgent => self.max_waiting,
            UrgencyClass::Deferrable => self.max_waiting / 4,
        };
        if self.waiting.get() >= max_waiting {
            return Err(ErrorKind::QueueFull);
        }
        let _guard = WaitingGuard::new(&self.waiting);
        let permit = self.semaphore.clone().acquire_owned().await;
        permit.map(ConcurrencyPermit).map_err(|_| ErrorKind::Internal)
    }

    /// Number of requests that wait for a permit.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.waiting.get()
    }
}

/// Counts a waiting request until it is dropped, which includes cancellation of its future.
struct WaitingGuard<'a>(&'a Cell<u32>);

impl<'a> WaitingGuard<'a> {
    fn new(count: &'a Cell<u32>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
