//! A coordinator's state of one service's shards in its zone.

use std::collections::BTreeMap;

use nickellead_chart::ChartSymbol;
use nickellead_core::{Epoch, Name, ServiceKey, ShardIndex, TargetKey, Term, Timestamp, Version};

use crate::charts::{ShardEvent, ShardPhase, charts};
use crate::object::{PlacementObject, PlacementOwner};
use crate::order::ShardGrant;
use crate::view::{RouteChange, ShardOwner};

const PHASES: usize = ShardPhase::ALL.len();

fn initial_counts(shards: u32) -> [u32; PHASES] {
    let mut counts = [0; PHASES];
    counts[charts().shard.initial().index()] = shards;
    counts
}

/// Ownership of one shard.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ShardRecord {
    pub(crate) phase: ShardPhase,
    /// Current owner; `None` while the shard is free.
    pub(crate) owner: Option<TargetKey>,
    /// Epoch of the latest grant to any target.
    pub(crate) epoch: Epoch,
    /// Target that a write or a planned move makes the next owner.
    pub(crate) next: Option<TargetKey>,
    /// Whether the lost owner is likely to return at once, so that routers hold requests.
    pub(crate) expects_return: bool,
}

impl ShardRecord {
    fn free(epoch: Epoch) -> Self {
        Self {
            phase: charts().shard.initial(),
            owner: None,
            epoch,
            next: None,
            expects_return: false,
        }
    }

    /// Returns the owner to publish to routers.
    pub(crate) fn published_owner(&self) -> ShardOwner {
        match (self.phase, self.owner) {
            (ShardPhase::Serving, Some(target)) => ShardOwner::Target { target, epoch: self.epoch },
            (ShardPhase::Free, _) if self.next.is_none() && !self.expects_return => {
                ShardOwner::Unowned
            }
            _ => ShardOwner::Moving,
        }
    }
}

/// A placement write that is not confirmed yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingWrite {
    pub(crate) object: PlacementObject,
    /// Shards whose next owner the write persists.
    ///
    /// Empty once these owners are active, which the standbys' records alone can cause.
    pub(crate) planned: Vec<ShardIndex>,
}

/// Progress of loading a placement object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlacementState {
    /// The object must be read.
    Unread,
    /// The object is read; this coordinator's term must be written into it.
    Claiming,
    /// The object carries this coordinator's term.
    Claimed,
}

/// Owners of one service's shards in this zone.
#[derive(Clone, Debug)]
pub(crate) struct ServicePlacement {
    pub(crate) name: Name,
    pub(crate) service: ServiceKey,
    pub(crate) first_shard: u32,
    shards: Vec<ShardRecord>,
    /// Number of shards in each phase.
    counts: [u32; PHASES],
    /// Whether free shards or targets changed since owners were last assigned.
    pub(crate) needs_assignment: bool,
    pub(crate) state: PlacementState,
    pub(crate) version: Version,
    pub(crate) write_id: u64,
    pub(crate) pending: Option<PendingWrite>,
    /// Whether the stored object must be updated even if no owner is planned.
    pub(crate) dirty: bool,
    /// Until when shards without an earlier owner wait for targets that have not replied.
    pub(crate) discovery_deadline: Timestamp,
    /// Until when shards of simultaneously expired targets wait for these to return.
    pub(crate) return_deadline: Timestamp,
    /// Whether the object must be read to resolve an unconfirmed write.
    pub(crate) needs_read: bool,
    /// Earliest time of the next platform call after a failed one.
    pub(crate) retry_at: Timestamp,
}

impl ServicePlacement {
    pub(crate) fn new(name: Name, range: std::ops::Range<u32>) -> Self {
        Self {
            service: ServiceKey::from(&name),
            name,
            first_shard: range.start,
            counts: initial_counts(range.len() as u32),
            shards: vec![ShardRecord::free(Epoch::ZERO); range.len()],
            needs_assignment: true,
            state: PlacementState::Unread,
            version: Version::ZERO,
            write_id: 0,
            pending: None,
            dirty: false,
            discovery_deadline: Timestamp::ZERO,
            return_deadline: Timestamp::ZERO,
            needs_read: false,
            retry_at: Timestamp::ZERO,
        }
    }

    /// Applies an event to a shard, and returns whether the shard's phase changed.
    pub(crate) fn advance(&mut self, shard: ShardIndex, event: ShardEvent) -> bool {
        let Some(record) = self.get_mut(shard) else {
            return false;
        };
        let before = record.phase;
        if !charts().shard.advance(&mut record.phase, event) {
            return false;
        }
        let after = record.phase;
        if after == ShardPhase::Free {
            record.owner = None;
            self.needs_assignment = true;
        }
        self.counts[before.index()] -= 1;
        self.counts[after.index()] += 1;
        true
    }

    /// Returns the number of shards in a phase.
    pub(crate) const fn count(&self, phase: ShardPhase) -> u32 {
        self.counts[phase as usize]
    }

    /// Returns whether every shard has an owner that serves it.
    pub(crate) const fn is_settled(&self) -> bool {
        self.count(ShardPhase::Serving) as usize == self.shards.len()
    }

    /// Counts, for each target, the shards of which it is to become the owner.
    pub(crate) fn planned_counts(&self) -> BTreeMap<TargetKey, u32> {
        let mut planned = BTreeMap::new();
        for record in &self.shards {
            if let Some(next) = record.next {
                *planned.entry(next).or_default() += 1;
            }
        }
        planned
    }

    /// Counts, for each target, the shards that it owns.
    pub(crate) fn owned_counts(&self) -> BTreeMap<TargetKey, u32> {
        let mut owned = BTreeMap::new();
        for owner in self.shards.iter().filter_map(|record| record.owner) {
            *owned.entry(owner).or_default() += 1;
        }
        owned
    }

    pub(crate) fn get_mut(&mut self, shard: ShardIndex) -> Option<&mut ShardRecord> {
        let index = shard.0.checked_sub(self.first_shard)?;
        self.shards.get_mut(index as usize)
    }

    pub(crate) fn get(&self, shard: ShardIndex) -> Option<&ShardRecord> {
        let index = shard.0.checked_sub(self.first_shard)?;
        self.shards.get(index as usize)
    }

    /// Iterates over all shards and their records.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (ShardIndex, &ShardRecord)> {
        let first = self.first_shard;
        let shard_at = move |index: usize| ShardIndex(first + index as u32);
        self.shards.iter().enumerate().map(move |(index, record)| (shard_at(index), record))
    }

    pub(crate) fn shards_where(&self, predicate: impl Fn(&ShardRecord) -> bool) -> Vec<ShardIndex> {
        self.iter().filter(|(_, record)| predicate(record)).map(|(shard, _)| shard).collect()
    }

    /// Returns the grants that a target may keep: shards that it serves or is releasing.
    pub(crate) fn standing_grants(&self, target: TargetKey) -> Vec<ShardGrant> {
        let is_standing = |record: &ShardRecord| {
            record.owner == Some(target)
                && matches!(record.phase, ShardPhase::Serving | ShardPhase::Releasing)
        };
        let grant = |shard| ShardGrant {
            shard,
            epoch: self.get(shard).map_or(Epoch::ZERO, |record| record.epoch),
        };
        self.shards_where(is_standing).into_iter().map(grant).collect()
    }

    /// Returns the change to publish to routers for one shard.
    pub(crate) fn route_change(&self, shard: ShardIndex) -> RouteChange {
        let owner = self.get(shard).map_or(ShardOwner::Unowned, ShardRecord::published_owner);
        RouteChange { service: self.service, shard, owner }
    }

    /// Loads the owners from a stored object.
    pub(crate) fn load_object(&mut self, object: &PlacementObject, version: Version) {
        self.version = version;
        let targets: Vec<TargetKey> = object.targets.iter().map(TargetKey::from).collect();
        for (index, PlacementOwner(number, epoch)) in object.owners.iter().enumerate() {
            let shard = ShardIndex(object.first_shard + index as u32);
            // 0 stands for no owner; it wraps around to an index out of range.
            let owner = targets.get((*number as usize).wrapping_sub(1)).copied();
            self.set_loaded_owner(shard, owner, *epoch);
        }
    }

    /// Replaces one shard's state by an owner and epoch that an earlier coordinator granted.
    pub(crate) fn set_loaded_owner(
        &mut self,
        shard: ShardIndex,
        owner: Option<TargetKey>,
        epoch: Epoch,
    ) {
        let Some(record) = self.get_mut(shard) else {
            return;
        };
        let before = record.phase;
        *record = ShardRecord::free(epoch);
        record.owner = owner;
        self.counts[before.index()] -= 1;
        self.counts[ShardPhase::Free.index()] += 1;
        self.needs_assignment = true;
        if owner.is_some() {
            self.advance(shard, ShardEvent::Adopted);
        }
    }

    /// Builds the object to write, with planned owners in place of current ones.
    pub(crate) fn to_object(
        &self,
        term: Term,
        names: &BTreeMap<TargetKey, Name>,
    ) -> PlacementObject {
        let mut numbers: BTreeMap<TargetKey, u32> = BTreeMap::new();
        let mut targets = Vec::new();
        let mut owners = Vec::with_capacity(self.shards.len());
        for record in &self.shards {
            let (owner, epoch) = match record.phase {
                ShardPhase::Writing => (record.next, record.epoch.next()),
                _ => (record.owner, record.epoch),
            };
            let number = owner.and_then(|owner| {
                let name = names.get(&owner)?;
                Some(*numbers.entry(owner).or_insert_with(|| {
                    targets.push(name.clone());
                    targets.len() as u32
                }))
            });
            owners.push(PlacementOwner(number.unwrap_or(0), epoch));
        }
        PlacementObject {
            term,
            write_id: self.write_id,
            first_shard: self.first_shard,
            targets,
            owners,
        }
    }
}
