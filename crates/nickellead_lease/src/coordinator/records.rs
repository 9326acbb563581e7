//! Replicates new owners to the standbys while the platform is unavailable.
//!
//! A detached coordinator sends a new grant only after *every* standby of the mandate has
//! stored it. A standby that has begun to acquire the mandate refuses to store records. Each
//! successor therefore knows every grant of its predecessor.

use std::collections::BTreeSet;
use std::time::Duration;

use nickellead_core::{ServiceKey, Timestamp};

use super::{RecordBatch, RecordResponse, ShardRecordEntry, ZoneAction, ZoneCoordinator};
use crate::charts::MandatePhase;
use crate::mandate::VmIncarnation;
use nickellead_core::enforced;

/// Interval between attempts to send a batch to a standby that has not responded.
const RECORD_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// One batch that is being replicated to the standbys.
#[derive(Clone, Debug)]
pub(super) struct RecordRound {
    batch: RecordBatch,
    services: Vec<ServiceKey>,
    unacknowledged: BTreeSet<VmIncarnation>,
    next_send: Timestamp,
}

impl ZoneCoordinator {
    /// Sends the pending new owners to the standbys while detached.
    pub(super) fn replicate_records(&mut self, now: Timestamp) {
        if self.phase != MandatePhase::Detached {
            self.record_round = None;
            return;
        }
        if self.record_round.is_none() {
            self.begin_round(now);
        }
        let ended: Vec<VmIncarnation> = match &self.record_round {
            Some(round) => {
                round.unacknowledged.iter().filter(|vm| self.has_ended(vm)).cloned().collect()
            }
            None => return,
        };
        let Some(round) = &mut self.record_round else { return };
        round.unacknowledged.retain(|vm| !ended.contains(vm));
        if now >= round.next_send {
            round.next_send = now + RECORD_RETRY_INTERVAL;
            for vm in &round.unacknowledged {
                let send = ZoneAction::SendRecordBatch(vm.clone(), round.batch.clone());
                self.actions.push(send);
            }
        }
        self.finish_round();
    }

    fn begin_round(&mut self, now: Timestamp) {
        let mut entries = Vec::new();
        let mut services = Vec::new();
        for placement in self.placements.values() {
            let Some(write) = &placement.pending else {
                continue;
            };
            if !write.planned.is_empty() {
                services.push(placement.service);
            }
            for shard in &write.planned {
                let Some(record) = placement.get(*shard) else {
                    continue;
                };
                let Some(target) = record.next else { continue };
                let (service, shard, epoch) = (placement.service, *shard, record.epoch.next());
                entries.push(ShardRecordEntry { service, shard, target, epoch });
            }
        }
        if entries.is_empty() {
            return;
        }
        self.last_batch += 1;
        let batch = RecordBatch { term: self.term, number: self.last_batch, entries };
        let unacknowledged = self.record_standbys().into_iter().collect();
        self.record_round = Some(RecordRound { batch, services, unacknowledged, next_send: now });
    }

    fn finish_round(&mut self) {
        let complete = |round: &RecordRound| {
            round.unacknowledged.is_empty() || !enforced!("record_before_grant")
        };
        if !self.record_round.as_ref().is_some_and(complete) {
            return;
        }
        let Some(round) = self.record_round.take() else {
            return;
        };
        for service in round.services {
            self.commit_write(service, true);
        }
    }

    pub(super) fn handle_record_response(&mut self, response: &RecordResponse) {
        if self.coordinates() && response.term > self.term {
            self.observe_term(response.term);
        }
        let Some(round) = &mut self.record_round else { return };
        if response.number != round.batch.number
            || response.term > round.batch.term
            || !response.stored
        {
            return;
        }
        let vm = VmIncarnation { vm: response.vm.clone(), incarnation: response.incarnation };
        round.unacknowledged.remove(&vm);
    }

    /// Stores a detached coordinator's records, unless this VM has begun to take over.
    pub(super) fn store_records(&mut self, batch: &RecordBatch, now: Timestamp) {
        let follows = self.phase == MandatePhase::Follower && batch.term >= self.highest_term;
        let stored = follows || !enforced!("record_promise");
        if stored {
            self.handle_announcement(batch.term, now);
            for entry in &batch.entries {
                let key = (entry.service, entry.shard);
                let value = (entry.target, entry.epoch);
                let known = self.records.entry(key).or_insert(value);
                if known.1 < entry.epoch {
                    *known = value;
                }
            }
        }
        let response = RecordResponse {
            vm: self.settings.vm.vm.clone(),
            incarnation: self.settings.vm.incarnation,
            term: self.highest_term.max(batch.term),
            number: batch.number,
            stored,
        };
        self.actions.push(ZoneAction::SendRecordResponse(response));
    }
}
