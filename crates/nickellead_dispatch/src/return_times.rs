//! Times at which refused callers may return.

use std::collections::VecDeque;
use std::time::Duration;

use nickellead_core::Timestamp;

use crate::duration_model::{millis, millis_between};
use crate::{DispatchRequest, RouteKey};

/// Part of the service rate that is booked for returning callers. They may return when a response in
/// time is no longer possible, so most of the capacity stays with requests that can be in time.
const BOOKABLE_SHARE: f64 = 0.25;
/// Least and longest time that a refused caller is told to stay away.
const RETRY_BOUNDS: (Duration, Duration) = (Duration::from_millis(5), Duration::from_secs(10));
/// How much earlier than told a caller may return, for rounding.
const EARLY_RETURN_MS: u64 = 5;
/// How long a booked place is kept for a caller who returns later than told.
const PLACE_LIFETIME_MS: u64 = 500;
/// Greatest difference between the due times of a request and of its return: messages carry relative
/// times and take different times to arrive.
const DUE_TOLERANCE_MS: f64 = 20.0;

/// A place that was promised to a refused caller.
#[derive(Clone, Copy, Debug)]
struct BookedPlace {
    at: Timestamp,
    route: RouteKey,
    rank: u8,
    /// When the response was due, by which the caller is known again.
    due: Timestamp,
}

impl BookedPlace {
    fn is_for(&self, request: &DispatchRequest) -> bool {
        let due_difference_ms =
            millis_between(self.due, request.due).max(millis_between(request.due, self.due));
        self.route == request.route
            && self.rank == request.rank
            && due_difference_ms <= DUE_TOLERANCE_MS
    }
}

/// Places that were promised to refused callers, at one target or at all of a group.
#[derive(Debug, Default)]
pub(crate) struct ReturnTimes {
    /// Promised places by their return times.
    places: VecDeque<BookedPlace>,
    /// The last promised return time in milliseconds of the clock.
    last_ms: f64,
}

impl ReturnTimes {
    /// The next return time without a booking.
    ///
    /// `turn_ms` is the time until the targets have started those that wait, and `rate` the number of requests per
    /// millisecond that the targets serve.
    pub(crate) fn next(&self, now: Timestamp, turn_ms: f64, rate: f64) -> ReturnTime {
        let earliest_ms = now.0 as f64 + turn_ms;
        let at_ms = earliest_ms.max(self.last_ms) + 1.0 / (rate * BOOKABLE_SHARE);
        let wait = Duration::from_millis((at_ms - now.0 as f64) as u64);
        ReturnTime { at_ms, retry_after: wait.clamp(RETRY_BOUNDS.0, RETRY_BOUNDS.1) }
    }

    /// Promises the caller of a request a place at this time.
    pub(crate) fn book(&mut self, request: &DispatchRequest, time: ReturnTime, now: Timestamp) {
        self.drop_expired(now);
        self.last_ms = time.at_ms;
        self.places.push_back(BookedPlace {
            at: now + time.retry_after,
            route: request.route,
            rank: request.rank,
            due: request.due,
        });
    }

    /// Uses the place that was promised to this caller; false if there is none now.
    pub(crate) fn claim(&mut self, request: &DispatchRequest, now: Timestamp) -> bool {
        self.drop_expired(now);
        let ripe = self.places.iter().take_while(|place| place.at.0 <= now.0 + EARLY_RETURN_MS);
        let Some(index) = ripe.into_iter().position(|place| place.is_for(request)) else {
            return false;
        };
        self.places.remove(index);
        true
    }

    fn drop_expired(&mut self, now: Timestamp) {
        while self.places.front().is_some_and(|place| place.at.0 + PLACE_LIFETIME_MS < now.0) {
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

impl ReturnTime {
    /// Whether a caller who stays for `stay_ms` can return then and be served in `needed_ms`.
    pub(crate) fn is_usable(&self, needed_ms: f64, stay_ms: f64) -> bool {
        self.retry_after < RETRY_BOUNDS.1 && millis(self.retry_after) + needed_ms <= stay_ms
    }
}
