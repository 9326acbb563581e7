//! The listed targets, entries that may only have lapsed, and the last changes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use nickellead_event::{EventName, log_event};
use nickellead_range::TargetInstance;

use crate::packed::{Packed, PackedError};
use crate::{Revision, StoreEra, TargetChange, TargetEntry, TargetList, TargetState};

/// Changes of targets kept for other VMs; a VM that is further behind gets the whole list.
const MAX_RECENT_CHANGES: usize = 512;
/// After the store's return, entries that lapsed meanwhile are back within this time.
///
/// The users' letter says "within about two seconds".
pub(crate) const EXPIRY_GRACE: Duration = Duration::from_millis(2_200);
/// An entry that a copy of the store brought back, though its target is known to have gone, stands this long
/// after the store's return only if the target lives: else it has not been written for three heartbeats.
const WITHHOLD_PERIOD: Duration = Duration::from_secs(10);
/// How long it is kept in mind which targets have gone: longer than a copy of the store is old.
const DEPARTED_RETENTION: Duration = Duration::from_secs(60);

/// Who told changes of targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ChangeOrigin {
    /// The store, which this VM follows: each change is logged.
    Store,
    /// Another VM, which has logged them, or the one that told it: a line counts them here. On 295 VMs
    /// with 1,081 targets, a line each was up to a million lines a minute.
    OtherVm,
}

/// How many targets became ready, began to leave and went, for the log.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ChangeCounts {
    ready: usize,
    draining: usize,
    gone: usize,
}

/// The targets of one VM's book.
#[derive(Default)]
pub(super) struct TargetsState {
    pub(super) list: TargetList,
    /// Revision of the store up to which the list tells everything; `None` before it was read whole.
    pub(super) revision: Option<Revision>,
    /// Entries that are gone from the store, and when they are taken as gone.
    pub(super) expiring: BTreeMap<String, Instant>,
    /// Lives of targets that have gone, and when they went, by identity.
    departed: BTreeMap<String, (TargetInstance, Instant)>,
    /// Entries of such lives that a copy of the store brought back, and when they are listed all the same.
    withheld: BTreeMap<String, (TargetEntry, Instant)>,
    /// The store's era in which targets were last told.
    era: StoreEra,
    /// When that era began, as far as is known here; `None` in the first one.
    returned: Option<Instant>,
    /// When each entry was heard as it is: what it says of being cold counts from then.
    updated_at: BTreeMap<String, Instant>,
    /// Names whose entries can't be read.
    unreadable: BTreeSet<String>,
    /// The last changes with their numbers, oldest first.
    changes: VecDeque<(u64, TargetChange)>,
    /// Number of the last change.
    pub(super) last_change: u64,
    /// The whole list as of a change's number, packed for the first reader that needed it.
    packed: Option<(u64, Packed<TargetList>)>,
}

impl TargetsState {
    /// Takes in changes; an entry that is gone stays until `lapse` if it may only have lapsed.
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

    /// The word for a target's new state, if a change brings one.
    fn state_change(&self, change: &TargetChange) -> Option<&'static str> {
        match change {
            TargetChange::Listed(entry) => {
                let known = self.list.get(&entry.id).map(|known| known.state);
                (known != Some(entry.state)).then(|| state_name(entry.state))
            }
            TargetChange::Gone(id) | TargetChange::Unreadable(id) => {
                self.list.contains_key(id).then_some(GONE)
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
                // It may be another writer's, and the target of this name is none to use then.
                self.remove(&id, origin);
            }
            TargetChange::Gone(id) => {
                self.unreadable.remove(&id);
                self.withheld.remove(&id);
                let Some(entry) = self.list.get(&id) else { return };
                match remove_at {
                    Some(until) if entry.state == TargetState::Ready => {
                        self.expiring.entry(id).or_insert(until);
                    }
                    _ => self.remove(&id, origin),
                }
            }
        }
    }

    /// Notes the store's era; gives up to where the list told everything if the store came back from a copy
    /// since.
    pub(super) fn enter_era(&mut self, era: StoreEra, now: Instant) -> Option<Revision> {
        let rose = self.era < era;
        self.era = self.era.max(era);
        let reached = self.revision.filter(|_| rose)?;
        self.returned = Some(now);
        Some(reached)
    }

    /// The changes that a whole list brings, without entries of targets that went in the time which the store
    /// has lost: it lists them until they have not been written for some heartbeats.
    pub(super) fn withhold(&mut self, list: TargetList) -> Vec<TargetChange> {
        self.withheld.retain(|id, _| list.contains_key(id));
        let returned = self.returned.filter(|returned| returned.elapsed() < WITHHOLD_PERIOD);
        let mut changes = Vec::with_capacity(list.len());
        for (id, entry) in list {
            match returned.filter(|returned| self.departed_before(&entry, *returned)) {
                Some(returned) => {
                    self.withheld.insert(id, (entry, returned + WITHHOLD_PERIOD));
                }
                None => changes.push(TargetChange::Listed(entry)),
            }
        }
        changes
    }

    /// Whether this life of a target is known to have gone before the store came back.
    fn departed_before(&self, entry: &TargetEntry, returned: Instant) -> bool {
        let departed = self.departed.get(&entry.id).filter(|_| !self.list.contains_key(&entry.id));
        departed.is_some_and(|(instance, gone)| *instance == entry.instance() && *gone <= returned)
    }

    /// When the next entry that lapsed is taken as gone, or one that was withheld is listed.
    pub(super) fn next_due(&self) -> Option<Instant> {
        let withheld = self.withheld.values().map(|(_, due)| due);
        self.expiring.values().chain(withheld).min().copied()
    }

    /// Takes entries as gone that lapsed long enough ago, and lists those that were withheld long enough.
    pub(super) fn apply_due(&mut self, now: Instant) {
        let expired = self.expiring.iter().filter(|(_, until)| **until <= now);
        let expired: Vec<String> = expired.map(|(id, _)| id.clone()).collect();
        expired.into_iter().for_each(|id| self.remove(&id, ChangeOrigin::Store));
        let released = self.withheld.values().filter(|(_, due)| *due <= now);
        let released: Vec<TargetEntry> = released.map(|(entry, _)| entry.clone()).collect();
        // Listed ones are withheld no more.
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
        self.list.insert(entry.id.clone(), entry);
    }

    /// Takes an entry as gone.
    pub(super) fn remove(&mut self, id: &str, origin: ChangeOrigin) {
        self.expiring.remove(id);
        self.updated_at.remove(id);
        if let Some(entry) = self.list.remove(id) {
            let now = Instant::now();
            self.departed.retain(|_, (_, gone)| now - *gone < DEPARTED_RETENTION);
            self.departed.insert(id.to_owned(), (entry.instance(), now));
            if origin == ChangeOrigin::Store {
                log_target(id, &entry.service, GONE);
            }
            self.push(TargetChange::Gone(id.to_owned()));
        }
    }

    fn push(&mut self, change: TargetChange) {
        self.last_change += 1;
        self.changes.push_back((self.last_change, change));
        if self.changes.len() > MAX_RECENT_CHANGES {
            self.changes.pop_front();
        }
    }

    /// How much longer a target is cold by its entry.
    pub(super) fn cold_left(&self, entry: &TargetEntry) -> Duration {
        let age = self.updated_at.get(&entry.id).map_or(Duration::ZERO, Instant::elapsed);
        entry.cold_left.saturating_sub(age)
    }

    /// An entry as it would be told now: its cold time does not begin again with each VM that tells it.
    fn with_current_cold_time(&self, entry: &TargetEntry) -> TargetEntry {
        TargetEntry { cold_left: self.cold_left(entry), ..entry.clone() }
    }

    /// The whole list, packed once for all readers that need it as it is now.
    pub(super) fn packed(&mut self) -> Result<Packed<TargetList>, PackedError> {
        let is_cold = |entry: &TargetEntry| !entry.cold_left.is_zero();
        if self.list.values().any(is_cold) {
            let current = |(id, entry): (&String, &TargetEntry)| {
                (id.clone(), self.with_current_cold_time(entry))
            };
            return Packed::pack(&self.list.iter().map(current).collect::<TargetList>());
        }
        match &self.packed {
            Some((number, packed)) if *number == self.last_change => Ok(packed.clone()),
            _ => {
                let packed = Packed::pack(&self.list)?;
                self.packed = Some((self.last_change, packed.clone()));
                Ok(packed)
            }
        }
    }

    /// The changes after a number; `None` when they are not all kept.
    pub(super) fn changes_since(&self, number: u64) -> Option<Vec<TargetChange>> {
        let oldest = self.changes.front().map_or(self.last_change, |(first, _)| first - 1);
        if number < oldest || number > self.last_change {
            return None;
        }
        let new = self.changes.iter().filter(|(one, _)| *one > number);
        let current = |change: &TargetChange| match change {
            TargetChange::Listed(entry) => TargetChange::Listed(self.with_current_cold_time(entry)),
            TargetChange::Gone(_) | TargetChange::Unreadable(_) => change.clone(),
        };
        Some(new.map(|(_, change)| current(change)).collect())
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

/// Logs how many targets changed by what another VM told.
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

fn log_target(id: &str, service: &str, state: &str) {
    let pairs: [(&str, &dyn std::fmt::Display); 3] =
        [("target", &id), ("service", &service), ("state", &state)];
    log_event(EventName::TargetChanged, &pairs);
}
