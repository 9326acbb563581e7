//! Enforces one VM's share of a request rate that a target sets for all VMs together.
//!
//! No VM sees the sum of all requests to a target, so each VM gets an equal share of the rate by the
//! number of VMs. The share needs no coordination: the sum stays within the rate also while the
//! mandate (leader lease) has no holder or a VM is cut off.

use std::cell::Cell;
use std::time::Duration;

use nickellead_core::Timestamp;

/// Fraction of the rate that is allocated; the rest covers VMs whose views of the fleet differ briefly.
const ALLOCATED_FRACTION: f64 = 0.9;
/// Minimum rate of all VMs together, in requests per second: without requests no VM would learn that
/// the target has lifted its limit.
const MIN_PROBE_RATE: f64 = 0.1;
/// Requests that all VMs together may send at once after an idle period, whatever the rate is.
const MIN_BURST: f64 = 1.0;
/// Seconds' worth of the rate by which the burst exceeds [`MIN_BURST`].
const BURST_SECONDS: f64 = 1.5;
/// Fraction of the rate that can be served reliably although callers spread unevenly over VMs.
const SUSTAINABLE_FRACTION: f64 = 0.6;
/// Time over which the rate ramps up after the target has lifted its limit, doubling each second.
const RAMP_UP_DURATION: Duration = Duration::from_secs(3);
/// Minimum rate at the start of the ramp-up, in requests per second of all VMs together.
const MIN_RAMP_UP_RATE: f64 = 2.0;

/// Share of a rate that one VM may use.
#[derive(Clone, Copy, Debug, PartialEq)]
struct VmShare {
    /// Requests per second.
    rate: f64,
    /// Requests at once.
    burst: f64,
}

/// Demand in requests per second that an owner of keys can serve under this limit with `vms` VMs.
///
/// Callers spread unevenly over VMs, so a VM serves requests reliably only if its share is well above
/// its demand. A VM whose share is less than a whole request serves requests only by chance.
#[must_use]
pub fn sustainable_rate(rate: f64, vms: usize) -> f64 {
    rate * SUSTAINABLE_FRACTION * VmShare::new(rate, vms).burst.min(1.0)
}

impl VmShare {
    /// Share of one of `vms` VMs.
    fn new(rate: f64, vms: usize) -> Self {
        let vms = vms.max(1) as f64;
        let allocated = (rate * ALLOCATED_FRACTION).max(MIN_PROBE_RATE);
        Self { rate: allocated / vms, burst: (MIN_BURST + rate * BURST_SECONDS) / vms }
    }

    /// Whether the burst is less than a whole request, so that the share is granted at random.
    fn is_randomized(self) -> bool {
        self.burst < 1.0
    }

    /// Time in which an empty bucket fills up to the burst.
    fn refill_period(self) -> Duration {
        Duration::from_secs_f64(self.burst / self.rate)
    }
}

/// Limit that a target has set, as known to this VM.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum LimiterState {
    #[default]
    Unlimited,
    /// Requests per second from all VMs together.
    Limited(f64),
    /// The limit was lifted at `since`; the rate grows from `from` requests per second.
    RampingUp { from: f64, since: Timestamp },
}

/// Limits one VM's requests to its share of a target's rate.
///
/// A share whose burst is at least one request is a token bucket. Smaller shares, as in a fleet of
/// hundreds of VMs, are granted at random: with buckets, all VMs would hold a whole token after an
/// idle period and send at the same moment. In each refill period a VM gets one request with a
/// probability equal to its burst, and none otherwise.
#[derive(Debug)]
pub struct RateLimiter {
    state: Cell<LimiterState>,
    vms: Cell<usize>,
    tokens: Cell<f64>,
    /// Time of the last refill, or end of the current random grant.
    accounted_until: Cell<Timestamp>,
    rng_state: Cell<u64>,
}

impl RateLimiter {
    /// Creates a limiter without a limit.
    ///
    /// `seed` must differ between VMs and between targets, so that random grants are independent.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            state: Cell::default(),
            vms: Cell::new(0),
            tokens: Cell::new(0.0),
            accounted_until: Cell::new(Timestamp::ZERO),
            rng_state: Cell::new(seed),
        }
    }

    /// Sets the requests per second that `vms` VMs may send together; `None` lifts the limit.
    ///
    /// If no VMs are known, this VM's share is unknown and the limiter blocks all requests.
    pub fn set_limit(&self, limit: Option<f64>, vms: usize, now: Timestamp) {
        self.vms.set(vms);
        let next = match (self.state.get(), limit) {
            (state, None) => state.without_limit(now),
            (LimiterState::Unlimited, Some(rate)) => {
                self.start(VmShare::new(rate, vms), now);
                LimiterState::Limited(rate)
            }
            (_, Some(rate)) => LimiterState::Limited(rate),
        };
        self.state.set(next);
    }

    /// Whether requests to the target are limited now.
    #[must_use]
    pub fn is_limited(&self, now: Timestamp) -> bool {
        self.rate(now).is_some()
    }

    /// Whether one more request may be sent now.
    #[must_use]
    pub fn may_send(&self, now: Timestamp) -> bool {
        let Some(rate) = self.rate(now) else { return true };
        if self.vms.get() == 0 {
            return false;
        }
        let share = VmShare::new(rate, self.vms.get());
        match share.is_randomized() {
            true => self.draw(share, now),
            false => self.refill(share, now),
        }
        self.tokens.get() >= 1.0
    }

    /// Takes the token of a request that is sent.
    pub fn record_sent(&self, now: Timestamp) {
        if self.is_limited(now) {
            self.tokens.set(self.tokens.get() - 1.0);
        }
    }

    /// Returns the token of a request that was recorded but not sent.
    pub fn refund(&self, now: Timestamp) {
        if self.is_limited(now) {
            self.tokens.set(self.tokens.get() + 1.0);
        }
    }

    /// Requests per second that all VMs together may send now; `None` without a limit.
    fn rate(&self, now: Timestamp) -> Option<f64> {
        match self.state.get() {
            LimiterState::Unlimited => None,
            LimiterState::Limited(rate) => Some(rate),
            LimiterState::RampingUp { from, since } => {
                let elapsed = now.since(since);
                (elapsed < RAMP_UP_DURATION).then(|| from * elapsed.as_secs_f64().exp2())
            }
        }
    }

    /// Starts with an empty bucket: requests up to now were not limited.
    fn start(&self, share: VmShare, now: Timestamp) {
        self.tokens.set(0.0);
        self.accounted_until.set(match share.is_randomized() {
            true => now + share.refill_period().mul_f64(self.next_random()),
            false => now,
        });
    }

    fn refill(&self, share: VmShare, now: Timestamp) {
        let elapsed_s = now.since(self.accounted_until.get()).as_secs_f64();
        self.accounted_until.set(self.accounted_until.get().max(now));
        self.tokens.set((self.tokens.get() + elapsed_s * share.rate).min(share.burst));
    }

    /// Decides at random whether this VM may send a request in the current refill period.
    fn draw(&self, share: VmShare, now: Timestamp) {
        if now < self.accounted_until.get() {
            return;
        }
        let period = share.refill_period();
        let elapsed = now.since(self.accounted_until.get());
        // Periods without requests are skipped; the boundaries of periods stay where they are.
        let skipped = elapsed.as_millis() / period.as_millis().max(1);
        let start =
            self.accounted_until.get() + period * u32::try_from(skipped).unwrap_or(u32::MAX);
        self.accounted_until.set(start + period);
        let is_granted = self.next_random() < share.burst;
        self.tokens.set(if is_granted { 1.0 } else { 0.0 });
    }

    /// Next number in `0.0..1.0` of a SplitMix64 generator.
    fn next_random(&self) -> f64 {
        let state = self.rng_state.get().wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.rng_state.set(state);
        let mixed = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }
}

impl LimiterState {
    /// State after the target has lifted its limit.
    fn without_limit(self, now: Timestamp) -> Self {
        match self {
            Self::Unlimited => Self::Unlimited,
            Self::Limited(rate) => Self::RampingUp { from: rate.max(MIN_RAMP_UP_RATE), since: now },
            Self::RampingUp { since, .. } if now.since(since) >= RAMP_UP_DURATION => {
                Self::Unlimited
            }
            Self::RampingUp { .. } => self,
        }
    }
}
