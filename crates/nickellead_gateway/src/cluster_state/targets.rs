//! The listed targets, entries that may only have expired in the store, and recent changes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use nickellead_event::{EventName, log_event};
use nickellead_range::TargetInstance;

use crate::listed_targets::{ListDigest, ListedTargets};
use crate::packed::{Packed, PackedError};
use crate::{Revision, StoreEra, TargetChange, TargetEntry, TargetList, TargetState};

/// Changes of targets kept for other VMs; a VM that is further behind gets the whole list.
const MAX_RECENT_CHANGES: usize = 2_048;
/// How long missing entries are kept after the store has become available again. Live targets whose
/// entries expired meanwhile write them again within this time.
pub(crate) const EXPIRY_GRACE: Duration = Duration::from_millis(2_200);
/// How long an entry from a restored copy of the store is withheld if its target is known to have
/// gone. An entry that is still listed after this time is renewed by a live target, because entries
/// expire after three missed heartbeats.
const WITHHOLD_PERIOD: Duration = Duration::from_secs(10);
/// How long departed instances of targets are remembered; longer than the age of the store's
/// copies.
const DEPARTED_RETENTION: Duration = Duration::from_secs(60);

/// Where changes of targets come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ChangeOrigin {
    /// The store: each change is logged.
    Store,
    /// Another VM: only the number of changes is logged, because the VM that watches the store logs
    /// each one. On 295 VMs with 1,081 targets, a line each was up to a million lines a minute.
    OtherVm,
}

/// Numbers of targets that became ready, began to leave and went, for the log.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ChangeCounts {
    ready: usize,
    draining: usize,
    gone: usize,
}

/// A change that is kept for other VMs.
struct RecentChange {
    number: u64,
    /// The store's revision up to which the list was complete with it.
    as_of: Revision,
    change: TargetChange,
}

/// The targets of one VM's cluster state.
#[derive(Default)]
pub(super) struct TargetsState {
    pub(super) list: ListedTargets,
    /// The store's revision up to which the list is complete; `None` before the first whole list.
    pub(super) revision: Option<Revision>,
    /// Entries that are gone from the store, and when they are removed from the list.
    pub(super) expiring: BTreeMap<String, Instant>,
    /// Departed instances of targets, and when they went, by identity.
    departed: BTreeMap<String, (TargetInstance, Instant)>,
    /// Entries of departed instances that a restored copy of the store brought back, and when they
    /// are listed nevertheless.
    withheld: BTreeMap<String, (TargetEntry, Instant)>,
    /// The store's era of the last changes.
    era: StoreEra,
    /// When that era began, as far as this VM knows; `None` in the first one.
    restored_at: Option<Instant>,
    /// When each entry last changed; its remaining cold time counts from then.
    updated_at: BTreeMap<String, Instant>,
    /// Identities whose entries can't be decoded.
    unreadable: BTreeSet<String>,
    /// Recent changes, oldest first.
    changes: VecDeque<RecentChange>,
    /// The store's revision after which all changes are kept; `None` before the first list.
    changes_from: Option<Revision>,
    /// Number of the last change.
    pub(super) last_change: u64,
    /// The whole list as of a change number, packed when the first subscriber needs it.
    packed: Option<(u64, Packed<TargetList>)>,
}

impl TargetsState {
    /// Applies changes. If `remove_at` is given, entries that are gone may only have expired and
    /// are kept until then.
    pub(super) fn apply_all(
        &mut self,
        changes: Vec<TargetChange>,
        remove_at: Option<Instant>,
        origin: ChangeOrigin,
    ) {
        let mut counts = ChangeCounts::default();
        for change in changes {
            counts.add(self.state_change(&change));
            self.apply(change, remove_at, origin);
        }
        if origin == ChangeOrigin::OtherVm {
            log_counts(counts, self.last_change);
        }
    }

    /// The log text for a target's new state, if a change brings one.
    fn state_change(&self, change: &TargetChange) -> Option<&'static str> {
        match change {
            TargetChange::Listed(entry) => {
                let known = self.list.get(&entry.id).map(|known| known.state);
                (known != Some(entry.state)).then(|| state_name(entry.state))
            }
            TargetChange::Gone(id) | TargetChange::Unreadable(id) => {
                self.list.get(id).map(|_| GONE)
            }
        }
    }

    fn apply(&mut self, change: TargetChange, remove_at: Option<Instant>, origin: ChangeOrigin) {
        match change {
            TargetChange::Listed(entry) => self.list_entry(entry, origin),
            TargetChange::Unreadable(id) => {
                if self.unreadable.insert(id.clone()) {
                    log_event(EventName::TargetUnreadable, &[("target", &id)]);
                }
                // An entry of this identity from another writer must not keep the target in use.
                self.remove(&id, origin);
            }
            TargetChange::Gone(id) => {
                self.unreadable.remove(&id);
                self.withheld.remove(&id);
                let Some(entry) = self.list.get(&id) else { return };
                match remove_at {
                    Some(until) if entry.state == TargetState::Ready => {
                        self.expiring.entry(id).or_insert_with(|| {
                            log_kept(entry, until);
                            until
                        });
                    }
                    _ => self.remove(&id, origin),
                }
            }
        }
    }

    /// Records the store's era. If the store was restored from a copy since, returns up to which
    /// revision the list was complete.
    pub(super) fn enter_era(&mut self, era: StoreEra, now: Instant) -> Option<Revision> {
        let increased = self.era < era;
        self.era = self.era.max(era);
        let revision = self.revision.filter(|_| increased)?;
        self.restored_at = Some(now);
        Some(revision)
    }

    /// The changes that a whole list brings, without entries of targets that departed in the time
    /// that the store has lost. The store lists those until they expire.
    pub(super) fn withhold(&mut self, list: TargetList) -> Vec<TargetChange> {
        self.withheld.retain(|id, _| list.contains_key(id));
        let restored_at =
            self.restored_at.filter(|restored_at| restored_at.elapsed() < WITHHOLD_PERIOD);
        let mut changes = Vec::with_capacity(list.len());
        for (id, entry) in list {
            match restored_at.filter(|restored_at| self.departed_before(&entry, *restored_at)) {
                Some(restored_at) => {
                    self.withheld.insert(id, (entry, restored_at + WITHHOLD_PERIOD));
                }
                None => changes.push(TargetChange::Listed(entry)),
            }
        }
        changes
    }

    /// Whether this instance of a target is known to have departed before the store was restored.
    fn departed_before(&self, entry: &TargetEntry, restored_at: Instant) -> bool {
        let departed = self.departed.get(&entry.id).filter(|_| self.list.get(&entry.id).is_none());
        departed.is_some_and(|(instance, departed_at)| {
            *instance == entry.instance() && *departed_at <= restored_at
        })
    }

    /// Whether an upstream's list with this digest is the known one. If so, entries that may have
    /// expired are listed again: the upstream tells when one goes.
    pub(super) fn confirm(&mut self, digest: ListDigest) -> bool {
        let confirmed = self.list.digest() == digest;
        if confirmed {
            self.expiring.clear();
        }
        confirmed
    }

    /// When the next expired entry is removed or the next withheld one is listed.
    pub(super) fn next_due(&self) -> Option<Instant> {
        let withheld = self.withheld.values().map(|(_, due)| due);
        self.expiring.values().chain(withheld).min().copied()
    }

    /// Removes expired entries and lists withheld entries that are due.
    pub(super) fn apply_due(&mut self, now: Instant) {
        let expired = self.expiring.iter().filter(|(_, until)| **until <= now);
        let expired: Vec<String> = expired.map(|(id, _)| id.clone()).collect();
        expired.into_iter().for_each(|id| self.remove(&id, ChangeOrigin::Store));
        let released = self.withheld.values().filter(|(_, due)| *due <= now);
        let released: Vec<TargetEntry> = released.map(|(entry, _)| entry.clone()).collect();
        // This also removes them from `withheld`.
        released.into_iter().for_each(|entry| self.list_entry(entry, ChangeOrigin::Store));
    }

    fn list_entry(&mut self, mut entry: TargetEntry, origin: ChangeOrigin) {
        self.expiring.remove(&entry.id);
        self.unreadable.remove(&entry.id);
        self.withheld.remove(&entry.id);
        let known = self.list.get(&entry.id);
        if known.is_some_and(|known| known.left_before(&entry)) {
            entry.state = TargetState::Draining;
        }
        if known == Some(&entry) {
            return;
        }
        if known.map(|known| known.state) != Some(entry.state) && origin == ChangeOrigin::Store {
            log_listed(&entry);
        }
        self.updated_at.insert(entry.id.clone(), Instant::now());
        self.push(TargetChange::Listed(entry.clone()));
        self.list.insert(entry);
    }

    /// Removes an entry from the list and remembers its instance as departed.
    pub(super) fn remove(&mut self, id: &str, origin: ChangeOrigin) {
        self.expiring.remove(id);
        self.updated_at.remove(id);
        if let Some(entry) = self.list.remove(id) {
            let now = Instant::now();
            self.departed.retain(|_, (_, departed_at)| now - *departed_at < DEPARTED_RETENTION);
            self.departed.insert(id.to_owned(), (entry.instance(), now));
            if origin == ChangeOrigin::Store {
                log_target(id, &entry.service, GONE);
            }
            self.push(TargetChange::Gone(id.to_owned()));
        }
    }

    fn push(&mut self, change: TargetChange) {
        self.last_change += 1;
        let as_of = self.revision.unwrap_or_default();
        self.changes.push_back(RecentChange { number: self.last_change, as_of, change });
        if self.changes.len() > MAX_RECENT_CHANGES {
            let dropped = self.changes.pop_front().map(|dropped| dropped.as_of);
            self.changes_from = self.changes_from.max(dropped);
        }
    }

    /// How much longer a target is cold according to its entry.
    pub(super) fn cold_left(&self, entry: &TargetEntry) -> Duration {
        let age = self.updated_at.get(&entry.id).map_or(Duration::ZERO, Instant::elapsed);
        entry.cold_left.saturating_sub(age)
    }

    /// The entry as of now, so that its cold time does not start again at each VM that receives it.
    fn with_current_cold_time(&self, entry: &TargetEntry) -> TargetEntry {
        TargetEntry { cold_left: self.cold_left(entry), ..entry.clone() }
    }

    /// The whole list, packed once for all subscribers unless it has cold targets, whose remaining
    /// time changes.
    pub(super) fn packed(&mut self) -> Result<Packed<TargetList>, PackedError> {
        let is_cold = |entry: &TargetEntry| !entry.cold_left.is_zero();
        if self.list.entries().any(is_cold) {
            let current =
                |entry: &TargetEntry| (entry.id.clone(), self.with_current_cold_time(entry));
            return Packed::pack(&self.list.entries().map(current).collect::<TargetList>());
        }
        match &self.packed {
            Some((number, packed)) if *number == self.last_change => Ok(packed.clone()),
            _ => {
                let packed = Packed::pack(&self.list.to_list())?;
                self.packed = Some((self.last_change, packed.clone()));
                Ok(packed)
            }
        }
    }

    /// The changes after a number; `None` when they are not all kept.
    pub(super) fn changes_since(&self, number: u64) -> Option<Vec<TargetChange>> {
        let oldest = self.changes.front().map_or(self.last_change, |first| first.number - 1);
        if number < oldest || number > self.last_change {
            return None;
        }
        Some(self.current_changes(|kept| kept.number > number))
    }

    /// The changes after a revision of the store; `None` when they are not all kept.
    pub(super) fn changes_after(&self, revision: Revision) -> Option<Vec<TargetChange>> {
        let kept_from = self.changes_from.filter(|kept_from| kept_from.era == revision.era)?;
        let is_kept =
            revision >= kept_from && self.revision.is_some_and(|newest| revision <= newest);
        is_kept.then(|| self.current_changes(|kept| kept.as_of > revision))
    }

    /// The kept changes that match, with the cold times as of now.
    fn current_changes(&self, wanted: impl Fn(&RecentChange) -> bool) -> Vec<TargetChange> {
        let current = |kept: &RecentChange| match &kept.change {
            TargetChange::Listed(entry) => TargetChange::Listed(self.with_current_cold_time(entry)),
            TargetChange::Gone(_) | TargetChange::Unreadable(_) => kept.change.clone(),
        };
        self.changes.iter().filter(|kept| wanted(kept)).map(current).collect()
    }

    /// Records up to which revision of the store the list is complete with the next changes.
    pub(super) fn reach_revision(&mut self, as_of: Revision) {
        self.changes_from.get_or_insert(as_of);
        self.revision = self.revision.max(Some(as_of));
    }
}

impl ChangeCounts {
    fn add(&mut self, state: Option<&'static str>) {
        match state {
            Some(READY) => self.ready += 1,
            Some(DRAINING) => self.draining += 1,
            Some(_) => self.gone += 1,
            None => {}
        }
    }
}

const READY: &str = "ready";
const DRAINING: &str = "draining";
const GONE: &str = "gone";

const fn state_name(state: TargetState) -> &'static str {
    match state {
        TargetState::Ready => READY,
        TargetState::Draining => DRAINING,
    }
}

/// Logs how many targets changed by another VM's update.
fn log_counts(counts: ChangeCounts, number: u64) {
    if counts.ready + counts.draining + counts.gone == 0 {
        return;
    }
    let pairs: [(&str, &dyn std::fmt::Display); 4] = [
        ("number", &number),
        ("ready", &counts.ready),
        ("draining", &counts.draining),
        ("gone", &counts.gone),
    ];
    log_event(EventName::TargetsTold, &pairs);
}

fn log_listed(entry: &TargetEntry) {
    let state = state_name(entry.state);
    let cold = entry.cold_left.as_millis();
    let mut pairs: Vec<(&str, &dyn std::fmt::Display)> = vec![
        ("target", &entry.id),
        ("service", &entry.service),
        ("state", &state),
        ("cold_ms", &cold),
    ];
    pairs.extend(entry.born.iter().map(|born| ("born", born as _)));
    log_event(EventName::TargetChanged, &pairs);
}

/// Logs that a target stays listed although its entry is gone from the store.
fn log_kept(entry: &TargetEntry, until: Instant) {
    let kept_for = until.saturating_duration_since(Instant::now()).as_millis();
    let pairs: [(&str, &dyn std::fmt::Display); 3] =
        [("target", &entry.id), ("service", &entry.service), ("kept_ms", &kept_for)];
    log_event(EventName::TargetKept, &pairs);
}

fn log_target(id: &str, service: &str, state: &str) {
    let pairs: [(&str, &dyn std::fmt::Display); 3] =
        [("target", &id), ("service", &service), ("state", &state)];
    log_event(EventName::TargetChanged, &pairs);
}
