//! A coordinator's session with one target.

use std::collections::BTreeMap;
use std::time::Duration;

use nickellead_api::TargetState;
use nickellead_core::{
    Epoch, Incarnation, Name, Nonce, Sequence, ServiceKey, ShardIndex, TargetKey, Term, Timestamp,
};

use crate::charts::{SessionEvent, SessionPhase, charts};
use crate::order::{OrderOutcome, ShardGrant, TargetOrder, TargetReply};
use crate::timings::LeaseTimings;

/// Interval between orders that poll for the completion of a release.
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Clone, Debug)]
struct SentOrder {
    sequence: Sequence,
    sent_at: Timestamp,
    grants: Vec<ShardGrant>,
    standing: bool,
}

/// State changes that a reply caused.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct SessionChanges {
    /// Higher term that the target has seen.
    pub(crate) superseded_by: Option<Term>,
    /// Grants that the target held when it replied to the first contact.
    pub(crate) fenced_with: Option<Vec<ShardGrant>>,
    /// Whether the target applied its list of standing grants.
    pub(crate) synced: bool,
    /// Grants that the target accepted.
    pub(crate) granted: Vec<ShardGrant>,
    /// Grants that the target refused because it has seen the same or a higher epoch.
    pub(crate) refused: Vec<ShardGrant>,
    /// Grants that the target released.
    pub(crate) released: Vec<ShardGrant>,
}

/// A coordinator's lease-based session with one target.
#[derive(Clone, Debug)]
pub(crate) struct TargetSession {
    pub(crate) name: Name,
    pub(crate) key: TargetKey,
    pub(crate) service: ServiceKey,
    pub(crate) slots: u16,
    pub(crate) declared: TargetState,
    pub(crate) phase: SessionPhase,
    pub(crate) leaving: bool,
    /// Number of shards that have this target as their owner, in any phase.
    pub(crate) owned: u32,
    /// Latest time, on the local clock, at which a lease extended by this coordinator may end.
    pub(crate) lease_upper_bound: Timestamp,
    incarnation: Option<Incarnation>,
    nonce: Option<(Nonce, Timestamp)>,
    sequence: Sequence,
    sent: Option<SentOrder>,
    next_due: Timestamp,
    /// Earliest time of the next order after a failed one.
    retry_at: Timestamp,
    grants: BTreeMap<ShardIndex, Epoch>,
    releases: BTreeMap<ShardIndex, Epoch>,
}

impl TargetSession {
    pub(crate) fn new(name: Name, service: ServiceKey, slots: u16, declared: TargetState) -> Self {
        let key = TargetKey::from(&name);
        Self {
            name,
            key,
            service,
            slots,
            declared,
            phase: charts().session.initial(),
            leaving: false,
            owned: 0,
            lease_upper_bound: Timestamp::ZERO,
            incarnation: None,
            nonce: None,
            sequence: Sequence::ZERO,
            sent: None,
            next_due: Timestamp::ZERO,
            retry_at: Timestamp::ZERO,
            grants: BTreeMap::new(),
            releases: BTreeMap::new(),
        }
    }

    /// Returns whether shards may be assigned to the target.
    pub(crate) fn accepts_shards(&self) -> bool {
        self.phase == SessionPhase::Live && self.declared == TargetState::Active && !self.leaving
    }

    /// Returns whether a persisted grant may be sent to the target.
    pub(crate) fn accepts_grants(&self) -> bool {
        self.phase == SessionPhase::Live
    }

    /// Returns whether planned moves must take the target's shards away.
    pub(crate) fn is_draining(&self) -> bool {
        self.phase == SessionPhase::Live && (self.declared != TargetState::Active || self.leaving)
    }

    pub(crate) fn advance(&mut self, event: SessionEvent) -> bool {
        charts().session.advance(&mut self.phase, event)
    }

    /// Adds a grant to the next order.
    pub(crate) fn queue_grant(&mut self, grant: ShardGrant) {
        self.releases.remove(&grant.shard);
        self.grants.insert(grant.shard, grant.epoch);
    }

    /// Adds a release to the next order.
    pub(crate) fn queue_release(&mut self, grant: ShardGrant) {
        self.grants.remove(&grant.shard);
        self.releases.insert(grant.shard, grant.epoch);
    }

    /// Ends the session and discards pending orders, grants and releases.
    pub(crate) fn expire(&mut self) {
        self.advance(SessionEvent::Expired);
        self.incarnation = None;
        self.nonce = None;
        self.sent = None;
        self.grants.clear();
        self.releases.clear();
    }

    /// Returns whether the next order needs the list of standing grants.
    pub(crate) fn needs_standing_grants(&self, now: Timestamp, timings: &LeaseTimings) -> bool {
        self.phase == SessionPhase::Fenced && !self.is_blocked(now, timings)
    }

    /// Returns the next order if one is due.
    pub(crate) fn poll(
        &mut self,
        term: Term,
        standing: Option<Vec<ShardGrant>>,
        timings: &LeaseTimings,
        now: Timestamp,
    ) -> Option<TargetOrder> {
        if self.is_blocked(now, timings) {
            return None;
        }
        self.sent = None;
        let changed = !self.grants.is_empty() || !self.releases.is_empty();
        match self.phase {
            SessionPhase::Expiring => None,
            SessionPhase::New | SessionPhase::Lost if now >= self.next_due => {
                Some(self.build_order(term, None, timings, now))
            }
            SessionPhase::Fenced if standing.is_some() => {
                Some(self.build_order(term, standing, timings, now))
            }
            SessionPhase::Live if now >= self.next_due || (changed && self.releases.is_empty()) => {
                Some(self.build_order(term, None, timings, now))
            }
            _ => None,
        }
    }

    /// Makes the next order due no later than `due`.
    pub(crate) fn schedule_order_by(&mut self, due: Timestamp) {
        self.next_due = self.next_due.min(due);
    }

    /// Applies a reply; a reply to an earlier order still updates the nonce and releases.
    pub(crate) fn apply_reply(
        &mut self,
        reply: &TargetReply,
        term: Term,
        timings: &LeaseTimings,
        now: Timestamp,
    ) -> SessionChanges {
        let mut changes = SessionChanges::default();
        if reply.term > term {
            changes.superseded_by = Some(reply.term);
            return changes;
        }
        let sent = self.sent.take_if(|sent| sent.sequence == reply.sequence);
        self.leaving = reply.leaving;
        match reply.outcome {
            OrderOutcome::WrongTarget | OrderOutcome::StaleTerm | OrderOutcome::StaleSequence => {
                changes
            }
            OrderOutcome::WrongIncarnation => {
                self.advance(SessionEvent::Restarted);
                changes
            }
            OrderOutcome::Accepted | OrderOutcome::Unsynced => {
                self.apply_accepted(reply, sent, timings, now, &mut changes);
                changes
            }
        }
    }

    /// Records that an order got no reply, and delays the next one.
    pub(crate) fn record_failure(
        &mut self,
        sequence: Sequence,
        now: Timestamp,
        timings: &LeaseTimings,
    ) {
        if self.sent.take_if(|sent| sent.sequence == sequence).is_some() {
            self.retry_at = now + timings.heartbeat_interval / 4;
            self.next_due = self.retry_at;
        }
    }

    fn apply_accepted(
        &mut self,
        reply: &TargetReply,
        sent: Option<SentOrder>,
        timings: &LeaseTimings,
        now: Timestamp,
        changes: &mut SessionChanges,
    ) {
        if self.incarnation.is_some_and(|known| known != reply.incarnation) {
            self.advance(SessionEvent::Restarted);
            return;
        }
        if matches!(self.phase, SessionPhase::New | SessionPhase::Lost) {
            let Some(held) = reply.held.clone().filter(|_| sent.is_some()) else {
                return;
            };
            self.incarnation = Some(reply.incarnation);
            self.lease_upper_bound = self.lease_upper_bound.max(timings.lease_upper_bound(now));
            self.advance(SessionEvent::ContactAnswered);
            changes.fenced_with = Some(held);
        }
        self.record_nonce(reply.nonce, now);
        for release in &reply.released {
            if self.releases.get(&release.shard) == Some(&release.epoch) {
                self.releases.remove(&release.shard);
            }
            changes.released.push(*release);
        }
        if !self.releases.is_empty() {
            self.next_due = now + RELEASE_POLL_INTERVAL;
        }
        if let Some(sent) = sent.filter(|_| reply.outcome == OrderOutcome::Accepted) {
            self.acknowledge(&sent, reply, changes);
        }
    }

    fn acknowledge(&mut self, sent: &SentOrder, reply: &TargetReply, changes: &mut SessionChanges) {
        if sent.standing && self.advance(SessionEvent::Synced) {
            changes.synced = true;
        }
        for grant in &sent.grants {
            if self.grants.get(&grant.shard) == Some(&grant.epoch) {
                self.grants.remove(&grant.shard);
            }
            if reply.refused.contains(grant) {
                changes.refused.push(*grant);
            } else {
                changes.granted.push(*grant);
            }
        }
    }

    fn record_nonce(&mut self, nonce: Nonce, now: Timestamp) {
        if self.nonce.is_none_or(|(known, _)| known < nonce) {
            self.nonce = Some((nonce, now));
        }
    }

    /// Returns whether an order is in flight or the delay after a failed one is not over.
    fn is_blocked(&self, now: Timestamp, timings: &LeaseTimings) -> bool {
        let timed_out = |sent: &SentOrder| now >= sent.sent_at + timings.order_timeout;
        now < self.retry_at || self.sent.as_ref().is_some_and(|sent| !timed_out(sent))
    }

    fn build_order(
        &mut self,
        term: Term,
        standing: Option<Vec<ShardGrant>>,
        timings: &LeaseTimings,
        now: Timestamp,
    ) -> TargetOrder {
        self.sequence = self.sequence.next();
        self.next_due = now + timings.heartbeat_interval;
        let contact = matches!(self.phase, SessionPhase::New | SessionPhase::Lost);
        let echo = if contact { None } else { self.nonce };
        if let Some((_, received)) = echo {
            self.lease_upper_bound =
                self.lease_upper_bound.max(timings.lease_upper_bound(received));
        }
        let order = TargetOrder {
            target: self.key,
            term,
            incarnation: if contact { None } else { self.incarnation },
            sequence: self.sequence,
            echo: echo.map(|(nonce, _)| nonce),
            lease_ms: timings.lease_duration.as_millis() as u64,
            standing,
            grants: to_grants(&self.grants),
            releases: to_grants(&self.releases),
        };
        self.sent = Some(SentOrder {
            sequence: self.sequence,
            sent_at: now,
            grants: order.grants.clone(),
            standing: order.standing.is_some(),
        });
        order
    }
}

fn to_grants(map: &BTreeMap<ShardIndex, Epoch>) -> Vec<ShardGrant> {
    map.iter().map(|(shard, epoch)| ShardGrant { shard: *shard, epoch: *epoch }).collect()
}
