//! Owners of the shards in one zone, as known to a VM.

use std::collections::BTreeMap;

use nickellead_core::{ServiceKey, ShardIndex, TargetKey, Term, Version, ZoneKey};
use nickellead_lease::{RouteChange, ShardOwner, ZoneDelta, ZoneLog};

/// Result of applying a delta.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeltaOutcome {
    /// The delta was applied.
    Applied,
    /// The delta is not newer than the known version.
    Stale,
    /// Changes before the delta are missing, so the full table is needed.
    Gap,
}

/// Number of a service's shards in one zone by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnerCounts {
    /// Shards with an owner.
    pub served: u32,
    /// Shards that move to a new owner.
    pub moving: u32,
    /// Shards without an owner.
    pub unowned: u32,
}

/// Counts of a zone's shards by service and by target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneSummary {
    /// Term and version that the counts are based on.
    pub known: Option<(Term, Version)>,
    /// Shards of each service.
    pub services: BTreeMap<ServiceKey, OwnerCounts>,
    /// Number of shards that each target owns.
    pub targets: BTreeMap<TargetKey, u32>,
}

/// Shard owners in one zone as of one term and version.
#[derive(Clone, Debug)]
pub struct ZoneTable {
    zone: ZoneKey,
    owners: BTreeMap<ServiceKey, BTreeMap<ShardIndex, ShardOwner>>,
    log: ZoneLog,
}

impl ZoneTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(zone: ZoneKey) -> Self {
        Self { zone, owners: BTreeMap::new(), log: ZoneLog::default() }
    }

    /// Known term and version; `None` before the first delta.
    #[must_use]
    pub fn known(&self) -> Option<(Term, Version)> {
        (self.log.term > Term::ZERO).then_some((self.log.term, self.log.version))
    }

    /// Applies a delta if it is newer than the known version and no changes before it are missing.
    pub fn apply(&mut self, delta: &ZoneDelta) -> DeltaOutcome {
        let known = (self.log.term, self.log.version);
        if (delta.term, delta.version) <= known {
            return DeltaOutcome::Stale;
        }
        match delta.base {
            None => self.replace(delta),
            Some(base) if (delta.term, base) == known => {
                delta.changes.iter().for_each(|change| self.apply_change(*change));
            }
            Some(_) => return DeltaOutcome::Gap,
        }
        self.log.term = delta.term;
        self.log.version = delta.version;
        DeltaOutcome::Applied
    }

    /// Delta for a VM that knows version `known`; `None` if that VM is up to date.
    ///
    /// The delta contains the full table if the changes since `known` are no longer logged.
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
            changes: changes.unwrap_or_else(|| self.all_owners()),
        })
    }

    /// Counts shards by state and by owner.
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

    fn apply_change(&mut self, change: RouteChange) {
        self.owners.entry(change.service).or_default().insert(change.shard, change.owner);
        self.log.push(change);
    }

    fn all_owners(&self) -> Vec<RouteChange> {
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
