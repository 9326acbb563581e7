//! Plays calls against a queue: targets are slots that take a while for each request.
#![allow(dead_code, clippy::unwrap_used)]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use nickellead_core::Timestamp;
use nickellead_dispatch::{
    DispatchDecision, DispatchEvent, DispatchPermit, DispatchQueue, DispatchRefusal,
    DispatchRequest, PermitOutcome, ReportedLoad, RouteKey, TargetKey, TicketId,
};

/// What a target does with a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    #[default]
    Serves,
    Hangs,
    FailsHalf,
    ShedsAll,
}

/// A target; work takes `factor` times as long there, and three times that during `slow_times`.
#[derive(Clone, Debug, Default)]
pub struct PlayTarget {
    pub factor: f64,
    pub behaviour: Behaviour,
    pub slow_times: Vec<(u64, u64)>,
    pub slots_free_at: Vec<u64>,
    pub requests: u32,
}

impl PlayTarget {
    pub fn new(slots: usize, factor: f64) -> Self {
        Self { factor, slots_free_at: vec![0; slots], ..Self::default() }
    }

    fn slowness(&self, at: u64) -> f64 {
        if self.slow_times.iter().any(|(from, to)| (*from..*to).contains(&at)) { 3.0 } else { 1.0 }
    }

    /// Runs a request in the slot that is free first, and returns when it ends.
    fn run(&mut self, now: u64, call: &Call) -> u64 {
        match self.behaviour {
            Behaviour::Hangs => return call.at + call.stay_ms,
            Behaviour::ShedsAll => return now + 1,
            Behaviour::Serves | Behaviour::FailsHalf => {}
        }
        let slot =
            (0..self.slots_free_at.len()).min_by_key(|slot| self.slots_free_at[*slot]).unwrap();
        let mut end = now.max(self.slots_free_at[slot]);
        let mut work_ms = call.work_ms;
        while work_ms > 0.0 {
            work_ms -= 1.0 / (self.factor * self.slowness(end));
            end += 1;
        }
        self.slots_free_at[slot] = end;
        end
    }

    fn load(&self, now: u64) -> ReportedLoad {
        let slots = self.slots_free_at.len() as u32;
        let running = self.requests.min(slots);
        ReportedLoad {
            running,
            waiting: self.requests - running,
            slots,
            slowness: self.slowness(now),
        }
    }

    fn outcome(&self, call: usize, latency: Duration) -> PermitOutcome {
        match self.behaviour {
            Behaviour::Hangs => PermitOutcome::Abandoned(latency),
            Behaviour::ShedsAll => PermitOutcome::Shed,
            Behaviour::FailsHalf if call.is_multiple_of(2) => PermitOutcome::Failed,
            Behaviour::Serves | Behaviour::FailsHalf => PermitOutcome::Responded(latency),
        }
    }
}

/// A refusal: after how long in the queue, and when the caller was told to return.
#[derive(Clone, Copy, Debug)]
pub struct CallRefusal {
    pub waited_ms: u64,
    pub told: u64,
}

/// One caller, who comes back at most `returns` times, as told; and what became of its call.
#[derive(Clone, Debug, Default)]
pub struct Call {
    pub at: u64,
    pub aim_ms: u64,
    pub stay_ms: u64,
    pub work_ms: f64,
    pub owner: Option<TargetKey>,
    pub key: Option<u16>,
    pub rank: u8,
    pub returns: usize,
    pub arrived_at: u64,
    pub failed: Vec<TargetKey>,
    pub refusals: Vec<CallRefusal>,
    pub sent: Option<(DispatchPermit, u64)>,
    pub responded_at: Option<u64>,
}

impl Call {
    pub fn in_time(&self) -> bool {
        self.responded_at.is_some_and(|at| at <= self.at + self.aim_ms)
    }

    fn request(&self) -> DispatchRequest {
        DispatchRequest {
            owner: self.owner,
            avoid: std::array::from_fn(|index| self.failed.get(index).copied()),
            route: RouteKey(1),
            key: self.key,
            rank: self.rank,
            due: Timestamp(self.at + self.aim_ms),
            deadline: Timestamp(self.at + self.stay_ms),
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    End(usize),
    Arrive(usize),
    Poll,
}

/// A group of targets and its callers.
pub struct Play {
    pub targets: Vec<PlayTarget>,
    pub calls: Vec<Call>,
    queue: DispatchQueue,
    reports: bool,
    tickets: HashMap<TicketId, usize>,
    steps: BinaryHeap<Reverse<(u64, Step)>>,
    poll_at: u64,
}

impl Play {
    /// Plays all calls to their ends; the targets report their load if `reports`.
    pub fn run(targets: Vec<PlayTarget>, calls: Vec<Call>, reports: bool) -> Self {
        let mut queue = DispatchQueue::new(100);
        for (key, target) in targets.iter().enumerate() {
            queue.set_target(TargetKey(key as u32), target.slots_free_at.len() as u32);
        }
        let arrivals = calls.iter().enumerate();
        let steps = arrivals.map(|(call, one)| Reverse((one.at, Step::Arrive(call)))).collect();
        let (tickets, poll_at) = (HashMap::new(), u64::MAX);
        let mut play = Self { targets, calls, queue, reports, tickets, steps, poll_at };
        while let Some(Reverse((now, step))) = play.steps.pop() {
            match step {
                Step::Arrive(call) => play.arrive(call, now),
                Step::End(call) => play.end(call, now),
                Step::Poll => play.poll_at = u64::MAX,
            }
            play.poll(now);
        }
        play
    }

    fn arrive(&mut self, call: usize, now: u64) {
        self.calls[call].arrived_at = now;
        match self.queue.request(self.calls[call].request(), Timestamp(now)) {
            DispatchDecision::Granted(permit) => self.send(call, permit, now),
            DispatchDecision::Queued(ticket) => drop(self.tickets.insert(ticket, call)),
            DispatchDecision::Refused(refusal) => self.refuse(call, refusal, now),
        }
    }

    fn poll(&mut self, now: u64) {
        for event in self.queue.poll(Timestamp(now)) {
            match event {
                DispatchEvent::Granted(ticket, permit) => {
                    self.send(self.tickets[&ticket], permit, now);
                }
                DispatchEvent::Refused(ticket, refusal) => {
                    self.refuse(self.tickets[&ticket], refusal, now);
                }
            }
        }
        if let Some(at) = self.queue.next_deadline().filter(|at| at.0 < self.poll_at) {
            self.poll_at = at.0.max(now + 1);
            self.steps.push(Reverse((self.poll_at, Step::Poll)));
        }
    }

    fn refuse(&mut self, call: usize, refusal: DispatchRefusal, now: u64) {
        let one = &mut self.calls[call];
        let told = now + refusal.retry_after.as_millis() as u64;
        one.refusals.push(CallRefusal { waited_ms: now - one.arrived_at, told });
        if one.refusals.len() <= one.returns && told < one.at + one.stay_ms {
            self.steps.push(Reverse((told, Step::Arrive(call))));
        }
    }

    fn send(&mut self, call: usize, permit: DispatchPermit, now: u64) {
        self.calls[call].sent = Some((permit, now));
        let target = &mut self.targets[permit.target.0 as usize];
        target.requests += 1;
        let end = target.run(now, &self.calls[call]);
        self.steps.push(Reverse((end, Step::End(call))));
    }

    fn end(&mut self, call: usize, now: u64) {
        let (permit, sent_at) = self.calls[call].sent.unwrap();
        let target = &mut self.targets[permit.target.0 as usize];
        let outcome = target.outcome(call, Duration::from_millis(now - sent_at));
        target.requests -= 1;
        let load = self.reports.then(|| target.load(now));
        self.queue.release(permit.id, outcome, load, Timestamp(now));
        match outcome {
            PermitOutcome::Responded(_) => self.calls[call].responded_at = Some(now),
            PermitOutcome::Failed | PermitOutcome::Shed => {
                self.calls[call].failed.push(permit.target);
                self.steps.push(Reverse((now, Step::Arrive(call))));
            }
            _ => {}
        }
    }
}
