//! How the world carries messages: VMs meet, actions become messages, messages arrive.

use nickellead_core::{Incarnation, TargetKey};
use nickellead_lease::{TargetOrder, VmIncarnation, ZoneAction, ZoneEvent};

use super::{LATENCY, MESSAGES_MAX, Message, Payload, Simulation, VmNode};

impl Simulation {
    /// VMs that can reach each other hear each other, as their streams do.
    pub(super) fn peers_meet(&mut self) {
        const PERIOD: u64 = 250;
        for vm in 0..self.vms.len() {
            let due = self.last_heard.get(&vm).is_none_or(|last| self.now >= last + PERIOD);
            if !due || !self.runs(vm) {
                continue;
            }
            self.last_heard.insert(vm, self.now);
            if self.now % 1_000 < PERIOD {
                self.tell_list(vm);
            }
            for other in 0..self.vms.len() {
                if other != vm && self.runs(other) && !self.vms_cut(vm, other) {
                    self.hear(vm, other);
                }
            }
        }
    }

    fn hear(&mut self, vm: usize, other: usize) {
        let node = &self.vms[other];
        let seen =
            VmIncarnation { vm: node.name.clone(), incarnation: Incarnation(node.incarnation) };
        let leads = node.coordinator.publishes();
        let term = node.coordinator.term();
        // VMs ask coordinators; they ask each other only while they know none.
        let searches = self.vms.len() <= 4 || self.leader().is_none();
        if searches || self.vms[vm].coordinator.publishes() {
            self.send(Payload::Peer(other, vm, ZoneEvent::PeerSeen(seen)));
        }
        if leads {
            let standbys = self.vms[other].coordinator.mandate().into_iter();
            let standbys = standbys.flat_map(|mandate| &mandate.standbys);
            let mut standbys = standbys;
            let named = standbys.any(|standby| standby.vm == self.vms[vm].name);
            let heard = ZoneEvent::CoordinatorAnnounced(term, named);
            self.send(Payload::Peer(other, vm, heard));
        }
    }

    pub(super) fn runs(&self, vm: usize) -> bool {
        self.vms[vm].alive && !self.vms[vm].paused
    }

    fn vms_cut(&self, one: usize, other: usize) -> bool {
        self.cut_vms.contains(&(one, other)) || self.cut_vms.contains(&(other, one))
    }

    pub(super) fn send(&mut self, payload: Payload) {
        if self.messages.len() >= MESSAGES_MAX.max(self.vms.len() * 20) {
            self.messages.remove(0);
        }
        self.messages.push(Message { due: self.now + LATENCY, payload });
    }

    pub(super) fn deliver_due(&mut self) {
        let mut rounds = 0;
        while let Some(place) = self.messages.iter().position(|message| message.due <= self.now + 9)
        {
            let message = self.messages.remove(place);
            self.deliver(message.payload);
            rounds += 1;

            assert!(rounds < 10_000, "messages never come to rest");
        }
    }

    pub(super) fn deliver(&mut self, payload: Payload) {
        if let Payload::Event(vm, _) | Payload::Reply(vm, ..) | Payload::Peer(_, vm, _) = &payload
            && self.vms[*vm].paused
        {
            // The bytes wait in its sockets until it goes on.
            self.messages.push(Message { due: self.now + 50, payload });
            return;
        }
        match payload {
            Payload::Event(vm, event) => self.give(vm, event),
            Payload::Peer(from, to, event) => {
                if !self.vms_cut(from, to) {
                    self.give(to, event);
                }
            }
            Payload::Order(vm, target, order) => self.deliver_order(vm, target, &order),
            Payload::Reply(vm, target, reply) => {
                if !self.cut_targets.contains(&(vm, target)) {
                    self.give(vm, ZoneEvent::TargetReplied(reply));
                }
            }
            Payload::Platform(vm, action) => {
                let reachable = !self.cut_platform.contains(&vm);
                let answer = self.platform.call(&action, reachable);
                self.send(Payload::Event(vm, answer));
            }
        }
    }

    fn deliver_order(&mut self, vm: usize, target: usize, order: &TargetOrder) {
        let node = &mut self.targets[target];
        if self.cut_targets.contains(&(vm, target)) || !node.alive {
            let failed = ZoneEvent::TargetFailed(order.target, order.sequence);
            self.send(Payload::Event(vm, failed));
            return;
        }
        if node.paused {
            // The bytes wait in its socket until it goes on.
            let due = self.now + 50;
            let payload = Payload::Order(vm, target, order.clone());
            self.messages.push(Message { due, payload });
            return;
        }
        let reply = node.guard.apply(order, node.clock.read(self.now));
        self.send(Payload::Reply(vm, target, reply));
    }

    pub(super) fn give(&mut self, vm: usize, event: ZoneEvent) {
        if !self.runs(vm) {
            return;
        }
        let node = &mut self.vms[vm];
        let actions = node.coordinator.handle(event, node.clock.read(self.now));
        let from =
            VmIncarnation { vm: node.name.clone(), incarnation: Incarnation(node.incarnation) };
        for action in actions {
            self.act(vm, &from, action);
        }
    }

    fn act(&mut self, vm: usize, from: &VmIncarnation, action: ZoneAction) {
        match action {
            ZoneAction::SendOrder(order) => {
                let target = self.target_of(order.target);
                self.send(Payload::Order(vm, target, order));
            }
            ZoneAction::SendRecordBatch(to, batch) => {
                if let Some(other) = self.vm_of(&to) {
                    self.send(Payload::Peer(vm, other, ZoneEvent::RecordBatchReceived(batch)));
                }
            }
            ZoneAction::SendRecordResponse(answer) => {
                for other in (0..self.vms.len()).filter(|other| *other != vm) {
                    let event = ZoneEvent::RecordResponseReceived(answer.clone());
                    self.send(Payload::Peer(vm, other, event));
                }
            }
            ZoneAction::RequestStepDown(to, term) => {
                if let Some(other) = self.vm_of(&to) {
                    self.send(Payload::Peer(vm, other, ZoneEvent::StepDownRequested(term)));
                }
            }
            ZoneAction::ConfirmStepDown(term) => {
                for other in (0..self.vms.len()).filter(|other| *other != vm) {
                    let holder = self.vms[other].coordinator.predecessor_vm();
                    if holder.as_ref() == Some(from) {
                        let event = ZoneEvent::StepDownConfirmed(term);
                        self.send(Payload::Peer(vm, other, event));
                    }
                }
            }
            ZoneAction::Notify(_) => {}
            call => self.send(Payload::Platform(vm, call)),
        }
    }

    fn target_of(&self, key: TargetKey) -> usize {
        self.targets.iter().position(|target| TargetKey::from(&target.name) == key).unwrap()
    }

    fn vm_of(&self, vm: &VmIncarnation) -> Option<usize> {
        let same =
            |node: &VmNode| node.name == vm.vm && Incarnation(node.incarnation) == vm.incarnation;
        self.vms.iter().position(same)
    }
}
