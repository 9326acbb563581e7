//! Whether requests that are read from a caller's connection may still run.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::{Context, Waker};

/// The end of one HTTP/1 connection, as far as this VM knows.
///
/// The HTTP server goes on with requests that it has read behind the last response of a connection, and
/// with those that it reads together with the connection's end. Their callers have stopped reading, and
/// may send them again, so they must not run.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionEnd(Rc<EndState>);

#[derive(Debug, Default)]
struct EndState {
    is_known: Cell<bool>,
    /// Wakes the connection when its end becomes known.
    reader: RefCell<Option<Waker>>,
}

impl ConnectionEnd {
    /// Records that a response says that the connection closes, or that the caller has left.
    pub(crate) fn record(&self) {
        self.0.is_known.set(true);
        if let Some(waker) = self.0.reader.take() {
            waker.wake();
        }
    }

    /// Whether requests that are read from now on must not run.
    pub(crate) fn is_known(&self) -> bool {
        self.0.is_known.get()
    }

    /// Wakes the connection once its end is known.
    pub(crate) fn register_reader(&self, context: &Context<'_>) {
        self.0.reader.replace(Some(context.waker().clone()));
    }
}
