//! Requests that wait for a target with room.

use std::cell::RefCell;
use std::collections::BTreeMap;

use tokio::sync::oneshot;

/// Waiting requests, by rank and then by age.
///
/// A waiter that is woken looks again and may find that somebody else was
/// faster; it then joins anew. A waiter that gave up is passed over.
#[derive(Debug, Default)]
pub struct WaitQueue {
    waiting: RefCell<Waiting>,
}

#[derive(Debug, Default)]
struct Waiting {
    next: u64,
    turns: BTreeMap<(u8, u64), oneshot::Sender<()>>,
}

/// A place in the queue; given up when dropped.
#[derive(Debug)]
pub struct QueueTicket {
    place: (u8, u64),
    woken: oneshot::Receiver<()>,
}

impl QueueTicket {
    /// Waits until it is this request's turn.
    pub async fn wait(&mut self) {
        // A queue that is gone wakes its waiters as well.
        let _ = (&mut self.woken).await;
    }
}

impl WaitQueue {
    /// Joins the queue; rank 0 goes first.
    #[must_use]
    pub fn join(&self, rank: u8) -> QueueTicket {
        let mut waiting = self.waiting.borrow_mut();
        let place = (rank, waiting.next);
        waiting.next += 1;
        let (sender, woken) = oneshot::channel();
        waiting.turns.insert(place, sender);
        QueueTicket { place, woken }
    }

    /// How many requests wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        let waiting = self.waiting.borrow();
        waiting.turns.values().filter(|sender| !sender.is_closed()).count()
    }

    /// Gives a place up; a turn that came meanwhile goes to the next one.
    pub fn leave(&self, turn: &QueueTicket) {
        let waited = self.waiting.borrow_mut().turns.remove(&turn.place).is_some();
        if !waited {
            self.wake_one();
        }
    }

    /// Wakes all that wait, the most urgent ones first: what they wait for may never come.
    pub fn wake_all(&self) {
        let turns = std::mem::take(&mut self.waiting.borrow_mut().turns);
        for sender in turns.into_values() {
            // One that gave up needs no turn.
            let _ = sender.send(());
        }
    }

    /// Wakes the most urgent request that still waits.
    pub fn wake_one(&self) {
        let mut waiting = self.waiting.borrow_mut();
        while let Some((_, sender)) = waiting.turns.pop_first() {
            if sender.send(()).is_ok() {
                return;
            }
        }
    }
}
