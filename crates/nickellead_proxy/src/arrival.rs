//! When the bytes of requests arrived at this machine, as the system tells it.
//!
//! Bytes that arrive while a thread stands still or is busy lie unread in the system. Their callers count
//! that time, so a request's deadline counts from the arrival of its bytes, not from when they are read.

use std::cell::Cell;
use std::io::{self, IoSliceMut};
use std::os::fd::{AsFd, AsRawFd};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use actix_http::{HttpMessage, Request};
use nix::cmsg_space;
use nix::sys::socket::{ControlMessageOwned, MsgFlags, recvmsg, setsockopt, sockopt};
use nix::sys::time::TimeSpec;

/// How far the wall clock and the monotonic clock may differ over the time that bytes lie unread.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(20);
/// How long times of arrival are not used after the wall clock was set.
const CLOCK_SETTLE_TIME: Duration = Duration::from_secs(10);

/// When the bytes that were last read from a connection had arrived.
///
/// A request is complete no earlier than its own bytes were read, so this is never earlier than its
/// arrival, even if several requests were read together.
#[derive(Clone, Debug)]
pub(crate) struct ReadArrival(Rc<Cell<Instant>>);

impl ReadArrival {
    pub(crate) fn new() -> Self {
        Self(Rc::new(Cell::new(Instant::now())))
    }

    pub(crate) fn set(&self, at: Instant) {
        self.0.set(at);
    }
}

/// When a request that was just read arrived; now, if its connection does not tell.
#[must_use]
pub fn arrival_of(request: &Request) -> Instant {
    let extensions = request.extensions();
    let arrival = request.conn_data::<ReadArrival>().or_else(|| extensions.get());
    arrival.map_or_else(Instant::now, |arrival| arrival.0.get())
}

/// Has the system note when bytes arrive on the connections of a listener.
pub(crate) fn note_arrivals(listener: &impl AsFd) {
    // Without it, requests count from when they are read.
    let _ = setsockopt(listener, sockopt::ReceiveTimestampns, &true);
}

/// Bytes that were read.
pub(crate) struct ReceivedBytes {
    pub(crate) length: usize,
    /// When the last of them arrived, by the wall clock; `None` if the system does not tell.
    pub(crate) arrived: Option<SystemTime>,
}

/// Reads from a socket without blocking; `control` holds what the system tells beside the bytes.
///
/// # Errors
/// The error of the operating system.
pub(crate) fn receive(
    socket: &impl AsRawFd,
    buffer: &mut [u8],
    control: &mut [u8],
) -> io::Result<ReceivedBytes> {
    let mut parts = [IoSliceMut::new(buffer)];
    let flags = MsgFlags::MSG_DONTWAIT;
    let message = recvmsg::<()>(socket.as_raw_fd(), &mut parts, Some(control), flags)?;
    let arrived = message.cmsgs().ok().and_then(|mut told| {
        told.find_map(|one| match one {
            ControlMessageOwned::ScmTimestampns(time) => {
                Some(SystemTime::UNIX_EPOCH + Duration::from(time))
            }
            _ => None,
        })
    });
    Ok(ReceivedBytes { length: message.bytes, arrived })
}

/// A buffer for what the system tells beside the bytes.
pub(crate) fn control_buffer() -> Vec<u8> {
    cmsg_space!(TimeSpec)
}

/// Converts times of arrival from the wall clock to how long bytes lay unread.
///
/// The wall clock may be set at any time. Bytes can't have lain in a connection since before it was last
/// found empty, and can't arrive in the future, so that a time of arrival which says so shows that the
/// clock was set.
#[derive(Debug, Default)]
pub(crate) struct ArrivalClock {
    /// When a time of arrival was last impossible.
    contradicted_at: Cell<Option<Instant>>,
}

impl ArrivalClock {
    /// How long bytes lay unread that are read `now` and arrived at `arrived`, by the wall clock at
    /// `wall_now`, from a connection that was empty `empty_for` ago, if that is known.
    pub(crate) fn unread_time(
        &self,
        now: Instant,
        wall_now: SystemTime,
        arrived: SystemTime,
        empty_for: Option<Duration>,
    ) -> Duration {
        let longest = empty_for.unwrap_or(Duration::MAX);
        let unread = wall_now.duration_since(arrived);
        let is_possible = match &unread {
            Ok(unread) => *unread <= longest.saturating_add(CLOCK_TOLERANCE),
            Err(ahead) => ahead.duration() <= CLOCK_TOLERANCE,
        };
        if !is_possible {
            self.contradicted_at.set(Some(now));
        }
        let is_settled = |at: Instant| now.saturating_duration_since(at) >= CLOCK_SETTLE_TIME;
        match self.contradicted_at.get().is_none_or(is_settled) {
            true => unread.unwrap_or_default().min(longest),
            false => Duration::ZERO,
        }
    }
}

#[cfg(test)]
mod tests;
