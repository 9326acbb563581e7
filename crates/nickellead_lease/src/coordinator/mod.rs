//! The VM's side of ownership: follow, or hold the mandate and decide.
//!
//! One schedule, [`ZoneCoordinator::handle`], states the order of work for
//! each event: note the event, then keep the mandate, load placements, look
//! after sessions, plan, write, and send orders.

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

/// Ended lives of VMs that are remembered.
const MAX_ENDED_INCARNATIONS: usize = 256;

/// What is known of the coordinator before this one.
#[derive(Clone, Debug, Default)]
struct Predecessor {
    /// Since when it surely sends no more orders; `None` while it may.
    stopped_at: Option<Timestamp>,
    /// Whether this VM has every record the predecessor may have made.
    records_known: bool,
    /// Who it was, to be asked to step down.
    holder: Option<VmIncarnation>,
    /// When it was last asked.
    requested_at: Timestamp,
}

/// A call of the platform under way for one placement.
#[derive(Clone, Copy, Debug)]
struct PlacementCall {
    id: CallId,
    /// The write it carries; 0 for a read.
    write_id: u64,
    /// When it counts as failed, should no answer ever come.
    deadline: Timestamp,
}

/// One VM's part in the coordination of its zone.
#[derive(Clone, Debug)]
pub struct ZoneCoordinator {
    settings: CoordinatorSettings,
    phase: MandatePhase,
    /// Own term while this VM holds the mandate.
    term: Term,
    /// Highest term seen anywhere.
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
    /// Lives of VMs that were followed by another; a late word of theirs counts no more.
    ended_incarnations: VecDeque<VmIncarnation>,
    listed_vms: Option<BTreeSet<Name>>,
    last_announcement_at: Timestamp,
    /// Whether the coordinator last heard named this VM as its standby; a VM that has
    /// just started looks for itself as soon as a standby would.
    named_standby: bool,
    /// Whether the coordinator was seen to go since it was last heard.
    coordinator_lost: bool,
    stop_requested: bool,
    /// New owners kept for a detached coordinator, by shard.
    records: BTreeMap<(ServiceKey, ShardIndex), (TargetKey, Epoch)>,
    record_round: Option<RecordRound>,
    last_batch: u64,
    next_rebalance: Timestamp,
    log: ZoneLog,
    rng: fastrand::Rng,
    actions: Vec<ZoneAction>,
}

/// The target that an event is an answer of.
fn replying_target(event: &ZoneEvent) -> Option<TargetKey> {
    match event {
        ZoneEvent::TargetReplied(reply) => Some(reply.target),
        ZoneEvent::TargetFailed(target, _) => Some(*target),
        _ => None,
    }
}

impl ZoneCoordinator {
    /// A VM that has just started.
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

    /// Takes in one event and returns what is to be done.
    pub fn handle(&mut self, event: ZoneEvent, now: Timestamp) -> Vec<ZoneAction> {
        // PERF: an answer of one target concerns that target's session alone. A look at
        // all sessions for each answer would cost the square of their number.
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

    /// Phase of this VM's part in the mandate.
    #[must_use]
    pub const fn phase(&self) -> MandatePhase {
        self.phase
    }

    /// The term: this VM's own while it coordinates, else the highest seen.
    #[must_use]
    pub fn term(&self) -> Term {
        if self.coordinates() { self.term } else { self.highest_term }
    }

    /// Whether this VM coordinates its zone now.
    #[must_use]
    pub const fn coordinates(&self) -> bool {
        matches!(self.phase, MandatePhase::Loading | MandatePhase::Leading | MandatePhase::Detached)
    }

    /// The coordinator before this one, as far as it is known.
    #[must_use]
    pub fn predecessor_vm(&self) -> Option<VmIncarnation> {
        self.predecessor.holder.clone()
    }

    /// Whether the zone's coordinator was not heard for longer than it should be.
    ///
    /// Standbys hear it several times in a renewal's length, other VMs once a second.
    #[must_use]
    pub fn has_lost_coordinator(&self, now: Timestamp) -> bool {
        let renewals = if self.named_standby { 1 } else { 5 };
        self.coordinator_lost
            || now.since(self.last_announcement_at)
                >= self.settings.timings.renewal_interval * renewals
    }

    /// Whether routers may be told of this VM's placements.
    #[must_use]
    pub const fn publishes(&self) -> bool {
        matches!(self.phase, MandatePhase::Leading | MandatePhase::Detached)
    }

    /// The published version.
    #[must_use]
    pub const fn published_version(&self) -> (Term, Version) {
        (self.log.term, self.log.version)
    }

    /// What changed for a subscriber that knows `known`.
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

    /// State of every target of the zone, for operators.
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
            ZoneEvent::MandateRead(call, answer) => self.handle_mandate_read(call, answer, now),
            ZoneEvent::MandateWritten(call, answer) => {
                self.handle_mandate_written(call, answer, now)
            }
            ZoneEvent::PlacementRead(call, service, answer) => {
                self.handle_placement_read(call, service, answer, now);
            }
            ZoneEvent::PlacementWritten(call, service, answer) => {
                self.handle_placement_written(call, service, answer, now);
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
            ZoneEvent::RecordResponseReceived(answer) => self.handle_record_response(&answer, now),
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

    /// Notes that a VM was heard; a life that another one followed is over for good.
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

    /// Takes note of a term; a higher one than this VM's ends its coordination.
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
