//! What holds whatever the order of calls.
#![allow(clippy::unwrap_used)]

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use nickellead_core::Timestamp;
use nickellead_dispatch::{
    DispatchDecision, DispatchEvent, DispatchPermit, DispatchQueue, DispatchRequest, PermitOutcome,
    ReportedLoad, RouteKey, TargetKey, TicketId,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const SLOTS: u32 = 2;

#[derive(Clone, Debug)]
enum Call {
    Set(u8),
    Suspend(u8),
    Remove(u8),
    Request { owner: Option<u8>, key: Option<u8>, rank: u8, due_ms: u16 },
    Cancel(u8),
    Release { permit: u8, outcome: u8, load: Option<(u8, u8, f64)> },
    Wait(u8),
}

impl Arbitrary for Call {
    fn arbitrary(g: &mut Gen) -> Self {
        let target = u8::arbitrary(g) % 3;
        match u8::arbitrary(g) % 20 {
            0 | 1 => Self::Set(target),
            2 => Self::Suspend(target),
            3 => Self::Remove(target),
            4 => Self::Cancel(u8::arbitrary(g)),
            5..=8 => Self::Release {
                permit: u8::arbitrary(g),
                outcome: u8::arbitrary(g) % 6,
                load: Option::arbitrary(g),
            },
            9 | 10 => Self::Wait(u8::arbitrary(g)),
            _ => Self::Request {
                owner: bool::arbitrary(g).then_some(target),
                key: Option::arbitrary(g),
                rank: u8::arbitrary(g) % 3,
                due_ms: u16::arbitrary(g) % 1_000,
            },
        }
    }
}

/// What the callers of a queue know of it.
struct Model {
    queue: DispatchQueue,
    now: Timestamp,
    usable: HashSet<TargetKey>,
    permits: Vec<(DispatchPermit, Timestamp)>,
    waiting: HashMap<TicketId, Timestamp>,
    ended: HashSet<TicketId>,
}

impl Model {
    fn apply(&mut self, call: &Call) {
        match *call {
            Call::Set(target) => {
                self.queue.set_target(TargetKey(target.into()), SLOTS);
                self.usable.insert(TargetKey(target.into()));
            }
            Call::Suspend(target) => {
                self.queue.suspend_target(TargetKey(target.into()));
                self.usable.remove(&TargetKey(target.into()));
            }
            Call::Remove(target) => {
                self.queue.remove_target(TargetKey(target.into()));
                self.usable.remove(&TargetKey(target.into()));
            }
            Call::Request { owner, key, rank, due_ms } => {
                self.request(DispatchRequest {
                    owner: owner.map(|owner| TargetKey(owner.into())),
                    avoid: [None; 4],
                    route: RouteKey(u64::from(rank)),
                    key: key.map(|key| u16::from(key % 3)),
                    rank,
                    due: self.now + Duration::from_millis(due_ms.into()),
                    deadline: self.now + Duration::from_millis(u64::from(due_ms) * 2),
                });
            }
            Call::Cancel(index) => {
                let mut tickets: Vec<_> = self.waiting.keys().copied().collect();
                tickets.sort();
                if let Some(ticket) = tickets.get(usize::from(index) % tickets.len().max(1)) {
                    self.queue.cancel(*ticket);
                    self.waiting.remove(ticket);
                    self.ended.insert(*ticket);
                }
            }
            Call::Release { permit, outcome, load } => self.release(permit, outcome, load),
            Call::Wait(millis) => self.now = self.now + Duration::from_millis(millis.into()),
        }
        self.poll();
    }

    fn request(&mut self, request: DispatchRequest) {
        match self.queue.request(request, self.now) {
            DispatchDecision::Granted(permit) => self.granted(permit, request.deadline),
            DispatchDecision::Queued(ticket) => {
                assert!(!self.ended.contains(&ticket), "{ticket:?} is used again");
                self.waiting.insert(ticket, request.deadline);
            }
            DispatchDecision::Refused(refusal) => {
                assert!(refusal.retry_after >= Duration::from_millis(5));
                assert!(refusal.retry_after <= Duration::from_secs(10));
            }
        }
    }

    fn release(&mut self, permit: u8, outcome: u8, load: Option<(u8, u8, f64)>) {
        if self.permits.is_empty() {
            return;
        }
        let (permit, _) = self.permits.swap_remove(usize::from(permit) % self.permits.len());
        let outcome = match outcome {
            0 => PermitOutcome::Responded(Duration::from_millis(30)),
            1 => PermitOutcome::Failed,
            2 => PermitOutcome::Shed,
            3 => PermitOutcome::NoResponse,
            4 => PermitOutcome::NotSent,
            _ => PermitOutcome::Abandoned(Duration::from_millis(90)),
        };
        let load = load.map(|(running, waiting, slowness)| ReportedLoad {
            running: running.into(),
            waiting: waiting.into(),
            slots: u32::from(running % 4),
            slowness,
        });
        self.queue.release(permit.id, outcome, load, self.now);
    }

    fn poll(&mut self) {
        for event in self.queue.poll(self.now) {
            match event {
                DispatchEvent::Granted(ticket, permit) => {
                    let deadline = self.end_ticket(ticket);
                    self.granted(permit, deadline);
                }
                DispatchEvent::Refused(ticket, _) => drop(self.end_ticket(ticket)),
            }
        }
        assert_eq!(self.queue.waiting(), self.waiting.len(), "every ticket gets an event");
        assert!(self.waiting.values().all(|deadline| self.now < *deadline), "waits in vain");
        assert!(self.queue.next_deadline().is_some() || self.waiting.is_empty());
    }

    fn end_ticket(&mut self, ticket: TicketId) -> Timestamp {
        assert!(self.ended.insert(ticket), "{ticket:?} gets a second event");
        self.waiting.remove(&ticket).unwrap()
    }

    fn granted(&mut self, permit: DispatchPermit, deadline: Timestamp) {
        assert!(self.usable.contains(&permit.target), "{permit:?}: its target is not usable");
        self.permits.push((permit, deadline));
        let in_use = |held: &&(DispatchPermit, Timestamp)| {
            held.0.target == permit.target && self.now <= held.1
        };
        let permits = self.permits.iter().filter(in_use).count();
        assert!(permits as u32 <= SLOTS + 1, "{permits} permits for {:?}", permit.target);
    }
}

#[test]
fn permits_and_tickets_are_accounted_for_in_any_order_of_calls() {
    fn holds(calls: Vec<Call>) {
        let mut model = Model {
            queue: DispatchQueue::new(u64::MAX - 20),
            now: Timestamp(1_000),
            usable: HashSet::new(),
            permits: Vec::new(),
            waiting: HashMap::new(),
            ended: HashSet::new(),
        };
        model.apply(&Call::Set(0));
        calls.iter().for_each(|call| model.apply(call));
    }
    let rng = Gen::from_size_and_seed(200, 53);
    QuickCheck::new().rng(rng).tests(2_000).quickcheck(holds as fn(Vec<Call>));
}
