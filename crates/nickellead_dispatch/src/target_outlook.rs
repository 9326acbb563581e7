//! What to expect of one target at one moment.

use crate::duration_model::SlownessOutlook;

/// Multiple of its expected duration after which a running request shows that its target is slow.
const OVERDUE_RATIO: f64 = 2.0;

/// Room at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TargetRoom {
    /// A slot is free.
    Free,
    /// All slots are in use, but one more request may be sent.
    Extra,
    /// No request may be sent.
    Full,
}

/// What to expect of a target for any request. Computed once, as many requests are compared with it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetOutlook {
    /// Room now.
    pub(crate) room: TargetRoom,
    /// Whether nothing is known to run there.
    pub(crate) is_idle: bool,
    /// Whether it is left out for its failures.
    pub(crate) is_ejected: bool,
    /// Requests that it runs concurrently.
    pub(crate) slots: u32,
    /// When its next slots are free.
    pub(crate) starts: SlotStarts,
    /// Learned ratio between durations here and the usual ones.
    pub(crate) factor: f64,
    /// Reported slowness.
    pub(crate) slowness: SlownessOutlook,
    /// Highest ratio between the age and the expected duration of a running request.
    pub(crate) overdue_ratio: f64,
    /// Increase of the cost by failures.
    pub(crate) failure_factor: f64,
}

/// Most slots of which the next start is known.
const MAX_KNOWN_STARTS: usize = 8;

/// Expected times at which slots are free for requests that wait, from now.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlotStarts {
    /// The first ones, in order.
    known_ms: [f64; MAX_KNOWN_STARTS],
    known: usize,
    /// Requests of unknown age that start or end before.
    unknown: u32,
}

impl SlotStarts {
    /// Collects the starts from the expected ends of requests, of which the first `taken` free a slot for
    /// a request that was already sent; `free` slots are free now.
    pub(crate) fn new(ends_ms: impl Iterator<Item = f64>, taken: u32, free: u32) -> Self {
        let mut times_ms = [f64::INFINITY; MAX_KNOWN_STARTS + 1];
        let mut count = 0;
        let free = (free as usize).min(MAX_KNOWN_STARTS);
        for end_ms in std::iter::repeat_n(0.0, free).chain(ends_ms) {
            insert_sorted(&mut times_ms, end_ms);
            count += 1;
        }
        let skipped = (taken as usize).min(count);
        times_ms.rotate_left(skipped.min(MAX_KNOWN_STARTS));
        let known = (count - skipped).min(MAX_KNOWN_STARTS.saturating_sub(skipped));
        let mut known_ms = [0.0; MAX_KNOWN_STARTS];
        known_ms.copy_from_slice(&times_ms[..MAX_KNOWN_STARTS]);
        Self { known_ms, known, unknown: taken - skipped as u32 }
    }

    /// The time of the start after `before` others.
    fn start_ms(&self, before: usize, duration_ms: f64, slots: u32) -> f64 {
        let slots = f64::from(slots.max(1));
        let unknown_ms = f64::from(self.unknown) * duration_ms / slots;
        if self.known == 0 {
            return unknown_ms + (before + 1) as f64 * duration_ms / slots;
        }
        let round_ms = duration_ms * self.known as f64 / slots;
        let rounds = (before / self.known) as f64;
        self.known_ms[before % self.known] + rounds * round_ms + unknown_ms
    }

    /// Delays the starts that are before `time_ms` until then.
    pub(crate) fn not_before(mut self, time_ms: f64) -> Self {
        for start_ms in &mut self.known_ms {
            *start_ms = start_ms.max(time_ms);
        }
        self
    }
}

/// Inserts a time into a sorted array, whose last entry drops out.
fn insert_sorted(times_ms: &mut [f64], time_ms: f64) {
    let Some(last) = times_ms.last_mut().filter(|last| time_ms < **last) else { return };
    *last = time_ms;
    let mut index = times_ms.len() - 1;
    while index > 0 && times_ms[index - 1] > times_ms[index] {
        times_ms.swap(index - 1, index);
        index -= 1;
    }
}

/// Expected times of one request at one target, from now.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetEstimate {
    /// Room at the target.
    pub(crate) room: TargetRoom,
    /// Whether nothing is known to run there.
    pub(crate) is_idle: bool,
    /// Time until a slot is free.
    pub(crate) wait_ms: f64,
    /// Time until a slot is free for it, after those that go before it.
    pub(crate) turn_ms: f64,
    /// Duration of the request in its slot.
    pub(crate) duration_ms: f64,
    /// Time until its end with a penalty for failures, to compare targets.
    pub(crate) cost: f64,
}

impl TargetOutlook {
    /// Estimates a request whose usual duration is `usual_ms` and that goes before all that wait.
    pub(crate) fn estimate(&self, usual_ms: f64) -> TargetEstimate {
        let duration_ms = self.duration_ms(usual_ms);
        let wait_ms = self.starts.start_ms(0, duration_ms, self.slots);
        let cost = wait_ms + duration_ms * self.failure_factor;
        TargetEstimate {
            room: self.room,
            is_idle: self.is_idle,
            wait_ms,
            turn_ms: wait_ms,
            duration_ms,
            cost,
        }
    }

    /// Time until a slot is free for a request of this duration, after `ahead` others started.
    pub(crate) fn turn_ms(&self, ahead: f64, duration_ms: f64) -> f64 {
        let before = ahead.floor();
        let earlier_ms = self.starts.start_ms(before as usize, duration_ms, self.slots);
        let later_ms = self.starts.start_ms(before as usize + 1, duration_ms, self.slots);
        earlier_ms + (later_ms - earlier_ms) * (ahead - before)
    }

    fn duration_ms(&self, usual_ms: f64) -> f64 {
        let work_ms = usual_ms * self.factor;
        let reported_ms = self.slowness.expected_ms(work_ms);
        if self.overdue_ratio > OVERDUE_RATIO {
            reported_ms.max(work_ms * self.overdue_ratio)
        } else {
            reported_ms
        }
    }
}
