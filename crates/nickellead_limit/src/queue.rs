//! Queue of requests that wait for a target with capacity.

use std::cell::RefCell;
use std::collections::BTreeMap;

use tokio::sync::oneshot;

/// Waiting requests, ordered by rank and then by arrival.
///
/// Waking a request reserves no capacity: if another request takes it first, the woken request must
/// join the queue again. Requests that have stopped waiting are skipped.
#[derive(Debug, Default)]
pub struct WaitQueue {
    state: RefCell<QueueState>,
}

#[derive(Debug, Default)]
struct QueueState {
    next_sequence: u64,
    /// Wakers by rank and sequence number.
    wakers: BTreeMap<(u8, u64), oneshot::Sender<()>>,
}

/// Position of one request in the queue. A request whose ticket is dropped is skipped.
#[derive(Debug)]
pub struct QueueTicket {
    position: (u8, u64),
    woken: oneshot::Receiver<()>,
}

impl QueueTicket {
    /// Waits until the queue wakes this request.
    pub async fn wait(&mut self) {
        // A dropped queue also wakes its waiters.
        let _ = (&mut self.woken).await;
    }
}

impl WaitQueue {
    /// Joins the queue. Lower ranks are woken first.
    #[must_use]
    pub fn join(&self, rank: u8) -> QueueTicket {
        let mut state = self.state.borrow_mut();
        let position = (rank, state.next_sequence);
        state.next_sequence += 1;
        let (sender, woken) = oneshot::channel();
        state.wakers.insert(position, sender);
        QueueTicket { position, woken }
    }

    /// Number of requests that still wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        let state = self.state.borrow();
        state.wakers.values().filter(|sender| !sender.is_closed()).count()
    }

    /// Leaves the queue. If the ticket was already woken, the wake-up passes to the next request.
    pub fn leave(&self, ticket: &QueueTicket) {
        let was_waiting = self.state.borrow_mut().wakers.remove(&ticket.position).is_some();
        if !was_waiting {
            self.wake_one();
        }
    }

    /// Wakes all waiting requests, lowest rank first, because the expected capacity may never come.
    pub fn wake_all(&self) {
        let wakers = std::mem::take(&mut self.state.borrow_mut().wakers);
        for sender in wakers.into_values() {
            // The receiver may have stopped waiting.
            let _ = sender.send(());
        }
    }

    /// Wakes the waiting request of the lowest rank, the earliest of them first.
    pub fn wake_one(&self) {
        let mut state = self.state.borrow_mut();
        while let Some((_, sender)) = state.wakers.pop_first() {
            if sender.send(()).is_ok() {
                return;
            }
        }
    }
}
