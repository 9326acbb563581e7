//! What one VM knows: declarations, targets, ranges, and who holds the mandate.
//!
//! The book takes news from the store or from another VM, never goes
//! backwards, tells the request duty, and can say what is new to another VM.
//!
//! `declared` keeps the declarations, `ranges` the map of ranges and `targets` the list of targets;
//! `news` is what VMs tell each other.

mod declared;
mod news;
mod ranges;
mod targets;

use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::{Duration, Instant};

use nickellead_event::{EventName, log_event};
use nickellead_range::{RangeMap, TargetInstance};
use tokio::sync::Notify;

use self::declared::DeclaredPart;
pub(crate) use self::declared::DeclaredTell;
use self::news::log_unusable;
pub(crate) use self::news::{BookMark, BookNews};
pub use self::ranges::{RangesHistory, RangesNews, RangesStep, StepsMisfit};
pub(crate) use self::targets::LAPSE_TIME;
use self::targets::{ChangeOrigin, TargetPart};
use crate::admission::AdmissionTable;
use crate::fleet::{AnnouncementStamp, FleetTable};
use crate::packed::Packed;
use crate::state_channels::StateSenders;
use crate::waiting::wait_for;
use crate::{
    Declarations, DeclaredState, EvacuatedZones, MandateRecord, Revision, StoreEra, Stored,
    TargetChange, TargetEntry, TargetList, TargetListing,
};

/// Up to which revision of the store each part is known.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KnownRevisions {
    pub(crate) declarations: Option<Revision>,
    pub(crate) targets: Option<Revision>,
    pub(crate) ranges: Option<Revision>,
    pub(crate) evacuations: Option<Revision>,
}

/// Declarations that another VM knows of and this one does not know yet.
#[derive(Clone, Copy)]
struct DeclaredLack {
    state: DeclaredState,
    /// Since when any newer ones are lacked.
    since: Instant,
}

/// One VM's book.
pub(crate) struct BeliefBook {
    incarnation: u64,
    known: Cell<KnownRevisions>,
    declared: RefCell<DeclaredPart>,
    announced: Cell<Option<DeclaredLack>>,
    targets: RefCell<TargetPart>,
    /// Whether the last list of targets was older than what was known.
    list_outdated: Cell<bool>,
    ranges: RefCell<RangesHistory>,
    /// A whole map of ranges, packed for the first reader that needed it.
    packed_ranges: RefCell<Option<(Revision, Packed<Stored<RangeMap>>)>>,
    mandate: RefCell<Option<Stored<MandateRecord>>>,
    /// Evacuated zones, as of the store's revision at which they were read; 0 before.
    evacuations: RefCell<Stored<EvacuatedZones>>,
    told: StateSenders,
    /// Woken by every change.
    pub(crate) changed: Notify,
}

impl BeliefBook {
    pub(crate) fn new(incarnation: u64, told: StateSenders) -> Self {
        Self {
            incarnation,
            known: Cell::default(),
            declared: RefCell::default(),
            announced: Cell::default(),
            targets: RefCell::default(),
            list_outdated: Cell::default(),
            ranges: RefCell::default(),
            packed_ranges: RefCell::default(),
            mandate: RefCell::new(None),
            evacuations: RefCell::default(),
            told,
            changed: Notify::new(),
        }
    }

    /// Up to which revision of the store each part is known.
    pub(crate) fn known(&self) -> KnownRevisions {
        self.known.get()
    }

    /// The declarations that are in force.
    pub(crate) fn declarations(&self) -> Option<Arc<Declarations>> {
        self.told.declarations.borrow().clone()
    }

    /// The listed targets.
    pub(crate) fn targets(&self) -> Arc<TargetList> {
        Arc::clone(&self.told.targets.borrow())
    }

    /// The newest map of ranges.
    pub(crate) fn ranges(&self) -> Option<Stored<RangeMap>> {
        self.ranges.borrow().newest().cloned()
    }

    /// From which map of ranges this book can go on by steps: what a reader's mark says of ranges,
    /// also to a source that it has not asked before. 0 when it needs a whole map.
    pub(crate) fn ranges_revision(&self) -> Revision {
        self.ranges.borrow().revision()
    }

    /// The newest mandate.
    pub(crate) fn mandate(&self) -> Option<Stored<MandateRecord>> {
        self.mandate.borrow().clone()
    }

    /// Which content of the declarations is known.
    pub(crate) fn declared_state(&self) -> Option<DeclaredState> {
        self.declared.borrow().state()
    }

    /// The newest content of the declarations that is known or announced.
    pub(crate) fn newest_declared(&self) -> Option<DeclaredState> {
        self.announced.get().map(|lack| lack.state).or_else(|| self.declared_state())
    }

    /// Notes a content of the declarations that another VM knows of.
    pub(crate) fn note_announced(&self, state: DeclaredState) {
        let newest = self.newest_declared();
        if newest.is_some_and(|newest| newest.version >= state.version) {
            return;
        }
        let since = self.announced.get().map_or_else(Instant::now, |lack| lack.since);
        self.announced.set(Some(DeclaredLack { state, since }));
        self.changed.notify_waiters();
    }

    /// Whether newer declarations are announced than are known.
    pub(crate) fn lacks_declarations(&self) -> bool {
        self.announced.get().is_some()
    }

    /// Whether newer declarations than are known have been announced since then.
    pub(crate) fn lacks_since(&self, since: Instant) -> bool {
        self.announced.get().is_some_and(|lack| lack.since == since)
    }

    /// Waits until newer declarations are announced than are known; gives since when.
    pub(crate) async fn wait_for_lack(&self) -> Instant {
        wait_for(&self.changed, || self.announced.get().map(|lack| lack.since)).await
    }

    fn is_newer(&self, version: u64) -> bool {
        self.declared_state().is_none_or(|known| known.version < version)
    }

    /// Takes over declarations that the store told; older ones are ignored.
    pub(crate) fn note_declarations(&self, as_of: Revision, new: Option<Declarations>) {
        self.raise(|known| &mut known.declarations, as_of);
        let Some(new) = new.filter(|new| self.is_newer(new.version)) else { return };
        self.declared.borrow_mut().note_read(self.declarations().as_deref(), &new);
        self.put_in_force(new);
    }

    /// Takes over declarations that another VM told, older ones are ignored; tells whether they fit
    /// what is known.
    pub(crate) fn take_declarations(&self, told: DeclaredTell) -> bool {
        let applied = match told.news.apply(self.declarations().as_deref()) {
            Ok(applied) => applied,
            Err(error) => {
                log_unusable("declarations", &error);
                return false;
            }
        };
        if self.is_newer(applied.state.version) {
            self.declared.borrow_mut().note_told(&applied);
            self.put_in_force(applied.declarations);
        }
        if self.declared_state() == Some(applied.state) {
            self.raise(|known| &mut known.declarations, told.as_of);
        }
        true
    }

    fn put_in_force(&self, new: Declarations) {
        let version = new.version;
        if self.announced.get().is_some_and(|lack| lack.state.version <= version) {
            self.announced.set(None);
        }
        self.told.declarations.send_replace(Some(Arc::new(new)));
        log_event(EventName::ConfigInForce, &[("version", &version)]);
        self.changed.notify_waiters();
    }

    /// Whether newer declarations are known than a reader's, or any if it knows none.
    pub(crate) fn has_newer_than(&self, known: Option<DeclaredState>) -> bool {
        let own = self.declared_state().map(|own| own.version);
        own > known.map(|known| known.version)
    }

    /// What a reader needs that knows this content of the declarations, or none.
    pub(crate) fn declarations_since(&self, known: Option<DeclaredState>) -> Option<DeclaredTell> {
        let newest = self.declarations()?;
        let news = self.declared.borrow_mut().since(known, &newest)?;
        Some(DeclaredTell { as_of: self.known().declarations.unwrap_or_default(), news })
    }

    /// Takes over the whole list of targets that the store told, unless a newer one is known.
    ///
    /// `lapse` is until when a missing entry may only have lapsed.
    pub(crate) fn note_all_targets(
        &self,
        as_of: Revision,
        listing: TargetListing,
        lapse: Option<Instant>,
    ) -> bool {
        self.take_target_list(as_of, listing, lapse, ChangeOrigin::Store)
    }

    /// How much longer a target is cold by its entry.
    pub(crate) fn cold_left(&self, entry: &TargetEntry) -> Duration {
        self.targets.borrow().cold_left(entry)
    }

    /// Takes over changes of targets that the store told and that follow on what is known.
    pub(crate) fn note_target_changes(
        &self,
        as_of: Revision,
        changes: Vec<TargetChange>,
        lapse: Option<Instant>,
    ) {
        self.take_target_changes(as_of, changes, lapse, ChangeOrigin::Store);
    }

    fn take_target_list(
        &self,
        as_of: Revision,
        listing: TargetListing,
        lapse: Option<Instant>,
        origin: ChangeOrigin,
    ) -> bool {
        let reached = self.targets_reached().filter(|reached| *reached > as_of);
        let was_outdated = self.list_outdated.replace(reached.is_some());
        if let Some(reached) = reached {
            if !was_outdated {
                log_list_outdated(as_of, reached);
            }
            return false;
        }
        // Another VM's list holds what may only have lapsed.
        let lost = self.enter_targets_era(as_of.era).filter(|_| origin == ChangeOrigin::Store);
        let lapse = lapse.max(lost);
        let known = self.targets.borrow().list.keys().cloned().collect::<Vec<_>>();
        let TargetListing { targets, unreadable } = listing;
        let missing = |id: &String| !targets.contains_key(id) && !unreadable.contains(id);
        let gone: Vec<_> = known.into_iter().filter(missing).map(TargetChange::Gone).collect();
        let changes = gone
            .into_iter()
            .chain(unreadable.into_iter().map(TargetChange::Unreadable))
            .chain(self.targets.borrow_mut().withhold(targets))
            .collect();
        self.take_target_changes(as_of, changes, lapse, origin);
        true
    }

    /// Notes the store's era in which targets are told; gives until when entries that a whole list lacks may
    /// only have been lost, if the store came back from a copy after what is known.
    fn enter_targets_era(&self, era: StoreEra) -> Option<Instant> {
        let now = Instant::now();
        let before = self.targets.borrow_mut().enter_era(era, now)?;
        let pairs: [(&str, &dyn std::fmt::Display); 3] =
            [("era", &era), ("before", &before.era), ("reached", &before.number)];
        log_event(EventName::StoreOlder, &pairs);
        Some(now + LAPSE_TIME)
    }

    fn take_target_changes(
        &self,
        as_of: Revision,
        changes: Vec<TargetChange>,
        lapse: Option<Instant>,
        origin: ChangeOrigin,
    ) {
        self.enter_targets_era(as_of.era);
        self.raise(|known| &mut known.targets, as_of);
        let mut part = self.targets.borrow_mut();
        part.reached = part.reached.max(Some(as_of));
        let before = part.number;
        part.take_all(changes, lapse, origin);
        if part.next_due().is_some() {
            self.changed.notify_waiters();
        }
        self.tell_targets(&part, before);
    }

    /// Up to which revision of the store the list of targets tells everything.
    fn targets_reached(&self) -> Option<Revision> {
        self.targets.borrow().reached
    }

    /// Drops entries that lapsed and did not come back, each when it is due and whoever is followed
    /// then: a source may know no newer list than the one that showed them gone.
    pub(crate) async fn drop_all_lapsed(&self) {
        loop {
            let due = wait_for(&self.changed, || self.next_lapse()).await;
            tokio::time::sleep_until(due.into()).await;
            self.drop_lapsed(Instant::now());
        }
    }

    fn drop_lapsed(&self, now: Instant) {
        let mut part = self.targets.borrow_mut();
        let before = part.number;
        part.settle_due(now);
        self.tell_targets(&part, before);
    }

    /// When the next entry that lapsed is taken as gone, or one that was withheld is listed.
    fn next_lapse(&self) -> Option<Instant> {
        self.targets.borrow().next_due()
    }

    /// Tells the request duty and readers if the list changed since change number `before`.
    fn tell_targets(&self, part: &TargetPart, before: u64) {
        if part.number != before {
            self.told.targets.send_replace(Arc::new(part.list.clone()));
            self.changed.notify_waiters();
        }
    }

    /// Takes over a map of ranges; an older one is ignored.
    pub(crate) fn note_ranges(&self, as_of: Revision, new: Option<Stored<RangeMap>>) {
        self.raise(|known| &mut known.ranges, as_of);
        let Some(new) = new else { return };
        // A map that a copy brought back does not follow on those that the store has lost.
        let new = Stored { revision: new.effective_revision(), ..new };
        if self.ranges.borrow_mut().take_whole(new) {
            self.tell_newest_ranges();
        }
    }

    /// Takes over steps of the map of ranges; those that are known are ignored.
    ///
    /// # Errors
    /// [`StepsMisfit`] when they don't go on from the known map; nothing is taken over then.
    fn note_ranges_steps(
        &self,
        as_of: Revision,
        steps: Vec<RangesStep>,
    ) -> Result<(), StepsMisfit> {
        let newer = self.ranges.borrow_mut().take_steps(steps)?;
        self.raise(|known| &mut known.ranges, as_of);
        if newer {
            self.tell_newest_ranges();
        }
        Ok(())
    }

    /// Tells the request duty and readers that there is a newer map of ranges.
    fn tell_newest_ranges(&self) {
        let ranges = self.ranges.borrow();
        let Some(newest) = ranges.newest() else { return };
        self.told.ranges.send_replace(Arc::new(newest.value.clone()));
        self.changed.notify_waiters();
    }

    /// Which word about crowded owners is known.
    fn admission_stamp(&self) -> AnnouncementStamp {
        self.told.admissions.borrow().stamp
    }

    /// Whether this life of a target is listed.
    pub(crate) fn lists(&self, life: &TargetInstance) -> bool {
        self.targets().get(&life.id).is_some_and(|entry| entry.instance() == *life)
    }

    /// Whether no owner is known to be crowded, and no target to name a limit.
    pub(crate) fn has_no_admissions(&self) -> bool {
        let told = self.told.admissions.borrow();
        told.services.is_empty() && told.limits.is_empty()
    }

    /// Takes over the holder's word about crowded owners; an older one is ignored.
    pub(crate) fn note_admissions(&self, new: AdmissionTable) {
        if new.stamp > self.admission_stamp() {
            self.told.admissions.send_replace(Arc::new(new));
            self.changed.notify_waiters();
        }
    }

    /// Takes over a mandate; an older one is ignored.
    pub(crate) fn note_mandate(&self, new: &Stored<MandateRecord>) {
        let mut mandate = self.mandate.borrow_mut();
        if mandate.as_ref().is_none_or(|known| new.revision > known.revision) {
            let holder = mandate.as_ref().map(|known| (known.value.vm.clone(), known.value.vacant));
            let same = holder == Some((new.value.vm.clone(), new.value.vacant));
            *mandate = Some(new.clone());
            if !same {
                self.changed.notify_waiters();
            }
        }
    }

    /// The evacuated zones, with the revision as of which they are known.
    pub(crate) fn evacuations(&self) -> Stored<EvacuatedZones> {
        self.evacuations.borrow().clone()
    }

    /// Takes over which zones are evacuated; what is older than known is ignored.
    pub(crate) fn note_evacuations(&self, new: Stored<EvacuatedZones>) {
        self.raise(|known| &mut known.evacuations, new.revision);
        let mut known = self.evacuations.borrow_mut();
        if new.revision <= known.revision {
            return;
        }
        let mut new = new;
        if new.revision.era > known.revision.era {
            // The operator's word may be among what the store lost; the next list is taken as it is.
            new.value.extend(known.value.iter().cloned());
        }
        if new.value == known.value {
            if new.revision.era > known.revision.era {
                known.revision = new.revision;
            }
            return;
        }
        log_evacuations(&known.value, &new.value);
        *known = new;
        self.told.evacuations.send_replace(Arc::new(known.value.clone()));
        self.changed.notify_waiters();
    }

    /// The VMs that take requests, as the mandate's holder last told.
    pub(crate) fn fleet(&self) -> Arc<FleetTable> {
        Arc::clone(&self.told.fleet.borrow())
    }

    /// Takes over which VMs take requests; an older word is ignored.
    pub(crate) fn note_fleet(&self, new: FleetTable) {
        if new.stamp > self.fleet().stamp {
            self.told.fleet.send_replace(Arc::new(new));
            self.changed.notify_waiters();
        }
    }

    /// Makes the next look at the store read all targets.
    fn forget_targets_revision(&self) {
        let known = KnownRevisions { targets: None, ..self.known.get() };
        self.known.set(known);
    }

    /// Notes that a part is known up to `as_of`, unless it is known further.
    fn raise(&self, part: impl Fn(&mut KnownRevisions) -> &mut Option<Revision>, as_of: Revision) {
        let mut known = self.known.get();
        let revision = part(&mut known);
        if revision.is_none_or(|revision| revision < as_of) {
            *revision = Some(as_of);
        }
        self.known.set(known);
    }
}

fn log_list_outdated(read: Revision, known: Revision) {
    let pairs: [(&str, &dyn std::fmt::Display); 2] = [("read", &read), ("known", &known)];
    log_event(EventName::ListOutdated, &pairs);
}

/// Logs which zones are evacuated from now on, and which no longer are.
fn log_evacuations(known: &EvacuatedZones, new: &EvacuatedZones) {
    for (zones, evacuated) in [(new.difference(known), true), (known.difference(new), false)] {
        for zone in zones {
            log_event(EventName::ZoneEvacuated, &[("zone", zone), ("evacuated", &evacuated)]);
        }
    }
}
