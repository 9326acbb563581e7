//! Keeping new owners at the standbys while the platform is out of reach.
//!
//! A detached coordinator makes new grants only once *every* standby of the
//! mandate keeps them. A standby that began to take the mandate refuses; one
//! that keeps a record uses it when it takes the mandate later. So whoever
//! comes next knows every grant that was made.

use std::collections::BTreeSet;
use std::time::Duration;

use nickellead_core::{ServiceKey, Timestamp};

use super::{RecordBatch, RecordResponse, ShardRecordEntry, ZoneAction, ZoneCoordinator};
use crate::charts::MandatePhase;
use crate::mandate::VmIncarnation;
use nickellead_core::enforced;

/// Between two tries to reach a standby that did not answer.
const RECORD_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// One batch under way to the standbys.
#[derive(Clone, Debug)]
pub(super) struct RecordRound {
    batch: RecordBatch,
    services: Vec<ServiceKey>,
    missing: BTreeSet<VmIncarnation>,
    next_send: Timestamp,
}

impl ZoneCoordinator {
    /// Asks the standbys to keep the pending new owners, while detached.
    pub(super) fn replicate_records(&mut self, now: Timestamp) {
        if self.phase != MandatePhase::Detached {
            self.record_round = None;
            return;
        }
        if self.record_round.is_none() {
            self.begin_round(now);
        }
        let gone: Vec<VmIncarnation> = match &self.record_round {
            Some(round) => round.missing.iter().filter(|vm| self.is_gone(vm)).cloned().collect(),
            None => return,
        };
        let Some(round) = &mut self.record_round else { return };
        round.missing.retain(|vm| !gone.contains(vm));
        if now >= round.next_send {
            round.next_send = now + RECORD_RETRY_INTERVAL;
            for vm in &round.missing {
                let ask = ZoneAction::SendRecordBatch(vm.clone(), round.batch.clone());
                self.actions.push(ask);
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
        let missing = self.standbys().into_iter().collect();
        self.record_round = Some(RecordRound { batch, services, missing, next_send: now });
    }

    fn finish_round(&mut self) {
        let complete =
            |round: &RecordRound| round.missing.is_empty() || !enforced!("record_before_grant");
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

    pub(super) fn handle_record_response(&mut self, answer: &RecordResponse, now: Timestamp) {
        if self.coordinates() && answer.term > self.term {
            self.observe_term(answer.term);
        }
        let Some(round) = &mut self.record_round else { return };
        if answer.number != round.batch.number || answer.term > round.batch.term || !answer.stored {
            return;
        }
        let vm = VmIncarnation { vm: answer.vm.clone(), incarnation: answer.incarnation };
        round.missing.remove(&vm);
        let _ = now;
    }

    /// Keeps new owners for a detached coordinator, unless this VM began to take over.
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
        let answer = RecordResponse {
            vm: self.settings.vm.vm.clone(),
            incarnation: self.settings.vm.incarnation,
            term: self.highest_term.max(batch.term),
            number: batch.number,
            stored,
        };
        self.actions.push(ZoneAction::SendRecordResponse(answer));
    }
}
