//! How much longer than usual a message was under way to this VM.
//!
//! Each call tells when its message was written, by a clock of the calling process. The two clocks are unrelated, but
//! of all calls of one process the fastest one shows how they differ at most: any other call was under
//! way for as much longer as its difference is larger. That includes the time for which the message lay
//! unread in a socket of either VM, waited for a connection or was held up by the link.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderValue};

/// Header with the id of the calling process's clock, in hexadecimal digits.
const CLOCK_HEADER: &str = "clock";
/// Header with the time of the call by that clock, in microseconds.
const SENT_HEADER: &str = "sent-us";
/// The fastest call of this time and of the one before counts: clocks drift apart slowly, and links may
/// become slower for good.
const WINDOW: Duration = Duration::from_secs(30);
/// Most clocks that are known before those that have been silent for two windows are forgotten.
const MAX_CLOCKS: usize = 4_096;

/// The clock by which this process tells when it sends calls.
struct SendClock {
    id: u64,
    started: Instant,
}

fn send_clock() -> &'static SendClock {
    static CLOCK: OnceLock<SendClock> = OnceLock::new();
    CLOCK.get_or_init(|| SendClock { id: fastrand::u64(..), started: Instant::now() })
}

/// Adds to the headers of a call when its message was written.
pub(crate) fn stamp_call(headers: &mut HeaderMap, written: Instant) {
    let clock = send_clock();
    if let Ok(id) = HeaderValue::from_str(&format!("{:x}", clock.id)) {
        headers.insert(CLOCK_HEADER, id);
    }
    let sent = written.saturating_duration_since(clock.started).as_micros();
    let sent = u64::try_from(sent).unwrap_or(u64::MAX);
    headers.insert(SENT_HEADER, HeaderValue::from(sent));
}

/// When the message of a call was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SendTime {
    clock: u64,
    micros: i64,
}

impl SendTime {
    /// Reads what [`stamp_call`] added; `None` if the caller does not tell.
    pub(crate) fn read(headers: &HeaderMap) -> Option<Self> {
        let text = |name| headers.get(name)?.to_str().ok();
        let clock = u64::from_str_radix(text(CLOCK_HEADER)?, 16).ok()?;
        Some(Self { clock, micros: text(SENT_HEADER)?.parse().ok()? })
    }
}

/// The least differences between this process's clock and another one, in microseconds.
#[derive(Clone, Copy, Debug)]
struct LeastDifference {
    window_started: Instant,
    current: i64,
    previous: i64,
}

impl LeastDifference {
    const fn new(difference: i64, now: Instant) -> Self {
        Self { window_started: now, current: difference, previous: difference }
    }

    /// Records the difference of one call, and returns the least one that is known.
    fn record(&mut self, difference: i64, now: Instant) -> i64 {
        let age = now.saturating_duration_since(self.window_started);
        if age >= 2 * WINDOW {
            *self = Self::new(difference, now);
        } else if age >= WINDOW {
            *self = Self { window_started: now, current: difference, previous: self.current };
        }
        self.current = self.current.min(difference);
        self.current.min(self.previous)
    }
}

/// What one server knows of the clocks of its callers.
#[derive(Debug)]
pub(crate) struct CallDelays {
    started: Instant,
    clocks: RefCell<HashMap<u64, LeastDifference>>,
}

impl CallDelays {
    pub(crate) fn new() -> Self {
        Self { started: Instant::now(), clocks: RefCell::default() }
    }

    /// How much longer than the fastest one of its process a call was under way that arrives `now`; zero
    /// for the first one.
    pub(crate) fn delay(&self, sent: SendTime, now: Instant) -> Duration {
        let here = now.saturating_duration_since(self.started).as_micros();
        let difference = i64::try_from(here).unwrap_or(i64::MAX).saturating_sub(sent.micros);
        let mut clocks = self.clocks.borrow_mut();
        if clocks.len() >= MAX_CLOCKS {
            clocks.retain(|_, known| {
                now.saturating_duration_since(known.window_started) < 2 * WINDOW
            });
        }
        let known = clocks.entry(sent.clock);
        let known = known.or_insert_with(|| LeastDifference::new(difference, now));
        let least = known.record(difference, now);
        Duration::from_micros(u64::try_from(difference.saturating_sub(least)).unwrap_or_default())
    }
}

#[cfg(test)]
mod tests;
