//! Zone coordination in a VM: it follows the coordinator, or holds the mandate (leader lease)
//! and assigns shards.
//!
//! [`ZoneCoordinator::handle`] applies each event and then runs a fixed sequence: mandate,
//! placement loading, session expiry, planning, placement writes, record replication, orders.

mod event;
mod loading;
mod mandate_lease;
mod moves;
mod records;
mod succession;
mod targets;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use nickellead_api::DeclaredConfig;
use nickellead_core::{
    Epoch, Name, ServiceKey, ShardIndex, TargetKey, Term, Timestamp, Version, ZoneKey,
};

pub use event::{
    CallId, CoordinatorSettings, RecordBatch, RecordResponse, ShardRecordEntry, TargetStatus,
    ZoneAction, ZoneEvent, ZoneNotice,
};

use crate::charts::{MandateEvent, MandatePhase, charts};
use crate::mandate::VmIncarnation;
use crate::session::TargetSession;
use crate::shard::ServicePlacement;
use crate::view::{ZoneDelta, ZoneLog};
use mandate_lease::MandateWatch;
use records::RecordRound;

/// Maximum number of ended VM incarnations that are remembered.
const MAX_ENDED_INCARNATIONS: usize = 256;

/// Knowledge about the previous coordinator.
#[derive(Clone, Debug, Default)]
struct Predecessor {
    /// When it was known to have stopped sending orders; `None` while it may still send some.
    stopped_at: Option<Timestamp>,
    /// Whether this VM stores every record that the predecessor may have replicated.
    records_known: bool,
    /// Recipient of step-down requests.
    holder: Option<VmIncarnation>,
    /// Time of the latest step-down request.
    requested_at: Timestamp,
}

/// A pending platform call for one placement.
#[derive(Clone, Copy, Debug)]
struct PlacementCall {
    id: CallId,
    /// Identifier of the write; 0 for a read.
    write_id: u64,
    /// When the call counts as failed if it has no outcome.
    deadline: Timestamp,
}

/// State machine by which a VM takes part in the coordination of its zone.
#[derive(Clone, Debug)]
pub struct ZoneCoordinator {
    settings: CoordinatorSettings,
    phase: MandatePhase,
    /// Term of this VM's latest mandate.
    term: Term,
    /// Highest term seen in any message or object.
    highest_term: Term,
    watch: MandateWatch,
    predecessor: Predecessor,
    config: Option<Arc<DeclaredConfig>>,
    sessions: BTreeMap<TargetKey, TargetSession>,
    names: BTreeMap<TargetKey, Name>,
    placements: BTreeMap<ServiceKey, ServicePlacement>,
    calls: BTreeMap<ServiceKey, PlacementCall>,
    last_call: CallId,
    peers: BTreeMap<Name, (VmIncarnation, Timestamp)>,
    /// Incarnations that a later one has replaced; their delayed messages are ignored.
    ended_incarnations: VecDeque<VmIncarnation>,
    listed_vms: Option<BTreeSet<Name>>,
    last_announcement_at: Timestamp,
    /// Whether the latest announcement named this VM as a standby. Initially true, so that a
    /// VM without an announcement reads the mandate as soon as a standby would.
    named_standby: bool,
    /// Whether the coordinator has stopped or its stream broke since the latest announcement.
    coordinator_lost: bool,
    stop_requested: bool,
    /// Records of new owners stored for a detached coordinator.
    records: BTreeMap<(ServiceKey, ShardIndex), (TargetKey, Epoch)>,
    record_round: Option<RecordRound>,
    last_batch: u64,
    next_rebalance: Timestamp,
    log: ZoneLog,
    rng: fastrand::Rng,
    actions: Vec<ZoneAction>,
}

/// Returns the target if the event is the outcome of an order.
fn replying_target(event: &ZoneEvent) -> Option<TargetKey> {
    match event {
        ZoneEvent::TargetReplied(reply) => Some(reply.target),
        ZoneEvent::TargetFailed(target, _) => Some(*target),
        _ => None,
    }
}

impl ZoneCoordinator {
    /// Creates the coordinator of a newly started VM, as a follower.
    #[must_use]
    pub fn new(settings: CoordinatorSettings, now: Timestamp) -> Self {
        let rng = fastrand::Rng::with_seed(settings.seed);
        Self {
            phase: charts().mandate.initial(),
            term: Term::ZERO,
            highest_term: Term::ZERO,
            watch: MandateWatch::new(now),
            predecessor: Predecessor::default(),
            config: None,
            sessions: BTreeMap::new(),
            names: BTreeMap::new(),
            placements: BTreeMap::new(),
            calls: BTreeMap::new(),
            last_call: CallId(0),
            peers: BTreeMap::new(),
            ended_incarnations: VecDeque::new(),
            listed_vms: None,
            last_announcement_at: now,
            named_standby: true,
            coordinator_lost: false,
            stop_requested: false,
            records: BTreeMap::new(),
            record_round: None,
            last_batch: 0,
            next_rebalance: now,
            log: ZoneLog::default(),
            rng,
            actions: Vec::new(),
            settings,
        }
    }

    /// Applies an event and returns the resulting actions, in order.
    pub fn handle(&mut self, event: ZoneEvent, now: Timestamp) -> Vec<ZoneAction> {
        // PERF: a reply affects only its target's session. Checking all sessions for each reply
        // would be quadratic in the number of targets.
        let only = replying_target(&event);
        self.apply_event(event, now);
        self.drive_mandate(now);
        if self.coordinates() {
            self.time_out_calls(now);
            self.load_placements(now);
            if only.is_none() {
                self.expire_sessions(now);
            }
            self.plan(now);
            self.write_placements(now);
            self.replicate_records(now);
            match only {
                Some(target) => self.send_order(target, now),
                None => self.send_orders(now),
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the VM's role with respect to the mandate.
    #[must_use]
    pub const fn phase(&self) -> MandatePhase {
        self.phase
    }

    /// Returns this VM's own term while it coordinates, else the highest term seen.
    #[must_use]
    pub fn term(&self) -> Term {
        if self.coordinates() { self.term } else { self.highest_term }
    }

    /// Returns whether this VM coordinates its zone.
    #[must_use]
    pub const fn coordinates(&self) -> bool {
        matches!(self.phase, MandatePhase::Loading | MandatePhase::Leading | MandatePhase::Detached)
    }

    /// Returns the previous coordinator, if known.
    #[must_use]
    pub fn predecessor_vm(&self) -> Option<VmIncarnation> {
        self.predecessor.holder.clone()
    }

    /// Returns whether announcements of the zone's coordinator are overdue.
    ///
    /// Standbys receive several announcements per renewal interval, other VMs one per second.
    #[must_use]
    pub fn has_lost_coordinator(&self, now: Timestamp) -> bool {
        let max_renewals = if self.named_standby { 1 } else { 5 };
        self.coordinator_lost
            || now.since(self.last_announcement_at)
                >= self.settings.timings.renewal_interval * max_renewals
    }

    /// Returns whether this VM publishes shard owners to routers.
    #[must_use]
    pub const fn publishes(&self) -> bool {
        matches!(self.phase, MandatePhase::Leading | MandatePhase::Detached)
    }

    /// Returns the term and version of the published shard owners.
    #[must_use]
    pub const fn published_version(&self) -> (Term, Version) {
        (self.log.term, self.log.version)
    }

    /// Returns the changes since `known`, or the whole table if the log does not cover them.
    #[must_use]
    pub fn delta(&self, known: Option<(Term, Version)>) -> ZoneDelta {
        let changes = self.log.changes_since(known);
        let base = changes.as_ref().and(known).map(|(_, version)| version);
        ZoneDelta {
            zone: ZoneKey::from(&self.settings.zone),
            term: self.log.term,
            base,
            version: self.log.version,
            changes: changes.unwrap_or_else(|| self.all_routes()),
        }
    }

    /// Returns the status of every target of the zone, for operators.
    #[must_use]
    pub fn target_statuses(&self) -> Vec<TargetStatus> {
        let status = |session: &TargetSession| TargetStatus {
            name: session.name.clone(),
            phase: session.phase,
            shards: session.owned,
            leaving: session.leaving,
        };
        self.sessions.values().map(status).collect()
    }

    fn all_routes(&self) -> Vec<crate::RouteChange> {
        let routes = |placement: &ServicePlacement| {
            placement.iter().map(|(shard, _)| placement.route_change(shard)).collect::<Vec<_>>()
        };
        self.placements.values().flat_map(routes).collect()
    }

    fn apply_event(&mut self, event: ZoneEvent, now: Timestamp) {
        match event {
            ZoneEvent::Tick => {}
            ZoneEvent::ConfigChanged(config) => self.apply_config(config),
            ZoneEvent::MandateRead(call, outcome) => self.handle_mandate_read(call, outcome, now),
            ZoneEvent::MandateWritten(call, outcome) => {
                self.handle_mandate_written(call, outcome, now)
            }
            ZoneEvent::PlacementRead(call, service, outcome) => {
                self.handle_placement_read(call, service, outcome, now);
            }
            ZoneEvent::PlacementWritten(call, service, outcome) => {
                self.handle_placement_written(call, service, outcome, now);
            }
            ZoneEvent::VmsListed(names) => self.listed_vms = Some(names.into_iter().collect()),
            ZoneEvent::TargetReplied(reply) => self.handle_reply(&reply, now),
            ZoneEvent::TargetFailed(target, sequence) => {
                if let Some(session) = self.sessions.get_mut(&target) {
                    session.record_failure(sequence, now, &self.settings.timings);
                }
            }
            ZoneEvent::PeerSeen(vm) => self.record_peer(vm, now),
            ZoneEvent::CoordinatorAnnounced(term, standby) => {
                self.named_standby = standby;
                self.handle_announcement(term, now);
            }
            ZoneEvent::CoordinatorLost => {
                self.coordinator_lost = true;
                self.watch.schedule_read_by(now);
            }
            ZoneEvent::RecordBatchReceived(batch) => self.store_records(&batch, now),
            ZoneEvent::RecordResponseReceived(response) => self.handle_record_response(&response),
            ZoneEvent::StepDownRequested(term) => self.handle_step_down_request(term),
            ZoneEvent::StepDownConfirmed(term) => {
                self.observe_term(term);
                if self.coordinates() && term == self.term {
                    self.predecessor.stopped_at.get_or_insert(now);
                }
            }
            ZoneEvent::StopRequested => self.stop_requested = true,
        }
    }

    fn apply_config(&mut self, config: Arc<DeclaredConfig>) {
        let newer = self.config.as_ref().is_none_or(|known| known.revision <= config.revision);
        if newer || !nickellead_core::enforced!("config_monotonic") {
            self.config = Some(config);
            if self.coordinates() {
                self.reconcile_config();
            }
        }
    }

    /// Records a message of a VM. A new incarnation ends the earlier one for good.
    fn record_peer(&mut self, vm: VmIncarnation, now: Timestamp) {
        if self.ended_incarnations.contains(&vm) {
            return;
        }
        let former = self.peers.insert(vm.vm.clone(), (vm.clone(), now));
        if let Some((former, _)) = former.filter(|(former, _)| *former != vm) {
            if self.ended_incarnations.len() == MAX_ENDED_INCARNATIONS {
                self.ended_incarnations.pop_front();
            }
            self.ended_incarnations.push_back(former);
        }
    }

    fn handle_announcement(&mut self, term: Term, now: Timestamp) {
        if term < self.highest_term {
            return;
        }
        self.last_announcement_at = now;
        self.coordinator_lost = false;
        self.observe_term(term);
    }

    fn handle_step_down_request(&mut self, term: Term) {
        self.observe_term(term);
        self.actions.push(ZoneAction::ConfirmStepDown(self.highest_term));
    }

    /// Records a term that was seen, and steps down if it is higher than this VM's own.
    fn observe_term(&mut self, term: Term) {
        if term <= self.highest_term {
            return;
        }
        self.highest_term = term;
        if self.phase != MandatePhase::Follower && term > self.term {
            self.step_down(term);
        }
    }

    fn step_down(&mut self, term: Term) {
        if !charts().mandate.advance(&mut self.phase, MandateEvent::Superseded) {
            return;
        }
        self.notify(ZoneNotice::Superseded(term));
        self.sessions.clear();
        self.placements.clear();
        self.calls.clear();
        self.record_round = None;
        self.watch.discard_calls();
    }

    fn next_call(&mut self) -> CallId {
        self.last_call = CallId(self.last_call.0 + 1);
        self.last_call
    }

    fn notify(&mut self, notice: ZoneNotice) {
        self.actions.push(ZoneAction::Notify(notice));
    }
}
