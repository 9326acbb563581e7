//! What a VM knows of the owners in one zone.

use std::collections::BTreeMap;

use nickellead_core::{ServiceKey, ShardIndex, TargetKey, Term, Version, ZoneKey};
use nickellead_lease::{RouteChange, ShardOwner, ZoneDelta, ZoneLog};

/// What became of a delta.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeltaOutcome {
    /// It was taken over.
    Applied,
    /// It was older than what is known, or said nothing new.
    Stale,
    /// Changes before it are missing: the whole table is needed.
    Gap,
}

/// How many shards of a service are in which state in one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnerCounts {
    /// Shards that a target owns.
    pub served: u32,
    /// Shards whose new owner is on its way.
    pub moving: u32,
    /// Shards that nobody owns.
    pub unowned: u32,
}

/// A zone's owners, counted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneSummary {
    /// Term and version that were counted.
    pub known: Option<(Term, Version)>,
    /// Shards of each service.
    pub services: BTreeMap<ServiceKey, OwnerCounts>,
    /// Shards that each target owns.
    pub targets: BTreeMap<TargetKey, u32>,
}

/// The owners in one zone, as of one term and version.
#[derive(Clone, Debug)]
pub struct ZoneTable {
    zone: ZoneKey,
    owners: BTreeMap<ServiceKey, BTreeMap<ShardIndex, ShardOwner>>,
    log: ZoneLog,
}

impl ZoneTable {
    /// A zone of which nothing is known.
    #[must_use]
    pub fn new(zone: ZoneKey) -> Self {
        Self { zone, owners: BTreeMap::new(), log: ZoneLog::default() }
    }

    /// Term and version known; `None` before the first delta.
    #[must_use]
    pub fn known(&self) -> Option<(Term, Version)> {
        (self.log.term > Term::ZERO).then_some((self.log.term, self.log.version))
    }

    /// Takes over a delta, unless it is older than what is known.
    pub fn apply(&mut self, delta: &ZoneDelta) -> DeltaOutcome {
        let known = (self.log.term, self.log.version);
        if (delta.term, delta.version) <= known {
            return DeltaOutcome::Stale;
        }
        match delta.base {
            None => self.replace(delta),
            Some(base) if (delta.term, base) == known => {
                delta.changes.iter().for_each(|change| self.change(*change));
            }
            Some(_) => return DeltaOutcome::Gap,
        }
        self.log.term = delta.term;
        self.log.version = delta.version;
        DeltaOutcome::Applied
    }

    /// What a VM that knows `known` is missing; `None` when it is up to date.
    #[must_use]
    pub fn delta_since(&self, known: Option<(Term, Version)>) -> Option<ZoneDelta> {
        let current = self.known()?;
        if known.is_some_and(|known| known >= current) {
            return None;
        }
        let changes = self.log.changes_since(known);
        let base = changes.as_ref().and(known).map(|(_, version)| version);
        Some(ZoneDelta {
            zone: self.zone,
            term: current.0,
            base,
            version: current.1,
            changes: changes.unwrap_or_else(|| self.all()),
        })
    }

    /// Counts the owners.
    #[must_use]
    pub fn summary(&self) -> ZoneSummary {
        let mut summary = ZoneSummary { known: self.known(), ..ZoneSummary::default() };
        for (service, owners) in &self.owners {
            let counts = summary.services.entry(*service).or_default();
            for owner in owners.values() {
                match owner {
                    ShardOwner::Unowned => counts.unowned += 1,
                    ShardOwner::Moving => counts.moving += 1,
                    ShardOwner::Target { target, .. } => {
                        counts.served += 1;
                        *summary.targets.entry(*target).or_default() += 1;
                    }
                }
            }
        }
        summary
    }

    fn replace(&mut self, delta: &ZoneDelta) {
        self.owners.clear();
        self.log.restart(delta.term);
        for change in &delta.changes {
            self.owners.entry(change.service).or_default().insert(change.shard, change.owner);
        }
    }

    fn change(&mut self, change: RouteChange) {
        self.owners.entry(change.service).or_default().insert(change.shard, change.owner);
        self.log.push(change);
    }

    fn all(&self) -> Vec<RouteChange> {
        let mut changes = Vec::new();
        for (service, owners) in &self.owners {
            let change = |(shard, owner): (&ShardIndex, &ShardOwner)| RouteChange {
                service: *service,
                shard: *shard,
                owner: *owner,
            };
            changes.extend(owners.iter().map(change));
        }
        changes
    }
}
