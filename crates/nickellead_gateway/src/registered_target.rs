//! One listed target, with the state and statistics that this VM keeps about it.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use nickellead_balance::{ReportedLimit, TargetOutcome, TargetScore, TargetSignals};
use nickellead_core::Timestamp;
use nickellead_limit::{AdaptiveLimit, ColdLimiter, InFlightBytes, RateLimiter, WaitQueue};
use nickellead_quarantine::BrokenRequests;
use nickellead_range::TargetInstance;
use xxhash_rust::xxh3::xxh3_64;

use crate::connections::SharedPool;
use crate::targets::instance_of;
use crate::{ColdRule, TargetEntry, TargetState};

/// Latency that is assumed for a target until responses have been measured.
const DEFAULT_LATENCY: Duration = Duration::from_millis(80);

/// Initial concurrency limit of a target: low, because all VMs may discover a new target at once.
const INITIAL_CONCURRENCY_LIMIT: u32 = 2;

/// Upper bound of the concurrency limit, as a multiple of the target's slots.
const MAX_REQUESTS_PER_SLOT: u32 = 4;

/// How long a target is avoided after it refused a connection, if other targets are available.
///
/// The entry of a crashed target expires after about the same time.
pub(crate) const DOWN_WINDOW: Duration = Duration::from_millis(2_500);

/// Most bytes of requests that this VM has in flight to one target.
///
/// What memory a target has is unknown; it holds the requests of several VMs.
const MAX_REQUEST_BYTES: usize = 8 * 1024 * 1024;

/// Signals of one target instance, shared by its requests and kept for a while after it is
/// unlisted.
pub(crate) type SharedSignals = Rc<Cell<TargetSignals>>;

/// One instance of a target, with the state and statistics that this VM keeps about it.
pub(crate) struct RegisteredTarget {
    pub(crate) id: String,
    /// Hash of its identity.
    hash: u64,
    pub(crate) born: Option<u64>,
    pub(crate) address: SocketAddr,
    pub(crate) zone: String,
    pub(crate) slots: u32,
    pub(crate) state: Cell<TargetState>,
    /// Remaining cold time that its entry last stated.
    listed_cold: Cell<Duration>,
    /// The service's limit for cold targets; `None` if there is none.
    pub(crate) cold_rule: Cell<Option<ColdRule>>,
    pub(crate) cold_limiter: ColdLimiter,
    /// Whether its service is sharded, so that it may own keys.
    pub(crate) sharded: Cell<bool>,
    /// Until when it is avoided because it refused a connection.
    down_until: Cell<Timestamp>,
    /// Signals that this VM received from it.
    pub(crate) signals: SharedSignals,
    /// Its rate limit as announced by the mandate holder.
    pub(crate) reported_limit: Cell<ReportedLimit>,
    /// Enforces this VM's share of its rate limit.
    rate_limiter: RateLimiter,
    /// Number of VMs that share its rate limit, including this one; 0 while unknown.
    sharing_vms: Rc<Cell<usize>>,
    pub(crate) score: RefCell<TargetScore>,
    pub(crate) concurrency_limit: Cell<AdaptiveLimit>,
    pub(crate) request_bytes: InFlightBytes,
    /// Requests that can only be served by this target.
    pub(crate) wait_queue: WaitQueue,
    pub(crate) pool: SharedPool,
    /// Requests that it had when connections to it broke, while it is not known whether it fell.
    pub(crate) broken: RefCell<BrokenRequests>,
    /// Whether a check is under way that shows whether it fell.
    pub(crate) fall_checked: Cell<bool>,
}

/// Counts a request as in flight at a target until it is dropped.
///
/// The drop wakes one request that waits for the target and one that waits for any target of its
/// service.
pub(crate) struct InFlightGuard {
    target: Rc<RegisteredTarget>,
    service_queue: Rc<WaitQueue>,
    /// Size of the request's body.
    bytes: usize,
}

impl RegisteredTarget {
    /// Creates a target without statistics; `rank` is this VM's rank for it, and `sharing_vms` is the
    /// number of VMs that share its rate limit.
    pub(crate) fn new(
        entry: &TargetEntry,
        signals: SharedSignals,
        rank: u64,
        sharing_vms: &Rc<Cell<usize>>,
        now: Timestamp,
    ) -> Self {
        let phase = rank as f64 / u64::MAX as f64;
        Self {
            id: entry.id.clone(),
            hash: xxh3_64(entry.id.as_bytes()),
            born: entry.born,
            address: entry.address,
            zone: entry.zone.clone(),
            slots: entry.slots.get(),
            state: Cell::new(entry.state),
            sharded: Cell::new(false),
            listed_cold: Cell::new(entry.cold_left),
            cold_rule: Cell::new(None),
            cold_limiter: ColdLimiter::new(now + entry.cold_left, phase, now),
            down_until: Cell::new(Timestamp::ZERO),
            signals,
            reported_limit: Cell::default(),
            rate_limiter: RateLimiter::new(rank),
            sharing_vms: Rc::clone(sharing_vms),
            score: RefCell::new(TargetScore::new(DEFAULT_LATENCY)),
            concurrency_limit: Cell::new(AdaptiveLimit::new(
                INITIAL_CONCURRENCY_LIMIT,
                entry.slots.get() * MAX_REQUESTS_PER_SLOT,
            )),
            request_bytes: InFlightBytes::new(MAX_REQUEST_BYTES),
            wait_queue: WaitQueue::default(),
            pool: SharedPool::default(),
            broken: RefCell::default(),
            fall_checked: Cell::new(false),
        }
    }

    /// Whether the concurrency limit allows one more request.
    pub(crate) fn has_capacity(&self) -> bool {
        self.concurrency_limit.get().has_capacity(self.score.borrow().in_flight)
    }

    /// Whether the target's signals, cold limit and rate limit allow a request now;
    /// `leaving_window` as in [`TargetSignals::may_send`].
    pub(crate) fn may_send(&self, leaving_window: Duration, now: Timestamp) -> bool {
        self.signals.get().may_send(leaving_window, now)
            && self.cold_limiter.may_send(now)
            && self.rate_allows(now)
    }

    /// Whether a dispatcher may decide about requests to it: no bound on what all VMs together send to
    /// it is in force.
    pub(crate) fn may_dispatch(&self, leaving_window: Duration, now: Timestamp) -> bool {
        self.is_ready()
            && !self.is_leaving()
            && !self.is_down(now)
            && !self.cold_limiter.is_limited(now)
            && !self.may_be_limited()
            && self.may_send(leaving_window, now)
    }

    /// Whether this VM's share of the rate limit allows one more request.
    pub(crate) fn rate_allows(&self, now: Timestamp) -> bool {
        let limit = self.signals.get().effective_limit(self.reported_limit.get(), now);
        self.rate_limiter.set_limit(limit, self.sharing_vms.get(), now);
        self.rate_limiter.may_send(now)
    }

    /// Whether this VM or the mandate holder knows a rate limit of it that may still be active.
    pub(crate) fn may_be_limited(&self) -> bool {
        let is_announced = matches!(self.reported_limit.get(), ReportedLimit::Limited(_));
        is_announced || self.signals.get().limit().is_some()
    }

    /// Takes a token of the cold limit and the rate limit if a request may be sent now.
    ///
    /// Called once the connection is established, because the limits may have changed meanwhile.
    pub(crate) fn try_take_token(&self, leaving_window: Duration, now: Timestamp) -> bool {
        let may_send = self.may_send(leaving_window, now);
        if may_send {
            self.cold_limiter.record_sent(now);
            self.rate_limiter.record_sent(now);
        }
        may_send
    }

    /// Returns the tokens of a request that was not sent.
    pub(crate) fn return_token(&self, now: Timestamp) {
        self.cold_limiter.refund(now);
        self.rate_limiter.refund(now);
    }

    /// Whether its entry says that it accepts requests.
    pub(crate) fn is_ready(&self) -> bool {
        self.state.get() == TargetState::Ready
    }

    /// Whether it signalled that it is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.signals.get().leaving_since().is_some()
    }

    /// Its position among other targets, on which all VMs agree.
    pub(crate) fn order(&self) -> (u64, &str) {
        (self.hash, &self.id)
    }

    /// Whether this is the instance of an entry, at the same place and with the same slots.
    pub(crate) fn is_of(&self, entry: &TargetEntry) -> bool {
        self.born == entry.born
            && self.address == entry.address
            && self.zone == entry.zone
            && self.slots == entry.slots.get()
    }

    /// The identity of this instance.
    pub(crate) fn instance(&self) -> TargetInstance {
        instance_of(&self.id, self.born, self.address)
    }

    /// Whether it refused a connection of this VM within the last [`DOWN_WINDOW`].
    pub(crate) fn is_down(&self, now: Timestamp) -> bool {
        now < self.down_until.get()
    }

    /// Avoids it for [`DOWN_WINDOW`].
    pub(crate) fn mark_down(&self, now: Timestamp) {
        self.down_until.set(now + DOWN_WINDOW);
    }

    /// Extends the time that it counts as cold.
    pub(crate) fn expect_cold(&self, until: Timestamp, now: Timestamp) {
        if self.cold_limiter.cold_until() < until {
            self.cold_limiter.set_cold_until(until, now);
        }
    }

    /// Applies its entry of the current list.
    pub(crate) fn update_from_entry(&self, entry: &TargetEntry, now: Timestamp) {
        self.state.set(entry.state);
        // An unchanged entry must not restart the cold time with each list.
        if self.listed_cold.replace(entry.cold_left) != entry.cold_left {
            self.cold_limiter.set_cold_until(now + entry.cold_left, now);
            self.down_until.set(Timestamp::ZERO);
        }
    }

    /// Updates its score with the outcome of an attempt.
    pub(crate) fn record_outcome(&self, outcome: TargetOutcome, now: Timestamp) {
        self.score.borrow_mut().record(outcome, now);
    }

    /// Lowers the concurrency limit after it refused a request or broke a connection.
    pub(crate) fn record_refusal(&self) {
        let mut limit = self.concurrency_limit.get();
        limit.record_refusal();
        self.concurrency_limit.set(limit);
    }

    /// Adjusts the concurrency limit to a response's latency with `running` requests in flight.
    pub(crate) fn record_latency(
        &self,
        running: u32,
        latency: Duration,
        latency_target: Duration,
        now: Timestamp,
    ) {
        let baseline = Duration::from_secs_f64(self.score.borrow().baseline_ms() / 1_000.0);
        let mut limit = self.concurrency_limit.get();
        limit.record_response(running, latency, baseline, latency_target, now);
        self.concurrency_limit.set(limit);
    }

    /// Adjusts the concurrency limit to a request that exceeded its latency target.
    pub(crate) fn record_overdue(&self, latency_target: Duration, now: Timestamp) {
        let mut limit = self.concurrency_limit.get();
        limit.record_overdue(latency_target, now);
        self.concurrency_limit.set(limit);
    }
}

impl InFlightGuard {
    pub(crate) fn new(
        target: &Rc<RegisteredTarget>,
        service: &Rc<WaitQueue>,
        bytes: usize,
    ) -> Self {
        target.score.borrow_mut().in_flight += 1;
        target.request_bytes.add(bytes);
        Self { target: Rc::clone(target), service_queue: Rc::clone(service), bytes }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        {
            let mut score = self.target.score.borrow_mut();
            score.in_flight = score.in_flight.saturating_sub(1);
        }
        self.target.request_bytes.remove(self.bytes);
        self.target.wait_queue.wake_one();
        self.service_queue.wake_one();
    }
}
