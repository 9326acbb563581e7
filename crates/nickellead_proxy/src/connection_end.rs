//! Whether a caller was told that its connection closes.

use std::cell::Cell;
use std::rc::Rc;

/// The last response of one HTTP/1 connection.
///
/// The HTTP server goes on with requests that it has read behind the last one. Their callers stop
/// reading and take them for unread, so they must not run.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionEnd(Rc<Cell<bool>>);

impl ConnectionEnd {
    /// Records that a response says that the connection closes.
    pub(crate) fn announce(&self) {
        self.0.set(true);
    }

    /// Whether a response has said that the connection closes.
    pub(crate) fn is_announced(&self) -> bool {
        self.0.get()
    }
}
