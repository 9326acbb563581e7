//! Simulation of one zone with a fake platform, fake links and drifting clocks.
//!
//! It runs real `ZoneCoordinator`s and `GrantGuard`s, and turns their actions into messages that
//! a schedule may lose, delay, duplicate or reorder. It does not model load, processing time or
//! bandwidth.
#![allow(dead_code, clippy::unwrap_used, clippy::panic)]

mod delivery;
mod fake_platform;
mod nodes;
pub mod schedule;

use std::collections::BTreeMap;
use std::sync::Arc;

use nickellead_api::{DeclaredConfig, TargetState};
use nickellead_core::{Incarnation, ShardIndex, TargetKey};
use nickellead_lease::{
    CoordinatorSettings, GrantGuard, LeaseTimings, MandatePhase, TargetOrder, TargetReply,
    VmIncarnation, ZoneAction, ZoneCoordinator, ZoneEvent,
};

use fake_platform::FakePlatform;
use nodes::drift_clock;
pub use nodes::{TargetNode, VmNode, declare, name};

/// Number of shards of the only service.
pub const SHARDS: u32 = 4;
/// Undisturbed delivery time of a message.
const LATENCY_MS: u64 = 1;
/// Maximum number of messages in flight; further ones displace the oldest.
const MAX_MESSAGES: usize = 200;

#[derive(Clone, Debug)]
enum Payload {
    Event(usize, ZoneEvent),
    Order(usize, usize, TargetOrder),
    Reply(usize, usize, TargetReply),
    Platform(usize, ZoneAction),
    Peer(usize, usize, ZoneEvent),
}

#[derive(Clone, Debug)]
struct Message {
    due: u64,
    payload: Payload,
}

/// State of the simulation at one point of global time, in milliseconds.
#[derive(Clone)]
pub struct Simulation {
    pub now: u64,
    pub vms: Vec<VmNode>,
    pub targets: Vec<TargetNode>,
    pub platform: FakePlatform,
    pub timings: LeaseTimings,
    config: Arc<DeclaredConfig>,
    messages: Vec<Message>,
    /// Links from VMs to targets that deliver no messages.
    pub cut_target_links: Vec<(usize, usize)>,
    /// Links between VMs that deliver no messages.
    pub cut_vm_links: Vec<(usize, usize)>,
    /// VMs that cannot reach the platform.
    pub cut_platform_links: Vec<usize>,
    /// VMs in the platform's list.
    pub listed_vms: Vec<usize>,
    last_incarnation: u64,
    last_exchanges: BTreeMap<usize, u64>,
}

impl Simulation {
    pub fn new(vms: usize, targets: usize) -> Self {
        let mut simulation = Self {
            now: 0,
            vms: Vec::new(),
            targets: Vec::new(),
            platform: FakePlatform::default(),
            timings: LeaseTimings::default(),
            config: Arc::new(declare(targets, &[])),
            messages: Vec::new(),
            cut_target_links: Vec::new(),
            cut_vm_links: Vec::new(),
            cut_platform_links: Vec::new(),
            listed_vms: (0..vms).collect(),
            last_incarnation: 0,
            last_exchanges: BTreeMap::new(),
        };
        for number in 0..vms {
            let node = simulation.make_vm(number);
            simulation.vms.push(node);
        }
        for number in 0..targets {
            let node = simulation.make_target(number);
            simulation.targets.push(node);
        }
        (0..vms).for_each(|vm| simulation.send_initial_state(vm));
        simulation
    }

    fn make_vm(&mut self, number: usize) -> VmNode {
        self.last_incarnation += 1;
        let clock = drift_clock(number as u64 * 3 + 1);
        let vm = VmIncarnation {
            vm: name(&format!("vm-{number}")),
            incarnation: Incarnation(self.last_incarnation),
        };
        let settings = CoordinatorSettings {
            zone: name("zone-a"),
            vm: vm.clone(),
            timings: self.timings,
            max_standbys: 2,
            max_concurrent_moves: 64,
            seed: self.last_incarnation,
        };
        VmNode {
            name: vm.vm,
            coordinator: ZoneCoordinator::new(settings, clock.read(self.now)),
            clock,
            paused: false,
            alive: true,
            incarnation: self.last_incarnation,
        }
    }

    fn make_target(&mut self, number: usize) -> TargetNode {
        self.last_incarnation += 1;
        let target_name = name(&format!("target-{number}"));
        TargetNode {
            guard: GrantGuard::new(
                TargetKey::from(&target_name),
                Incarnation(self.last_incarnation),
            ),
            name: target_name,
            clock: drift_clock(number as u64 * 5 + 2),
            paused: false,
            alive: true,
            incarnation: self.last_incarnation,
            running: Vec::new(),
        }
    }

    /// Sends a newly started VM its first declarations and VM list.
    fn send_initial_state(&mut self, vm: usize) {
        let config = Arc::clone(&self.config);
        self.handle_event(vm, ZoneEvent::ConfigChanged(config));
        self.send_vm_list(vm);
    }

    pub fn send_vm_list(&mut self, vm: usize) {
        let names = self.listed_vms.iter().map(|number| self.vms[*number].name.clone()).collect();
        self.handle_event(vm, ZoneEvent::VmsListed(names));
    }

    /// Ends a VM's process, and leaves the VM in the platform's list.
    pub fn kill_vm(&mut self, vm: usize) {
        self.vms[vm].alive = false;
    }

    /// Restarts a VM's process with empty state.
    pub fn restart_vm(&mut self, vm: usize) {
        self.vms[vm] = self.make_vm(vm);
        if !self.listed_vms.contains(&vm) {
            self.listed_vms.push(vm);
        }
        self.send_initial_state(vm);
    }

    /// Restarts a target's process without grants.
    pub fn restart_target(&mut self, target: usize) {
        self.targets[target] = self.make_target(target);
    }

    /// Declares the states of targets; those that are not listed are active.
    pub fn declare(&mut self, states: &[(usize, TargetState)]) {
        let revision = self.config.revision.next();
        let mut config = declare(self.targets.len(), states);
        config.revision = revision;
        self.config = Arc::new(config);
        for vm in 0..self.vms.len() {
            let config = Arc::clone(&self.config);
            self.handle_event(vm, ZoneEvent::ConfigChanged(config));
        }
    }

    /// Advances time, and ticks VMs and delivers messages every 10 ms.
    pub fn run(&mut self, millis: u64) {
        const STEP_MS: u64 = 10;
        let end = self.now + millis;
        while self.now < end {
            self.now += STEP_MS.min(end - self.now);
            self.exchange_peer_messages();
            (0..self.vms.len()).for_each(|vm| self.handle_event(vm, ZoneEvent::Tick));
            self.deliver_due();
            self.check();
        }
    }

    /// Advances time without ticks or deliveries.
    pub fn stall(&mut self, millis: u64) {
        self.now += millis;
        self.check();
    }

    /// Ticks one VM without advancing time.
    pub fn tick(&mut self, vm: usize) {
        self.handle_event(vm, ZoneEvent::Tick);
        self.check();
    }

    /// Delivers one message out of order.
    pub fn deliver_one(&mut self, index: usize) {
        if self.messages.is_empty() {
            return;
        }
        let index = index % self.messages.len();
        let message = self.messages.remove(index);
        self.deliver(message.payload);
        self.check();
    }

    /// Drops one message.
    pub fn lose_one(&mut self, index: usize) {
        if !self.messages.is_empty() {
            let index = index % self.messages.len();
            self.messages.remove(index);
        }
    }

    /// Duplicates one message; the copy arrives after `delay` milliseconds.
    pub fn duplicate_one(&mut self, index: usize, delay: u64) {
        if self.messages.is_empty() {
            return;
        }
        let index = index % self.messages.len();
        let mut copy = self.messages[index].clone();
        copy.due = self.now + delay;
        self.messages.push(copy);
    }

    /// Delays one message by `delay` milliseconds.
    pub fn delay_one(&mut self, index: usize, delay: u64) {
        if !self.messages.is_empty() {
            let index = index % self.messages.len();
            self.messages[index].due = self.now + delay;
        }
    }

    /// Starts a request at a target, under the epoch that the target holds.
    pub fn begin_request(&mut self, target: usize, shard: u32) {
        let node = &mut self.targets[target];
        let held = node.guard.held_grants();
        let Some(grant) = held.into_iter().find(|grant| grant.shard == ShardIndex(shard)) else {
            return;
        };
        if let Ok(ticket) = node.guard.admit(grant, node.clock.read(self.now)) {
            node.running.push((grant, ticket));
        }
    }

    /// Finishes the oldest request of a target, with its side effect if the guard permits.
    pub fn finish_request(&mut self, target: usize) {
        let node = &mut self.targets[target];
        if node.running.is_empty() {
            return;
        }
        let (grant, ticket) = node.running.remove(0);
        let effect = node.guard.check_effect(&ticket, node.clock.read(self.now)).is_ok();
        node.guard.finish(ticket);
        if effect {
            let others = self.owners(grant.shard).into_iter().filter(|other| *other != target);
            let others: Vec<_> = others.collect();
            assert!(others.is_empty(), "effect at {target} while {others:?} own {grant:?}");
        }
    }

    /// Returns the targets that may run requests for a shard, by their own clocks.
    pub fn owners(&self, shard: ShardIndex) -> Vec<usize> {
        let owns = |target: &TargetNode| {
            target.alive && target.guard.owns(shard, target.clock.read(self.now))
        };
        let numbered = self.targets.iter().enumerate();
        numbered.filter(|(_, target)| owns(target)).map(|(number, _)| number).collect()
    }

    /// Checks the main invariant: no shard has more than one owner.
    pub fn check(&self) {
        for shard in (0..SHARDS).map(ShardIndex) {
            let owners = self.owners(shard);
            assert!(owners.len() <= 1, "owners of {shard:?} at {}: {owners:?}", self.now);
        }
    }

    /// Returns whether every shard has exactly one owner.
    pub fn all_owned(&self) -> bool {
        (0..SHARDS).all(|shard| self.owners(ShardIndex(shard)).len() == 1)
    }

    /// Returns the coordinating VM, unless several VMs coordinate.
    pub fn leader(&self) -> Option<usize> {
        let leads = |vm: &VmNode| vm.alive && vm.coordinator.publishes();
        let mut leaders = (0..self.vms.len()).filter(|number| leads(&self.vms[*number]));
        leaders.next().filter(|_| leaders.next().is_none())
    }

    /// Delays a placement write in flight, and returns whether there is one.
    pub fn delay_placement_write(&mut self, delay: u64) -> bool {
        let is_write = |message: &Message| {
            matches!(message.payload, Payload::Platform(_, ZoneAction::WritePlacement(..)))
        };
        let due = self.now + delay;
        let write = self.messages.iter_mut().find(|message| is_write(message));
        write.map(|message| message.due = due).is_some()
    }

    /// Delivers the outcomes of placement writes, then the resulting orders.
    pub fn deliver_placement_outcome(&mut self) {
        let is_outcome = |message: &Message| {
            matches!(message.payload, Payload::Event(_, ZoneEvent::PlacementWritten(..)))
        };
        let is_order = |message: &Message| matches!(message.payload, Payload::Order(..));
        for predicate in [&is_outcome as &dyn Fn(&Message) -> bool, &is_order] {
            while let Some(index) = self.messages.iter().position(predicate) {
                let message = self.messages.remove(index);
                self.deliver(message.payload);
            }
        }
        self.check();
    }

    /// Delivers an event to a VM immediately.
    pub fn inject_event(&mut self, vm: usize, event: ZoneEvent) {
        self.handle_event(vm, event);
    }

    /// Starts a planned stop of the coordinator.
    pub fn stop_leader(&mut self) {
        if let Some(vm) = self.leader() {
            self.handle_event(vm, ZoneEvent::StopRequested);
        }
    }

    /// Undoes disturbances: restores links, resumes processes and restarts ended ones.
    pub fn heal(&mut self) {
        self.cut_target_links.clear();
        self.cut_vm_links.clear();
        self.cut_platform_links.clear();
        self.platform.down = false;
        self.platform.lose_responses = false;
        for vm in 0..self.vms.len() {
            self.vms[vm].paused = false;
            let stopped = matches!(
                self.vms[vm].coordinator.phase(),
                MandatePhase::Stopped | MandatePhase::Stopping
            );
            if !self.vms[vm].alive || stopped {
                self.restart_vm(vm);
            }
        }
        for target in 0..self.targets.len() {
            self.targets[target].paused = false;
            if !self.targets[target].alive {
                self.restart_target(target);
            }
        }
        self.listed_vms = (0..self.vms.len()).collect();
        (0..self.vms.len()).for_each(|vm| self.send_vm_list(vm));
    }

    /// Describes the state of all VMs and targets, for failure messages.
    pub fn describe(&self) -> String {
        let mut text = format!("now={} listed={:?}\n", self.now, self.listed_vms);
        for vm in &self.vms {
            let coordinator = &vm.coordinator;
            let (phase, term) = (coordinator.phase(), coordinator.term());
            text.push_str(&format!("{} alive={} {phase:?} {term:?}", vm.name, vm.alive));
            if coordinator.phase() != MandatePhase::Follower {
                text.push_str(&format!(" {:?}", coordinator.target_statuses()));
            }
            text.push('\n');
        }
        for target in &self.targets {
            let held = target.guard.held_grants();
            let until = target.guard.lease_until();
            let now = target.clock.read(self.now);
            text.push_str(&format!("{} now={now:?} until={until:?} {held:?}\n", target.name));
        }
        text
    }
}
