//! What happens on a caller's connection, by which idle connections are closed.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use crate::serve::ServeState;

/// How long a connection must have been idle to be closed in favor of a new one. A response may be on its way
/// to the caller, or the caller's next request on its way here.
const MIN_IDLE_TIME: Duration = Duration::from_secs(1);

/// What happens on one connection.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionActivity(Rc<ActivityState>);

#[derive(Debug)]
struct ActivityState {
    /// When bytes were last read or written.
    last_bytes: Cell<Instant>,
    /// Requests without a response.
    running: Cell<usize>,
    /// Whether a write is pending.
    is_blocked: Cell<bool>,
    /// Notified when the connection is closed in favor of a new one.
    closed: Notify,
}

impl ConnectionActivity {
    fn new() -> Self {
        Self(Rc::new(ActivityState {
            last_bytes: Cell::new(Instant::now()),
            running: Cell::new(0),
            is_blocked: Cell::new(false),
            closed: Notify::new(),
        }))
    }

    /// Records that bytes were read or written.
    pub(crate) fn record_bytes(&self) {
        self.0.last_bytes.set(Instant::now());
    }

    /// Sets whether a write is pending.
    pub(crate) fn set_blocked(&self, is_blocked: bool) {
        self.0.is_blocked.set(is_blocked);
    }

    /// Counts a request until the returned guard is dropped.
    pub(crate) fn begin_request(&self) -> RequestInProgress {
        self.0.running.set(self.0.running.get() + 1);
        RequestInProgress(self.clone())
    }

    /// Since when nothing happens; `None` while a request or a write is in progress.
    fn idle_since(&self) -> Option<Instant> {
        let is_busy = self.0.running.get() > 0 || self.0.is_blocked.get();
        (!is_busy).then(|| self.0.last_bytes.get())
    }

    /// Waits until the connection has been idle for as long as `state` allows, or is closed in favor of a new
    /// one.
    pub(crate) async fn wait_until_closed(&self, state: &ServeState) {
        tokio::select! {
            () = self.0.closed.notified() => {}
            () = self.wait_until_idle(state) => {}
        }
    }

    async fn wait_until_idle(&self, state: &ServeState) {
        loop {
            let timeout = state.idle_timeout();
            let due = self.idle_since().unwrap_or_else(Instant::now) + timeout;
            tokio::time::sleep_until(due.into()).await;
            let is_due = |since: Instant| since.elapsed() >= state.idle_timeout();
            if self.idle_since().is_some_and(is_due) {
                return;
            }
        }
    }
}

/// Counts a request as running on its connection.
pub(crate) struct RequestInProgress(ConnectionActivity);

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        let running = &self.0.0.running;
        running.set(running.get().saturating_sub(1));
        self.0.record_bytes();
    }
}

/// The open connections of one listener.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenConnections(Rc<RefCell<Vec<ConnectionActivity>>>);

impl OpenConnections {
    /// Adds a connection.
    pub(crate) fn open(&self) -> ConnectionActivity {
        let activity = ConnectionActivity::new();
        self.0.borrow_mut().push(activity.clone());
        activity
    }

    /// Removes a connection that has ended.
    pub(crate) fn remove(&self, activity: &ConnectionActivity) {
        let mut open = self.0.borrow_mut();
        if let Some(index) = open.iter().position(|one| Rc::ptr_eq(&one.0, &activity.0)) {
            open.swap_remove(index);
        }
    }

    /// Closes the connection that has been idle for longest, to make room for a new one; returns whether there
    /// is one.
    pub(crate) fn close_idlest(&self) -> bool {
        let open = self.0.borrow();
        let idle = open.iter().filter_map(|one| Some((one.idle_since()?, one)));
        let idle = idle.filter(|(since, _)| since.elapsed() >= MIN_IDLE_TIME);
        let Some((_, idlest)) = idle.min_by_key(|(since, _)| *since) else { return false };
        // It is not selected once more.
        idlest.set_blocked(true);
        idlest.0.closed.notify_one();
        true
    }
}
