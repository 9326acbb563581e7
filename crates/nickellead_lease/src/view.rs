//! Shard owners that a coordinator publishes to the routers.

use std::collections::VecDeque;

use bincode::{Decode, Encode};
use nickellead_core::{Epoch, ServiceKey, ShardIndex, TargetKey, Term, Version, ZoneKey};

/// Changes that the log retains for subscribers that lag.
const MAX_LOGGED_CHANGES: usize = 8_192;

/// Where routers send requests for a shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub enum ShardOwner {
    /// No target owns the shard, and none is being assigned.
    #[default]
    Unowned,
    /// An owner is being assigned; requests may wait briefly.
    Moving,
    /// The shard has an owner that serves requests.
    Target {
        /// Key of the owner.
        target: TargetKey,
        /// Epoch that requests must carry.
        epoch: Epoch,
    },
}

/// Change of one shard's owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RouteChange {
    /// Service that the shard belongs to.
    pub service: ServiceKey,
    /// Index of the shard within the service.
    pub shard: ShardIndex,
    /// State after the change.
    pub owner: ShardOwner,
}

/// Changes of a zone's shard owners since a version.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ZoneDelta {
    /// Zone whose shards changed.
    pub zone: ZoneKey,
    /// Term of the coordinator that published the delta.
    pub term: Term,
    /// Version that the delta applies to; `None` if it contains the whole table.
    pub base: Option<Version>,
    /// Version after applying the delta.
    pub version: Version,
    /// Changes, oldest first.
    pub changes: Vec<RouteChange>,
}

/// Version of a zone's published shard owners, with a bounded log of their changes.
#[derive(Clone, Debug, Default)]
pub struct ZoneLog {
    /// Term of the coordinator that publishes the changes.
    pub term: Term,
    /// Number of changes within the term.
    pub version: Version,
    changes: VecDeque<RouteChange>,
}

impl ZoneLog {
    /// Starts a new term with an empty log.
    pub fn restart(&mut self, term: Term) {
        *self = Self { term, ..Self::default() };
    }

    /// Appends a change, and drops the oldest one if the log is full.
    pub fn push(&mut self, change: RouteChange) {
        self.version = self.version.next();
        if self.changes.len() == MAX_LOGGED_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }

    /// Returns the changes since `known`, or `None` if the log no longer covers them.
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
