//! The mandate: which VM decides about ranges.
//!
//! One object in the store names the holder, who renews it. The holder counts
//! its mandate from before the write that renewed it was sent; everybody else
//! counts from when they first saw the object as it is. So the holder's count
//! always ends before another VM may take the mandate.

use std::net::SocketAddr;
use std::time::Duration;

use nickellead_core::{DriftBound, Timestamp, enforced};

use crate::{MandateRecord, Revision, Stored};

/// How long a mandate is valid after the write that renewed it was sent.
pub const MANDATE_TIME: Duration = Duration::from_millis(2_200);
/// Bound on the difference of clock rates between VMs: their clocks are ordinary ones, and 1% is far
/// above what any working one shows.
const CLOCK_DRIFT: DriftBound = DriftBound { parts_per_million: 10_000 };
/// Between two renewals.
pub const MANDATE_RENEWAL: Duration = Duration::from_millis(700);
/// Clocks may differ in rate; waited beyond the mandate's time by those who want it.
pub const MANDATE_MARGIN: Duration = Duration::from_millis(100);
/// Between two looks of a VM that does not hold it.
pub const MANDATE_LOOK: Duration = Duration::from_millis(500);
/// How long a VM whose mandate ran out may renew what stands, as long as it saw no successor.
///
/// With the mandate's time before and a hold after it, keys outlive an outage of the store of eleven
/// seconds; the longest one played is nine. A successor adds it to the bounds on lost targets.
pub const RENEWAL_GRACE: Duration = Duration::from_millis(4_500);

/// How much longer than its last holder other VMs wait before they take a mandate that ran out while
/// the store was away.
///
/// The holder tries again each 0.7 s. It alone knows what its orders came to meanwhile.
pub const RETURN_PRECEDENCE: Duration = Duration::from_millis(800);

/// What a VM may send to targets now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MandatePower {
    /// Nothing.
    None,
    /// Renewals of what stands.
    RenewalsOnly,
    /// Everything.
    Full,
}

/// When an order is sent at the latest, beside the moment at which the mandate is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LastOrder {
    /// This long ago.
    Before(Duration),
    /// This long from now on.
    After(Duration),
}

impl LastOrder {
    /// An order that is sent when this moment comes at the latest.
    pub const NOW: Self = Self::After(Duration::ZERO);

    /// The latest moment, `now` being when the mandate is taken or later.
    #[must_use]
    pub fn latest(self, now: Timestamp) -> Timestamp {
        match self {
            Self::Before(length) => Timestamp(now.0.saturating_sub(length.as_millis() as u64)),
            Self::After(length) => now + length,
        }
    }

    fn at_least_now(self) -> Self {
        match self {
            Self::Before(_) => Self::NOW,
            Self::After(_) => self,
        }
    }

    /// The end of a power that lasts for `power`, of which `passed` is over.
    fn of_power(power: Duration, passed: Duration) -> Self {
        match passed.checked_sub(power) {
            Some(over) => Self::Before(over),
            None => Self::After(power - passed),
        }
    }
}

/// What those who held the mandate before may have done that the store does not tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PredecessorBounds {
    /// When the last one, and so any of them, sends its last renewal at the latest.
    pub last: LastOrder,
    /// When the last one sent its last order to holders that it was about to replace, and those
    /// before it their last renewal, at the latest.
    pub earlier: LastOrder,
    /// Whether the last one may have met late orders while it could not write this down.
    pub lateness_unknown: bool,
}

/// One VM's part in holding the mandate.
#[derive(Clone, Debug)]
pub struct MandateState {
    vm: String,
    address: SocketAddr,
    incarnation: u64,
    /// Waited longer than others before the mandate is taken.
    extra_wait: Duration,
    /// The object as last seen, and when it was first seen so.
    seen: Option<(Stored<MandateRecord>, Timestamp)>,
    /// Whether it was then written by a VM that could write all the time since it was written before.
    written_in_time: bool,
    /// Whether the object was looked for and is absent.
    absent: bool,
    /// When the store last failed to answer this VM.
    unreached: Option<Timestamp>,
    /// When it first answered this VM again.
    returned: Option<Timestamp>,
    held: bool,
    /// Until when this VM may send everything, while it holds the mandate.
    valid_until: Timestamp,
    predecessors: PredecessorBounds,
}

/// A write that would take or renew the mandate.
#[derive(Clone, Debug)]
pub struct MandateWrite {
    /// Revision that the object must have; `None` when it must not exist.
    pub expected: Option<Revision>,
    /// What is written.
    pub record: MandateRecord,
}

impl MandateState {
    /// A VM that knows nothing of the mandate yet.
    #[must_use]
    pub fn new(vm: String, address: SocketAddr, incarnation: u64, extra_wait: Duration) -> Self {
        Self {
            vm,
            address,
            incarnation,
            extra_wait,
            seen: None,
            written_in_time: false,
            absent: false,
            unreached: None,
            returned: None,
            held: false,
            valid_until: Timestamp::ZERO,
            predecessors: PredecessorBounds {
                last: LastOrder::After(RENEWAL_GRACE),
                earlier: LastOrder::After(RENEWAL_GRACE),
                lateness_unknown: true,
            },
        }
    }

    /// Whether this VM took the mandate and has seen no other holder since.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.held
    }

    /// Whether nobody has ever held the mandate, as far as this VM knows.
    #[must_use]
    pub fn is_absent(&self) -> bool {
        self.absent
    }

    /// The mandate as last seen.
    #[must_use]
    pub fn seen(&self) -> Option<&Stored<MandateRecord>> {
        self.seen.as_ref().map(|(seen, _)| seen)
    }

    /// What this VM may send at this moment.
    #[must_use]
    pub fn power(&self, now: Timestamp) -> MandatePower {
        if !self.held {
            MandatePower::None
        } else if now < self.valid_until {
            MandatePower::Full
        } else if now < self.valid_until + RENEWAL_GRACE {
            MandatePower::RenewalsOnly
        } else {
            MandatePower::None
        }
    }

    /// Notes that the store did not answer a call of this VM, or turned it away.
    pub fn note_unreached(&mut self, now: Timestamp) {
        self.unreached = Some(now);
        self.returned = None;
    }

    /// Notes that the store answered this VM.
    pub fn note_reached(&mut self, now: Timestamp) {
        self.returned = self.returned.or(self.unreached.map(|_| now));
    }

    /// Whether the store was away for this VM since it saw the mandate change.
    fn was_unreached(&self) -> bool {
        let Some((_, since)) = &self.seen else { return false };
        self.unreached.is_some_and(|unreached| unreached >= *since)
    }

    /// Takes in the object as read; tells whether the mandate was lost by it.
    pub fn note_read(&mut self, read: Option<Stored<MandateRecord>>, now: Timestamp) -> bool {
        let Some(read) = read else {
            self.absent = self.seen.is_none();
            return false;
        };
        self.absent = false;
        let newer = self.seen.as_ref().is_none_or(|(known, _)| read.revision > known.revision);
        if !newer {
            return false;
        }
        let mine = self.is_mine(&read.value);
        self.written_in_time = self.follows_in_time(&read.value, now);
        self.seen = Some((read, now));
        if mine || !self.held {
            return false;
        }
        self.held = false;
        true
    }

    /// Whether whoever wrote this had its mandate's full power since what was seen before.
    ///
    /// Not so if the mandate had run out by then: a renewal sent before may have been done late. And
    /// not so for a VM that took it from one that did not give it back, as long as it did not renew it:
    /// it may not have written down yet what it reckons with.
    fn follows_in_time(&self, read: &MandateRecord, now: Timestamp) -> bool {
        let Some((before, since)) = &self.seen else { return false };
        let goes_on = before.value.taken == read.taken || before.value.vacant;
        goes_on && now.since(*since) <= MANDATE_TIME
    }

    fn is_mine(&self, record: &MandateRecord) -> bool {
        record.vm == self.vm && record.incarnation == self.incarnation && !record.vacant
    }

    /// The write that is due for a VM that holds the mandate, or may take it.
    #[must_use]
    pub fn due_write(&self, now: Timestamp) -> Option<MandateWrite> {
        let record = |renewals, taken| MandateRecord {
            vm: self.vm.clone(),
            address: self.address,
            incarnation: self.incarnation,
            renewals,
            taken,
            vacant: false,
        };
        let Some((seen, since)) = &self.seen else {
            return self.absent.then(|| MandateWrite { expected: None, record: record(1, 1) });
        };
        let renewals = seen.value.renewals + 1;
        let taken = if self.is_mine(&seen.value) { seen.value.taken } else { renewals };
        let write = MandateWrite { expected: Some(seen.revision), record: record(renewals, taken) };
        // A process of the same VM with another incarnation has ended before this one started.
        let own = seen.value.vm == self.vm;
        let free = self.is_free(&seen.value, *since, now);
        (self.held || own || free).then_some(write)
    }

    /// Whether any VM may take a mandate that has stood unchanged since `since`.
    fn is_free(&self, seen: &MandateRecord, since: Timestamp, now: Timestamp) -> bool {
        if seen.vacant {
            return now.since(since) >= self.extra_wait;
        }
        let waited = MANDATE_TIME + MANDATE_MARGIN + self.extra_wait;
        let ran_out = now.since(since) >= waited || !enforced!("wait_for_mandate");
        // The last look that failed may lie further back than the store's return.
        let back = self.returned.or(self.unreached).filter(|_| self.was_unreached());
        let yields = back.is_some_and(|back| now.since(back) < RETURN_PRECEDENCE);
        ran_out && !yields
    }

    /// What predecessors may have done when this VM took the mandate, and may do yet.
    #[must_use]
    pub fn predecessors(&self) -> PredecessorBounds {
        self.predecessors
    }

    /// The same, for a keeper that starts to send orders: one made after it must reckon with these too.
    pub fn take_predecessors(&mut self) -> PredecessorBounds {
        let bounds = self.predecessors;
        self.predecessors.last = bounds.last.at_least_now();
        self.predecessors.earlier = bounds.earlier.at_least_now();
        bounds
    }

    /// The same, as the mandate and the store's outages tell it at this moment.
    fn bound_predecessors(&self, now: Timestamp) -> PredecessorBounds {
        let Some((seen, since)) = &self.seen else {
            return PredecessorBounds {
                last: LastOrder::NOW,
                earlier: LastOrder::NOW,
                lateness_unknown: false,
            };
        };
        let last = &seen.value;
        // Giving the mandate back stops a VM, and so does its restart.
        let stopped = last.vacant || (last.vm == self.vm && last.incarnation != self.incarnation);
        let held = MANDATE_RENEWAL * (last.renewals.saturating_sub(last.taken)) as u32;
        let earlier_over = held >= RENEWAL_GRACE + MANDATE_TIME;
        // What stood in the store when this VM first saw it was sent before; powers that others count
        // from then may last a little longer by this VM's clock.
        let passed = now.since(*since);
        let full = CLOCK_DRIFT.stretch(MANDATE_TIME) + MANDATE_MARGIN;
        let grace = CLOCK_DRIFT.stretch(RENEWAL_GRACE);
        // Those before the last one had lost their full power when it took the mandate.
        let earlier = match (earlier_over, stopped) {
            (false, _) => grace,
            (true, false) => full,
            (true, true) => Duration::ZERO,
        };
        let last_one = if stopped { earlier } else { full + grace };
        PredecessorBounds {
            last: LastOrder::of_power(last_one, passed),
            earlier: LastOrder::of_power(earlier, passed),
            lateness_unknown: self.is_lateness_unknown(last) && enforced!("unknown_lateness"),
        }
    }

    /// Whether the last holder may have met late orders and not have written this down.
    ///
    /// One that gave the mandate back left nothing untold. Of any other one this VM must have seen
    /// that it could write: a VM that has just started can't know that the store was away before.
    fn is_lateness_unknown(&self, last: &MandateRecord) -> bool {
        !last.vacant && (self.was_unreached() || !self.written_in_time)
    }

    /// The write that gives the mandate back.
    pub fn vacating_write(&mut self) -> Option<MandateWrite> {
        if !self.held {
            return None;
        }
        self.held = false;
        let (seen, _) = self.seen.as_ref()?;
        let record = MandateRecord { vacant: true, ..seen.value.clone() };
        Some(MandateWrite { expected: Some(seen.revision), record })
    }

    /// Takes in the answer to a write sent at `sent`; tells whether the mandate was just taken.
    ///
    /// The answer is `None` when the write failed.
    pub fn note_written(
        &mut self,
        write: &MandateWrite,
        answer: Option<Revision>,
        sent: Timestamp,
        now: Timestamp,
    ) -> bool {
        let Some(revision) = answer else {
            return false;
        };
        if !self.held {
            self.predecessors = self.bound_predecessors(now);
        }
        let stored = Stored { revision, value: write.record.clone() };
        self.seen = Some((stored, now));
        self.valid_until = sent + MANDATE_TIME;
        if !enforced!("mandate_ends") {
            self.valid_until = sent + MANDATE_TIME * 1_000;
        }
        !std::mem::replace(&mut self.held, true)
    }
}
