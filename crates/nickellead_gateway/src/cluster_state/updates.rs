//! What one VM's book can tell another VM, and taking in what another one tells.

use bincode::{Decode, Encode};
use nickellead_event::{EventName, log_event};
use nickellead_range::RangeMap;

use super::targets::ChangeOrigin;
use super::{ClusterState, RangesStep, RangesUpdate};
use crate::admission::AdmissionTable;
use crate::fleet::{AnnouncementStamp, FleetTable};
use crate::packed::{Packed, PackedError};
use crate::{
    DeclaredState, EvacuatedZones, MandateRecord, Revision, Stored, TargetChange, TargetList,
    TargetListing,
};

/// How far a VM's copy of another VM's book reaches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct StateCursor {
    /// Life of the process whose book it is.
    pub(crate) incarnation: u64,
    /// Number of the last change of targets taken from it; `None` before its whole list was taken.
    pub(crate) targets: Option<u64>,
    /// The store's revision up to which the reader knows the targets, whoever told them.
    pub(crate) targets_reached: Option<Revision>,
    /// Newest content of the declarations that it announced, or that the reader knows.
    pub(crate) declared: Option<DeclaredState>,
    /// Revision of the reader's map of ranges, whichever book it came from; 0 for none.
    pub(crate) ranges: Revision,
    /// Revision of the last mandate.
    pub(crate) mandate: Revision,
    /// The last word about crowded owners.
    pub(crate) admissions: AnnouncementStamp,
    /// The last word about the VMs that take requests.
    pub(crate) fleet: AnnouncementStamp,
    /// As of when the evacuated zones are known; 0 for never.
    pub(crate) evacuations: Revision,
}

/// What is new in a book since a mark.
#[derive(Clone, Debug, Default, Encode, Decode)]
pub(crate) struct StateUpdate {
    /// Where the reader's copy now reaches.
    pub(crate) mark: StateCursor,
    /// The store's revision that the declarations of the mark are as of.
    pub(crate) declarations_as_of: Revision,
    /// Whether the mark announces declarations that the reader did not know of. They are asked for
    /// apart, so that they hold nothing back.
    pub(crate) announces: bool,
    /// What is new of the targets; `None` while the reader knows newer ones.
    pub(crate) targets: Option<TargetsUpdate>,
    /// The store's revision that the ranges are as of.
    pub(crate) ranges_as_of: Revision,
    /// A newer map of ranges.
    pub(crate) ranges: Option<RangesPayload>,
    /// A newer mandate.
    pub(crate) mandate: Option<Stored<MandateRecord>>,
    /// A newer word about crowded owners, whole: it names few of them.
    pub(crate) admissions: Option<AdmissionTable>,
    /// A newer word about the VMs that take requests.
    pub(crate) fleet: Option<FleetTable>,
    /// Newer evacuated zones, all of them.
    pub(crate) evacuations: Option<Stored<EvacuatedZones>>,
}

/// What one VM tells another of the targets.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct TargetsUpdate {
    /// The store's revision that they are as of.
    pub(crate) as_of: Revision,
    /// Whether a watch of the store may go on from there: not so while entries are kept that the store
    /// does not list, because they may only have lapsed.
    pub(crate) watchable: bool,
    pub(crate) news: TargetsPayload,
}

/// How the targets come to be as they are.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) enum TargetsPayload {
    /// All of them, for a reader that is too far behind: a quarter of the bytes when packed, and those
    /// that tell twenty others at once have links of 20 Mbit/s.
    Whole(Packed<TargetList>),
    /// The changes since the reader's mark, oldest first.
    Changes(Vec<TargetChange>),
}

/// What one VM tells another of the map of ranges.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) enum RangesPayload {
    /// The steps from the reader's map to the newest one, oldest first.
    Steps(Vec<RangesStep>),
    /// The newest map.
    Whole(Packed<Stored<RangeMap>>),
}

impl TargetsUpdate {
    fn is_empty(&self) -> bool {
        matches!(&self.news, TargetsPayload::Changes(changes) if changes.is_empty())
    }
}

impl StateUpdate {
    /// Whether there is nothing new.
    pub(crate) fn is_empty(&self) -> bool {
        !self.announces
            && self.targets.as_ref().is_none_or(TargetsUpdate::is_empty)
            && self.ranges.is_none()
            && self.mandate.is_none()
            && self.admissions.is_none()
            && self.fleet.is_none()
            && self.evacuations.is_none()
    }
}

impl ClusterState {
    /// What a reader with this book knows, whomever it asks.
    pub(crate) fn mark(&self) -> StateCursor {
        StateCursor {
            declared: self.newest_declared(),
            targets_reached: self.targets_reached(),
            ranges: self.ranges_revision(),
            mandate: self.mandate().map(|known| known.revision).unwrap_or_default(),
            admissions: self.admission_stamp(),
            fleet: self.fleet().stamp,
            evacuations: self.evacuations.borrow().revision,
            ..StateCursor::default()
        }
    }

    /// What is new for a reader at `mark`.
    pub(crate) fn news_since(&self, mark: StateCursor) -> StateUpdate {
        let known = self.known.get();
        let same = mark.incarnation == self.incarnation;
        let mut news = StateUpdate {
            mark: StateCursor { incarnation: self.incarnation, ..mark },
            declarations_as_of: known.declarations.unwrap_or_default(),
            ranges_as_of: known.ranges.unwrap_or_default(),
            ..StateUpdate::default()
        };
        self.announce_declarations(&mut news);
        self.tell_target_news(&mut news, same);
        self.tell_ranges(&mut news);
        self.tell_mandate(&mut news);
        self.tell_admissions(&mut news);
        self.tell_fleet(&mut news);
        self.tell_evacuations(&mut news);
        news
    }

    /// Announces the declarations, unless the reader knows of these.
    fn announce_declarations(&self, news: &mut StateUpdate) {
        let newest = self.newest_declared();
        news.announces = newest.is_some() && newest != news.mark.declared;
        news.mark.declared = newest;
    }

    /// Adds the changes of targets, or all targets for a reader that has none of this book's changes.
    ///
    /// A reader that comes from the store may know newer targets than this VM, or this VM may not have
    /// read them yet: the reader keeps what it has until this VM has caught up.
    fn tell_target_news(&self, news: &mut StateUpdate, same: bool) {
        let from = news.mark.targets.take().filter(|_| same);
        let mut part = self.targets.borrow_mut();
        let Some(as_of) = part.reached else { return };
        if from.is_none() && news.mark.targets_reached.is_some_and(|reached| reached > as_of) {
            return;
        }
        let told = match from.and_then(|from| part.since(from)) {
            Some(changes) => TargetsPayload::Changes(changes),
            None => match part.packed() {
                Ok(packed) => TargetsPayload::Whole(packed),
                Err(error) => return log_untold("targets", &error),
            },
        };
        news.mark.targets = Some(part.number);
        let watchable = self.known().targets.is_some() && part.lapsing.is_empty();
        news.targets = Some(TargetsUpdate { as_of, watchable, news: told });
    }

    /// Adds what is new of the ranges since the reader's map, whichever book that came from.
    fn tell_ranges(&self, news: &mut StateUpdate) {
        let ranges = self.ranges.borrow();
        let Some(newest) = ranges.newest() else { return };
        news.ranges = match ranges.since(news.mark.ranges) {
            Some(RangesUpdate::Steps(steps)) => Some(RangesPayload::Steps(steps)),
            Some(RangesUpdate::Whole(whole)) => match self.packed_ranges(&whole) {
                Ok(packed) => Some(RangesPayload::Whole(packed)),
                Err(error) => return log_untold("ranges", &error),
            },
            None => return,
        };
        news.mark.ranges = newest.revision;
    }

    /// A map of ranges, packed once for all readers that need it whole.
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

    fn tell_mandate(&self, news: &mut StateUpdate) {
        if let Some(mandate) = self.mandate.borrow().as_ref()
            && news.mark.mandate < mandate.revision
        {
            news.mark.mandate = mandate.revision;
            news.mandate = Some(mandate.clone());
        }
    }

    fn tell_admissions(&self, news: &mut StateUpdate) {
        let newest = self.told.admissions.borrow();
        if news.mark.admissions < newest.stamp {
            news.mark.admissions = newest.stamp;
            news.admissions = Some(AdmissionTable::clone(&newest));
        }
    }

    fn tell_fleet(&self, news: &mut StateUpdate) {
        let newest = self.fleet();
        if news.mark.fleet < newest.stamp {
            news.mark.fleet = newest.stamp;
            news.fleet = Some(FleetTable::clone(&newest));
        }
    }

    fn tell_evacuations(&self, news: &mut StateUpdate) {
        let newest = self.evacuations.borrow();
        if news.mark.evacuations < newest.revision {
            news.mark.evacuations = newest.revision;
            news.evacuations = Some(newest.clone());
        }
    }

    /// Takes over another VM's news; gives the reader's next mark, or `None` when the news can't be
    /// used.
    pub(crate) fn take_news(&self, news: StateUpdate) -> Option<StateCursor> {
        let mut mark = news.mark;
        self.take_announced(mark.declared, news.declarations_as_of);
        if let Some(told) = news.targets
            && !self.take_targets(told)?
        {
            // The list was older than what is known here: the VM that told it has to catch up.
            mark.targets = None;
        }
        self.take_ranges(news.ranges_as_of, news.ranges)?;
        if let Some(mandate) = &news.mandate {
            self.note_mandate(mandate);
        }
        if let Some(admissions) = news.admissions {
            self.note_admissions(admissions);
        }
        if let Some(fleet) = news.fleet {
            self.note_fleet(fleet);
        }
        if let Some(evacuations) = news.evacuations {
            self.note_evacuations(evacuations);
        }
        mark.targets_reached = self.targets_reached();
        mark.ranges = self.ranges_revision();
        Some(mark)
    }

    /// Notes which declarations another VM knows of, and as of when.
    fn take_announced(&self, state: Option<DeclaredState>, as_of: Revision) {
        let Some(state) = state else { return };
        self.note_announced(state);
        if self.declared_state() == Some(state) {
            // What is announced and not known yet must not be missed by a watch of the store.
            self.note_declarations(as_of, None);
        }
    }

    /// Takes over what another VM told of the targets, unless newer ones are known; `None` when it
    /// can't be read.
    fn take_targets(&self, told: TargetsUpdate) -> Option<bool> {
        let taken = match told.news {
            TargetsPayload::Whole(packed) => {
                let list = unpack("targets", &packed)?;
                let listing = TargetListing { targets: list, ..TargetListing::default() };
                self.take_target_list(told.as_of, listing, None, ChangeOrigin::OtherVm)
            }
            TargetsPayload::Changes(changes) => {
                self.take_target_changes(told.as_of, changes, None, ChangeOrigin::OtherVm);
                true
            }
        };
        if taken && !told.watchable {
            // A watch of the store from here would miss that some entries are gone.
            self.forget_targets_revision();
        }
        Some(taken)
    }

    /// Takes over what another VM told of the ranges; `None` when it does not fit what is known.
    fn take_ranges(&self, as_of: Revision, news: Option<RangesPayload>) -> Option<()> {
        let whole = match news {
            Some(RangesPayload::Steps(steps)) => {
                let taken = self.note_ranges_steps(as_of, steps);
                return taken.map_err(|misfit| log_unusable("ranges", &misfit)).ok();
            }
            Some(RangesPayload::Whole(packed)) => Some(unpack("ranges", &packed)?),
            None => None,
        };
        self.note_ranges(as_of, whole);
        Some(())
    }
}

/// A part that another VM told whole.
fn unpack<T: Decode<()>>(part: &str, packed: &Packed<T>) -> Option<T> {
    packed.unpack().map_err(|error| log_unusable(part, &error)).ok()
}

/// Logs that a part can't be told to other VMs.
fn log_untold(part: &str, reason: &dyn std::fmt::Display) {
    log_event(EventName::PartUntold, &[("part", &part), ("reason", reason)]);
}

/// Logs that a part of what another VM told can't be used.
pub(super) fn log_unusable(part: &str, reason: &dyn std::fmt::Display) {
    log_event(EventName::NewsUnusable, &[("part", &part), ("reason", reason)]);
}
