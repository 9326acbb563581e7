//! What happens on a caller's connection, by which idle connections are closed, and by which is decided
//! how much of what it sent is read.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::{Context, Waker};
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use crate::serve::ServeState;

/// How long a connection must have been idle to be closed in favor of a new one. A response may be on its way
/// to the caller, or the caller's next request on its way here.
const MIN_IDLE_TIME: Duration = Duration::from_secs(1);

/// Bytes of a body that a connection hands on at a time.
const BODY_TURN_BYTES: usize = 32 * 1024;

/// What the next bytes of an HTTP/1 connection belong to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadPhase {
    /// The head of a request.
    Head,
    /// A body of which this many bytes are left.
    DeclaredBody(u64),
    /// A body whose end is not known before.
    UndeclaredBody,
    /// The request after the one in progress.
    Later,
}

/// What happens on one connection.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionActivity(Rc<ActivityState>);

#[derive(Debug)]
struct ActivityState {
    /// When bytes were last read or written.
    last_bytes: Cell<Instant>,
    /// Requests without a response.
    running: Cell<usize>,
    /// Requests whose heads were read.
    begun: Cell<u64>,
    /// Whether a write is pending.
    is_blocked: Cell<bool>,
    phase: Cell<ReadPhase>,
    /// Bytes of the body that may be handed on.
    wanted: Cell<usize>,
    /// Wakes the connection when more bytes may be handed on.
    reader: RefCell<Option<Waker>>,
    /// Notified when the connection is closed in favor of a new one.
    closed: Notify,
}

impl ConnectionActivity {
    fn new() -> Self {
        Self(Rc::new(ActivityState {
            last_bytes: Cell::new(Instant::now()),
            running: Cell::new(0),
            begun: Cell::new(0),
            is_blocked: Cell::new(false),
            phase: Cell::new(ReadPhase::Head),
            wanted: Cell::new(0),
            reader: RefCell::default(),
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
        if !is_blocked {
            self.wake_reader();
        }
    }

    /// Counts a request until the returned guard is dropped; `phase` is what follows its head.
    pub(crate) fn begin_request(&self, phase: ReadPhase) -> RequestInProgress {
        self.0.running.set(self.0.running.get() + 1);
        self.0.begun.set(self.0.begun.get() + 1);
        self.0.phase.set(phase);
        self.0.wanted.set(0);
        RequestInProgress(self.clone())
    }

    /// Number of requests whose heads were read.
    pub(crate) fn begun(&self) -> u64 {
        self.0.begun.get()
    }

    /// Whether a part of the body of the request in progress was not read.
    pub(crate) fn has_unread_body(&self) -> bool {
        matches!(self.0.phase.get(), ReadPhase::DeclaredBody(_) | ReadPhase::UndeclaredBody)
    }

    /// What the next bytes belong to.
    pub(crate) fn phase(&self) -> ReadPhase {
        match self.0.phase.get() {
            ReadPhase::Head if self.0.is_blocked.get() => ReadPhase::Later,
            phase => phase,
        }
    }

    /// Bytes of the body that may be handed on now.
    pub(crate) fn wanted(&self) -> usize {
        self.0.wanted.get()
    }

    /// Records that this many bytes of the body were handed on.
    pub(crate) fn record_handed_on(&self, bytes: usize) {
        self.0.wanted.set(self.0.wanted.get().saturating_sub(bytes));
        if let ReadPhase::DeclaredBody(left) = self.0.phase.get() {
            let left = left.saturating_sub(bytes as u64);
            let is_whole = left == 0;
            self.0.phase.set(if is_whole {
                ReadPhase::Later
            } else {
                ReadPhase::DeclaredBody(left)
            });
        }
    }

    /// Records that the request waits for more of its body.
    pub(crate) fn want_body(&self) {
        if self.0.wanted.get() < BODY_TURN_BYTES {
            self.0.wanted.set(BODY_TURN_BYTES);
            self.wake_reader();
        }
    }

    /// Records that the whole body was read.
    pub(crate) fn end_body(&self) {
        if self.0.running.get() > 0 {
            self.0.phase.set(ReadPhase::Later);
        }
    }

    /// Records that nobody reads the rest of the body.
    pub(crate) fn drop_body(&self) {
        self.0.wanted.set(usize::MAX);
        self.wake_reader();
    }

    /// Wakes the connection once more bytes may be handed on.
    pub(crate) fn register_reader(&self, context: &Context<'_>) {
        self.0.reader.replace(Some(context.waker().clone()));
    }

    fn wake_reader(&self) {
        if let Some(waker) = self.0.reader.take() {
            waker.wake();
        }
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
        if running.get() == 0 {
            self.0.0.phase.set(ReadPhase::Head);
        }
        self.0.record_bytes();
        self.0.wake_reader();
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
