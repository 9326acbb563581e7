//! Plans shard owners and moves, and activates new owners once they are persisted.

use std::time::Duration;

use nickellead_api::TargetState;
use nickellead_core::{Epoch, ServiceKey, ShardIndex, TargetKey, Timestamp};
use nickellead_placement::{MovePlan, RebalanceLimits, TargetLoad, assign, plan_moves};

use super::{CallId, ZoneCoordinator, ZoneNotice};
use crate::charts::{MandatePhase, SessionPhase, ShardEvent, ShardPhase};
use crate::object::WriteOutcome;
use crate::order::ShardGrant;
use crate::session::TargetSession;
use crate::shard::{PendingWrite, PlacementState};

/// Interval between checks of the load balance.
const REBALANCE_INTERVAL: Duration = Duration::from_millis(100);

/// How long unassigned shards wait for targets that have not replied in this term or that expired
/// simultaneously. Exceeds the default heartbeat interval, within which a live target replies.
pub(super) const TARGET_DISCOVERY_TIMEOUT: Duration = Duration::from_millis(500);

impl ZoneCoordinator {
    pub(super) fn plan(&mut self, now: Timestamp) {
        if !self.may_plan() {
            return;
        }
        self.request_step_down(now);
        let services: Vec<ServiceKey> = self.placements.keys().copied().collect();
        for service in &services {
            self.plan_owners(*service, now);
        }
        if now >= self.next_rebalance && !self.stop_requested {
            self.next_rebalance = now + REBALANCE_INTERVAL;
            for service in services {
                self.plan_service_moves(service, now);
            }
        }
    }

    /// Chooses an owner for each free shard without a planned one.
    fn plan_owners(&mut self, service: ServiceKey, now: Timestamp) {
        let awaits_contact = self.awaits_first_contact(service, now);
        let awaits_return = self.awaits_expired_targets(service, now);
        let Some(placement) = self.placements.get_mut(&service) else {
            return;
        };
        let idle = placement.count(ShardPhase::Free) == 0 || !placement.needs_assignment;
        if placement.state != PlacementState::Claimed || idle {
            return;
        }
        placement.needs_assignment = awaits_contact || awaits_return;
        let planned = placement.planned_counts();
        let mut loads = self.loads(service, TargetSession::accepts_shards);
        for load in &mut loads {
            load.shards += planned.get(&load.target).copied().unwrap_or(0);
        }
        let sessions = &self.sessions;
        let Some(placement) = self.placements.get_mut(&service) else {
            return;
        };
        let accepts =
            |target: TargetKey| sessions.get(&target).is_some_and(TargetSession::accepts_shards);
        let unassigned = placement.shards_where(|record| {
            let never_owned = record.epoch == Epoch::ZERO;
            record.phase == ShardPhase::Free
                && !(never_owned && awaits_contact || awaits_return)
                && record.next.is_none_or(|next| !accepts(next))
        });
        if unassigned.is_empty() {
            return;
        }
        let owners = assign(&mut loads, unassigned.len());
        let none = std::iter::repeat(None);
        for (shard, owner) in unassigned.into_iter().zip(owners.into_iter().map(Some).chain(none)) {
            let Some(record) = placement.get_mut(shard) else {
                continue;
            };
            let before = record.published_owner();
            record.next = owner;
            record.expects_return = false;
            if record.published_owner() != before {
                let route = placement.route_change(shard);
                self.log.push(route);
            }
        }
    }

    /// Returns whether shards without an earlier owner wait for targets that have not replied.
    ///
    /// Without the wait, the first target to reply would get all shards, and rebalancing would
    /// move most of them again.
    fn awaits_first_contact(&self, service: ServiceKey, now: Timestamp) -> bool {
        let early =
            self.placements.get(&service).is_some_and(|known| now < known.discovery_deadline);
        let expected = |session: &TargetSession| {
            let not_live = matches!(session.phase, SessionPhase::New | SessionPhase::Fenced);
            session.service == service && session.declared == TargetState::Active && not_live
        };
        early && self.sessions.values().any(expected)
    }

    /// Returns whether shards wait for targets that expired simultaneously.
    fn awaits_expired_targets(&self, service: ServiceKey, now: Timestamp) -> bool {
        let early = self.placements.get(&service).is_some_and(|known| now < known.return_deadline);
        let may_return = |session: &TargetSession| {
            let not_live = matches!(session.phase, SessionPhase::Lost | SessionPhase::Fenced);
            session.service == service && session.declared == TargetState::Active && not_live
        };
        early && self.sessions.values().any(may_return)
    }

    /// Starts planned moves if none are in progress.
    fn plan_service_moves(&mut self, service: ServiceKey, now: Timestamp) {
        // A detached coordinator moves shards only away from draining targets.
        let rebalances = self.phase == MandatePhase::Leading;
        let leaving = self.loads(service, TargetSession::is_draining);
        if leaving.iter().all(|load| load.shards == 0) && !rebalances {
            return;
        }
        let Some(placement) = self.placements.get(&service) else {
            return;
        };
        if placement.state != PlacementState::Claimed || !placement.is_settled() {
            return;
        }
        let mut staying = self.loads(service, TargetSession::accepts_shards);
        if staying.is_empty() {
            return;
        }
        let gap_percent = if rebalances { RebalanceLimits::default().min_gap_percent } else { 100 };
        let limits = RebalanceLimits {
            max_moves: self.settings.max_concurrent_moves,
            min_gap_percent: gap_percent,
        };
        let plans = plan_moves(&leaving, &mut staying, limits);
        self.begin_moves(service, &plans, now);
    }

    fn begin_moves(&mut self, service: ServiceKey, plans: &[MovePlan], now: Timestamp) {
        let Some(placement) = self.placements.get_mut(&service) else {
            return;
        };
        let name = placement.name.clone();
        let mut started = 0;
        let mut by_owner: std::collections::BTreeMap<TargetKey, Vec<ShardIndex>> =
            std::collections::BTreeMap::new();
        for plan in plans {
            let from = plan.from;
            let shards = by_owner
                .entry(from)
                .or_insert_with(|| placement.shards_where(|record| record.owner == Some(from)));
            let Some(shard) = shards.pop() else { continue };
            if !placement.advance(shard, ShardEvent::ReleaseRequested) {
                continue;
            }
            let Some(record) = placement.get_mut(shard) else {
                continue;
            };
            record.next = Some(plan.to);
            let grant = ShardGrant { shard, epoch: record.epoch };
            let route = placement.route_change(shard);
            self.log.push(route);
            if let Some(session) = self.sessions.get_mut(&from) {
                session.queue_release(grant);
                session.schedule_order_by(now);
            }
            started += 1;
        }
        if started > 0 {
            self.notify(ZoneNotice::MovesStarted(name, started));
        }
    }

    fn loads(&self, service: ServiceKey, predicate: fn(&TargetSession) -> bool) -> Vec<TargetLoad> {
        let load = |session: &TargetSession| TargetLoad {
            target: session.key,
            slots: session.slots,
            shards: session.owned,
        };
        let of_service =
            |session: &&TargetSession| session.service == service && predicate(session);
        self.sessions.values().filter(of_service).map(load).collect()
    }

    pub(super) fn handle_placement_written(
        &mut self,
        call: CallId,
        service: ServiceKey,
        outcome: WriteOutcome,
        now: Timestamp,
    ) {
        let Some(known) = self.calls.get(&service).copied().filter(|known| known.id == call) else {
            return;
        };
        self.calls.remove(&service);
        let Some(placement) = self.placements.get_mut(&service) else {
            return;
        };
        match outcome {
            WriteOutcome::Done(version) => {
                placement.version = version;
                let claims = placement.state == PlacementState::Claiming;
                if claims {
                    placement.discovery_deadline = now + TARGET_DISCOVERY_TIMEOUT;
                }
                placement.state = PlacementState::Claimed;
                placement.needs_assignment = true;
                let current = |write: &PendingWrite| write.object.write_id == known.write_id;
                if placement.pending.as_ref().is_some_and(current) {
                    self.commit_write(service, false);
                }
                if claims {
                    self.free_lost_shards(service, now);
                }
            }
            WriteOutcome::Conflict if placement.state == PlacementState::Claiming => {
                // The predecessor wrote again before the claim: reload the object.
                placement.state = PlacementState::Unread;
                placement.pending = None;
            }
            WriteOutcome::Conflict => placement.needs_read = true,
            WriteOutcome::Failed => self.back_off_calls(service, now),
        }
    }

    /// Activates the owners of the pending write, which the platform or every standby stores.
    pub(super) fn commit_write(&mut self, service: ServiceKey, by_records: bool) {
        let Some(placement) = self.placements.get_mut(&service) else {
            return;
        };
        let Some(write) = &mut placement.pending else {
            return;
        };
        let planned = std::mem::take(&mut write.planned);
        if !by_records {
            placement.pending = None;
        }
        let name = placement.name.clone();
        for shard in &planned {
            self.commit_owner(service, *shard);
        }
        if !planned.is_empty() {
            let count = planned.len() as u32;
            self.notify(ZoneNotice::OwnersCommitted(name, count, by_records));
        }
    }

    fn commit_owner(&mut self, service: ServiceKey, shard: ShardIndex) {
        let Some(placement) = self.placements.get_mut(&service) else {
            return;
        };
        if !placement.advance(shard, ShardEvent::Written) {
            return;
        }
        let Some(record) = placement.get_mut(shard) else {
            return;
        };
        record.epoch = record.epoch.next();
        record.owner = record.next.take();
        let grant = ShardGrant { shard, epoch: record.epoch };
        let owner = record.owner.and_then(|owner| self.sessions.get_mut(&owner));
        match owner.filter(|session| session.accepts_grants()) {
            Some(session) => {
                session.owned += 1;
                session.queue_grant(grant);
            }
            // The target was lost before the grant was sent, so the shard is free at once.
            None => {
                placement.advance(shard, ShardEvent::OwnerLost);
            }
        }
    }
}
