//! Whether requests that are read from a caller's connection may still run.

use std::cell::Cell;
use std::rc::Rc;

/// The end of one HTTP/1 connection, as far as this VM knows.
///
/// The HTTP server goes on with requests that it has read behind the last response of a connection, and
/// with those that it reads together with the connection's end. Their callers have stopped reading, and
/// may send them again, so they must not run.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionEnd(Rc<Cell<bool>>);

impl ConnectionEnd {
    /// Records that a response says that the connection closes, or that the caller has left.
    pub(crate) fn record(&self) {
        self.0.set(true);
    }

    /// Whether requests that are read from now on must not run.
    pub(crate) fn is_known(&self) -> bool {
        self.0.get()
    }
}
