//! Times at which refused callers may return.

use std::collections::VecDeque;
use std::time::Duration;

use nickellead_core::Timestamp;

/// Part of the service rate that is booked for returning callers. They may return when a response in
/// time is no longer possible, so most of the capacity stays with requests that can be in time.
const BOOKABLE_SHARE: f64 = 0.25;
/// Least and longest time that a refused caller is told to stay away.
const RETRY_BOUNDS: (Duration, Duration) = (Duration::from_millis(5), Duration::from_secs(10));
/// How much earlier than told a caller may return, for rounding.
const EARLY_RETURN_MS: u64 = 5;
/// How long a booked place is kept for a caller who returns later than told.
const PLACE_LIFETIME_MS: u64 = 500;

/// Places that were promised to refused callers, at one target or at all of a group.
#[derive(Debug, Default)]
pub(crate) struct ReturnTimes {
    /// Return times of promised places, in order.
    places: VecDeque<Timestamp>,
    /// The last promised return time in milliseconds of the clock.
    last_ms: f64,
}

impl ReturnTimes {
    /// The next return time without a booking.
    ///
    /// `backlog_ms` is the time that the waiting requests take, and `rate` the number of requests per
    /// millisecond that the targets serve.
    pub(crate) fn next(&self, now: Timestamp, backlog_ms: f64, rate: f64) -> ReturnTime {
        let earliest_ms = now.0 as f64 + backlog_ms;
        let at_ms = earliest_ms.max(self.last_ms) + 1.0 / (rate * BOOKABLE_SHARE);
        let wait = Duration::from_millis((at_ms - now.0 as f64) as u64);
        ReturnTime { at_ms, retry_after: wait.clamp(RETRY_BOUNDS.0, RETRY_BOUNDS.1) }
    }

    /// Promises a place at this time.
    pub(crate) fn book(&mut self, time: ReturnTime, now: Timestamp) {
        self.last_ms = time.at_ms;
        self.places.push_back(now + time.retry_after);
    }

    /// Uses a promised place; false if there is none for a caller who returns now.
    pub(crate) fn claim(&mut self, now: Timestamp) -> bool {
        self.drop_expired(now);
        let is_claimable = self.places.front().is_some_and(|at| at.0 <= now.0 + EARLY_RETURN_MS);
        if is_claimable {
            self.places.pop_front();
        }
        is_claimable
    }

    fn drop_expired(&mut self, now: Timestamp) {
        while self.places.front().is_some_and(|at| at.0 + PLACE_LIFETIME_MS < now.0) {
            self.places.pop_front();
        }
    }
}

/// A return time that may be booked.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReturnTime {
    at_ms: f64,
    /// How long the caller should stay away.
    pub(crate) retry_after: Duration,
}
