//! The shards of one service in one zone, as their coordinator sees them.

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

/// One shard's ownership.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ShardRecord {
    pub(crate) phase: ShardPhase,
    /// The owner; `None` while the shard is free.
    pub(crate) owner: Option<TargetKey>,
    /// The epoch last granted to anyone.
    pub(crate) epoch: Epoch,
    /// The owner being written, or the one a planned move is meant for.
    pub(crate) next: Option<TargetKey>,
    /// Whether its lost owner is expected back at once, so that routers hold requests for it.
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

    /// What routers are told of it.
    pub(crate) fn route(&self) -> ShardOwner {
        match (self.phase, self.owner) {
            (ShardPhase::Serving, Some(target)) => ShardOwner::Target { target, epoch: self.epoch },
            (ShardPhase::Free, _) if self.next.is_none() && !self.expects_return => {
                ShardOwner::Unowned
            }
            _ => ShardOwner::Moving,
        }
    }
}

/// A write of a placement whose fate is not yet known.
#[derive(Clone, Debug)]
pub(crate) struct PendingWrite {
    pub(crate) object: PlacementObject,
    /// The shards whose new owner it makes known.
    ///
    /// Empty once they are in force, be it by the standbys' records alone.
    pub(crate) planned: Vec<ShardIndex>,
}

/// How far the placement object is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlacementState {
    /// It must be read.
    Unread,
    /// It was read; this coordinator's term must be written into it.
    Claiming,
    /// It carries this coordinator's term.
    Claimed,
}

/// Placement of one service in this zone.
#[derive(Clone, Debug)]
pub(crate) struct ServicePlacement {
    pub(crate) name: Name,
    pub(crate) service: ServiceKey,
    pub(crate) first_shard: u32,
    shards: Vec<ShardRecord>,
    /// How many shards are in each phase.
    counts: [u32; PHASES],
    /// Whether free shards or targets changed since owners were last chosen.
    pub(crate) needs_assignment: bool,
    pub(crate) state: PlacementState,
    pub(crate) version: Version,
    pub(crate) write_id: u64,
    pub(crate) pending: Option<PendingWrite>,
    /// Whether the platform's object lags behind the records.
    pub(crate) dirty: bool,
    /// Until when first owners wait for targets that were not heard yet.
    pub(crate) discovery_deadline: Timestamp,
    /// Until when shards of targets that were all lost at once wait for these to return.
    pub(crate) return_deadline: Timestamp,
    /// Whether the object must be read to learn a write's fate.
    pub(crate) needs_read: bool,
    /// No call of the platform for it before this: the last one failed.
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

    /// Moves a shard on by an event; tells whether its phase changed.
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

    /// How many shards are in a phase.
    pub(crate) const fn count(&self, phase: ShardPhase) -> u32 {
        self.counts[phase as usize]
    }

    /// Whether every shard has an owner that serves it.
    pub(crate) const fn is_settled(&self) -> bool {
        self.count(ShardPhase::Serving) as usize == self.shards.len()
    }

    /// How many shards are meant for each target, beside those it owns.
    pub(crate) fn planned_counts(&self) -> BTreeMap<TargetKey, u32> {
        let mut planned = BTreeMap::new();
        for record in &self.shards {
            if let Some(next) = record.next {
                *planned.entry(next).or_default() += 1;
            }
        }
        planned
    }

    /// How many shards each target owns.
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

    /// Every shard with its record.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (ShardIndex, &ShardRecord)> {
        let first = self.first_shard;
        let number = move |index: usize| ShardIndex(first + index as u32);
        self.shards.iter().enumerate().map(move |(index, record)| (number(index), record))
    }

    /// The shards of which `wanted` holds.
    pub(crate) fn shards_where(&self, wanted: impl Fn(&ShardRecord) -> bool) -> Vec<ShardIndex> {
        self.iter().filter(|(_, record)| wanted(record)).map(|(shard, _)| shard).collect()
    }

    /// What a target may keep: its shards whose owner it surely is.
    pub(crate) fn standing_grants(&self, target: TargetKey) -> Vec<ShardGrant> {
        let stands = |record: &ShardRecord| {
            record.owner == Some(target)
                && matches!(record.phase, ShardPhase::Serving | ShardPhase::Releasing)
        };
        let grant = |shard| ShardGrant {
            shard,
            epoch: self.get(shard).map_or(Epoch::ZERO, |record| record.epoch),
        };
        self.shards_where(stands).into_iter().map(grant).collect()
    }

    /// What routers are told of one shard.
    pub(crate) fn route(&self, shard: ShardIndex) -> RouteChange {
        let owner = self.get(shard).map_or(ShardOwner::Unowned, ShardRecord::route);
        RouteChange { service: self.service, shard, owner }
    }

    /// Takes over what the platform's object says.
    pub(crate) fn load_object(&mut self, object: &PlacementObject, version: Version) {
        self.version = version;
        let targets: Vec<TargetKey> = object.targets.iter().map(TargetKey::from).collect();
        for (index, PlacementOwner(number, epoch)) in object.owners.iter().enumerate() {
            let shard = ShardIndex(object.first_shard + index as u32);
            let owner = targets.get((*number as usize).wrapping_sub(1)).copied();
            self.set_loaded_owner(shard, owner, *epoch);
        }
    }

    /// Takes over one shard's owner, as the last coordinator left it.
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

    /// The object as it is to be written now, with the planned owners in it.
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
