//! What a VM learns of targets when the VM that it follows changes.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use quickcheck::{Arbitrary, Gen, quickcheck};

use super::updates::TargetsPayload;
use super::*;
use crate::state_channels::state_channels;
use crate::{SlotCount, TargetList, TargetState};

fn state(incarnation: u64) -> ClusterState {
    ClusterState::new(incarnation, state_channels().0)
}

fn revision(number: u64) -> Revision {
    Revision::new(StoreEra::default(), number)
}

fn entry(number: u16, born: u64) -> TargetEntry {
    TargetEntry {
        id: format!("i-{number:04x}"),
        born: Some(born),
        service: "plain".to_owned(),
        address: SocketAddr::from(([10, 0, 0, 1], 1 + number)),
        zone: "zone-a".to_owned(),
        slots: SlotCount::new(4).unwrap(),
        state: TargetState::Ready,
        cold_left: Duration::ZERO,
    }
}

fn ids(state: &ClusterState) -> Vec<(String, Option<u64>)> {
    state.targets().entries().map(|entry| (entry.id.clone(), entry.born)).collect()
}

/// Has a VM read a list of this many targets from the store.
fn read_list(state: &ClusterState, as_of: u64, targets: u16) {
    let list = (0..targets).map(|number| (entry(number, 0).id, entry(number, 0))).collect();
    let listing = TargetListing { targets: list, ..TargetListing::default() };
    assert!(state.apply_stored_targets(revision(as_of), listing, None));
}

/// Has `reader` take one update from `upstream`; returns its next cursor, and the update.
fn follow(
    reader: &ClusterState,
    cursor: StateCursor,
    upstream: &ClusterState,
) -> (StateCursor, StateUpdate) {
    let update = upstream.update_since(cursor);
    (reader.apply_update(update.clone()).unwrap(), update)
}

/// Guards against links that are filled by whole lists when the VMs that tell others of targets
/// restart: each of their subscribers then got all targets from another VM.
#[test]
fn a_vm_that_follows_another_one_gets_only_changes_of_targets() {
    let (first, second, reader) = (state(1), state(2), state(3));
    for upstream in [&first, &second] {
        read_list(upstream, 10, 3_000);
    }
    let (_, update) = follow(&reader, reader.cursor(), &first);
    assert!(matches!(update.targets.unwrap().payload, TargetsPayload::Whole(_)));
    let change = TargetChange::Listed(entry(7, 1));
    second.apply_stored_target_changes(revision(11), vec![change], None);
    let (cursor, update) = follow(&reader, reader.cursor(), &second);
    match update.targets.unwrap().payload {
        TargetsPayload::Difference(changes, _) => assert_eq!(changes.len(), 1),
        other => unreachable!("{other:?}"),
    }
    assert_eq!(ids(&reader), ids(&second));
    assert!(second.update_since(cursor).is_empty());
}

/// Guards against a VM that keeps a list that is different from the one that others have.
#[test]
fn a_vm_whose_list_is_different_gets_the_whole_list() {
    let (upstream, reader) = (state(1), state(2));
    read_list(&upstream, 10, 20);
    read_list(&reader, 10, 19);
    let (cursor, _) = follow(&reader, reader.cursor(), &upstream);
    assert_ne!(ids(&reader), ids(&upstream));
    let (_, update) = follow(&reader, cursor, &upstream);
    assert!(matches!(update.targets.unwrap().payload, TargetsPayload::Whole(_)));
    assert_eq!(ids(&reader), ids(&upstream));
}

/// Guards against live targets that a VM removes after an outage of the store: it kept them as expired
/// when it read the store, and was not told that they had come back at the VM that it follows.
#[test]
fn targets_that_the_followed_vm_lists_do_not_expire() {
    let (upstream, reader) = (state(1), state(2));
    read_list(&upstream, 10, 20);
    read_list(&reader, 10, 20);
    let empty = TargetListing::default();
    assert!(reader.apply_stored_targets(revision(11), empty, Some(Instant::now())));
    read_list(&upstream, 12, 20);
    follow(&reader, reader.cursor(), &upstream);
    reader.apply_due_targets(Instant::now());
    assert_eq!(ids(&reader), ids(&upstream));
}

/// One step of a fleet of two VMs that read the store and one that follows them.
#[derive(Clone, Debug)]
enum Step {
    /// A target starts again, or goes.
    Change(u16, bool),
    /// One of the two VMs reads what changed in the store.
    Read(bool),
    /// The follower takes an update of one of the two VMs.
    Follow(bool),
    /// A VM starts again, and reads the whole list.
    Restart(bool),
}

impl Arbitrary for Step {
    fn arbitrary(random: &mut Gen) -> Self {
        let which = bool::arbitrary(random);
        match u8::arbitrary(random) % 8 {
            0..=2 => Self::Change(u16::arbitrary(random) % 8, which),
            3 | 4 => Self::Read(which),
            5 | 6 => Self::Follow(which),
            _ => Self::Restart(which),
        }
    }
}

/// The store's targets and all of their changes, by revision.
#[derive(Default)]
struct StoredTargets {
    list: TargetList,
    changes: Vec<TargetChange>,
}

impl StoredTargets {
    fn change(&mut self, number: u16, listed: bool) {
        let born = self.changes.len() as u64;
        let change = match listed {
            true => {
                self.list.insert(entry(number, born).id, entry(number, born));
                TargetChange::Listed(entry(number, born))
            }
            false => {
                self.list.remove(&entry(number, born).id);
                TargetChange::Gone(entry(number, born).id)
            }
        };
        self.changes.push(change);
    }

    /// Has a VM read the changes after revision `from`, or all targets; returns its revision.
    fn read(&self, state: &ClusterState, from: Option<usize>) -> usize {
        let reached = self.changes.len();
        let as_of = revision(reached as u64 + 1);
        match from {
            Some(from) => {
                let changes = self.changes[from..].to_vec();
                state.apply_stored_target_changes(as_of, changes, None);
            }
            None => {
                let targets = self.list.clone();
                let listing = TargetListing { targets, ..TargetListing::default() };
                state.apply_stored_targets(as_of, listing, None);
            }
        }
        reached
    }
}

quickcheck! {
    /// Guards against differences between the lists of a VM and of the one that it follows, in
    /// whatever order it followed several.
    fn a_follower_has_the_list_of_the_vm_that_it_follows(steps: Vec<Step>) -> bool {
        let mut stored = StoredTargets::default();
        let reader = state(1);
        let mut upstreams = [state(2), state(3)];
        let mut reached = upstreams.each_ref().map(|upstream| stored.read(upstream, None));
        let mut incarnation = 4;
        steps.into_iter().all(|step| {
            match step {
                Step::Change(number, listed) => stored.change(number, listed),
                Step::Read(which) => {
                    let which = usize::from(which);
                    reached[which] = stored.read(&upstreams[which], Some(reached[which]));
                }
                Step::Restart(which) => {
                    let which = usize::from(which);
                    upstreams[which] = state(incarnation);
                    incarnation += 1;
                    reached[which] = stored.read(&upstreams[which], None);
                }
                Step::Follow(which) => {
                    let upstream = &upstreams[usize::from(which)];
                    let (cursor, update) = follow(&reader, reader.cursor(), upstream);
                    if update.targets.is_none() {
                        return true;
                    }
                    follow(&reader, cursor, upstream);
                    return ids(&reader) == ids(upstream);
                }
            }
            true
        })
    }
}
