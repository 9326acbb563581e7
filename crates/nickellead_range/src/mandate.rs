//! The mandate: which VM decides about ranges.
//!
//! One object in the store names the holder, who renews it. The holder counts
//! its mandate from before the write that renewed it was sent; everybody else
//! counts from when they first saw the object as it is. So the holder's count
//! always ends before another VM may take the mandate.
//!
//! When the store comes back from an older copy, a new era, the object may name a former holder and
//! fewer renewals than were made. Who held the mandate takes it up again at once if its power had not
//! ended; else it waits for as long as that is over, so that of two the later one goes first, and sends nothing
//! but renewals until any other power of the time before is over. Everybody else, and who has not even the
//! grace left, waits as for any mandate that they see for the first time, whatever the object says.

use std::net::SocketAddr;
use std::time::Duration;

use nickellead_core::{DriftBound, Timestamp, enforced};

use crate::{LastOrder, MandateRecord, PredecessorBounds, Revision, StoreEra, Stored};

/// How long a mandate is valid after the write that renewed it was sent.
pub const MANDATE_TTL: Duration = Duration::from_millis(2_200);
/// Bound on the difference of clock rates between VMs: their clocks are ordinary ones, and 1% is far
/// above what any working one shows.
const CLOCK_DRIFT: DriftBound = DriftBound { parts_per_million: 10_000 };
/// Between two renewals.
pub const MANDATE_RENEWAL_INTERVAL: Duration = Duration::from_millis(700);
/// Clocks may differ in rate; waited beyond the mandate's time by those who want it.
pub const MANDATE_EXPIRY_MARGIN: Duration = Duration::from_millis(100);
/// Between two looks of a VM that does not hold it.
pub const MANDATE_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// How long a VM whose mandate ran out may renew what stands, as long as it saw no successor.
///
/// With the mandate's time before and a hold after it, keys outlive an outage of the store of eleven
/// seconds; the longest one played is nine. A successor adds it to the bounds on lost targets.
pub const RENEWAL_GRACE: Duration = Duration::from_millis(4_500);

/// How much longer than its last holder other VMs wait before they take a mandate that ran out while
/// the store was away.
///
/// The holder tries again each 0.7 s. It alone knows what its orders came to meanwhile.
pub const POST_OUTAGE_TAKEOVER_DELAY: Duration = Duration::from_millis(800);

/// How much longer a VM waits for the mandate that knows nothing of the time before the store came back from a
/// copy: longer than weak VMs do.
const NEWCOMER_TAKEOVER_DELAY: Duration = Duration::from_millis(2_000);

/// What a VM may send to targets now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MandateAuthority {
    /// Nothing.
    None,
    /// Renewals of what stands.
    RenewalsOnly,
    /// Everything.
    Full,
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
    /// Since when the object, which this VM never saw, was looked for and is absent.
    absent_since: Option<Timestamp>,
    /// When the store last failed to answer this VM.
    unreached: Option<Timestamp>,
    /// When it first answered this VM again.
    returned: Option<Timestamp>,
    held: bool,
    /// What `renewals` was when this VM took the mandate that it holds.
    taken: u64,
    /// Most renewals that this VM ever saw.
    renewals: u64,
    /// The store's era as far as this VM knows.
    era: StoreEra,
    /// When this VM heard that a new era had begun.
    era_since: Timestamp,
    /// The era in which this VM first heard of the store.
    first_era: Option<StoreEra>,
    /// Whether the object is absent in this era, though it was there in an earlier one.
    lost: bool,
    /// Until when this VM may send everything, while it holds the mandate.
    valid_until: Timestamp,
    /// Until when it may send nothing but renewals all the same: another VM may have taken the
    /// mandate of the era before and still have its power.
    settled_at: Timestamp,
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
            absent_since: None,
            unreached: None,
            returned: None,
            held: false,
            taken: 0,
            renewals: 0,
            era: StoreEra::default(),
            era_since: Timestamp::ZERO,
            first_era: None,
            lost: false,
            valid_until: Timestamp::ZERO,
            settled_at: Timestamp::ZERO,
            predecessors: PredecessorBounds {
                last_holder: LastOrder::After(RENEWAL_GRACE),
                earlier_holders: LastOrder::After(RENEWAL_GRACE),
                late_orders_unknown: true,
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
        self.absent_since.is_some()
    }

    /// Most renewals that this VM ever saw.
    #[must_use]
    pub fn renewals(&self) -> u64 {
        self.renewals
    }

    /// The mandate as last seen.
    #[must_use]
    pub fn seen(&self) -> Option<&Stored<MandateRecord>> {
        self.seen.as_ref().map(|(seen, _)| seen)
    }

    /// What this VM may send at this moment.
    #[must_use]
    pub fn authority(&self, now: Timestamp) -> MandateAuthority {
        if !self.held {
            MandateAuthority::None
        } else if now < self.valid_until && now >= self.settled_at {
            MandateAuthority::Full
        } else if now < self.valid_until + RENEWAL_GRACE {
            MandateAuthority::RenewalsOnly
        } else {
            MandateAuthority::None
        }
    }

    /// Notes that the store did not answer a call of this VM, or turned it away.
    pub fn observe_store_failure(&mut self, now: Timestamp) {
        self.unreached = Some(now);
        self.returned = None;
    }

    /// Notes that the store answered this VM.
    pub fn observe_store_response(&mut self, now: Timestamp) {
        self.returned = self.returned.or(self.unreached.map(|_| now));
    }

    /// Whether the store was away for this VM since it saw the mandate change.
    fn was_unreached(&self) -> bool {
        let Some((_, since)) = &self.seen else { return false };
        self.unreached.is_some_and(|unreached| unreached >= *since)
    }

    /// Notes in which era the store is; an earlier one than is known is ignored.
    pub fn observe_era(&mut self, era: StoreEra, now: Timestamp) {
        self.first_era.get_or_insert(era);
        if era > self.era {
            self.era = era;
            self.era_since = now;
        }
    }

    /// The store's era as far as this VM knows.
    #[must_use]
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// Whether the object has to be read before it can be written: what this VM saw of it is of an earlier
    /// era.
    #[must_use]
    pub fn is_outdated(&self) -> bool {
        !self.lost && self.seen().is_some_and(|seen| seen.revision.era < self.era)
    }

    /// Takes in the object as read; tells whether the mandate was lost by it.
    pub fn apply_read(&mut self, read: Option<Stored<MandateRecord>>, now: Timestamp) -> bool {
        let Some(read) = read else {
            if self.seen.is_none() {
                self.absent_since.get_or_insert(now);
            }
            self.lost |= self.is_outdated();
            let outlived = self.held && self.is_outlived(now);
            self.held &= !outlived;
            return outlived;
        };
        self.absent_since = None;
        let newer = self.seen.as_ref().is_none_or(|(known, _)| read.revision > known.revision);
        if !newer {
            return false;
        }
        self.observe_era(read.revision.era, now);
        self.lost = false;
        self.renewals = self.renewals.max(read.value.renewals);
        let goes_on = self.is_mine(&read.value) || self.is_former(&read);
        self.written_in_time = self.follows_in_time(&read, now);
        self.seen = Some((read, now));
        let goes_on = goes_on && !(self.is_outlived(now) && enforced!("outlived_mandate"));
        if goes_on || !self.held {
            return false;
        }
        self.held = false;
        true
    }

    /// Whether the store lost the mandate that this VM holds, and its grace is over as well: another VM
    /// may have held it for long.
    fn is_outlived(&self, now: Timestamp) -> bool {
        let lost = self.seen().is_some_and(|seen| seen.is_from_earlier_era() || self.lost);
        lost && now >= self.valid_until + RENEWAL_GRACE
    }

    /// Whether a copy brought back what stood before this VM took the mandate that it holds.
    fn is_former(&self, read: &Stored<MandateRecord>) -> bool {
        read.is_from_earlier_era() && read.value.taken < self.taken
    }

    /// Whether whoever wrote this had its mandate's full power since what was seen before.
    ///
    /// Not so if the mandate had run out by then: a renewal sent before may have been done late. And
    /// not so for a VM that took it from one that did not give it back, as long as it did not renew it:
    /// it may not have written down yet what it reckons with.
    fn follows_in_time(&self, read: &Stored<MandateRecord>, now: Timestamp) -> bool {
        let Some((before, since)) = &self.seen else { return false };
        let goes_on = before.value.taken == read.value.taken || before.value.vacant;
        let same_era = before.revision.era == read.revision.era;
        goes_on && same_era && now.since(*since) <= MANDATE_TTL
    }

    fn is_mine(&self, record: &MandateRecord) -> bool {
        record.vm == self.vm && record.incarnation == self.incarnation && !record.vacant
    }

    /// The write that is due for a VM that holds the mandate, or may take it.
    #[must_use]
    pub fn due_write(&self, now: Timestamp) -> Option<MandateWrite> {
        let renewals = self.renewals + 1;
        let record = MandateRecord {
            vm: self.vm.clone(),
            address: self.address,
            incarnation: self.incarnation,
            renewals,
            taken: if self.held { self.taken } else { renewals },
            vacant: false,
            era: self.era,
        };
        let Some((seen, since)) = &self.seen else {
            let may_make = self.absent_since.is_some_and(|since| self.may_make(since, now));
            return may_make.then_some(MandateWrite { expected: None, record });
        };
        if self.is_outdated() {
            return None;
        }
        let expected = (!self.lost).then_some(seen.revision);
        let may_write = match self.held {
            true => self.may_go_on(now),
            false if self.lost => self.is_free(seen, self.era_since, now),
            false => self.is_own(seen) || self.is_free(seen, *since, now),
        };
        may_write.then_some(MandateWrite { expected, record })
    }

    /// Whether a VM that never saw the object may make it: in a later era a copy may have lost it.
    fn may_make(&self, absent_since: Timestamp, now: Timestamp) -> bool {
        let waited = MANDATE_TTL + MANDATE_EXPIRY_MARGIN + self.extra_wait;
        self.era.may_be_first() || now.since(absent_since) >= waited
    }

    /// Whether this VM, which holds the mandate, may write it: in a new era after those whose power has not
    /// ended, if its own has.
    fn may_go_on(&self, now: Timestamp) -> bool {
        let settled = self.seen().is_some_and(|seen| seen.value.era == self.era && !self.lost);
        let over = self.era_since.since(self.valid_until);
        settled || now < self.valid_until || now.since(self.era_since) >= over
    }

    /// Until when a VM that took the mandate in the time that the store lost, unseen by this one, which
    /// holds it, may send renewals; `None` if there can't be any.
    #[must_use]
    pub fn rival_until(&self) -> Option<Timestamp> {
        let settled_here = self.settled_at > self.era_since;
        settled_here.then(|| self.settled_at + CLOCK_DRIFT.stretch(RENEWAL_GRACE))
    }

    /// Whether a former process of this VM held the mandate: it has ended before this one started. What a
    /// copy says may have been followed by another VM's word.
    fn is_own(&self, seen: &Stored<MandateRecord>) -> bool {
        seen.value.vm == self.vm && !(seen.is_from_earlier_era() && enforced!("copy_of_mandate"))
    }

    /// Whether any VM may take a mandate that has stood unchanged since `since`.
    fn is_free(&self, seen: &Stored<MandateRecord>, since: Timestamp, now: Timestamp) -> bool {
        let of_copy = (self.lost || seen.is_from_earlier_era()) && enforced!("copy_of_mandate");
        if seen.value.vacant && !of_copy {
            return now.since(since) >= self.extra_wait;
        }
        // Who knows what the store lost goes before who does not.
        let newcomer = of_copy && self.first_era == Some(self.era);
        let behind = if newcomer { NEWCOMER_TAKEOVER_DELAY } else { Duration::ZERO };
        let waited = MANDATE_TTL + MANDATE_EXPIRY_MARGIN + self.extra_wait + behind;
        let ran_out = now.since(since) >= waited || !enforced!("wait_for_mandate");
        // The last look that failed may lie further back than the store's return.
        let back = self.returned.or(self.unreached).filter(|_| self.was_unreached());
        let yields = back.is_some_and(|back| now.since(back) < POST_OUTAGE_TAKEOVER_DELAY);
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
        self.predecessors.last_holder = bounds.last_holder.at_least_now();
        self.predecessors.earlier_holders = bounds.earlier_holders.at_least_now();
        bounds
    }

    /// The same, as the mandate and the store's outages tell it at this moment.
    fn bound_predecessors(&self, now: Timestamp) -> PredecessorBounds {
        let Some((seen, since)) = &self.seen else {
            return self.bound_lost_predecessors(now);
        };
        let last = &seen.value;
        // Another VM may have followed on what a copy brought back.
        let of_copy = (self.lost || seen.is_from_earlier_era()) && enforced!("copy_of_mandate");
        let since = if self.lost { &self.era_since } else { since };
        // Giving the mandate back stops a VM, and so does its restart.
        let stopped = last.vacant || (last.vm == self.vm && last.incarnation != self.incarnation);
        let stopped = stopped && !of_copy;
        let held = MANDATE_RENEWAL_INTERVAL * (last.renewals.saturating_sub(last.taken)) as u32;
        let earlier_over = held >= RENEWAL_GRACE + MANDATE_TTL && !of_copy;
        // What stood in the store when this VM first saw it was sent before; powers that others count
        // from then may last a little longer by this VM's clock.
        let passed = now.since(*since);
        let full = CLOCK_DRIFT.stretch(MANDATE_TTL) + MANDATE_EXPIRY_MARGIN;
        let grace = CLOCK_DRIFT.stretch(RENEWAL_GRACE);
        // Those before the last one had lost their full power when it took the mandate.
        let earlier = match (earlier_over, stopped) {
            (false, _) => grace,
            (true, false) => full,
            (true, true) => Duration::ZERO,
        };
        let last_one = if stopped { earlier } else { full + grace };
        PredecessorBounds {
            last_holder: LastOrder::at_authority_end(last_one, passed),
            earlier_holders: LastOrder::at_authority_end(earlier, passed),
            late_orders_unknown: (of_copy || self.is_lateness_unknown(last))
                && enforced!("unknown_lateness"),
        }
    }

    /// The same for a VM that never saw the object.
    fn bound_lost_predecessors(&self, now: Timestamp) -> PredecessorBounds {
        let Some(since) = self.absent_since.filter(|_| !self.era.may_be_first()) else {
            return PredecessorBounds {
                last_holder: LastOrder::NOW,
                earlier_holders: LastOrder::NOW,
                late_orders_unknown: false,
            };
        };
        let power = CLOCK_DRIFT.stretch(MANDATE_TTL + RENEWAL_GRACE) + MANDATE_EXPIRY_MARGIN;
        let last = LastOrder::at_authority_end(power, now.since(since));
        PredecessorBounds { last_holder: last, earlier_holders: last, late_orders_unknown: true }
    }

    /// Whether the last holder may have met late orders and not have written this down.
    ///
    /// One that gave the mandate back left nothing untold. Of any other one this VM must have seen
    /// that it could write: a VM that has just started can't know that the store was away before.
    fn is_lateness_unknown(&self, last: &MandateRecord) -> bool {
        !last.vacant && (self.was_unreached() || !self.written_in_time)
    }

    /// The write that gives the mandate back; none while another VM may have held it in the time that the store
    /// lost: a successor must not take it that nobody else sends orders.
    pub fn vacating_write(&mut self, now: Timestamp) -> Option<MandateWrite> {
        let has_rival = self.rival_until().is_some_and(|until| now < until);
        if !self.held {
            return None;
        }
        self.held = false;
        let (seen, _) = self.seen.as_ref()?;
        if has_rival || self.lost || self.is_outdated() || seen.is_from_earlier_era() {
            return None;
        }
        let record = MandateRecord { vacant: true, era: self.era, ..seen.value.clone() };
        Some(MandateWrite { expected: Some(seen.revision), record })
    }

    /// Whether a write in this era is the first one that goes on with a mandate of an earlier era.
    fn goes_on_in(&self, era: StoreEra) -> bool {
        self.seen().is_some_and(|seen| seen.value.era < era) && enforced!("mandate_settles")
    }

    /// Takes in the answer to a write sent at `sent`; tells whether the mandate was just taken.
    ///
    /// The answer is `None` when the write failed.
    pub fn apply_write(
        &mut self,
        write: &MandateWrite,
        answer: Option<Revision>,
        sent: Timestamp,
        now: Timestamp,
    ) -> bool {
        let Some(revision) = answer else {
            return false;
        };
        self.observe_era(revision.era, now);
        if !self.held {
            self.predecessors = self.bound_predecessors(now);
            self.taken = write.record.taken;
        } else if sent >= self.valid_until && self.goes_on_in(revision.era) {
            // Another VM may have taken it before the store was away.
            self.settled_at =
                self.era_since + CLOCK_DRIFT.stretch(MANDATE_TTL) + MANDATE_EXPIRY_MARGIN;
        }
        self.lost = false;
        self.renewals = self.renewals.max(write.record.renewals);
        let stored = Stored { revision, value: write.record.clone() };
        self.seen = Some((stored, now));
        self.valid_until = sent + MANDATE_TTL;
        if !enforced!("mandate_ends") {
            self.valid_until = sent + MANDATE_TTL * 1_000;
        }
        !std::mem::replace(&mut self.held, true)
    }
}
