//! One VM's part of the requests a second that a target takes from all VMs together.
//!
//! A target in need names a rate for the whole fleet, of which no VM sees the sum. So each VM has an equal
//! part of it by how many VMs there are, and needs nobody's word to keep it: while the mandate's holder is
//! lost or the VM is cut off, the sum stays within the rate.

use std::cell::Cell;
use std::time::Duration;

use nickellead_core::Timestamp;

/// Part of a rate that is given out; the rest covers VMs that know different fleets for a moment.
const GIVEN_PART: f64 = 0.9;
/// A target that takes less is asked as often as this by all VMs together, in requests a second: nobody would
/// hear that its need is over.
const PROBE_RATE: f64 = 0.1;
/// Requests that all VMs together may send at once after a quiet time...
const BURST_LEAST: f64 = 1.0;
/// ...and as many more as the target takes in this many seconds.
const BURST_SECONDS: f64 = 1.5;
/// Part of a rate that callers may ask for and be served, wherever they come.
const KEPT_PART: f64 = 0.6;
/// How long VMs come back once the need is over: the part doubles each second.
const RETURN_TIME: Duration = Duration::from_secs(3);
/// Requests a second from which all VMs together come back, if the rate was lower.
const RETURN_LEAST: f64 = 2.0;

/// What one VM may send.
#[derive(Clone, Copy, Debug, PartialEq)]
struct RatePart {
    /// Requests a second.
    rate: f64,
    /// Requests at once.
    burst: f64,
}

/// Requests a second for an owner's keys that it should keep while it names this rate to so many VMs.
///
/// Callers come unevenly, so a VM serves a request for sure only while its part is a good deal more than it is
/// asked for, and by chance where its part is less than a request.
#[must_use]
pub fn sustainable_rate(rate: f64, vms: usize) -> f64 {
    rate * KEPT_PART * RatePart::of(rate, vms).burst.min(1.0)
}

impl RatePart {
    /// The part of one of this many VMs.
    fn of(rate: f64, vms: usize) -> Self {
        let vms = vms.max(1) as f64;
        let given = (rate * GIVEN_PART).max(PROBE_RATE);
        Self { rate: given / vms, burst: (BURST_LEAST + rate * BURST_SECONDS) / vms }
    }

    /// Whether it is less than a request, and given by lot.
    fn is_drawn(self) -> bool {
        self.burst < 1.0
    }

    /// The time in which it comes to its burst.
    fn time(self) -> Duration {
        Duration::from_secs_f64(self.burst / self.rate)
    }
}

/// What a target takes, as far as one VM knows.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum GateState {
    /// Whatever it is sent.
    #[default]
    Open,
    /// So many requests a second from all VMs together.
    Limited(f64),
    /// More and more from then on, beginning with that many.
    Returning { from: f64, since: Timestamp },
}

/// Lets through one VM's part.
///
/// A part of a request or more at once is a bucket that refills. Smaller parts, as hundreds of VMs have, are
/// drawn: else all VMs would have saved a whole request after a quiet time, and send it in one moment. For as
/// long as a bucket takes to refill a VM has one request or none, with the chance that its part is.
#[derive(Debug)]
pub struct RateLimiter {
    state: Cell<GateState>,
    vms: Cell<usize>,
    tokens: Cell<f64>,
    /// Until then the bucket is reckoned, or the draw counts.
    reckoned: Cell<Timestamp>,
    draws: Cell<u64>,
}

impl RateLimiter {
    /// An open gate; `seed` differs from VM to VM and from target to target, so that draws do.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            state: Cell::default(),
            vms: Cell::new(0),
            tokens: Cell::new(0.0),
            reckoned: Cell::new(Timestamp::ZERO),
            draws: Cell::new(seed),
        }
    }

    /// Notes how many requests a second the target takes from this many VMs together, or that it names no
    /// limit. With no VMs known nobody can tell this one's part, and nothing is sent.
    pub fn set_limit(&self, limit: Option<f64>, vms: usize, now: Timestamp) {
        self.vms.set(vms);
        let next = match (self.state.get(), limit) {
            (state, None) => state.without_limit(now),
            (GateState::Open, Some(rate)) => {
                self.start(RatePart::of(rate, vms), now);
                GateState::Limited(rate)
            }
            (_, Some(rate)) => GateState::Limited(rate),
        };
        self.state.set(next);
    }

    /// Whether the target's requests are bounded now.
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
        let part = RatePart::of(rate, self.vms.get());
        match part.is_drawn() {
            true => self.draw(part, now),
            false => self.refill(part, now),
        }
        self.tokens.get() >= 1.0
    }

    /// Counts a request that is sent.
    pub fn record_sent(&self, now: Timestamp) {
        if self.is_limited(now) {
            self.tokens.set(self.tokens.get() - 1.0);
        }
    }

    /// Gives a request back that was counted and not sent.
    pub fn refund(&self, now: Timestamp) {
        if self.is_limited(now) {
            self.tokens.set(self.tokens.get() + 1.0);
        }
    }

    /// Requests a second that all VMs together may send now, if they are bounded.
    fn rate(&self, now: Timestamp) -> Option<f64> {
        match self.state.get() {
            GateState::Open => None,
            GateState::Limited(rate) => Some(rate),
            GateState::Returning { from, since } => {
                let passed = now.since(since);
                (passed < RETURN_TIME).then(|| from * passed.as_secs_f64().exp2())
            }
        }
    }

    /// Begins with nothing: the target was sent what it wanted until now.
    fn start(&self, part: RatePart, now: Timestamp) {
        self.tokens.set(0.0);
        self.reckoned.set(match part.is_drawn() {
            true => now + part.time().mul_f64(self.next_draw()),
            false => now,
        });
    }

    fn refill(&self, part: RatePart, now: Timestamp) {
        let passed = now.since(self.reckoned.get()).as_secs_f64();
        self.reckoned.set(self.reckoned.get().max(now));
        self.tokens.set((self.tokens.get() + passed * part.rate).min(part.burst));
    }

    fn draw(&self, part: RatePart, now: Timestamp) {
        if now < self.reckoned.get() {
            return;
        }
        let length = part.time();
        let passed = now.since(self.reckoned.get());
        // Draws that nobody asked for are passed over, and their times stand.
        let whole = passed.as_millis() / length.as_millis().max(1);
        let begun = self.reckoned.get() + length * u32::try_from(whole).unwrap_or(u32::MAX);
        self.reckoned.set(begun + length);
        let drawn = self.next_draw() < part.burst;
        self.tokens.set(if drawn { 1.0 } else { 0.0 });
    }

    /// A number from 0 to 1.
    fn next_draw(&self) -> f64 {
        // The generator SplitMix64.
        let state = self.draws.get().wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.draws.set(state);
        let mixed = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }
}

impl GateState {
    /// The state of a target that names no limit now.
    fn without_limit(self, now: Timestamp) -> Self {
        match self {
            Self::Open => Self::Open,
            Self::Limited(rate) => Self::Returning { from: rate.max(RETURN_LEAST), since: now },
            Self::Returning { since, .. } if now.since(since) >= RETURN_TIME => Self::Open,
            Self::Returning { .. } => self,
        }
    }
}
