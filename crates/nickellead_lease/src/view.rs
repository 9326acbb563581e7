//! What a coordinator tells the routers: who serves which shard.

use std::collections::VecDeque;

use bincode::{Decode, Encode};
use nickellead_core::{Epoch, ServiceKey, ShardIndex, TargetKey, Term, Version, ZoneKey};

/// Changes kept for subscribers that lag.
const LOG_LENGTH: usize = 8_192;

/// Where requests for a shard go.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub enum ShardOwner {
    /// No target owns it, and none is about to.
    #[default]
    Unowned,
    /// A new owner is on its way: requests may wait a short while.
    Moving,
    /// This target owns it.
    Target {
        /// The owner.
        target: TargetKey,
        /// The epoch that requests must carry.
        epoch: Epoch,
    },
}

/// One shard's new owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RouteChange {
    /// The service.
    pub service: ServiceKey,
    /// The shard.
    pub shard: ShardIndex,
    /// Where its requests go from now on.
    pub owner: ShardOwner,
}

/// What changed in a zone since a version.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ZoneDelta {
    /// The zone.
    pub zone: ZoneKey,
    /// Term of the coordinator that says so.
    pub term: Term,
    /// The version this builds on; `None` when the delta is the whole table.
    pub base: Option<Version>,
    /// The version after it.
    pub version: Version,
    /// The changes, oldest first.
    pub changes: Vec<RouteChange>,
}

/// The published routes of a zone, with a bounded log of their changes.
#[derive(Clone, Debug, Default)]
pub struct ZoneLog {
    /// Term of the coordinator.
    pub term: Term,
    /// Counts changes within the term.
    pub version: Version,
    changes: VecDeque<RouteChange>,
}

impl ZoneLog {
    /// Starts a new term with an empty log.
    pub fn restart(&mut self, term: Term) {
        *self = Self { term, ..Self::default() };
    }

    /// Adds a change.
    pub fn push(&mut self, change: RouteChange) {
        self.version = self.version.next();
        if self.changes.len() == LOG_LENGTH {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }

    /// The changes since `known`, or `None` when only the whole table will do.
    #[must_use]
    pub fn changes_since(&self, known: Option<(Term, Version)>) -> Option<Vec<RouteChange>> {
        let (term, version) = known?;
        if term != self.term || version > self.version {
            return None;
        }
        let missing = (self.version.0 - version.0) as usize;
        let start = self.changes.len().checked_sub(missing)?;
        Some(self.changes.range(start..).copied().collect())
    }
}
