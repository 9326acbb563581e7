//! This VM's state of the other VMs and zones; notifies followers and workers of changes.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nickellead_api::DeclaredConfig;
use nickellead_core::{Name, Term, ZoneKey};
use nickellead_lease::{RouteChange, VmIncarnation, ZoneDelta, ZoneEvent};
use nickellead_peer::{
    ConfigHistory, ConfigUpdate, ConfigUpdateError, FollowReply, FollowRequest, KnownZone, PeerVm,
};
use nickellead_platform::ListedVm;
use nickellead_proxy::WorkerUpdate;
use nickellead_route::{DeltaOutcome, ZoneSummary, ZoneTable};
use tokio::sync::watch;

use super::PeerChannels;
use crate::channel::{ChannelSender, try_send};
use crate::coordination::CoordinationMessage;
use crate::orders::OrderMessage;
use crate::requests::WorkerMessage;
use nickellead_event::{EventName, log_event};

/// How long after its start a VM waits for the owners in other zones before it becomes ready.
const OTHER_ZONES_TIMEOUT: Duration = Duration::from_secs(3);

/// Zone and peer address of another VM.
#[derive(Clone, Debug)]
struct KnownVm {
    zone: Name,
    address: SocketAddr,
}

/// State of the peers thread.
pub(super) struct PeerState {
    pub(super) own: PeerVm,
    channels: PeerChannels,
    vms: RefCell<BTreeMap<Name, KnownVm>>,
    zones: RefCell<BTreeMap<ZoneKey, ZoneTable>>,
    coordinators: RefCell<BTreeMap<Name, (Term, PeerVm)>>,
    config: RefCell<ConfigHistory>,
    is_leading: Cell<bool>,
    standbys: RefCell<Vec<VmIncarnation>>,
    change_counter: watch::Sender<u64>,
    started: Instant,
    /// Per worker, whether its channel was full: the next update sends it the full state.
    lagging: RefCell<Vec<bool>>,
}

impl PeerState {
    pub(super) fn new(own: PeerVm, known: Vec<PeerVm>, channels: PeerChannels) -> Self {
        let vms = known.into_iter().map(|vm| {
            let known_vm = KnownVm { zone: vm.zone, address: vm.address };
            (vm.vm, known_vm)
        });
        let lagging = vec![false; channels.workers.len()];
        Self {
            own,
            channels,
            vms: RefCell::new(vms.collect()),
            zones: RefCell::default(),
            coordinators: RefCell::default(),
            config: RefCell::default(),
            is_leading: Cell::new(false),
            standbys: RefCell::default(),
            change_counter: watch::channel(0).0,
            started: Instant::now(),
            lagging: RefCell::new(lagging),
        }
    }

    pub(super) fn coordination(&self) -> &ChannelSender<CoordinationMessage> {
        &self.channels.coordination
    }

    pub(super) fn is_leading(&self) -> bool {
        self.is_leading.get()
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<u64> {
        self.change_counter.subscribe()
    }

    pub(super) fn set_leading(&self, term: Term, is_leading: bool) {
        self.is_leading.set(is_leading);
        if is_leading {
            self.record_coordinator(term, self.own.clone());
        } else if self.coordinator_of(&self.own.zone).as_ref() == Some(&self.own) {
            self.remove_coordinator(&self.own.zone);
        }
        self.notify();
    }

    pub(super) fn set_standbys(&self, standbys: Vec<VmIncarnation>) {
        *self.standbys.borrow_mut() = standbys;
    }

    fn is_standby(&self, vm: &PeerVm) -> bool {
        let standby = VmIncarnation { vm: vm.vm.clone(), incarnation: vm.incarnation };
        self.is_leading.get() && self.standbys.borrow().contains(&standby)
    }

    pub(super) fn address_of(&self, vm: &Name) -> Option<SocketAddr> {
        self.vms.borrow().get(vm).map(|known| known.address)
    }

    /// Addresses of the other VMs of a zone.
    pub(super) fn vms_of(&self, zone: &Name) -> Vec<SocketAddr> {
        let vms = self.vms.borrow();
        let others = vms.iter().filter(|(vm, known)| **vm != self.own.vm && known.zone == *zone);
        others.map(|(_, known)| known.address).collect()
    }

    /// The zones other than this VM's own.
    pub(super) fn other_zones(&self) -> Vec<Name> {
        let vms = self.vms.borrow();
        let mut zones: Vec<Name> = vms.values().map(|known| known.zone.clone()).collect();
        zones.sort();
        zones.dedup();
        zones.retain(|zone| *zone != self.own.zone);
        zones
    }

    pub(super) fn coordinator_of(&self, zone: &Name) -> Option<PeerVm> {
        self.coordinators.borrow().get(zone).map(|(_, vm)| vm.clone())
    }

    /// Removes the coordinator of a zone, for instance when it does not respond.
    pub(super) fn remove_coordinator(&self, zone: &Name) {
        self.coordinators.borrow_mut().remove(zone);
    }

    fn record_coordinator(&self, term: Term, vm: PeerVm) {
        let mut coordinators = self.coordinators.borrow_mut();
        let is_newer = coordinators.get(&vm.zone).is_none_or(|(known, _)| *known <= term);
        if is_newer {
            coordinators.insert(vm.zone.clone(), (term, vm));
        }
    }

    pub(super) fn apply_vm_list(&self, listed: Vec<ListedVm>) {
        let mut vms = self.vms.borrow_mut();
        for vm in listed {
            vms.insert(vm.vm, KnownVm { zone: vm.zone, address: vm.address });
        }
    }

    /// Applies declarations from the platform if they are newer than the known ones.
    pub(super) fn apply_config(&self, config: Arc<DeclaredConfig>) {
        let is_newer = self.config.borrow_mut().apply_whole(Arc::clone(&config));
        if is_newer {
            self.distribute_config(config);
        }
    }

    /// Applies an update of declarations from another VM. If it does not apply, the next request is
    /// for a full copy.
    fn apply_config_update(&self, update: ConfigUpdate) {
        let applied = self.config.borrow_mut().apply_update(update);
        match applied {
            Ok(true) => self.publish_config(),
            Ok(false) => {}
            Err(error) => log_unusable_update(&error),
        }
    }

    /// Sends the newest declarations to all threads of this VM.
    fn publish_config(&self) {
        let newest = self.config.borrow().newest().cloned();
        let Some(config) = newest else { return };
        let event = ZoneEvent::ConfigChanged(Arc::clone(&config));
        try_send(&self.channels.coordination, CoordinationMessage::Event(event));
        self.distribute_config(config);
    }

    /// Sends declarations to all threads of this VM except the coordination.
    fn distribute_config(&self, config: Arc<DeclaredConfig>) {
        log_event(EventName::ConfigInForce, &[("revision", &config.revision)]);
        try_send(&self.channels.orders, OrderMessage::Config(Arc::clone(&config)));
        self.send_to_workers(&WorkerUpdate::Config(config));
        self.notify();
    }

    /// Applies a delta of owners to the table of its zone and sends it to the workers.
    pub(super) fn apply_delta(&self, delta: &ZoneDelta) -> DeltaOutcome {
        let outcome = {
            let mut zones = self.zones.borrow_mut();
            let table = zones.entry(delta.zone).or_insert_with(|| ZoneTable::new(delta.zone));
            table.apply(delta)
        };
        if outcome == DeltaOutcome::Applied {
            let changes: Arc<[RouteChange]> = delta.changes.clone().into();
            self.send_to_workers(&WorkerUpdate::Routes(changes));
            self.notify();
        }
        outcome
    }

    /// Shard counts of services and targets in every known zone.
    pub(super) fn summaries(&self) -> BTreeMap<ZoneKey, ZoneSummary> {
        let zones = self.zones.borrow();
        zones.iter().map(|(zone, table)| (*zone, table.summary())).collect()
    }

    /// Builds a follow request with the versions that this VM knows.
    pub(super) fn follow_request(&self, wait_ms: u32) -> FollowRequest {
        let zones = self.zones.borrow();
        let known = zones.iter().filter_map(|(zone, table)| {
            let (term, version) = table.known()?;
            Some(KnownZone { zone: *zone, term, version })
        });
        FollowRequest {
            from: self.own.clone(),
            zones: known.collect(),
            config: self.config.borrow().state(),
            wait_ms,
        }
    }

    /// Builds a response with all state newer than the follower's.
    pub(super) fn follow_reply(&self, request: &FollowRequest) -> FollowReply {
        let zones = self.zones.borrow();
        let known = |zone: ZoneKey| {
            let mut zones = request.zones.iter();
            zones.find(|known| known.zone == zone).map(|known| (known.term, known.version))
        };
        let deltas = zones.iter().filter_map(|(zone, table)| table.delta_since(known(*zone)));
        let coordinator = self.coordinators.borrow().get(&self.own.zone).cloned();
        FollowReply {
            from: self.own.clone(),
            term: coordinator.as_ref().map(|(term, _)| *term).unwrap_or_default(),
            coordinator: coordinator.map(|(_, vm)| vm),
            standby: self.is_standby(&request.from),
            config: self.config.borrow().since(request.config),
            zones: deltas.collect(),
        }
    }

    /// Applies a response; returns whether the coordinator of the sender's zone sent it.
    pub(super) fn apply_reply(&self, reply: FollowReply) -> bool {
        let from_coordinator = reply.coordinator.as_ref() == Some(&reply.from);
        if let Some(coordinator) = reply.coordinator {
            self.record_coordinator(reply.term, coordinator);
        }
        if let Some(update) = reply.config {
            self.apply_config_update(update);
        }
        for delta in &reply.zones {
            self.apply_delta(delta);
        }
        from_coordinator
    }

    /// Marks the workers initialized once the owners in this zone and in all other zones are known. After
    /// [`OTHER_ZONES_TIMEOUT`] this zone is enough, so that an isolated zone becomes ready.
    pub(super) fn check_readiness(&self) {
        let config = self.config.borrow();
        let Some(config) = config.newest() else { return };
        let zones = self.zones.borrow();
        let is_known =
            |zone: &Name| zones.get(&ZoneKey::from(zone)).is_some_and(|t| t.known().is_some());
        if !is_known(&self.own.zone) {
            return;
        }
        let mut required_zones = config.services.iter().flat_map(|service| &service.spec.zones);
        if required_zones.all(is_known) || self.started.elapsed() > OTHER_ZONES_TIMEOUT {
            self.mark_workers_initialized();
        }
    }

    /// Sends `Initialized` to all workers except those that lag; they get it after the full state.
    fn mark_workers_initialized(&self) {
        let lagging = self.lagging.borrow();
        for (index, worker) in self.channels.workers.iter().enumerate() {
            if !lagging[index] && !self.channels.readiness.worker(index).is_initialized() {
                try_send(worker, WorkerMessage::Initialized);
            }
        }
    }

    fn notify(&self) {
        self.check_readiness();
        self.change_counter.send_modify(|count| *count += 1);
    }

    fn send_to_workers(&self, update: &WorkerUpdate) {
        let mut lagging = self.lagging.borrow_mut();
        for (index, worker) in self.channels.workers.iter().enumerate() {
            if lagging[index] || !try_send(worker, WorkerMessage::Update(update.clone())) {
                lagging[index] = !self.send_full_state(worker);
            }
        }
    }

    /// Sends the full state to a worker; returns whether its channel accepted all of it.
    fn send_full_state(&self, worker: &ChannelSender<WorkerMessage>) -> bool {
        let try_send = |update| try_send(worker, WorkerMessage::Update(update));
        let config = self.config.borrow().newest().cloned();
        let config_sent = config.is_none_or(|config| try_send(WorkerUpdate::Config(config)));
        let zones = self.zones.borrow();
        let mut deltas = zones.values().filter_map(|table| table.delta_since(None));
        config_sent && deltas.all(|delta| try_send(WorkerUpdate::Routes(delta.changes.into())))
    }
}

fn log_unusable_update(error: &ConfigUpdateError) {
    let pairs: [(&str, &dyn std::fmt::Display); 2] = [("part", &"declarations"), ("reason", error)];
    log_event(EventName::NewsUnusable, &pairs);
}
