//! Sessions with the zone's targets: replies, expiry and orders.

use std::collections::{BTreeMap, BTreeSet};

use nickellead_api::{DeclaredConfig, TargetState};
use nickellead_core::{ServiceKey, TargetKey, Timestamp};

use super::moves::TARGET_DISCOVERY_TIMEOUT;
use super::{ZoneAction, ZoneCoordinator, ZoneNotice};
use crate::charts::{MandatePhase, SessionPhase, ShardEvent, ShardPhase};
use crate::order::{ShardGrant, TargetReply};
use crate::session::{SessionChanges, TargetSession};
use crate::shard::{PlacementState, ServicePlacement};
use nickellead_core::enforced;

impl ZoneCoordinator {
    pub(super) fn handle_reply(&mut self, reply: &TargetReply, now: Timestamp) {
        if !self.coordinates() {
            return;
        }
        let Some(session) = self.sessions.get_mut(&reply.target) else {
            return;
        };
        let before = session.phase;
        let changes = session.apply_reply(reply, self.term, &self.settings.timings, now);
        if before != session.phase && session.phase == SessionPhase::Expiring {
            let name = session.name.clone();
            self.notify(ZoneNotice::TargetRestarted(name));
        }
        match changes.superseded_by {
            Some(term) => self.observe_term(term),
            None => self.apply_session_changes(reply.target, changes),
        }
    }

    fn apply_session_changes(&mut self, target: TargetKey, changes: SessionChanges) {
        if let Some(held) = changes.fenced_with {
            self.notify_about_target(target, ZoneNotice::TargetFenced);
            self.reconcile_held_grants(target, &held);
        }
        if changes.synced {
            self.notify_about_target(target, ZoneNotice::TargetLive);
            self.request_assignment(target);
        }
        for grant in changes.granted {
            self.advance_owned_shard(target, grant, ShardEvent::Granted);
        }
        for grant in changes.refused.into_iter().chain(changes.released) {
            self.free_shard(target, grant);
        }
    }

    fn notify_about_target(
        &mut self,
        target: TargetKey,
        notice: fn(nickellead_core::Name) -> ZoneNotice,
    ) {
        if let Some(session) = self.sessions.get(&target) {
            let name = session.name.clone();
            self.notify(notice(name));
        }
    }

    /// Reconciles the placement with the grants that a fenced target holds.
    ///
    /// A shard that the placement assigns to the target but the target does not hold is freed,
    /// as no lower term can grant it any more. A grant with a higher epoch than the placement's
    /// comes from a detached coordinator and remains valid.
    fn reconcile_held_grants(&mut self, target: TargetKey, held: &[ShardGrant]) {
        let Some(session) = self.sessions.get(&target) else {
            return;
        };
        let service = session.service;
        let Some(placement) = self.placements.get_mut(&service) else {
            return;
        };
        let mut changed = Vec::new();
        for grant in held {
            let Some(record) = placement.get_mut(grant.shard) else {
                continue;
            };
            let owner_live = record
                .owner
                .and_then(|owner| self.sessions.get(&owner))
                .is_some_and(TargetSession::accepts_grants);
            let higher = record.epoch < grant.epoch;
            let adopts = higher && !owner_live && !self.predecessor.records_known;
            // The lease expired, but no other target got the shard: the target stays its owner.
            let returns = record.phase == ShardPhase::Free && record.epoch == grant.epoch;
            if adopts || returns {
                placement.set_loaded_owner(grant.shard, Some(target), grant.epoch);
                placement.dirty |= adopts;
                changed.push(grant.shard);
            }
        }
        let holds: BTreeMap<_, _> = held.iter().map(|grant| (grant.shard, grant.epoch)).collect();
        let owned = placement.shards_where(|record| record.owner == Some(target));
        for shard in owned {
            let Some(record) = placement.get_mut(shard) else {
                continue;
            };
            if holds.get(&shard) != Some(&record.epoch) {
                placement.advance(shard, ShardEvent::OwnerLost);
                changed.push(shard);
            }
        }
        let routes: Vec<_> = changed.iter().map(|shard| placement.route_change(*shard)).collect();
        routes.into_iter().for_each(|route| self.log.push(route));
        self.recount_owned();
    }

    /// Requests an assignment of owners for the free shards of a target's service.
    fn request_assignment(&mut self, target: TargetKey) {
        let service = self.sessions.get(&target).map(|session| session.service);
        if let Some(placement) = service.and_then(|service| self.placements.get_mut(&service)) {
            placement.needs_assignment = true;
        }
    }

    fn advance_owned_shard(&mut self, target: TargetKey, grant: ShardGrant, event: ShardEvent) {
        let Some(session) = self.sessions.get(&target) else {
            return;
        };
        let Some(placement) = self.placements.get_mut(&session.service) else {
            return;
        };
        let Some(record) = placement.get(grant.shard) else {
            return;
        };
        let current = record.owner == Some(target) && record.epoch == grant.epoch;
        if current && placement.advance(grant.shard, event) {
            let route = placement.route_change(grant.shard);
            self.log.push(route);
        }
    }

    /// Frees a shard that a target released or refused.
    fn free_shard(&mut self, target: TargetKey, grant: ShardGrant) {
        let Some(session) = self.sessions.get_mut(&target) else {
            return;
        };
        let Some(placement) = self.placements.get_mut(&session.service) else {
            return;
        };
        let Some(record) = placement.get(grant.shard) else {
            return;
        };
        if record.owner != Some(target) || record.epoch != grant.epoch {
            return;
        }
        let event = match record.phase {
            ShardPhase::Releasing => ShardEvent::Released,
            _ => ShardEvent::OwnerLost,
        };
        placement.advance(grant.shard, event);
        session.owned = session.owned.saturating_sub(1);
        let route = placement.route_change(grant.shard);
        self.log.push(route);
    }

    /// Ends the sessions whose lease has expired by its upper bound.
    pub(super) fn expire_sessions(&mut self, now: Timestamp) {
        let expired: Vec<TargetKey> = self
            .sessions
            .values()
            .filter(|session| self.is_expired(session, now))
            .map(|session| session.key)
            .collect();
        self.expect_return(&expired, now);
        for target in expired {
            self.expire_target(target, now);
        }
    }

    /// Lets the shards of a service wait for its targets if all of these expire in one check.
    ///
    /// This VM has probably stalled or been disconnected. Without the wait, the first target to
    /// reply would get all shards, and rebalancing would move most of them again.
    fn expect_return(&mut self, expired: &[TargetKey], now: Timestamp) {
        for (service, placement) in &mut self.placements {
            let mut not_lost = self.sessions.values().filter(|session| {
                session.service == *service && session.phase != SessionPhase::Lost
            });
            if !expired.is_empty() && not_lost.all(|session| expired.contains(&session.key)) {
                placement.return_deadline = now + TARGET_DISCOVERY_TIMEOUT;
            }
        }
    }

    fn is_expired(&self, session: &TargetSession, now: Timestamp) -> bool {
        if session.phase == SessionPhase::Lost {
            return false;
        }
        if session.declared == TargetState::Gone {
            return true;
        }
        let timings = &self.settings.timings;
        let own_lease_expired = now >= session.lease_upper_bound || !enforced!("lapse_wait");
        match session.phase {
            // The predecessor may extend the lease until it is known to have stopped.
            SessionPhase::New => {
                let stopped_at = self.predecessor.stopped_at;
                stopped_at
                    .map_or(!enforced!("successor_wait"), |at| now >= timings.lease_upper_bound(at))
            }
            _ => own_lease_expired,
        }
    }

    fn expire_target(&mut self, target: TargetKey, now: Timestamp) {
        let Some(session) = self.sessions.get_mut(&target) else {
            return;
        };
        session.expire();
        session.owned = 0;
        let (name, service) = (session.name.clone(), session.service);
        let Some(shards) = self.free_shards_of(target, service, now) else {
            return;
        };
        self.notify(ZoneNotice::TargetLost(name, shards));
    }

    /// Frees the shards of a lost target, and returns their number if its service has a placement.
    fn free_shards_of(
        &mut self,
        target: TargetKey,
        service: ServiceKey,
        now: Timestamp,
    ) -> Option<u32> {
        let placement = self.placements.get_mut(&service)?;
        placement.needs_assignment = true;
        let expects_return = now < placement.return_deadline;
        let owned = placement.shards_where(|record| record.owner == Some(target));
        for shard in &owned {
            placement.advance(*shard, ShardEvent::OwnerLost);
            if let Some(record) = placement.get_mut(*shard) {
                record.expects_return = expects_return;
            }
            let route = placement.route_change(*shard);
            self.log.push(route);
        }
        Some(owned.len() as u32)
    }

    /// Frees the shards of targets that were lost before this coordinator claimed the placement.
    ///
    /// Orders are sent only after the claim, so these targets could not reply earlier. Their
    /// shards wait for them to return.
    pub(super) fn free_lost_shards(&mut self, service: ServiceKey, now: Timestamp) {
        let lost = |session: &&mut TargetSession| {
            session.service == service && session.phase == SessionPhase::Lost
        };
        let mut targets = Vec::new();
        for session in self.sessions.values_mut().filter(lost) {
            session.owned = 0;
            targets.push(session.key);
        }
        if let Some(placement) = self.placements.get_mut(&service)
            && !targets.is_empty()
        {
            placement.return_deadline = now + TARGET_DISCOVERY_TIMEOUT;
        }
        for target in targets {
            self.free_shards_of(target, service, now);
        }
    }

    pub(super) fn send_orders(&mut self, now: Timestamp) {
        let targets: Vec<TargetKey> = self.sessions.keys().copied().collect();
        for target in targets {
            self.send_order(target, now);
        }
    }

    pub(super) fn send_order(&mut self, target: TargetKey, now: Timestamp) {
        let may_sync = self.may_sync(now);
        let timings = self.settings.timings;
        let Some(session) = self.sessions.get_mut(&target) else {
            return;
        };
        let placement = self.placements.get(&session.service);
        let ready = placement.is_some_and(|placement| placement.state == PlacementState::Claimed);
        if session.declared == TargetState::Gone || !ready {
            return;
        }
        let standing = if may_sync && session.needs_standing_grants(now, &timings) {
            Some(placement.map_or_else(Vec::new, |placement| placement.standing_grants(target)))
        } else {
            None
        };
        if let Some(order) = session.poll(self.term, standing, &timings, now) {
            self.actions.push(ZoneAction::SendOrder(order));
        }
    }

    /// Returns whether lists of standing grants may be sent.
    ///
    /// A coordinator that may miss records of its predecessor first waits until every target is
    /// fenced or every lease of the predecessor has expired.
    fn may_sync(&self, now: Timestamp) -> bool {
        if !self.publishes() {
            return false;
        }
        if self.predecessor.records_known || !enforced!("records_wait") {
            return true;
        }
        let uncontacted = |session: &TargetSession| session.phase == SessionPhase::New;
        let all_fenced = !self.sessions.values().any(uncontacted);
        let stopped_at = self.predecessor.stopped_at;
        all_fenced
            || stopped_at.is_some_and(|at| now >= self.settings.timings.lease_upper_bound(at))
    }

    /// Returns whether an unreachable target's shards wait for proof of the predecessor's stop.
    #[must_use]
    pub fn awaits_predecessor_stop(&self) -> bool {
        let uncontacted =
            |session: &TargetSession| session.phase == SessionPhase::New && session.owned > 0;
        let unknown = self.predecessor.stopped_at.is_none() && self.predecessor.holder.is_some();
        self.coordinates() && unknown && self.sessions.values().any(uncontacted)
    }

    /// Requests the predecessor to step down while a target is unreachable for this VM.
    pub(super) fn request_step_down(&mut self, now: Timestamp) {
        let due =
            now.since(self.predecessor.requested_at) >= self.settings.timings.renewal_interval;
        if !due || !self.awaits_predecessor_stop() {
            return;
        }
        let Some(holder) = self.predecessor.holder.clone() else {
            return;
        };
        if self.has_ended(&holder) {
            self.predecessor.stopped_at = Some(now);
            return;
        }
        self.predecessor.requested_at = now;
        self.actions.push(ZoneAction::RequestStepDown(holder, self.term));
    }

    /// Drains targets that are no longer declared, and removes them once they own no shards.
    pub(super) fn retire_undeclared(&mut self, config: &DeclaredConfig) {
        let zone = &self.settings.zone;
        let declared: BTreeSet<TargetKey> =
            config.targets_in(zone).map(|target| TargetKey::from(&target.name)).collect();
        for session in self.sessions.values_mut() {
            if !declared.contains(&session.key) {
                session.declared = TargetState::Draining;
            }
        }
        self.sessions.retain(|key, session| declared.contains(key) || session.owned > 0);
    }

    /// Recomputes the number of shards that each target owns.
    pub(super) fn recount_owned(&mut self) {
        let counts: Vec<_> = self.placements.values().map(ServicePlacement::owned_counts).collect();
        for session in self.sessions.values_mut() {
            let owned = counts.iter().filter_map(|count| count.get(&session.key));
            session.owned = owned.sum();
        }
    }

    /// Returns whether owners and moves may be planned.
    pub(super) const fn may_plan(&self) -> bool {
        matches!(self.phase, MandatePhase::Leading | MandatePhase::Detached)
    }
}
