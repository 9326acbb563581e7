//! Small fakes at the interfaces of the decision code: a platform, links, clocks.
//!
//! The world holds the real `ZoneCoordinator`s of some VMs and the real
//! `GrantGuard`s of some targets, and carries their actions as messages that a
//! schedule may lose, delay, double or reorder. It has no model of load,
//! processing time or bandwidth.
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

/// Shards of the one service.
pub const SHARDS: u32 = 4;
/// How long a message takes when nothing disturbs it.
const LATENCY: u64 = 1;
/// Most messages under way; older ones are lost beyond it.
const MESSAGES_MAX: usize = 200;

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

/// Everything, at one moment of global time.
#[derive(Clone)]
pub struct Simulation {
    pub now: u64,
    pub vms: Vec<VmNode>,
    pub targets: Vec<TargetNode>,
    pub platform: FakePlatform,
    pub timings: LeaseTimings,
    config: Arc<DeclaredConfig>,
    messages: Vec<Message>,
    /// Links that carry nothing: VM to target, and VM to VM.
    pub cut_targets: Vec<(usize, usize)>,
    pub cut_vms: Vec<(usize, usize)>,
    /// VMs that can't reach the platform.
    pub cut_platform: Vec<usize>,
    /// VMs that the platform's list shows.
    pub listed: Vec<usize>,
    lives: u64,
    last_heard: BTreeMap<usize, u64>,
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
            cut_targets: Vec::new(),
            cut_vms: Vec::new(),
            cut_platform: Vec::new(),
            listed: (0..vms).collect(),
            lives: 0,
            last_heard: BTreeMap::new(),
        };
        for number in 0..vms {
            let node = simulation.make_vm(number);
            simulation.vms.push(node);
        }
        for number in 0..targets {
            let node = simulation.make_target(number);
            simulation.targets.push(node);
        }
        (0..vms).for_each(|vm| simulation.introduce(vm));
        simulation
    }

    fn make_vm(&mut self, number: usize) -> VmNode {
        self.lives += 1;
        let clock = drift_clock(number as u64 * 3 + 1);
        let vm = VmIncarnation {
            vm: name(&format!("vm-{number}")),
            incarnation: Incarnation(self.lives),
        };
        let settings = CoordinatorSettings {
            zone: name("zone-a"),
            vm: vm.clone(),
            timings: self.timings,
            max_standbys: 2,
            max_concurrent_moves: 64,
            seed: self.lives,
        };
        VmNode {
            name: vm.vm,
            coordinator: ZoneCoordinator::new(settings, clock.read(self.now)),
            clock,
            paused: false,
            alive: true,
            incarnation: self.lives,
        }
    }

    fn make_target(&mut self, number: usize) -> TargetNode {
        self.lives += 1;
        let target_name = name(&format!("target-{number}"));
        TargetNode {
            guard: GrantGuard::new(TargetKey::from(&target_name), Incarnation(self.lives)),
            name: target_name,
            clock: drift_clock(number as u64 * 5 + 2),
            paused: false,
            alive: true,
            incarnation: self.lives,
            running: Vec::new(),
        }
    }

    /// Tells a VM that has just started what it would read first.
    fn introduce(&mut self, vm: usize) {
        let config = Arc::clone(&self.config);
        self.give(vm, ZoneEvent::ConfigChanged(config));
        self.tell_list(vm);
    }

    pub fn tell_list(&mut self, vm: usize) {
        let names = self.listed.iter().map(|number| self.vms[*number].name.clone()).collect();
        self.give(vm, ZoneEvent::VmsListed(names));
    }

    /// Takes a VM's process away; the list shows it for as long as it likes.
    pub fn kill_vm(&mut self, vm: usize) {
        self.vms[vm].alive = false;
    }

    /// Starts a VM's process anew, with an empty memory.
    pub fn restart_vm(&mut self, vm: usize) {
        self.vms[vm] = self.make_vm(vm);
        if !self.listed.contains(&vm) {
            self.listed.push(vm);
        }
        self.introduce(vm);
    }

    /// Starts a target's process anew, holding nothing.
    pub fn restart_target(&mut self, target: usize) {
        self.targets[target] = self.make_target(target);
    }

    /// Declares which targets drain or are gone.
    pub fn declare(&mut self, states: &[(usize, TargetState)]) {
        let revision = self.config.revision.next();
        let mut config = declare(self.targets.len(), states);
        config.revision = revision;
        self.config = Arc::new(config);
        for vm in 0..self.vms.len() {
            let config = Arc::clone(&self.config);
            self.give(vm, ZoneEvent::ConfigChanged(config));
        }
    }

    /// Goes on for a while, with everything that is not disturbed working.
    pub fn run(&mut self, millis: u64) {
        const STEP: u64 = 10;
        let end = self.now + millis;
        while self.now < end {
            self.now += STEP.min(end - self.now);
            self.peers_meet();
            (0..self.vms.len()).for_each(|vm| self.give(vm, ZoneEvent::Tick));
            self.deliver_due();
            self.check();
        }
    }

    /// Lets time pass with nothing delivered and nobody ticking.
    pub fn stall(&mut self, millis: u64) {
        self.now += millis;
        self.check();
    }

    /// One tick of one VM, whatever the time.
    pub fn tick(&mut self, vm: usize) {
        self.give(vm, ZoneEvent::Tick);
        self.check();
    }

    /// Delivers one message out of order.
    pub fn deliver_one(&mut self, place: usize) {
        if self.messages.is_empty() {
            return;
        }
        let place = place % self.messages.len();
        let message = self.messages.remove(place);
        self.deliver(message.payload);
        self.check();
    }

    /// Loses one message.
    pub fn lose_one(&mut self, place: usize) {
        if !self.messages.is_empty() {
            let place = place % self.messages.len();
            self.messages.remove(place);
        }
    }

    /// Doubles one message; the copy comes later.
    pub fn double_one(&mut self, place: usize, later: u64) {
        if self.messages.is_empty() {
            return;
        }
        let place = place % self.messages.len();
        let mut copy = self.messages[place].clone();
        copy.due = self.now + later;
        self.messages.push(copy);
    }

    /// Delays one message.
    pub fn delay_one(&mut self, place: usize, later: u64) {
        if !self.messages.is_empty() {
            let place = place % self.messages.len();
            self.messages[place].due = self.now + later;
        }
    }

    /// A request arrives at a target under the epoch it holds, and takes a while.
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

    /// The oldest request of a target has its effect now, if it may.
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

    /// The targets that may run requests for a shard now, by their own clocks.
    pub fn owners(&self, shard: ShardIndex) -> Vec<usize> {
        let owns = |target: &TargetNode| {
            target.alive && target.guard.owns(shard, target.clock.read(self.now))
        };
        let numbered = self.targets.iter().enumerate();
        numbered.filter(|(_, target)| owns(target)).map(|(number, _)| number).collect()
    }

    /// The first promise: at most one owner, at every moment.
    pub fn check(&self) {
        for shard in (0..SHARDS).map(ShardIndex) {
            let owners = self.owners(shard);
            assert!(owners.len() <= 1, "owners of {shard:?} at {}: {owners:?}", self.now);
        }
    }

    /// Whether every shard has an owner that its coordinator serves.
    pub fn all_owned(&self) -> bool {
        (0..SHARDS).all(|shard| self.owners(ShardIndex(shard)).len() == 1)
    }

    /// The VM that coordinates, if exactly one thinks so.
    pub fn leader(&self) -> Option<usize> {
        let leads = |vm: &VmNode| vm.alive && vm.coordinator.publishes();
        let mut leaders = (0..self.vms.len()).filter(|number| leads(&self.vms[*number]));
        leaders.next().filter(|_| leaders.next().is_none())
    }

    /// Delays a write of a placement that is under way; tells whether there is one.
    pub fn hold_placement_write(&mut self, later: u64) -> bool {
        let is_write = |message: &Message| {
            matches!(message.payload, Payload::Platform(_, ZoneAction::WritePlacement(..)))
        };
        let due = self.now + later;
        let write = self.messages.iter_mut().find(|message| is_write(message));
        write.map(|message| message.due = due).is_some()
    }

    /// Delivers the answer to a placement's write, and what follows from it to targets.
    pub fn deliver_placement_answer(&mut self) {
        let is_answer = |message: &Message| {
            matches!(message.payload, Payload::Event(_, ZoneEvent::PlacementWritten(..)))
        };
        let is_order = |message: &Message| matches!(message.payload, Payload::Order(..));
        for wanted in [&is_answer as &dyn Fn(&Message) -> bool, &is_order] {
            while let Some(place) = self.messages.iter().position(wanted) {
                let message = self.messages.remove(place);
                self.deliver(message.payload);
            }
        }
        self.check();
    }

    /// Tells a VM something out of turn.
    pub fn tell(&mut self, vm: usize, event: ZoneEvent) {
        self.give(vm, event);
    }

    /// Asks the coordinator to stop as planned.
    pub fn stop_leader(&mut self) {
        if let Some(vm) = self.leader() {
            self.give(vm, ZoneEvent::StopRequested);
        }
    }

    /// Undoes every disturbance.
    pub fn heal(&mut self) {
        self.cut_targets.clear();
        self.cut_vms.clear();
        self.cut_platform.clear();
        self.platform.down = false;
        self.platform.lose_answers = false;
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
        self.listed = (0..self.vms.len()).collect();
        (0..self.vms.len()).for_each(|vm| self.tell_list(vm));
    }

    /// What went wrong at the end, for a failing schedule.
    pub fn describe(&self) -> String {
        let mut text = format!("now={} listed={:?}\n", self.now, self.listed);
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
