//! What one worker may have under way at one target.

use std::cell::Cell;
use std::rc::Rc;

use nickellead_api::UrgencyClass;
use nickellead_core::ErrorKind;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bounds the requests under way at one target, and those that wait for a turn.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimiter {
    turns: std::sync::Arc<Semaphore>,
    waiting: Rc<Cell<u32>>,
    queue: u32,
}

/// Leave to have one request under way; given back when dropped.
#[derive(Debug)]
pub struct ConcurrencyPermit(#[allow(dead_code)] OwnedSemaphorePermit);

impl ConcurrencyLimiter {
    /// A gate for `width` requests side by side and `queue` that wait.
    #[must_use]
    pub fn new(width: u32, queue: u32) -> Self {
        let turns = std::sync::Arc::new(Semaphore::new(width.max(1) as usize));
        Self { turns, waiting: Rc::default(), queue }
    }

    /// Takes a turn, if one is free.
    #[must_use]
    pub fn try_acquire(&self) -> Option<ConcurrencyPermit> {
        self.turns.clone().try_acquire_owned().ok().map(ConcurrencyPermit)
    }

    /// Waits for a turn.
    ///
    /// Requests that can wait may fill a quarter of the queue, so that urgent
    /// ones find a place; both are served in the order they came.
    ///
    /// # Errors
    /// [`ErrorKind::QueueFull`] at once when too many wait already.
    pub async fn acquire(&self, urgency: UrgencyClass) -> Result<ConcurrencyPermit, ErrorKind> {
        if let Some(permit) = self.try_acquire() {
            return Ok(permit);
        }
        let queue = match urgency {
            UrgencyClass::Urgent => self.queue,
            UrgencyClass::Deferrable => self.queue / 4,
        };
        if self.waiting.get() >= queue {
            return Err(ErrorKind::QueueFull);
        }
        let _waiting = WaitCount::new(&self.waiting);
        let permit = self.turns.clone().acquire_owned().await;
        permit.map(ConcurrencyPermit).map_err(|_| ErrorKind::Internal)
    }

    /// Requests that wait for a turn.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.waiting.get()
    }
}

/// Counts one waiting request, also when its future is dropped.
struct WaitCount<'a>(&'a Cell<u32>);

impl<'a> WaitCount<'a> {
    fn new(count: &'a Cell<u32>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for WaitCount<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
