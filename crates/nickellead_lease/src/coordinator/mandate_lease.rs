//! Acquires, renews, loses and releases the mandate (leader lease).

use std::time::Duration;

use nickellead_core::{Timestamp, Version};

use super::{CallId, Predecessor, ZoneAction, ZoneCoordinator, ZoneNotice};
use crate::charts::{MandateEvent, MandatePhase, charts};
use crate::mandate::{MandateObject, VmIncarnation};
use crate::object::{ReadOutcome, WriteOutcome};
use crate::shard::{PlacementState, ServicePlacement};
use nickellead_core::enforced;

/// Time after which a call without an outcome counts as failed; the client's own timeout is
/// shorter.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between mandate reads of a VM that may have to acquire the mandate soon.
const STANDBY_READ_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between mandate reads of a VM that is no standby. There may be many such VMs, and
/// each acquires the mandate only after the platform has removed others from its list.
const IDLE_READ_INTERVAL: Duration = Duration::from_millis(2_000);

/// Cached state of the mandate object, with the pending read or write of it.
#[derive(Clone, Debug)]
pub(super) struct MandateWatch {
    version: Version,
    pub(super) object: Option<MandateObject>,
    /// When this VM first saw the cached version.
    pub(super) version_since: Timestamp,
    call: Option<CallId>,
    /// When the pending call counts as failed if it has no outcome.
    call_deadline: Timestamp,
    /// Object of a write that is not confirmed yet.
    unconfirmed: Option<MandateObject>,
    /// Version that the unconfirmed write replaces.
    base_version: Version,
    /// Whether a read showed that the unconfirmed write has not taken effect.
    must_resend: bool,
    next_due: Timestamp,
    /// When the latest successful write was sent.
    last_renewed_at: Timestamp,
    sent_at: Timestamp,
}

impl MandateWatch {
    pub(super) const fn new(now: Timestamp) -> Self {
        Self {
            version: Version::ZERO,
            object: None,
            version_since: now,
            call: None,
            call_deadline: now,
            unconfirmed: None,
            base_version: Version::ZERO,
            must_resend: false,
            next_due: now,
            last_renewed_at: now,
            sent_at: now,
        }
    }

    /// Discards the pending call and write, so that late outcomes have no effect.
    pub(super) fn discard_calls(&mut self) {
        self.call = None;
        self.unconfirmed = None;
    }

    /// Makes the next read due no later than `due`.
    pub(super) fn schedule_read_by(&mut self, due: Timestamp) {
        self.next_due = self.next_due.min(due);
    }

    fn begin_call(&mut self, call: CallId, now: Timestamp) {
        self.call = Some(call);
        self.call_deadline = now + CALL_TIMEOUT;
    }

    fn observe(&mut self, version: Version, object: Option<MandateObject>, now: Timestamp) {
        if version != self.version || self.object.is_none() {
            self.version_since = now;
        }
        self.version = version;
        self.object = object;
    }
}

/// Returns whether a read returned an older version than the cached one.
fn is_older(version: Version, known: Version) -> bool {
    enforced!("version_monotonic") && version < known
}

impl ZoneCoordinator {
    /// Returns the standbys that must store records: those of the cached mandate and of an
    /// unconfirmed write.
    pub(super) fn record_standbys(&self) -> Vec<VmIncarnation> {
        let candidates = self.watch.object.iter().chain(&self.watch.unconfirmed);
        let mut standbys: Vec<_> = candidates.flat_map(|object| object.standbys.clone()).collect();
        standbys.sort();
        standbys.dedup();
        standbys
    }

    /// Returns the zone's mandate as this VM last read or wrote it.
    #[must_use]
    pub const fn mandate(&self) -> Option<&MandateObject> {
        self.watch.object.as_ref()
    }

    pub(super) fn drive_mandate(&mut self, now: Timestamp) {
        self.watch.call.take_if(|_| now >= self.watch.call_deadline);
        match self.phase {
            MandatePhase::Follower if self.stop_requested => {
                self.advance_mandate(MandateEvent::StopRequested);
            }
            MandatePhase::Follower => self.poll_mandate(now),
            MandatePhase::Acquiring => self.resolve_write(now),
            MandatePhase::Loading | MandatePhase::Leading | MandatePhase::Detached => {
                self.renew_mandate(now);
            }
            MandatePhase::Stopping => self.release_mandate(now),
            MandatePhase::Stopped => {}
        }
    }

    pub(super) fn handle_mandate_read(
        &mut self,
        call: CallId,
        outcome: ReadOutcome<MandateObject>,
        now: Timestamp,
    ) {
        if self.watch.call.take_if(|known| *known == call).is_none() {
            return;
        }
        match outcome {
            ReadOutcome::Failed => {}
            // A stale read: the mandate is never deleted.
            ReadOutcome::Absent if self.watch.version > Version::ZERO => {}
            ReadOutcome::Absent => self.after_mandate_read(now),
            ReadOutcome::Found(_, version) if is_older(version, self.watch.version) => {}
            ReadOutcome::Found(object, version) => {
                let term = object.term;
                let mine = object.holder == self.settings.vm;
                self.watch.observe(version, Some(object), now);
                if !mine {
                    self.observe_term(term);
                }
                self.after_mandate_read(now);
            }
        }
    }

    pub(super) fn handle_mandate_written(
        &mut self,
        call: CallId,
        outcome: WriteOutcome,
        now: Timestamp,
    ) {
        if self.watch.call.take_if(|known| *known == call).is_none() {
            return;
        }
        match outcome {
            WriteOutcome::Done(version) => self.confirm_mandate_write(version, now),
            // The following read shows whether the write took effect.
            WriteOutcome::Conflict | WriteOutcome::Failed => self.watch.next_due = now,
        }
    }

    /// Reads the mandate if the coordinator is lost, to acquire it when allowed.
    fn poll_mandate(&mut self, now: Timestamp) {
        if !self.has_lost_coordinator(now) || self.watch.call.is_some() || now < self.watch.next_due
        {
            return;
        }
        let period =
            if self.may_acquire_soon() { STANDBY_READ_INTERVAL } else { IDLE_READ_INTERVAL };
        let jitter = Duration::from_millis(self.rng.u64(0..period.as_millis() as u64));
        self.watch.next_due = now + period + jitter / 2;
        self.read_mandate(now);
    }

    fn read_mandate(&mut self, now: Timestamp) {
        let call = self.next_call();
        self.watch.begin_call(call, now);
        self.actions.push(ZoneAction::ReadMandate(call));
    }

    fn after_mandate_read(&mut self, now: Timestamp) {
        if self.phase == MandatePhase::Follower {
            if self.may_acquire_soon() {
                self.watch.schedule_read_by(now + STANDBY_READ_INTERVAL);
            }
            if let Some(predecessor) = self.predecessor_to_succeed(now) {
                self.acquire_mandate(predecessor, now);
            }
            return;
        }
        if let Some(unconfirmed) = self.watch.unconfirmed.clone() {
            self.resolve_unconfirmed_write(&unconfirmed, now);
        }
    }

    /// Resolves an unconfirmed write by the mandate that was read.
    fn resolve_unconfirmed_write(&mut self, unconfirmed: &MandateObject, now: Timestamp) {
        let current = self.watch.object.as_ref();
        if current == Some(unconfirmed) {
            self.confirm_mandate_write(self.watch.version, now);
            return;
        }
        let mine = current.is_some_and(|object| object.holder == self.settings.vm);
        if mine || self.watch.version == self.watch.base_version {
            self.watch.must_resend = true;
            self.watch.next_due = now;
            return;
        }
        // Another VM has written since, so this conditional write can no longer take effect.
        let term = current.map_or(self.highest_term, |object| object.term);
        self.highest_term = self.highest_term.max(term);
        self.step_down(term);
    }

    fn acquire_mandate(&mut self, predecessor: Predecessor, now: Timestamp) {
        let old = self.watch.object.as_ref();
        let old_term = old.map(|object| object.term).unwrap_or_default();
        let knows_records = old.is_some() && predecessor.records_known;
        let standbys = match old {
            Some(object) if knows_records && !object.stopped => {
                let others = object.standbys.iter().filter(|vm| **vm != self.settings.vm);
                others.cloned().collect()
            }
            _ => Vec::new(),
        };
        self.predecessor = predecessor;
        self.term = old_term.max(self.highest_term).next();
        let object = MandateObject {
            term: self.term,
            holder: self.settings.vm.clone(),
            standbys,
            renewal: 0,
            stopped: false,
        };
        self.advance_mandate(MandateEvent::AcquisitionAllowed);
        self.write_mandate(object, now);
    }

    fn write_mandate(&mut self, object: MandateObject, now: Timestamp) {
        let call = self.next_call();
        self.watch.begin_call(call, now);
        self.watch.unconfirmed = Some(object.clone());
        self.watch.base_version = self.watch.version;
        self.watch.must_resend = false;
        self.watch.sent_at = now;
        self.watch.next_due = now + self.settings.timings.renewal_interval;
        self.actions.push(ZoneAction::WriteMandate(call, self.watch.version, object));
    }

    /// Reads the mandate to resolve an unconfirmed write, and resends the write if needed.
    fn resolve_write(&mut self, now: Timestamp) {
        if self.watch.call.is_some() || now < self.watch.next_due {
            return;
        }
        if let (true, Some(object)) = (self.watch.must_resend, self.watch.unconfirmed.clone()) {
            self.write_mandate(object, now);
            return;
        }
        self.watch.next_due = now + STANDBY_READ_INTERVAL;
        self.read_mandate(now);
    }

    fn confirm_mandate_write(&mut self, version: Version, now: Timestamp) {
        let Some(object) = self.watch.unconfirmed.take() else {
            return;
        };
        let stopped = object.stopped;
        self.watch.observe(version, Some(object), now);
        self.watch.last_renewed_at = self.watch.sent_at;
        match self.phase {
            MandatePhase::Acquiring => {
                self.highest_term = self.highest_term.max(self.term);
                self.advance_mandate(MandateEvent::Acquired);
                self.notify(ZoneNotice::MandateAcquired(self.term));
                self.begin_loading();
            }
            MandatePhase::Detached => {
                self.advance_mandate(MandateEvent::PlatformRecovered);
                self.notify(ZoneNotice::Attached(self.term));
            }
            MandatePhase::Stopping if stopped => {
                self.advance_mandate(MandateEvent::HandedOver);
                self.notify(ZoneNotice::HandedOver(self.term));
            }
            _ => {}
        }
    }

    fn renew_mandate(&mut self, now: Timestamp) {
        let unrenewed = now.since(self.watch.last_renewed_at);
        let timed_out = unrenewed >= self.settings.timings.detach_timeout;
        if timed_out && self.advance_mandate(MandateEvent::PlatformTimedOut) {
            self.notify(ZoneNotice::Detached(self.term));
        }
        if self.stop_requested && self.phase != MandatePhase::Detached && self.is_persisted() {
            self.advance_mandate(MandateEvent::StopRequested);
            return;
        }
        if now < self.watch.next_due {
            return;
        }
        let Some(mut object) = self.next_mandate(now) else {
            return;
        };
        if self.is_persisted() {
            object.standbys = self.choose_standbys(now);
        }
        self.write_mandate(object, now);
    }

    /// Writes the mandate as released. This VM sends no orders from here on.
    fn release_mandate(&mut self, now: Timestamp) {
        let Some(mut object) = self.next_mandate(now) else {
            return;
        };
        object.stopped = true;
        self.write_mandate(object, now);
    }

    /// Returns the mandate to write next; `None` while a call is pending or a write unconfirmed.
    fn next_mandate(&mut self, now: Timestamp) -> Option<MandateObject> {
        if self.watch.call.is_some() {
            return None;
        }
        if self.watch.unconfirmed.is_some() {
            self.resolve_write(now);
            return None;
        }
        let mut object = self.watch.object.clone()?;
        object.renewal += 1;
        Some(object)
    }

    /// Returns whether the stored placements contain all decisions of this coordinator.
    fn is_persisted(&self) -> bool {
        let persisted = |placement: &ServicePlacement| {
            placement.state == PlacementState::Claimed
                && !placement.dirty
                && placement.pending.is_none()
        };
        self.publishes() && self.placements.values().all(persisted)
    }

    pub(super) fn advance_mandate(&mut self, event: MandateEvent) -> bool {
        charts().mandate.advance(&mut self.phase, event)
    }
}
