//! The listed targets, entries that may only have lapsed, and the last changes.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use nickellead_event::{EventName, log_event};

use crate::{Revision, TargetChange, TargetEntry, TargetList, TargetState};

/// Changes of targets kept for other VMs; a VM that is further behind gets the whole list.
const CHANGES_KEPT: usize = 512;
/// After the store's return, entries that lapsed meanwhile are back within this time.
///
/// The users' letter says "within about two seconds".
pub(crate) const LAPSE_TIME: Duration = Duration::from_millis(2_200);

/// The targets of one VM's book.
#[derive(Default)]
pub(super) struct TargetPart {
    pub(super) list: TargetList,
    /// Revision of the store up to which the list tells everything; `None` before it was read whole.
    pub(super) reached: Option<Revision>,
    /// Entries that are gone from the store, and when they are taken as gone.
    pub(super) lapsing: BTreeMap<String, Instant>,
    /// The last changes with their numbers, oldest first.
    changes: VecDeque<(u64, TargetChange)>,
    /// Number of the last change.
    pub(super) number: u64,
}

impl TargetPart {
    /// Takes in a change; an entry that is gone stays until `lapse` if it may only have lapsed.
    pub(super) fn take(&mut self, change: TargetChange, lapse: Option<Instant>) {
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

    /// Takes an entry as gone.
    pub(super) fn remove(&mut self, id: &str) {
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
    pub(super) fn since(&self, number: u64) -> Option<Vec<TargetChange>> {
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
