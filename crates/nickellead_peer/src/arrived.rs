//! Looks at what has arrived before a timer decides.

use std::future::poll_fn;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// Time of one pass over the other tasks above which the thread was suspended or is overloaded; more
/// may then have arrived.
const STANDSTILL: Duration = Duration::from_millis(20);
/// Most times that arrived frames are read.
const MAX_READS: u32 = 3;

/// Lets the tasks of connections read what has arrived, and returns what `poll` then has; `None` if
/// it is still pending.
///
/// A thread that stood still finds its timers expired while what it waited for lies unread in a
/// socket.
pub(crate) async fn poll_arrived<T>(
    mut poll: impl FnMut(&mut Context<'_>) -> Poll<T>,
) -> Option<T> {
    for _ in 0..MAX_READS {
        let started = Instant::now();
        tokio::task::yield_now().await;
        let polled = poll_fn(|context| Poll::Ready(poll(context))).await;
        if let Poll::Ready(arrived) = polled {
            return Some(arrived);
        }
        if started.elapsed() < STANDSTILL {
            return None;
        }
    }
    None
}
