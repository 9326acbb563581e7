//! Loads the zone's placements and claims them by writing this coordinator's term.

use std::time::Duration;

use nickellead_core::{Name, ServiceKey, ShardIndex, TargetKey, Timestamp, Version};

use super::mandate_lease::CALL_TIMEOUT;
use super::{CallId, PlacementCall, ZoneAction, ZoneCoordinator, ZoneNotice};
use crate::charts::{MandateEvent, MandatePhase, ShardEvent, ShardPhase};
use crate::object::{PlacementObject, ReadOutcome};
use crate::session::TargetSession;
use crate::shard::{PendingWrite, PlacementState, ServicePlacement};
use nickellead_core::enforced;

/// Delay of a placement's next platform call after a failed one.
const CALL_BACKOFF: Duration = Duration::from_millis(200);

impl ZoneCoordinator {
    /// Starts a term and discards all state of earlier ones except stored records.
    pub(super) fn begin_loading(&mut self) {
        self.sessions.clear();
        self.placements.clear();
        self.calls.clear();
        self.record_round = None;
        self.log.restart(self.term);
        self.reconcile_config();
    }

    /// Reconciles sessions and placements with the declared configuration.
    pub(super) fn reconcile_config(&mut self) {
        let Some(config) = self.config.clone() else {
            return;
        };
        let zone = self.settings.zone.clone();
        for service in &config.services {
            let range = service.spec.shards_in(&zone);
            let key = ServiceKey::from(&service.name);
            if !range.is_empty() && !self.placements.contains_key(&key) {
                let placement = ServicePlacement::new(service.name.clone(), range);
                self.placements.insert(key, placement);
            }
        }
        for target in config.targets_in(&zone) {
            let key = TargetKey::from(&target.name);
            let service = ServiceKey::from(&target.spec.service);
            let session = self.sessions.entry(key).or_insert_with(|| {
                TargetSession::new(
                    target.name.clone(),
                    service,
                    target.spec.slots,
                    target.spec.state,
                )
            });
            session.declared = target.spec.state;
            session.slots = target.spec.slots;
            self.names.insert(key, target.name.clone());
        }
        self.retire_undeclared(&config);
    }

    /// Reads every placement that is not loaded, and starts leading once all are claimed.
    pub(super) fn load_placements(&mut self, now: Timestamp) {
        let is_unread = |placement: &&ServicePlacement| {
            placement.state == PlacementState::Unread && now >= placement.retry_at
        };
        let unread: Vec<(ServiceKey, Name)> = self
            .placements
            .values()
            .filter(is_unread)
            .map(|placement| (placement.service, placement.name.clone()))
            .collect();
        for (service, name) in unread {
            if !self.calls.contains_key(&service) {
                self.read_placement(service, name, now);
            }
        }
        let claimed = |placement: &ServicePlacement| placement.state == PlacementState::Claimed;
        if self.phase == MandatePhase::Loading && self.placements.values().all(claimed) {
            self.advance_mandate(MandateEvent::Loaded);
            self.notify(ZoneNotice::Leading(self.term));
        }
    }

    pub(super) fn handle_placement_read(
        &mut self,
        call: CallId,
        service: ServiceKey,
        outcome: ReadOutcome<PlacementObject>,
        now: Timestamp,
    ) {
        if self.calls.get(&service).is_none_or(|known| known.id != call) {
            return;
        }
        self.calls.remove(&service);
        match outcome {
            ReadOutcome::Failed => self.back_off_calls(service, now),
            ReadOutcome::Absent => {
                self.apply_placement(service, &PlacementObject::default(), Version::ZERO)
            }
            ReadOutcome::Found(object, version) if object.term > self.term => {
                debug_assert!(version > Version::ZERO);
                self.observe_term(object.term);
            }
            ReadOutcome::Found(object, version) => self.apply_placement(service, &object, version),
        }
    }

    /// Treats calls without a response by their deadline as failed.
    pub(super) fn time_out_calls(&mut self, now: Timestamp) {
        let timed_out = self.calls.iter().filter(|(_, call)| now >= call.deadline);
        let timed_out: Vec<ServiceKey> = timed_out.map(|(service, _)| *service).collect();
        for service in timed_out {
            self.calls.remove(&service);
            self.back_off_calls(service, now);
        }
    }

    /// Delays the placement's next call after a failed one.
    pub(super) fn back_off_calls(&mut self, service: ServiceKey, now: Timestamp) {
        if let Some(placement) = self.placements.get_mut(&service) {
            placement.retry_at = now + CALL_BACKOFF;
            placement.needs_read |= placement.pending.is_some();
        }
    }

    /// Applies an object that was read, as initial state or to resolve an unconfirmed write.
    fn apply_placement(&mut self, service: ServiceKey, object: &PlacementObject, version: Version) {
        let Some(placement) = self.placements.get_mut(&service) else {
            return;
        };
        if version < placement.version && enforced!("version_monotonic") {
            return;
        }
        if placement.state == PlacementState::Claimed {
            self.resolve_pending_write(service, object, version);
            return;
        }
        placement.load_object(object, version);
        placement.pending = None;
        let entries: Vec<_> =
            self.records.range(record_range(service)).map(|(k, v)| (*k, *v)).collect();
        for ((_, shard), (target, epoch)) in entries {
            let newer = placement.get(shard).is_some_and(|record| record.epoch < epoch);
            if newer && enforced!("record_merge") {
                placement.set_loaded_owner(shard, Some(target), epoch);
            }
        }
        placement.state = if enforced!("claim_first") {
            PlacementState::Claiming
        } else {
            PlacementState::Claimed
        };
        placement.dirty = enforced!("claim_first");
        self.recount_owned();
    }

    /// Commits the pending write if a read shows that it took effect.
    fn resolve_pending_write(
        &mut self,
        service: ServiceKey,
        object: &PlacementObject,
        version: Version,
    ) {
        let Some(placement) = self.placements.get_mut(&service) else {
            return;
        };
        placement.version = version;
        let done = placement.pending.as_ref().is_some_and(|write| write.object == *object);
        if done {
            self.commit_write(service, false);
        }
    }

    /// Writes planned owners and dirty placements, one write at a time for each placement.
    pub(super) fn write_placements(&mut self, now: Timestamp) {
        let services: Vec<ServiceKey> = self.placements.keys().copied().collect();
        for service in services {
            self.prepare_write(service);
            if !self.calls.contains_key(&service) {
                self.write_placement(service, now);
            }
        }
    }

    fn write_placement(&mut self, service: ServiceKey, now: Timestamp) {
        let Some(placement) = self.placements.get_mut(&service) else {
            return;
        };
        if placement.state == PlacementState::Unread || now < placement.retry_at {
            return;
        }
        if std::mem::take(&mut placement.needs_read) {
            let name = placement.name.clone();
            self.read_placement(service, name, now);
            return;
        }
        let Some(write) = &placement.pending else {
            return;
        };
        let (name, version) = (placement.name.clone(), placement.version);
        let object = write.object.clone();
        let id = self.next_call();
        self.calls.insert(
            service,
            PlacementCall { id, write_id: object.write_id, deadline: now + CALL_TIMEOUT },
        );
        self.actions.push(ZoneAction::WritePlacement(id, service, name, version, object));
    }

    fn read_placement(&mut self, service: ServiceKey, name: Name, now: Timestamp) {
        let id = self.next_call();
        self.calls.insert(service, PlacementCall { id, write_id: 0, deadline: now + CALL_TIMEOUT });
        self.actions.push(ZoneAction::ReadPlacement(id, service, name));
    }

    /// Prepares the next write of a placement, with the shards that have a next owner.
    fn prepare_write(&mut self, service: ServiceKey) {
        let Some(placement) = self.placements.get_mut(&service) else {
            return;
        };
        let uncommitted = placement.pending.as_ref().is_some_and(|write| !write.planned.is_empty());
        if uncommitted || placement.state == PlacementState::Unread {
            return;
        }
        let planned = planned_shards(placement);
        if planned.is_empty() && (!placement.dirty || placement.pending.is_some()) {
            return;
        }
        for shard in &planned {
            placement.advance(*shard, ShardEvent::Planned);
        }
        placement.write_id += 1;
        placement.dirty = false;
        let object = placement.to_object(self.term, &self.names);
        placement.pending = Some(PendingWrite { object, planned });
        if !enforced!("write_before_grant") {
            self.commit_write(service, true);
        }
    }
}

/// Returns the free shards to write; none until the object carries this coordinator's term.
fn planned_shards(placement: &ServicePlacement) -> Vec<ShardIndex> {
    if placement.state != PlacementState::Claimed || placement.count(ShardPhase::Free) == 0 {
        return Vec::new();
    }
    placement.shards_where(|record| record.phase == ShardPhase::Free && record.next.is_some())
}

fn record_range(service: ServiceKey) -> std::ops::RangeInclusive<(ServiceKey, ShardIndex)> {
    (service, ShardIndex(0))..=(service, ShardIndex(u32::MAX))
}
