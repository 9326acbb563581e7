//! What one VM knows: declarations, targets, ranges, and who holds the mandate.
//!
//! The book takes news from the store or from another VM, never goes
//! backwards, tells the request duty, and can say what is new to another VM.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bincode::{Decode, Encode};
use nickellead_event::{EventName, log_event};
use nickellead_range::RangeMap;
use tokio::sync::Notify;

use crate::beliefs::BeliefSenders;
use crate::{
    Declarations, MandateRecord, Revision, Stored, TargetChange, TargetEntry, TargetList,
    TargetState,
};

/// Changes of targets kept for other VMs; a VM that is further behind gets the whole list.
const CHANGES_KEPT: usize = 512;

/// How far a VM's copy of another VM's book reaches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct BookMark {
    /// Life of the process whose book it is.
    pub(crate) incarnation: u64,
    /// Number of the last change of targets taken from it.
    pub(crate) targets: u64,
    /// Revision of the last declarations taken from it, plus one; 0 for none.
    pub(crate) declarations: u64,
    /// Revision of the last map of ranges.
    pub(crate) ranges: Revision,
    /// Revision of the last mandate.
    pub(crate) mandate: Revision,
}

/// What is new in a book since a mark.
#[derive(Clone, Debug, Default, Encode, Decode)]
pub(crate) struct BookNews {
    /// Where the reader's copy now reaches.
    pub(crate) mark: BookMark,
    /// The store's revision that the declarations are as of.
    pub(crate) declarations_as_of: Revision,
    /// Newer declarations.
    pub(crate) declarations: Option<Declarations>,
    /// The store's revision that the targets are as of; `None` while entries that the store does
    /// not list are kept because they may only have lapsed.
    pub(crate) targets_as_of: Option<Revision>,
    /// All targets, for a reader that is too far behind.
    pub(crate) all_targets: Option<TargetList>,
    /// Changes of targets, oldest first.
    pub(crate) target_changes: Vec<TargetChange>,
    /// The store's revision that the ranges are as of.
    pub(crate) ranges_as_of: Revision,
    /// A newer map of ranges.
    pub(crate) ranges: Option<Stored<RangeMap>>,
    /// A newer mandate.
    pub(crate) mandate: Option<Stored<MandateRecord>>,
}

impl BookNews {
    /// Whether there is nothing new.
    pub(crate) fn is_empty(&self) -> bool {
        self.declarations.is_none()
            && self.all_targets.is_none()
            && self.target_changes.is_empty()
            && self.ranges.is_none()
            && self.mandate.is_none()
    }
}

/// Up to which revision of the store each part is known.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KnownRevisions {
    pub(crate) declarations: Option<Revision>,
    pub(crate) targets: Option<Revision>,
    pub(crate) ranges: Option<Revision>,
}

struct TargetPart {
    list: TargetList,
    /// Entries that are gone from the store, and when they are taken as gone.
    lapsing: BTreeMap<String, Instant>,
    changes: VecDeque<(u64, TargetChange)>,
    number: u64,
}

/// One VM's book.
pub(crate) struct BeliefBook {
    incarnation: u64,
    known: Cell<KnownRevisions>,
    targets: RefCell<TargetPart>,
    ranges: RefCell<Option<Stored<RangeMap>>>,
    mandate: RefCell<Option<Stored<MandateRecord>>>,
    told: BeliefSenders,
    /// Woken by every change.
    pub(crate) changed: Notify,
}

impl BeliefBook {
    pub(crate) fn new(incarnation: u64, told: BeliefSenders) -> Self {
        let targets = TargetPart {
            list: TargetList::new(),
            lapsing: BTreeMap::new(),
            changes: VecDeque::new(),
            number: 0,
        };
        Self {
            incarnation,
            known: Cell::default(),
            targets: RefCell::new(targets),
            ranges: RefCell::new(None),
            mandate: RefCell::new(None),
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
        self.ranges.borrow().clone()
    }

    /// The newest mandate.
    pub(crate) fn mandate(&self) -> Option<Stored<MandateRecord>> {
        self.mandate.borrow().clone()
    }

    /// Takes over declarations; older ones are ignored.
    pub(crate) fn note_declarations(&self, as_of: Revision, new: Option<Declarations>) {
        self.raise(|known| &mut known.declarations, as_of);
        let Some(new) = new else { return };
        let version = new.version;
        let newer = self.told.declarations.send_if_modified(|known| {
            if known.as_ref().is_some_and(|known| known.version >= version) {
                return false;
            }
            *known = Some(Arc::new(new));
            true
        });
        if newer {
            log_event(EventName::ConfigInForce, &[("version", &version)]);
            self.changed.notify_waiters();
        }
    }

    /// Takes over the whole list of targets, unless a newer one is known.
    ///
    /// `lapse` is until when a missing entry may only have lapsed.
    pub(crate) fn note_all_targets(
        &self,
        as_of: Revision,
        list: TargetList,
        lapse: Option<Instant>,
    ) -> bool {
        if self.known.get().targets.is_some_and(|known| known > as_of) {
            return false;
        }
        let known = self.targets.borrow().list.keys().cloned().collect::<Vec<_>>();
        let gone = known.into_iter().filter(|id| !list.contains_key(id)).map(TargetChange::Gone);
        let changes = gone.chain(list.values().cloned().map(TargetChange::Listed)).collect();
        self.note_target_changes(as_of, changes, lapse);
        true
    }

    /// Takes over changes of targets that follow on what is known.
    pub(crate) fn note_target_changes(
        &self,
        as_of: Revision,
        changes: Vec<TargetChange>,
        lapse: Option<Instant>,
    ) {
        self.raise(|known| &mut known.targets, as_of);
        let mut part = self.targets.borrow_mut();
        let before = part.number;
        changes.into_iter().for_each(|change| part.take(change, lapse));
        self.tell_targets(&part, before);
    }

    /// Drops entries that lapsed and did not come back.
    pub(crate) fn drop_lapsed(&self, now: Instant) {
        let mut part = self.targets.borrow_mut();
        let before = part.number;
        let due = part.lapsing.iter().filter(|(_, until)| **until <= now);
        let due: Vec<String> = due.map(|(id, _)| id.clone()).collect();
        due.into_iter().for_each(|id| part.remove(&id));
        self.tell_targets(&part, before);
    }

    /// When the next entry that lapsed is taken as gone.
    pub(crate) fn next_lapse(&self) -> Option<Instant> {
        self.targets.borrow().lapsing.values().min().copied()
    }

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
        let mut ranges = self.ranges.borrow_mut();
        if ranges.as_ref().is_none_or(|known| new.revision > known.revision) {
            self.told.ranges.send_replace(Arc::new(new.value.clone()));
            *ranges = Some(new);
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

    /// Makes the next look at the store read all targets.
    fn forget_targets_revision(&self) {
        let known = KnownRevisions { targets: None, ..self.known.get() };
        self.known.set(known);
    }

    fn raise(&self, part: impl Fn(&mut KnownRevisions) -> &mut Option<Revision>, as_of: Revision) {
        let mut known = self.known.get();
        let revision = part(&mut known);
        if revision.is_none_or(|revision| revision < as_of) {
            *revision = Some(as_of);
        }
        self.known.set(known);
    }

    /// What is new for a reader at `mark`.
    pub(crate) fn news_since(&self, mark: BookMark) -> BookNews {
        let known = self.known.get();
        let same = mark.incarnation == self.incarnation;
        let mut news = BookNews {
            mark: BookMark { incarnation: self.incarnation, ..mark },
            declarations_as_of: known.declarations.unwrap_or_default(),
            targets_as_of: known.targets.filter(|_| self.next_lapse().is_none()),
            ranges_as_of: known.ranges.unwrap_or_default(),
            ..BookNews::default()
        };
        if let Some(declarations) = self.declarations()
            && (!same || mark.declarations != declarations.version + 1)
        {
            news.mark.declarations = declarations.version + 1;
            news.declarations = Some(declarations.as_ref().clone());
        }
        let part = self.targets.borrow();
        news.mark.targets = part.number;
        match part.since(mark.targets).filter(|_| same) {
            Some(changes) => news.target_changes = changes,
            None => news.all_targets = Some(part.list.clone()),
        }
        if let Some(ranges) = self.ranges.borrow().as_ref()
            && (!same || mark.ranges != ranges.revision)
        {
            news.mark.ranges = ranges.revision;
            news.ranges = Some(ranges.clone());
        }
        if let Some(mandate) = self.mandate.borrow().as_ref()
            && (!same || mark.mandate != mandate.revision)
        {
            news.mark.mandate = mandate.revision;
            news.mandate = Some(mandate.clone());
        }
        news
    }

    /// Takes over another VM's news; tells whether they could be used.
    pub(crate) fn take_news(&self, news: BookNews) -> bool {
        self.note_declarations(news.declarations_as_of, news.declarations);
        if news.targets_as_of.is_none() {
            // A watch of the store from here would miss that some entries are gone.
            self.forget_targets_revision();
        }
        let as_of = news.targets_as_of.unwrap_or_default();
        let usable = match news.all_targets {
            Some(list) => self.note_all_targets(as_of, list, None),
            None => {
                self.note_target_changes(as_of, news.target_changes, None);
                true
            }
        };
        if news.targets_as_of.is_none() {
            self.forget_targets_revision();
        }
        self.note_ranges(news.ranges_as_of, news.ranges);
        if let Some(mandate) = &news.mandate {
            self.note_mandate(mandate);
        }
        usable
    }
}

impl TargetPart {
    fn take(&mut self, change: TargetChange, lapse: Option<Instant>) {
        match change {
            TargetChange::Listed(entry) => self.list_entry(entry),
            TargetChange::Gone(id) => {
                let Some(entry) = self.list.get(&id) else { return };
                match lapse {
                    Some(until) if entry.state == TargetState::Ready => {
                        self.lapsing.entry(id).or_insert(until);
                    }
                    _ => self.remove(&id),
                }
            }
        }
    }

    fn list_entry(&mut self, entry: TargetEntry) {
        self.lapsing.remove(&entry.id);
        let known = self.list.get(&entry.id);
        if known == Some(&entry) {
            return;
        }
        if known.map(|known| known.state) != Some(entry.state) {
            let state = match entry.state {
                TargetState::Ready => "ready",
                TargetState::Draining => "draining",
            };
            log_target(&entry.id, &entry.service, state);
        }
        self.push(TargetChange::Listed(entry.clone()));
        self.list.insert(entry.id.clone(), entry);
    }

    fn remove(&mut self, id: &str) {
        self.lapsing.remove(id);
        if let Some(entry) = self.list.remove(id) {
            log_target(id, &entry.service, "gone");
            self.push(TargetChange::Gone(id.to_owned()));
        }
    }

    fn push(&mut self, change: TargetChange) {
        self.number += 1;
        self.changes.push_back((self.number, change));
        if self.changes.len() > CHANGES_KEPT {
            self.changes.pop_front();
        }
    }

    /// The changes after a number; `None` when they are not all kept.
    fn since(&self, number: u64) -> Option<Vec<TargetChange>> {
        let oldest = self.changes.front().map_or(self.number, |(first, _)| first - 1);
        if number < oldest || number > self.number {
            return None;
        }
        let new = self.changes.iter().filter(|(one, _)| *one > number);
        Some(new.map(|(_, change)| change.clone()).collect())
    }
}

fn log_target(id: &str, service: &str, state: &str) {
    let pairs: [(&str, &dyn std::fmt::Display); 3] =
        [("target", &id), ("service", &service), ("state", &state)];
    log_event(EventName::TargetChanged, &pairs);
}

/// After the store's return, entries that lapsed meanwhile are back within this time.
///
/// The users' letter says "within about two seconds".
pub(crate) const LAPSE_TIME: Duration = Duration::from_millis(2_200);
