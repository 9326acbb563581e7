//! Updates of the cluster state that VMs send each other.

use bincode::{Decode, Encode};
use nickellead_event::{EventName, log_event};
use nickellead_range::RangeMap;

use super::targets::ChangeOrigin;
use super::{ClusterState, RangesStep, RangesUpdate};
use crate::admission::AdmissionTable;
use crate::fleet::{AnnouncementStamp, FleetTable};
use crate::listed_targets::ListDigest;
use crate::packed::{Packed, PackedError};
use crate::{
    DeclaredState, EvacuatedZones, MandateRecord, Revision, Stored, TargetChange, TargetList,
    TargetListing,
};

/// How far a subscriber's copy of the cluster state reaches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct StateCursor {
    /// Incarnation of the upstream's process.
    pub(crate) incarnation: u64,
    /// Number of the last change of targets from this upstream; `None` before its whole list.
    pub(crate) targets: Option<u64>,
    /// The store's revision up to which the subscriber knows the targets, from any upstream.
    pub(crate) targets_revision: Option<Revision>,
    /// Whether the subscriber needs the whole list, because changes did not lead to the upstream's
    /// list.
    pub(crate) needs_whole_list: bool,
    /// Newest content of the declarations that the upstream announced or the subscriber knows.
    pub(crate) declared: Option<DeclaredState>,
    /// Revision of the subscriber's map of ranges, from any upstream; 0 for none.
    pub(crate) ranges: Revision,
    /// Revision of the last mandate; 0 for none.
    pub(crate) mandate: Revision,
    /// Stamp of the last admission table.
    pub(crate) admissions: AnnouncementStamp,
    /// Stamp of the last fleet table.
    pub(crate) fleet: AnnouncementStamp,
    /// Revision as of which the evacuated zones are known; 0 for none.
    pub(crate) evacuations: Revision,
}

/// Changes of a cluster state since a cursor.
#[derive(Clone, Debug, Default, Encode, Decode)]
pub(crate) struct StateUpdate {
    /// The subscriber's cursor after this update.
    pub(crate) cursor: StateCursor,
    /// The store's revision as of which the declarations in the cursor are known.
    pub(crate) declarations_as_of: Revision,
    /// Whether the cursor announces declarations that are new to the subscriber. It requests them
    /// separately, so that they do not delay other updates.
    pub(crate) announces_declarations: bool,
    /// Changes of targets; `None` while the subscriber knows newer ones.
    pub(crate) targets: Option<TargetsUpdate>,
    /// The store's revision as of which the ranges are known.
    pub(crate) ranges_as_of: Revision,
    /// A newer map of ranges.
    pub(crate) ranges: Option<RangesPayload>,
    /// A newer mandate.
    pub(crate) mandate: Option<Stored<MandateRecord>>,
    /// A newer admission table, always whole.
    pub(crate) admissions: Option<AdmissionTable>,
    /// A newer table of the VMs that take requests.
    pub(crate) fleet: Option<FleetTable>,
    /// Newer evacuated zones, always all of them.
    pub(crate) evacuations: Option<Stored<EvacuatedZones>>,
}

/// Changes of targets that one VM sends another.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct TargetsUpdate {
    /// The store's revision as of which the targets are known.
    pub(crate) as_of: Revision,
    /// Whether a watch of the store may start at `as_of`. It may not while entries are kept that
    /// the store no longer lists, because the watch would miss their removal.
    pub(crate) watchable: bool,
    pub(crate) payload: TargetsPayload,
}

/// The targets as a whole or as changes.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) enum TargetsPayload {
    /// All targets, for a subscriber that is too far behind. The list is packed because upstreams
    /// send it to many subscribers at once.
    Whole(Packed<TargetList>),
    /// The changes since the subscriber's cursor, oldest first.
    Changes(Vec<TargetChange>),
    /// The changes since the subscriber's revision of the store, oldest first, for a subscriber whose
    /// list came from another VM. They lead to a list with this digest, unless the subscriber's list
    /// was different.
    Difference(Vec<TargetChange>, ListDigest),
}

/// The map of ranges as a whole or as steps.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) enum RangesPayload {
    /// The steps from the subscriber's map to the newest one, oldest first.
    Steps(Vec<RangesStep>),
    /// The newest map.
    Whole(Packed<Stored<RangeMap>>),
}

/// What applying a targets update led to.
#[derive(Clone, Copy, Debug)]
enum AppliedTargets {
    /// The upstream's list.
    Current,
    /// Nothing, because newer targets are known.
    Older,
    /// Another list than the upstream's.
    Different,
}

impl TargetsUpdate {
    fn is_empty(&self) -> bool {
        matches!(&self.payload, TargetsPayload::Changes(changes) if changes.is_empty())
    }
}

impl StateUpdate {
    /// Whether there is nothing new.
    pub(crate) fn is_empty(&self) -> bool {
        !self.announces_declarations
            && self.targets.as_ref().is_none_or(TargetsUpdate::is_empty)
            && self.ranges.is_none()
            && self.mandate.is_none()
            && self.admissions.is_none()
            && self.fleet.is_none()
            && self.evacuations.is_none()
    }
}

impl ClusterState {
    /// A cursor for an upstream that this VM has not polled before.
    pub(crate) fn cursor(&self) -> StateCursor {
        StateCursor {
            declared: self.newest_declared(),
            targets_revision: self.targets_revision(),
            ranges: self.ranges_revision(),
            mandate: self.mandate().map(|known| known.revision).unwrap_or_default(),
            admissions: self.admission_stamp(),
            fleet: self.fleet().stamp,
            evacuations: self.evacuations.borrow().revision,
            ..StateCursor::default()
        }
    }

    /// The update for a subscriber at `cursor`.
    pub(crate) fn update_since(&self, cursor: StateCursor) -> StateUpdate {
        let known = self.known.get();
        let is_same_upstream = cursor.incarnation == self.incarnation;
        let mut update = StateUpdate {
            cursor: StateCursor { incarnation: self.incarnation, ..cursor },
            declarations_as_of: known.declarations.unwrap_or_default(),
            ranges_as_of: known.ranges.unwrap_or_default(),
            ..StateUpdate::default()
        };
        self.announce_declarations(&mut update);
        self.add_targets(&mut update, is_same_upstream);
        self.add_ranges(&mut update);
        self.add_mandate(&mut update);
        self.add_admissions(&mut update);
        self.add_fleet(&mut update);
        self.add_evacuations(&mut update);
        update
    }

    /// Announces the declarations, unless the subscriber knows of them.
    fn announce_declarations(&self, update: &mut StateUpdate) {
        let newest = self.newest_declared();
        update.announces_declarations = newest.is_some() && newest != update.cursor.declared;
        update.cursor.declared = newest;
    }

    /// Adds the changes of targets since the subscriber's change number or, without one of this VM,
    /// since its revision of the store. Adds all targets if not all of these changes are kept.
    ///
    /// The subscriber may know newer targets than this VM. It then keeps its list until this VM has
    /// caught up.
    fn add_targets(&self, update: &mut StateUpdate, is_same_upstream: bool) {
        let from = update.cursor.targets.take().filter(|_| is_same_upstream);
        let mut targets = self.targets.borrow_mut();
        let Some(as_of) = targets.revision else { return };
        if from.is_none() && update.cursor.targets_revision.is_some_and(|reached| reached > as_of) {
            return;
        }
        let changes = match from {
            Some(number) => targets.changes_since(number).map(TargetsPayload::Changes),
            None => {
                let known = update.cursor.targets_revision;
                let known = known.filter(|_| !update.cursor.needs_whole_list);
                let changes = known.and_then(|revision| targets.changes_after(revision));
                changes.map(|changes| TargetsPayload::Difference(changes, targets.list.digest()))
            }
        };
        let payload = match changes {
            Some(changes) => changes,
            None => match targets.packed() {
                Ok(packed) => TargetsPayload::Whole(packed),
                Err(error) => return log_unsendable("targets", &error),
            },
        };
        update.cursor.targets = Some(targets.last_change);
        update.cursor.needs_whole_list = false;
        let watchable = self.known().targets.is_some() && targets.expiring.is_empty();
        update.targets = Some(TargetsUpdate { as_of, watchable, payload });
    }

    /// Adds changes of the ranges since the subscriber's map, whichever VM sent that map.
    fn add_ranges(&self, update: &mut StateUpdate) {
        let ranges = self.ranges.borrow();
        let Some(newest) = ranges.newest() else { return };
        update.ranges = match ranges.since(update.cursor.ranges) {
            Some(RangesUpdate::Steps(steps)) => Some(RangesPayload::Steps(steps)),
            Some(RangesUpdate::Whole(whole)) => match self.packed_ranges(&whole) {
                Ok(packed) => Some(RangesPayload::Whole(packed)),
                Err(error) => return log_unsendable("ranges", &error),
            },
            None => return,
        };
        update.cursor.ranges = newest.revision;
    }

    /// The whole map of ranges, packed once for all subscribers.
    fn packed_ranges(
        &self,
        whole: &Stored<RangeMap>,
    ) -> Result<Packed<Stored<RangeMap>>, PackedError> {
        let mut known = self.packed_ranges.borrow_mut();
        match &*known {
            Some((revision, packed)) if *revision == whole.revision => Ok(packed.clone()),
            _ => {
                let packed = Packed::pack(whole)?;
                *known = Some((whole.revision, packed.clone()));
                Ok(packed)
            }
        }
    }

    fn add_mandate(&self, update: &mut StateUpdate) {
        if let Some(mandate) = self.mandate.borrow().as_ref()
            && update.cursor.mandate < mandate.revision
        {
            update.cursor.mandate = mandate.revision;
            update.mandate = Some(mandate.clone());
        }
    }

    fn add_admissions(&self, update: &mut StateUpdate) {
        let newest = self.senders.admissions.borrow();
        if update.cursor.admissions < newest.stamp {
            update.cursor.admissions = newest.stamp;
            update.admissions = Some(AdmissionTable::clone(&newest));
        }
    }

    fn add_fleet(&self, update: &mut StateUpdate) {
        let newest = self.fleet();
        if update.cursor.fleet < newest.stamp {
            update.cursor.fleet = newest.stamp;
            update.fleet = Some(FleetTable::clone(&newest));
        }
    }

    fn add_evacuations(&self, update: &mut StateUpdate) {
        let newest = self.evacuations.borrow();
        if update.cursor.evacuations < newest.revision {
            update.cursor.evacuations = newest.revision;
            update.evacuations = Some(newest.clone());
        }
    }

    /// Applies another VM's update. Returns the cursor for the next request, or `None` when the
    /// update is unusable.
    pub(crate) fn apply_update(&self, update: StateUpdate) -> Option<StateCursor> {
        let mut cursor = update.cursor;
        self.apply_announced_declarations(cursor.declared, update.declarations_as_of);
        if let Some(targets) = update.targets {
            match self.apply_targets_update(targets)? {
                AppliedTargets::Current => {}
                // The upstream has to catch up.
                AppliedTargets::Older => cursor.targets = None,
                AppliedTargets::Different => {
                    cursor.targets = None;
                    cursor.needs_whole_list = true;
                }
            }
        }
        self.apply_ranges_update(update.ranges_as_of, update.ranges)?;
        if let Some(mandate) = &update.mandate {
            self.apply_mandate(mandate);
        }
        if let Some(admissions) = update.admissions {
            self.apply_admissions(admissions);
        }
        if let Some(fleet) = update.fleet {
            self.apply_fleet(fleet);
        }
        if let Some(evacuations) = update.evacuations {
            self.apply_evacuations(evacuations);
        }
        cursor.targets_revision = self.targets_revision();
        cursor.ranges = self.ranges_revision();
        Some(cursor)
    }

    /// Records which declarations another VM knows, and as of when.
    fn apply_announced_declarations(&self, state: Option<DeclaredState>, as_of: Revision) {
        let Some(state) = state else { return };
        self.record_announced_declarations(state);
        if self.declared_state() == Some(state) {
            // Only for known content: a watch of the store must not skip declarations that are
            // announced but missing.
            self.raise_declarations_revision(as_of);
        }
    }

    /// Applies a targets update; `None` when it can't be decoded.
    fn apply_targets_update(&self, update: TargetsUpdate) -> Option<AppliedTargets> {
        let applied = match update.payload {
            TargetsPayload::Whole(packed) => {
                let list = unpack("targets", &packed)?;
                let listing = TargetListing { targets: list, ..TargetListing::default() };
                match self.apply_target_list(update.as_of, listing, None, ChangeOrigin::OtherVm) {
                    true => AppliedTargets::Current,
                    false => AppliedTargets::Older,
                }
            }
            TargetsPayload::Changes(changes) => {
                self.apply_target_changes(update.as_of, changes, None, ChangeOrigin::OtherVm);
                AppliedTargets::Current
            }
            TargetsPayload::Difference(changes, digest) => {
                self.apply_target_changes(update.as_of, changes, None, ChangeOrigin::OtherVm);
                match self.targets.borrow_mut().confirm(digest) {
                    true => AppliedTargets::Current,
                    false => AppliedTargets::Different,
                }
            }
        };
        let may_watch = match applied {
            AppliedTargets::Current => update.watchable,
            AppliedTargets::Older => true,
            AppliedTargets::Different => {
                log_unusable("targets", &"the changes lead to another list");
                false
            }
        };
        if !may_watch {
            // A watch from this revision would miss the removal of entries.
            self.forget_targets_revision();
        }
        Some(applied)
    }

    /// Applies a ranges update; `None` when it can't be decoded or does not apply to the known map.
    fn apply_ranges_update(&self, as_of: Revision, payload: Option<RangesPayload>) -> Option<()> {
        let whole = match payload {
            Some(RangesPayload::Steps(steps)) => {
                let applied = self.apply_range_steps(as_of, steps);
                return applied.map_err(|error| log_unusable("ranges", &error)).ok();
            }
            Some(RangesPayload::Whole(packed)) => Some(unpack("ranges", &packed)?),
            None => None,
        };
        self.apply_ranges(as_of, whole);
        Some(())
    }
}

/// Unpacks a part, and logs why it is unusable if that fails.
fn unpack<T: Decode<()>>(part: &str, packed: &Packed<T>) -> Option<T> {
    packed.unpack().map_err(|error| log_unusable(part, &error)).ok()
}

/// Logs that a part can't be encoded for other VMs.
fn log_unsendable(part: &str, reason: &dyn std::fmt::Display) {
    log_event(EventName::PartUntold, &[("part", &part), ("reason", reason)]);
}

/// Logs that a part of another VM's update is unusable.
pub(super) fn log_unusable(part: &str, reason: &dyn std::fmt::Display) {
    log_event(EventName::NewsUnusable, &[("part", &part), ("reason", reason)]);
}
