//! The mandate (leader lease): which VM decides about ranges.
//!
//! One object in the store names the mandate holder, who renews it. The holder counts its validity
//! from before it sent the write that renewed it; every other VM counts from when it first saw the
//! object unchanged. The holder's count therefore ends before another VM may take the mandate.
//!
//! A restore of the store from an older copy begins a new era, in which the object may name a
//! former mandate holder and too few renewals. A holder whose authority has not expired resumes at
//! once. One that is only in its grace time waits for as long as its authority has been expired,
//! so that of two former holders the later one goes first, and then sends only renewals until
//! every other authority of the earlier era has expired. All other VMs wait as for a mandate that
//! they see for the first time, whatever the object says.

use std::net::SocketAddr;
use std::time::Duration;

use nickellead_core::{DriftBound, Timestamp, enforced};

use crate::{LastOrder, MandateRecord, PredecessorBounds, Revision, StoreEra, Stored};

/// How long a mandate is valid after the write that renewed it was sent.
pub const MANDATE_TTL: Duration = Duration::from_millis(2_200);
/// Bound on the difference between the clock rates of VMs: 1%, far above what any working clock shows.
const CLOCK_DRIFT: DriftBound = DriftBound { parts_per_million: 10_000 };
/// Interval between two renewals by the mandate holder.
pub const MANDATE_RENEWAL_INTERVAL: Duration = Duration::from_millis(700);
/// Time that other VMs wait beyond [`MANDATE_TTL`], because clocks may differ in rate.
pub const MANDATE_EXPIRY_MARGIN: Duration = Duration::from_millis(100);
/// Interval between two reads of the mandate by a VM that does not hold it.
pub const MANDATE_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// How long a VM whose mandate expired may still renew confirmed grants, as long as it sees no
/// successor.
///
/// Ranges keep their owners through an outage of the store that is shorter than the sum of
/// [`MANDATE_TTL`], this time and a lease. A successor adds it to the bounds on the leases of lost
/// targets.
pub const RENEWAL_GRACE: Duration = Duration::from_millis(4_500);

/// How much longer than the last mandate holder other VMs wait before they take a mandate that
/// expired while the store was unavailable.
///
/// It exceeds [`MANDATE_RENEWAL_INTERVAL`], after which the holder retries. Only the holder knows
/// the outcomes of its orders during the outage.
pub const POST_OUTAGE_TAKEOVER_DELAY: Duration = Duration::from_millis(800);

/// How much longer a VM that first reached the store after a restore waits for the mandate.
///
/// It exceeds the takeover delay of VMs with little CPU or bandwidth.
const NEWCOMER_TAKEOVER_DELAY: Duration = Duration::from_millis(2_000);

/// Which orders a VM may send to targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MandateAuthority {
    /// No orders.
    None,
    /// Renewals of confirmed grants.
    RenewalsOnly,
    /// All orders.
    Full,
}

/// One VM's state of the mandate, whether the VM holds it or not.
#[derive(Clone, Debug)]
pub struct MandateState {
    vm: String,
    address: SocketAddr,
    incarnation: u64,
    /// How much longer than others the VM waits before it takes the mandate.
    takeover_delay: Duration,
    /// The object as last seen, and when this version of it was first seen.
    seen: Option<(Stored<MandateRecord>, Timestamp)>,
    /// Whether the writer of that version had full authority ever since the version before.
    writer_kept_authority: bool,
    /// When this VM, which never saw the object, first found it absent.
    absent_since: Option<Timestamp>,
    /// When the store last failed to answer this VM.
    last_store_failure: Option<Timestamp>,
    /// When the store first answered this VM after that failure.
    store_recovered_at: Option<Timestamp>,
    held: bool,
    /// Value of `renewals` when this VM took the mandate that it holds.
    taken_at_renewal: u64,
    /// Highest number of renewals that this VM ever saw.
    renewals: u64,
    /// Latest era of the store that this VM knows.
    era: StoreEra,
    /// When this VM first observed that era.
    era_since: Timestamp,
    /// The first era that this VM observed.
    first_era: Option<StoreEra>,
    /// Whether the object is absent in this era, though it existed in an earlier one.
    lost: bool,
    /// Until when this VM may send all orders while it holds the mandate.
    valid_until: Timestamp,
    /// Until when this VM may send only renewals even so, because another VM may have taken the
    /// mandate in the earlier era and still have authority.
    renewals_only_until: Timestamp,
    predecessors: PredecessorBounds,
}

/// A write that would take or renew the mandate.
#[derive(Clone, Debug)]
pub struct MandateWrite {
    /// Revision that the object must have; `None` if it must not exist.
    pub expected: Option<Revision>,
    /// The new content of the object.
    pub record: MandateRecord,
}

impl MandateState {
    /// The state of a VM that has not read the mandate yet.
    ///
    /// The VM waits for `takeover_delay` longer than others before it takes the mandate.
    #[must_use]
    pub fn new(
        vm: String,
        address: SocketAddr,
        incarnation: u64,
        takeover_delay: Duration,
    ) -> Self {
        Self {
            vm,
            address,
            incarnation,
            takeover_delay,
            seen: None,
            writer_kept_authority: false,
            absent_since: None,
            last_store_failure: None,
            store_recovered_at: None,
            held: false,
            taken_at_renewal: 0,
            renewals: 0,
            era: StoreEra::default(),
            era_since: Timestamp::ZERO,
            first_era: None,
            lost: false,
            valid_until: Timestamp::ZERO,
            renewals_only_until: Timestamp::ZERO,
            predecessors: PredecessorBounds {
                last_holder: LastOrder::After(RENEWAL_GRACE),
                earlier_holders: LastOrder::After(RENEWAL_GRACE),
                late_orders_unknown: true,
            },
        }
    }

    /// Whether this VM took the mandate and has seen no other mandate holder since.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.held
    }

    /// Whether this VM has found no mandate in the store and never seen one.
    #[must_use]
    pub fn is_absent(&self) -> bool {
        self.absent_since.is_some()
    }

    /// Highest number of renewals that this VM ever saw.
    #[must_use]
    pub fn renewals(&self) -> u64 {
        self.renewals
    }

    /// The mandate as last seen.
    #[must_use]
    pub fn seen(&self) -> Option<&Stored<MandateRecord>> {
        self.seen.as_ref().map(|(seen, _)| seen)
    }

    /// The orders that this VM may send at `now`.
    #[must_use]
    pub fn authority(&self, now: Timestamp) -> MandateAuthority {
        if !self.held {
            MandateAuthority::None
        } else if now < self.valid_until && now >= self.renewals_only_until {
            MandateAuthority::Full
        } else if now < self.valid_until + RENEWAL_GRACE {
            MandateAuthority::RenewalsOnly
        } else {
            MandateAuthority::None
        }
    }

    /// Records that the store did not answer a request of this VM, or rejected it.
    pub fn observe_store_failure(&mut self, now: Timestamp) {
        self.last_store_failure = Some(now);
        self.store_recovered_at = None;
    }

    /// Records that the store answered this VM.
    pub fn observe_store_response(&mut self, now: Timestamp) {
        self.store_recovered_at = self.store_recovered_at.or(self.last_store_failure.map(|_| now));
    }

    /// Whether the store failed to answer since this VM last saw the mandate change.
    fn store_failed_since_seen(&self) -> bool {
        let Some((_, since)) = &self.seen else { return false };
        self.last_store_failure.is_some_and(|failure| failure >= *since)
    }

    /// Records the era of the store; one earlier than the known era is ignored.
    pub fn observe_era(&mut self, era: StoreEra, now: Timestamp) {
        self.first_era.get_or_insert(era);
        if era > self.era {
            self.era = era;
            self.era_since = now;
        }
    }

    /// Latest era of the store that this VM knows.
    #[must_use]
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// Whether the object must be read before it can be written, because this VM last saw it in an
    /// earlier era.
    #[must_use]
    pub fn is_outdated(&self) -> bool {
        !self.lost && self.seen().is_some_and(|seen| seen.revision.era < self.era)
    }

    /// Applies the object as read; returns whether this VM thereby lost the mandate.
    pub fn apply_read(&mut self, read: Option<Stored<MandateRecord>>, now: Timestamp) -> bool {
        let Some(read) = read else {
            if self.seen.is_none() {
                self.absent_since.get_or_insert(now);
            }
            self.lost |= self.is_outdated();
            let lost = self.held && self.is_lost_past_grace(now);
            self.held &= !lost;
            return lost;
        };
        self.absent_since = None;
        let newer = self.seen.as_ref().is_none_or(|(known, _)| read.revision > known.revision);
        if !newer {
            return false;
        }
        self.observe_era(read.revision.era, now);
        self.lost = false;
        self.renewals = self.renewals.max(read.value.renewals);
        let continues = self.is_own_incarnation(&read.value) || self.is_restored_predecessor(&read);
        self.writer_kept_authority = self.has_writer_kept_authority(&read, now);
        self.seen = Some((read, now));
        let continues =
            continues && !(self.is_lost_past_grace(now) && enforced!("outlived_mandate"));
        if continues || !self.held {
            return false;
        }
        self.held = false;
        true
    }

    /// Whether the store lost the mandate that this VM holds and the grace time has passed as well,
    /// so that another VM may have held the mandate meanwhile.
    fn is_lost_past_grace(&self, now: Timestamp) -> bool {
        let lost = self.seen().is_some_and(|seen| seen.is_from_earlier_era() || self.lost);
        lost && now >= self.valid_until + RENEWAL_GRACE
    }

    /// Whether the object was restored to a version from before this VM took the mandate that it
    /// holds.
    fn is_restored_predecessor(&self, read: &Stored<MandateRecord>) -> bool {
        read.is_from_earlier_era() && read.value.taken < self.taken_at_renewal
    }

    /// Whether the writer of this version had full authority ever since the version seen before.
    ///
    /// It may not have if the mandate had expired in between, because the store may have applied
    /// an earlier renewal late. This is also unknown of a VM that took the mandate from one that did
    /// not give it back and has not renewed it: it may not have recorded late orders yet.
    fn has_writer_kept_authority(&self, read: &Stored<MandateRecord>, now: Timestamp) -> bool {
        let Some((before, since)) = &self.seen else { return false };
        let continues = before.value.taken == read.value.taken || before.value.vacant;
        let same_era = before.revision.era == read.revision.era;
        continues && same_era && now.since(*since) <= MANDATE_TTL
    }

    fn is_own_incarnation(&self, record: &MandateRecord) -> bool {
        record.vm == self.vm && record.incarnation == self.incarnation && !record.vacant
    }

    /// The write that takes or renews the mandate, if this VM may do so at `now`.
    #[must_use]
    pub fn due_write(&self, now: Timestamp) -> Option<MandateWrite> {
        let renewals = self.renewals + 1;
        let record = MandateRecord {
            vm: self.vm.clone(),
            address: self.address,
            incarnation: self.incarnation,
            renewals,
            taken: if self.held { self.taken_at_renewal } else { renewals },
            vacant: false,
            era: self.era,
        };
        let Some((seen, since)) = &self.seen else {
            let may_create = self.absent_since.is_some_and(|since| self.may_create(since, now));
            return may_create.then_some(MandateWrite { expected: None, record });
        };
        if self.is_outdated() {
            return None;
        }
        let expected = (!self.lost).then_some(seen.revision);
        let may_write = match self.held {
            true => self.may_renew(now),
            false if self.lost => self.may_take(seen, self.era_since, now),
            false => self.was_own(seen) || self.may_take(seen, *since, now),
        };
        may_write.then_some(MandateWrite { expected, record })
    }

    /// Whether a VM that never saw the object may create it; after a restore it waits first, because
    /// the copy may lack an object that existed.
    fn may_create(&self, absent_since: Timestamp, now: Timestamp) -> bool {
        let waited = MANDATE_TTL + MANDATE_EXPIRY_MARGIN + self.takeover_delay;
        self.era.may_be_first() || now.since(absent_since) >= waited
    }

    /// Whether this VM may renew the mandate that it holds.
    ///
    /// In a new era, a VM whose authority has expired waits for as long as it has been expired, so that
    /// a later mandate holder goes first.
    fn may_renew(&self, now: Timestamp) -> bool {
        let written_in_era =
            self.seen().is_some_and(|seen| seen.value.era == self.era && !self.lost);
        let expired_for = self.era_since.since(self.valid_until);
        written_in_era || now < self.valid_until || now.since(self.era_since) >= expired_for
    }

    /// Until when another VM may send renewals that took the mandate, unseen by this one, in the time
    /// that the store lost; `None` if there can be no such VM.
    #[must_use]
    pub fn rival_until(&self) -> Option<Timestamp> {
        let may_have_rival = self.renewals_only_until > self.era_since;
        may_have_rival.then(|| self.renewals_only_until + CLOCK_DRIFT.stretch(RENEWAL_GRACE))
    }

    /// Whether an earlier process of this VM held the mandate; it ended before this one started.
    ///
    /// A restored object does not show this, because another VM may have written it afterwards.
    fn was_own(&self, seen: &Stored<MandateRecord>) -> bool {
        seen.value.vm == self.vm && !(seen.is_from_earlier_era() && enforced!("copy_of_mandate"))
    }

    /// Whether this VM may take a mandate that is unchanged since `since`.
    fn may_take(&self, seen: &Stored<MandateRecord>, since: Timestamp, now: Timestamp) -> bool {
        let restored = (self.lost || seen.is_from_earlier_era()) && enforced!("copy_of_mandate");
        if seen.value.vacant && !restored {
            return now.since(since) >= self.takeover_delay;
        }
        // VMs that know what the store lost take precedence.
        let newcomer = restored && self.first_era == Some(self.era);
        let newcomer_delay = if newcomer { NEWCOMER_TAKEOVER_DELAY } else { Duration::ZERO };
        let waited = MANDATE_TTL + MANDATE_EXPIRY_MARGIN + self.takeover_delay + newcomer_delay;
        let expired = now.since(since) >= waited || !enforced!("wait_for_mandate");
        // The store may have recovered long after the last request that failed.
        let recovered = self
            .store_recovered_at
            .or(self.last_store_failure)
            .filter(|_| self.store_failed_since_seen());
        let yields = recovered.is_some_and(|at| now.since(at) < POST_OUTAGE_TAKEOVER_DELAY);
        expired && !yields
    }

    /// Bounds on the orders of earlier mandate holders, from when this VM took the mandate.
    #[must_use]
    pub fn predecessors(&self) -> PredecessorBounds {
        self.predecessors
    }

    /// The bounds for a new controller; a later one also allows for the orders of this one.
    pub fn take_predecessors(&mut self) -> PredecessorBounds {
        let bounds = self.predecessors;
        self.predecessors.last_holder = bounds.last_holder.at_least_now();
        self.predecessors.earlier_holders = bounds.earlier_holders.at_least_now();
        bounds
    }

    /// Computes the bounds from the mandate as seen and the store's outages.
    fn bound_predecessors(&self, now: Timestamp) -> PredecessorBounds {
        let Some((seen, since)) = &self.seen else {
            return self.bound_unseen_predecessors(now);
        };
        let last = &seen.value;
        // Another VM may have taken the mandate after the restored version was written.
        let restored = (self.lost || seen.is_from_earlier_era()) && enforced!("copy_of_mandate");
        let since = if self.lost { &self.era_since } else { since };
        // A VM stops sending orders when it gives the mandate back or restarts.
        let stopped = last.vacant || (last.vm == self.vm && last.incarnation != self.incarnation);
        let stopped = stopped && !restored;
        let held_for = MANDATE_RENEWAL_INTERVAL * (last.renewals.saturating_sub(last.taken)) as u32;
        let earlier_expired = held_for >= RENEWAL_GRACE + MANDATE_TTL && !restored;
        // The object was written before this VM first saw it. Authority that another VM counts from
        // the write may last longer by this VM's clock.
        let elapsed = now.since(*since);
        let full = CLOCK_DRIFT.stretch(MANDATE_TTL) + MANDATE_EXPIRY_MARGIN;
        let grace = CLOCK_DRIFT.stretch(RENEWAL_GRACE);
        // Earlier mandate holders had lost full authority when the last one took the mandate.
        let earlier = match (earlier_expired, stopped) {
            (false, _) => grace,
            (true, false) => full,
            (true, true) => Duration::ZERO,
        };
        let last_holder = if stopped { earlier } else { full + grace };
        PredecessorBounds {
            last_holder: LastOrder::at_authority_end(last_holder, elapsed),
            earlier_holders: LastOrder::at_authority_end(earlier, elapsed),
            late_orders_unknown: (restored || self.may_have_unrecorded_late_orders(last))
                && enforced!("unknown_lateness"),
        }
    }

    /// Computes the bounds for a VM that never saw the object.
    fn bound_unseen_predecessors(&self, now: Timestamp) -> PredecessorBounds {
        let Some(since) = self.absent_since.filter(|_| !self.era.may_be_first()) else {
            return PredecessorBounds {
                last_holder: LastOrder::NOW,
                earlier_holders: LastOrder::NOW,
                late_orders_unknown: false,
            };
        };
        let authority = CLOCK_DRIFT.stretch(MANDATE_TTL + RENEWAL_GRACE) + MANDATE_EXPIRY_MARGIN;
        let last = LastOrder::at_authority_end(authority, now.since(since));
        PredecessorBounds { last_holder: last, earlier_holders: last, late_orders_unknown: true }
    }

    /// Whether the last mandate holder may have seen late orders without recording them.
    ///
    /// A holder records them before it gives the mandate back. For any other holder, this VM must
    /// have seen that it was able to write; a VM that has just started cannot know of an outage.
    fn may_have_unrecorded_late_orders(&self, last: &MandateRecord) -> bool {
        !last.vacant && (self.store_failed_since_seen() || !self.writer_kept_authority)
    }

    /// The write that gives the mandate back.
    ///
    /// `None` also while another VM may have held it in the time that the store lost, because a
    /// successor of a vacant mandate assumes that nobody else sends orders.
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

    /// Whether a write in `era` is the first one that continues a mandate of an earlier era.
    fn continues_into(&self, era: StoreEra) -> bool {
        self.seen().is_some_and(|seen| seen.value.era < era) && enforced!("mandate_settles")
    }

    /// Applies the response to a write sent at `sent`; returns whether it took the mandate.
    ///
    /// `response` is the new revision, or `None` if the write failed.
    pub fn apply_write(
        &mut self,
        write: &MandateWrite,
        response: Option<Revision>,
        sent: Timestamp,
        now: Timestamp,
    ) -> bool {
        let Some(revision) = response else {
            return false;
        };
        self.observe_era(revision.era, now);
        if !self.held {
            self.predecessors = self.bound_predecessors(now);
            self.taken_at_renewal = write.record.taken;
        } else if sent >= self.valid_until && self.continues_into(revision.era) {
            // Another VM may have taken the mandate before the restore.
            self.renewals_only_until =
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
