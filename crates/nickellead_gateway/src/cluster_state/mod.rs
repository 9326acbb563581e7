//! The cluster state known to one VM: declarations, targets, ranges, and who holds the mandate
//! (leader lease).
//!
//! The state is updated from the store or from another VM and never goes backwards. It forwards
//! changes to the request thread and provides updates for other VMs.
//!
//! `declared` keeps the declarations, `ranges` the map of ranges and `targets` the list of targets;
//! `updates` defines what VMs send each other.

mod declared;
mod ranges;
mod targets;
mod updates;

use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::{Duration, Instant};

use nickellead_event::{EventName, log_event};
use nickellead_range::{RangeMap, TargetInstance};
use tokio::sync::Notify;

pub(crate) use self::declared::DeclarationsUpdate;
use self::declared::{DeclarationsCache, MissingDeclarations};
pub use self::ranges::{RangesHistory, RangesStep, RangesUpdate, StepsError};
pub(crate) use self::targets::EXPIRY_GRACE;
use self::targets::{ChangeOrigin, TargetsState};
pub(crate) use self::updates::{StateCursor, StateUpdate};
use crate::admission::AdmissionTable;
use crate::fleet::{AnnouncementStamp, FleetTable};
use crate::listed_targets::ListedTargets;
use crate::packed::Packed;
use crate::state_channels::StateSenders;
use crate::waiting::wait_for;
use crate::{
    Declarations, DeclarationsFreshness, DeclaredState, EvacuatedZones, MandateRecord, Revision,
    StoreEra, Stored, TargetChange, TargetEntry, TargetListing,
};

/// The store's revisions up to which parts of the state are known; `None` if a part has to be read
/// as a whole.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KnownRevisions {
    pub(crate) declarations: Option<Revision>,
    pub(crate) targets: Option<Revision>,
    pub(crate) ranges: Option<Revision>,
    pub(crate) evacuations: Option<Revision>,
}

/// One VM's copy of the cluster's state.
pub(crate) struct ClusterState {
    incarnation: u64,
    known: Cell<KnownRevisions>,
    declared: RefCell<DeclarationsCache>,
    /// How old the active declarations can be; kept only if they have workspaces.
    freshness: RefCell<DeclarationsFreshness<DeclaredState>>,
    /// The store's era of the last read of declarations.
    declarations_era: Cell<StoreEra>,
    announced: Cell<Option<MissingDeclarations>>,
    targets: RefCell<TargetsState>,
    /// Whether the last list of targets was older than the known one.
    list_outdated: Cell<bool>,
    ranges: RefCell<RangesHistory>,
    /// The whole map of ranges, packed when the first subscriber needs it.
    packed_ranges: RefCell<Option<(Revision, Packed<Stored<RangeMap>>)>>,
    mandate: RefCell<Option<Stored<MandateRecord>>>,
    /// Evacuated zones with the store's revision as of which they are known; 0 before the first
    /// list.
    evacuations: RefCell<Stored<EvacuatedZones>>,
    senders: StateSenders,
    /// Notified of every change.
    pub(crate) changed: Notify,
}

impl ClusterState {
    pub(crate) fn new(incarnation: u64, senders: StateSenders) -> Self {
        Self {
            incarnation,
            known: Cell::default(),
            declared: RefCell::default(),
            freshness: RefCell::default(),
            declarations_era: Cell::default(),
            announced: Cell::default(),
            targets: RefCell::default(),
            list_outdated: Cell::default(),
            ranges: RefCell::default(),
            packed_ranges: RefCell::default(),
            mandate: RefCell::new(None),
            evacuations: RefCell::default(),
            senders,
            changed: Notify::new(),
        }
    }

    /// Number that distinguishes this process from others of the VM.
    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The store's revisions up to which parts of the state are known.
    pub(crate) fn known(&self) -> KnownRevisions {
        self.known.get()
    }

    /// The active declarations; `None` before the first ones.
    pub(crate) fn declarations(&self) -> Option<Arc<Declarations>> {
        self.senders.declarations.borrow().clone()
    }

    /// The listed targets.
    pub(crate) fn targets(&self) -> ListedTargets {
        self.senders.targets.borrow().clone()
    }

    /// The newest map of ranges; `None` before the first one.
    pub(crate) fn ranges(&self) -> Option<Stored<RangeMap>> {
        self.ranges.borrow().newest().cloned()
    }

    /// Revision of the map of ranges to which steps can be applied, whichever VM sends them; 0 when
    /// a whole map is needed.
    pub(crate) fn ranges_revision(&self) -> Revision {
        self.ranges.borrow().revision()
    }

    /// The newest mandate; `None` before the first one.
    pub(crate) fn mandate(&self) -> Option<Stored<MandateRecord>> {
        self.mandate.borrow().clone()
    }

    /// Applies the whole list of targets from the store, unless a newer one is known; returns
    /// whether it was applied.
    ///
    /// If `remove_at` is given, missing entries may only have expired and are kept until then.
    pub(crate) fn apply_stored_targets(
        &self,
        as_of: Revision,
        listing: TargetListing,
        remove_at: Option<Instant>,
    ) -> bool {
        self.apply_target_list(as_of, listing, remove_at, ChangeOrigin::Store)
    }

    /// How much longer a target is cold according to its entry.
    pub(crate) fn cold_left(&self, entry: &TargetEntry) -> Duration {
        self.targets.borrow().cold_left(entry)
    }

    /// Applies changes of targets from the store that follow the known list.
    pub(crate) fn apply_stored_target_changes(
        &self,
        as_of: Revision,
        changes: Vec<TargetChange>,
        remove_at: Option<Instant>,
    ) {
        self.apply_target_changes(as_of, changes, remove_at, ChangeOrigin::Store);
    }

    fn apply_target_list(
        &self,
        as_of: Revision,
        listing: TargetListing,
        remove_at: Option<Instant>,
        origin: ChangeOrigin,
    ) -> bool {
        let newer_known = self.targets_revision().filter(|known| *known > as_of);
        let was_outdated = self.list_outdated.replace(newer_known.is_some());
        if let Some(known) = newer_known {
            if !was_outdated {
                log_list_outdated(as_of, known);
            }
            return false;
        }
        // A list from another VM still holds entries that may only have expired.
        let lost_entries_due =
            self.enter_targets_era(as_of.era).filter(|_| origin == ChangeOrigin::Store);
        let remove_at = remove_at.max(lost_entries_due);
        let known = self.targets.borrow().list.clone();
        let TargetListing { targets, unreadable } = listing;
        let missing = |id: &&String| !targets.contains_key(*id) && !unreadable.contains(*id);
        let ids = known.entries().map(|entry| &entry.id);
        let gone: Vec<_> = ids.filter(missing).cloned().map(TargetChange::Gone).collect();
        let changes = gone
            .into_iter()
            .chain(unreadable.into_iter().map(TargetChange::Unreadable))
            .chain(self.targets.borrow_mut().withhold(targets))
            .collect();
        self.apply_target_changes(as_of, changes, remove_at, origin);
        true
    }

    /// Records the store's era of the targets. If the store was restored from a copy that is older
    /// than the known list, returns until when entries that a whole list misses are kept, because
    /// they may only have been lost.
    fn enter_targets_era(&self, era: StoreEra) -> Option<Instant> {
        let now = Instant::now();
        let before = self.targets.borrow_mut().enter_era(era, now)?;
        let pairs: [(&str, &dyn std::fmt::Display); 3] =
            [("era", &era), ("before", &before.era), ("reached", &before.number)];
        log_event(EventName::StoreOlder, &pairs);
        Some(now + EXPIRY_GRACE)
    }

    fn apply_target_changes(
        &self,
        as_of: Revision,
        changes: Vec<TargetChange>,
        remove_at: Option<Instant>,
        origin: ChangeOrigin,
    ) {
        self.enter_targets_era(as_of.era);
        self.raise_revision(|known| &mut known.targets, as_of);
        let mut targets = self.targets.borrow_mut();
        targets.reach_revision(as_of);
        let before = targets.last_change;
        targets.apply_all(changes, remove_at, origin);
        if targets.next_due().is_some() {
            self.changed.notify_waiters();
        }
        self.publish_targets(&targets, before);
    }

    /// The store's revision up to which the list of targets is complete.
    fn targets_revision(&self) -> Option<Revision> {
        self.targets.borrow().revision
    }

    /// Removes each expired entry that did not come back when it is due, also while updates come
    /// from an upstream, whose list may be no newer than the one that missed the entry.
    pub(crate) async fn remove_expired_targets(&self) {
        loop {
            let due = wait_for(&self.changed, || self.next_due_target()).await;
            tokio::time::sleep_until(due.into()).await;
            self.apply_due_targets(Instant::now());
        }
    }

    fn apply_due_targets(&self, now: Instant) {
        let mut targets = self.targets.borrow_mut();
        let before = targets.last_change;
        targets.apply_due(now);
        self.publish_targets(&targets, before);
    }

    /// When the next expired entry is removed or the next withheld one is listed.
    fn next_due_target(&self) -> Option<Instant> {
        self.targets.borrow().next_due()
    }

    /// Notifies the request thread and subscribers if the list changed since change number
    /// `before`.
    fn publish_targets(&self, targets: &TargetsState, before: u64) {
        if targets.last_change != before {
            self.senders.targets.send_replace(targets.list.clone());
            self.changed.notify_waiters();
        }
    }

    /// Applies a map of ranges; an older one is ignored.
    pub(crate) fn apply_ranges(&self, as_of: Revision, new: Option<Stored<RangeMap>>) {
        self.raise_revision(|known| &mut known.ranges, as_of);
        let Some(new) = new else { return };
        // A map from a restored copy does not follow the maps that the store has lost.
        let new = Stored { revision: new.effective_revision(), ..new };
        if self.ranges.borrow_mut().apply_whole(new) {
            self.publish_ranges();
        }
    }

    /// Applies steps of the map of ranges; known ones are ignored.
    ///
    /// # Errors
    /// [`StepsError`] when the steps do not apply to the known map, which stays.
    fn apply_range_steps(&self, as_of: Revision, steps: Vec<RangesStep>) -> Result<(), StepsError> {
        let newer = self.ranges.borrow_mut().apply_steps(steps)?;
        self.raise_revision(|known| &mut known.ranges, as_of);
        if newer {
            self.publish_ranges();
        }
        Ok(())
    }

    /// Notifies the request thread and subscribers of the newest map of ranges.
    fn publish_ranges(&self) {
        let ranges = self.ranges.borrow();
        let Some(newest) = ranges.newest() else { return };
        self.senders.ranges.send_replace(Arc::new(newest.value.clone()));
        self.changed.notify_waiters();
    }

    /// Stamp of the newest admission table.
    fn admission_stamp(&self) -> AnnouncementStamp {
        self.senders.admissions.borrow().stamp
    }

    /// Whether this instance of a target is listed.
    pub(crate) fn is_listed(&self, instance: &TargetInstance) -> bool {
        self.targets().get(&instance.id).is_some_and(|entry| entry.instance() == *instance)
    }

    /// Whether no owner is known to be overloaded and no target to report a limit.
    pub(crate) fn has_no_admissions(&self) -> bool {
        let table = self.senders.admissions.borrow();
        table.services.is_empty() && table.limits.is_empty()
    }

    /// Applies the mandate holder's admission table; an older one is ignored.
    pub(crate) fn apply_admissions(&self, new: AdmissionTable) {
        if new.stamp > self.admission_stamp() {
            self.senders.admissions.send_replace(Arc::new(new));
            self.changed.notify_waiters();
        }
    }

    /// Applies a mandate; an older one is ignored.
    pub(crate) fn apply_mandate(&self, new: &Stored<MandateRecord>) {
        let mut mandate = self.mandate.borrow_mut();
        if mandate.as_ref().is_none_or(|known| new.revision > known.revision) {
            let holder = mandate.as_ref().map(|known| (known.value.vm.clone(), known.value.vacant));
            let is_same_holder = holder == Some((new.value.vm.clone(), new.value.vacant));
            *mandate = Some(new.clone());
            if !is_same_holder {
                self.changed.notify_waiters();
            }
        }
    }

    /// The evacuated zones, with the revision as of which they are known.
    pub(crate) fn evacuations(&self) -> Stored<EvacuatedZones> {
        self.evacuations.borrow().clone()
    }

    /// Applies a list of evacuated zones; an older one is ignored.
    pub(crate) fn apply_evacuations(&self, new: Stored<EvacuatedZones>) {
        self.raise_revision(|known| &mut known.evacuations, new.revision);
        let mut known = self.evacuations.borrow_mut();
        if new.revision <= known.revision {
            return;
        }
        let mut new = new;
        if new.revision.era > known.revision.era {
            // The store may have lost evacuations in the restore. The next list of this era is
            // applied as it is.
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
        self.senders.evacuations.send_replace(Arc::new(known.value.clone()));
        self.changed.notify_waiters();
    }

    /// The VMs that take requests, as announced by the mandate holder.
    pub(crate) fn fleet(&self) -> Arc<FleetTable> {
        Arc::clone(&self.senders.fleet.borrow())
    }

    /// Applies a table of the VMs that take requests; an older one is ignored.
    pub(crate) fn apply_fleet(&self, new: FleetTable) {
        if new.stamp > self.fleet().stamp {
            self.senders.fleet.send_replace(Arc::new(new));
            self.changed.notify_waiters();
        }
    }

    /// Makes the next query of the store read all targets.
    fn forget_targets_revision(&self) {
        let known = KnownRevisions { targets: None, ..self.known.get() };
        self.known.set(known);
    }

    /// Raises the known revision of a part to `as_of`, unless it is already higher.
    fn raise_revision(
        &self,
        field: impl Fn(&mut KnownRevisions) -> &mut Option<Revision>,
        as_of: Revision,
    ) {
        let mut known = self.known.get();
        let revision = field(&mut known);
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

#[cfg(test)]
mod tests;
