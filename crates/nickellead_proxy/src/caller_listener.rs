//! Listener for callers' connections that knows when none waited.

use std::cell::Cell;
use std::future::poll_fn;
use std::io;
use std::task::{Context, Poll};
use std::time::Instant;

use tokio::net::{TcpListener, TcpStream};

/// Connections accepted one after the other above which the runtime may make the task wait although
/// more of them wait.
const MAX_ACCEPTED_IN_A_ROW: u32 = 32;

/// A connection of a caller.
pub(crate) struct AcceptedStream {
    pub(crate) stream: TcpStream,
    /// A time before which it was not open, if one is known.
    pub(crate) opened_after: Option<Instant>,
}

/// Accepts callers' connections.
pub(crate) struct CallerListener {
    listener: TcpListener,
    /// When the system last said that no connection waits.
    none_waited_at: Cell<Option<Instant>>,
    /// Connections accepted since the listener was last polled in vain.
    accepted_in_a_row: Cell<u32>,
}

impl CallerListener {
    /// Takes over a listener that does not block.
    ///
    /// # Errors
    /// The error of the operating system, if the runtime can't watch the listener.
    pub(crate) fn new(listener: std::net::TcpListener) -> io::Result<Self> {
        Ok(Self {
            listener: TcpListener::from_std(listener)?,
            none_waited_at: Cell::default(),
            accepted_in_a_row: Cell::default(),
        })
    }

    /// Waits for the next connection.
    ///
    /// # Errors
    /// The error of the operating system.
    pub(crate) async fn accept(&self) -> io::Result<AcceptedStream> {
        poll_fn(|context| self.poll_accept(context)).await
    }

    fn poll_accept(&self, context: &mut Context<'_>) -> Poll<io::Result<AcceptedStream>> {
        match self.listener.poll_accept(context) {
            Poll::Ready(accepted) => {
                self.accepted_in_a_row.set(self.accepted_in_a_row.get() + 1);
                let opened_after = self.none_waited_at.get();
                Poll::Ready(accepted.map(|(stream, _)| AcceptedStream { stream, opened_after }))
            }
            Poll::Pending => {
                // The runtime asks the system after a connection was accepted. A task that is polled in
                // vain at another time may only be told what the runtime knew before the thread stood
                // still.
                if (1..=MAX_ACCEPTED_IN_A_ROW).contains(&self.accepted_in_a_row.replace(0)) {
                    self.none_waited_at.set(Some(Instant::now()));
                }
                Poll::Pending
            }
        }
    }
}
