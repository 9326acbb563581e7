//! Delivery of messages: announcements between VMs, actions, and due messages.

use nickellead_core::{Incarnation, TargetKey};
use nickellead_lease::{TargetOrder, VmIncarnation, ZoneAction, ZoneEvent};

use super::{LATENCY_MS, MAX_MESSAGES, Message, Payload, Simulation, VmNode};

impl Simulation {
    /// Sends announcements between VMs that can reach each other, as their streams do.
    pub(super) fn exchange_peer_messages(&mut self) {
        const INTERVAL_MS: u64 = 250;
        for vm in 0..self.vms.len() {
            let due =
                self.last_exchanges.get(&vm).is_none_or(|last| self.now >= last + INTERVAL_MS);
            if !due || !self.is_running(vm) {
                continue;
            }
            self.last_exchanges.insert(vm, self.now);
            if self.now % 1_000 < INTERVAL_MS {
                self.send_vm_list(vm);
            }
            for other in 0..self.vms.len() {
                if other != vm && self.is_running(other) && !self.is_link_cut(vm, other) {
                    self.announce(vm, other);
                }
            }
        }
    }

    fn announce(&mut self, vm: usize, other: usize) {
        let node = &self.vms[other];
        let seen =
            VmIncarnation { vm: node.name.clone(), incarnation: Incarnation(node.incarnation) };
        let leads = node.coordinator.publishes();
        let term = node.coordinator.term();
        // VMs request updates from coordinators, and from other VMs only while they know none.
        let searches = self.vms.len() <= 4 || self.leader().is_none();
        if searches || self.vms[vm].coordinator.publishes() {
            self.send(Payload::Peer(other, vm, ZoneEvent::PeerSeen(seen)));
        }
        if leads {
            let standbys = self.vms[other].coordinator.mandate().into_iter();
            let standbys = standbys.flat_map(|mandate| &mandate.standbys);
            let mut standbys = standbys;
            let named = standbys.any(|standby| standby.vm == self.vms[vm].name);
            let announcement = ZoneEvent::CoordinatorAnnounced(term, named);
            self.send(Payload::Peer(other, vm, announcement));
        }
    }

    pub(super) fn is_running(&self, vm: usize) -> bool {
        self.vms[vm].alive && !self.vms[vm].paused
    }

    fn is_link_cut(&self, one: usize, other: usize) -> bool {
        self.cut_vm_links.contains(&(one, other)) || self.cut_vm_links.contains(&(other, one))
    }

    pub(super) fn send(&mut self, payload: Payload) {
        if self.messages.len() >= MAX_MESSAGES.max(self.vms.len() * 20) {
            self.messages.remove(0);
        }
        self.messages.push(Message { due: self.now + LATENCY_MS, payload });
    }

    pub(super) fn deliver_due(&mut self) {
        let mut rounds = 0;
        while let Some(index) = self.messages.iter().position(|message| message.due <= self.now + 9)
        {
            let message = self.messages.remove(index);
            self.deliver(message.payload);
            rounds += 1;

            assert!(rounds < 10_000, "message delivery does not terminate");
        }
    }

    pub(super) fn deliver(&mut self, payload: Payload) {
        if let Payload::Event(vm, _) | Payload::Reply(vm, ..) | Payload::Peer(_, vm, _) = &payload
            && self.vms[*vm].paused
        {
            // The bytes wait in the VM's sockets until it resumes.
            self.messages.push(Message { due: self.now + 50, payload });
            return;
        }
        match payload {
            Payload::Event(vm, event) => self.handle_event(vm, event),
            Payload::Peer(from, to, event) => {
                if !self.is_link_cut(from, to) {
                    self.handle_event(to, event);
                }
            }
            Payload::Order(vm, target, order) => self.deliver_order(vm, target, &order),
            Payload::Reply(vm, target, reply) => {
                if !self.cut_target_links.contains(&(vm, target)) {
                    self.handle_event(vm, ZoneEvent::TargetReplied(reply));
                }
            }
            Payload::Platform(vm, action) => {
                let reachable = !self.cut_platform_links.contains(&vm);
                let outcome = self.platform.call(&action, reachable);
                self.send(Payload::Event(vm, outcome));
            }
        }
    }

    fn deliver_order(&mut self, vm: usize, target: usize, order: &TargetOrder) {
        let node = &mut self.targets[target];
        if self.cut_target_links.contains(&(vm, target)) || !node.alive {
            let failed = ZoneEvent::TargetFailed(order.target, order.sequence);
            self.send(Payload::Event(vm, failed));
            return;
        }
        if node.paused {
            // The bytes wait in the target's socket until it resumes.
            let due = self.now + 50;
            let payload = Payload::Order(vm, target, order.clone());
            self.messages.push(Message { due, payload });
            return;
        }
        let reply = node.guard.apply(order, node.clock.read(self.now));
        self.send(Payload::Reply(vm, target, reply));
    }

    pub(super) fn handle_event(&mut self, vm: usize, event: ZoneEvent) {
        if !self.is_running(vm) {
            return;
        }
        let node = &mut self.vms[vm];
        let actions = node.coordinator.handle(event, node.clock.read(self.now));
        let from =
            VmIncarnation { vm: node.name.clone(), incarnation: Incarnation(node.incarnation) };
        for action in actions {
            self.perform(vm, &from, action);
        }
    }

    fn perform(&mut self, vm: usize, from: &VmIncarnation, action: ZoneAction) {
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
            ZoneAction::SendRecordResponse(response) => {
                for other in (0..self.vms.len()).filter(|other| *other != vm) {
                    let event = ZoneEvent::RecordResponseReceived(response.clone());
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
