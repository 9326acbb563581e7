//! Enforcement of ownership in a target.
//!
//! A target embeds a [`GrantGuard`] and consults it twice for each request: on admission, and
//! immediately before the request's side effect.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use nickellead_core::{
    Epoch, Incarnation, Nonce, Sequence, ShardIndex, TargetKey, Term, Timestamp,
};

use crate::order::{OrderOutcome, ShardGrant, TargetOrder, TargetReply};
use nickellead_core::enforced;

/// Number of latest nonces whose time of issue is retained.
const MAX_RETAINED_NONCES: usize = 16;

/// Reason why a request was refused. A refused request has had no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunRefusal {
    /// The target's lease has expired.
    NoSession,
    /// The target holds no grant for the shard.
    NotHeld,
    /// The target is releasing the shard and admits no new requests for it.
    Releasing,
    /// The request's epoch differs from the grant's.
    WrongEpoch,
}

/// Proof of a request's admission, to be returned by [`GrantGuard::finish`].
#[derive(Debug, PartialEq, Eq)]
pub struct RequestTicket {
    grant: ShardGrant,
}

#[derive(Clone, Debug)]
struct HeldGrant {
    epoch: Epoch,
    releasing: bool,
    running: u32,
}

/// The grants and the lease that a target holds.
#[derive(Clone, Debug)]
pub struct GrantGuard {
    target: TargetKey,
    incarnation: Incarnation,
    term: Term,
    sequence: Sequence,
    synced: bool,
    lease_until: Timestamp,
    nonces: VecDeque<(Nonce, Timestamp)>,
    next_nonce: Nonce,
    held: BTreeMap<ShardIndex, HeldGrant>,
    /// Grants at or below a shard's floor are refused.
    epoch_floors: BTreeMap<ShardIndex, Epoch>,
    leaving: bool,
}

impl GrantGuard {
    /// Creates the guard of a newly started target, which holds no grants.
    #[must_use]
    pub fn new(target: TargetKey, incarnation: Incarnation) -> Self {
        Self {
            target,
            incarnation,
            term: Term::ZERO,
            sequence: Sequence::ZERO,
            synced: false,
            lease_until: Timestamp::ZERO,
            nonces: VecDeque::with_capacity(MAX_RETAINED_NONCES),
            next_nonce: Nonce(1),
            held: BTreeMap::new(),
            epoch_floors: BTreeMap::new(),
            leaving: false,
        }
    }

    /// Requests, by the following replies, that the target's shards be moved away.
    pub fn announce_leaving(&mut self) {
        self.leaving = true;
    }

    /// Applies an order and returns the reply to it.
    pub fn apply(&mut self, order: &TargetOrder, now: Timestamp) -> TargetReply {
        if let Some(outcome) = self.check_order(order) {
            return self.reply(order, outcome, now);
        }
        if order.term > self.term {
            self.term = order.term;
            self.synced = false;
        }
        if order.incarnation.is_none() {
            self.synced = false;
        }
        self.sequence = order.sequence;
        let held = (!self.synced).then(|| self.held_grants());
        if let Some(standing) = &order.standing {
            self.retain_standing(standing);
            self.synced = true;
        }
        if !self.synced {
            let reply = self.reply(order, OrderOutcome::Unsynced, now);
            return TargetReply { held, ..reply };
        }
        self.start_releases(&order.releases);
        let refused = self.accept_grants(&order.grants);
        self.extend_lease(order);
        let released = self.completed_releases(&order.releases);
        let reply = self.reply(order, OrderOutcome::Accepted, now);
        TargetReply { held, released, refused, ..reply }
    }

    /// Admits a request if the target holds its shard at its epoch and the lease is valid.
    ///
    /// # Errors
    /// Returns the reason of the refusal; the request must not run.
    pub fn admit(
        &mut self,
        grant: ShardGrant,
        now: Timestamp,
    ) -> Result<RequestTicket, RunRefusal> {
        self.check_run(grant, now)?;
        let held = self.held.get_mut(&grant.shard).ok_or(RunRefusal::NotHeld)?;
        if held.releasing {
            return Err(RunRefusal::Releasing);
        }
        held.running += 1;
        Ok(RequestTicket { grant })
    }

    /// Checks again, immediately before the side effect, that an admitted request may run.
    ///
    /// # Errors
    /// Returns the reason of the refusal; the request must not take effect.
    pub fn check_effect(&self, ticket: &RequestTicket, now: Timestamp) -> Result<(), RunRefusal> {
        if enforced!("effect_check") { self.check_run(ticket.grant, now) } else { Ok(()) }
    }

    /// Records the end of an admitted request; the last one completes a pending release.
    pub fn finish(&mut self, ticket: RequestTicket) {
        let shard = ticket.grant.shard;
        let Some(held) = self.held.get_mut(&shard) else {
            return;
        };
        if held.epoch != ticket.grant.epoch {
            return;
        }
        held.running -= 1;
        if held.releasing && held.running == 0 {
            self.drop_grant(shard);
        }
    }

    /// Returns whether the target may run requests for a shard, at any epoch.
    #[must_use]
    pub fn owns(&self, shard: ShardIndex, now: Timestamp) -> bool {
        now < self.lease_until && self.held.contains_key(&shard)
    }

    /// Returns the grants held, even if the lease has expired.
    #[must_use]
    pub fn held_grants(&self) -> Vec<ShardGrant> {
        let grant = |(shard, held): (&ShardIndex, &HeldGrant)| ShardGrant {
            shard: *shard,
            epoch: held.epoch,
        };
        self.held.iter().map(grant).collect()
    }

    /// Returns the end of the lease on the target's clock.
    #[must_use]
    pub const fn lease_until(&self) -> Timestamp {
        self.lease_until
    }

    /// Returns the highest term that the target has seen.
    #[must_use]
    pub const fn term(&self) -> Term {
        self.term
    }

    fn check_order(&self, order: &TargetOrder) -> Option<OrderOutcome> {
        if order.target != self.target {
            return Some(OrderOutcome::WrongTarget);
        }
        if order.term < self.term && enforced!("term_check") {
            return Some(OrderOutcome::StaleTerm);
        }
        let differs = order.incarnation.is_some_and(|meant| meant != self.incarnation);
        if enforced!("incarnation_check") && differs {
            return Some(OrderOutcome::WrongIncarnation);
        }
        let same_term = order.term == self.term;
        if enforced!("sequence_check") && same_term && order.sequence <= self.sequence {
            return Some(OrderOutcome::StaleSequence);
        }
        None
    }

    fn check_run(&self, grant: ShardGrant, now: Timestamp) -> Result<(), RunRefusal> {
        if now >= self.lease_until {
            return Err(RunRefusal::NoSession);
        }
        let held = self.held.get(&grant.shard).ok_or(RunRefusal::NotHeld)?;
        if enforced!("epoch_check") && held.epoch != grant.epoch {
            return Err(RunRefusal::WrongEpoch);
        }
        Ok(())
    }

    /// Drops every grant that is not in the list, and cancels the release of those that are.
    fn retain_standing(&mut self, standing: &[ShardGrant]) {
        let standing_epochs: BTreeMap<_, _> =
            standing.iter().map(|grant| (grant.shard, grant.epoch)).collect();
        let floors = &mut self.epoch_floors;
        self.held.retain(|shard, held| {
            let is_standing = standing_epochs.get(shard) == Some(&held.epoch);
            let retained = is_standing || !enforced!("standing_list");
            if retained {
                held.releasing = false;
            } else {
                raise_floor(floors, *shard, held.epoch);
            }
            retained
        });
    }

    fn start_releases(&mut self, releases: &[ShardGrant]) {
        for release in releases {
            match self.held.get_mut(&release.shard) {
                Some(held) if held.epoch <= release.epoch => {
                    held.releasing = true;
                    if held.running == 0 {
                        self.drop_grant(release.shard);
                    }
                }
                Some(_) => {}
                None => raise_floor(&mut self.epoch_floors, release.shard, release.epoch),
            }
        }
    }

    fn completed_releases(&self, releases: &[ShardGrant]) -> Vec<ShardGrant> {
        let is_released = |release: &&ShardGrant| {
            let held = self.held.get(&release.shard);
            held.is_none_or(|held| held.epoch > release.epoch) || !enforced!("release_wait")
        };
        releases.iter().filter(is_released).copied().collect()
    }

    /// Adds grants and returns those that were refused.
    fn accept_grants(&mut self, grants: &[ShardGrant]) -> Vec<ShardGrant> {
        let mut refused = Vec::new();
        for grant in grants {
            let floor = self.epoch_floors.get(&grant.shard).copied().unwrap_or_default();
            let held_epoch = self.held.get(&grant.shard).map(|held| held.epoch);
            if grant.epoch <= floor {
                refused.push(*grant);
            } else if held_epoch.is_none_or(|epoch| epoch < grant.epoch) {
                let held = HeldGrant { epoch: grant.epoch, releasing: false, running: 0 };
                self.held.insert(grant.shard, held);
            }
        }
        refused
    }

    /// Extends the lease, counted from when the echoed nonce was issued.
    fn extend_lease(&mut self, order: &TargetOrder) {
        let Some(echo) = order.echo else { return };
        let Some((_, issued)) = self.nonces.iter().find(|(nonce, _)| *nonce == echo) else {
            return;
        };
        let until = *issued + Duration::from_millis(order.lease_ms);
        self.lease_until = self.lease_until.max(until);
    }

    fn drop_grant(&mut self, shard: ShardIndex) {
        if let Some(held) = self.held.remove(&shard) {
            raise_floor(&mut self.epoch_floors, shard, held.epoch);
        }
    }

    fn reply(&mut self, order: &TargetOrder, outcome: OrderOutcome, now: Timestamp) -> TargetReply {
        TargetReply {
            outcome,
            target: self.target,
            term: self.term,
            incarnation: self.incarnation,
            sequence: order.sequence,
            nonce: self.issue_nonce(now),
            held: None,
            released: Vec::new(),
            refused: Vec::new(),
            leaving: self.leaving,
        }
    }

    fn issue_nonce(&mut self, now: Timestamp) -> Nonce {
        let nonce = self.next_nonce;
        self.next_nonce = nonce.next();
        if self.nonces.len() == MAX_RETAINED_NONCES {
            self.nonces.pop_front();
        }
        self.nonces.push_back((nonce, now));
        nonce
    }
}

fn raise_floor(floors: &mut BTreeMap<ShardIndex, Epoch>, shard: ShardIndex, epoch: Epoch) {
    let floor = floors.entry(shard).or_default();
    *floor = (*floor).max(epoch);
}
