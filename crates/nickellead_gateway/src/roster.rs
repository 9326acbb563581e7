//! The targets of each service as the request path uses them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use nickellead_balance::{TargetOutcome, TargetScore};
use nickellead_core::Timestamp;
use nickellead_limit::{AdaptiveLimit, TurnQueue};

use crate::connections::SharedPool;
use crate::{TargetEntry, TargetList, TargetState};

/// What an unknown target is taken to need for an answer, until it has shown it.
const USUAL_LATENCY: Duration = Duration::from_millis(80);

/// Requests that may be under way at a target of which nothing is known: all VMs begin at the same
/// time, and ten times this many fill a target's slots and queue.
const LIMIT_START: u32 = 2;

/// This VM never has more requests under way at a target than this many times its slots.
const LIMIT_FACTOR: u32 = 4;

/// Members of a service in this VM's own zone that it sends requests to.
///
/// A VM that spread its requests over hundreds of targets would use no connection twice before the
/// target closes it.
const NEAR_MEMBERS: usize = 8;
/// The same for members of other zones, for when the near ones are full.
const FAR_MEMBERS: usize = 4;

/// One target with what this VM has learned of it.
pub(crate) struct TargetMember {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    pub(crate) zone: String,
    pub(crate) slots: u32,
    pub(crate) state: Cell<TargetState>,
    pub(crate) cold_until: Cell<Instant>,
    pub(crate) score: RefCell<TargetScore>,
    pub(crate) limit: Cell<AdaptiveLimit>,
    /// Requests that wait for this very target.
    pub(crate) turns: TurnQueue,
    pub(crate) pool: SharedPool,
}

/// Requests under way at a member, counted also when their future is dropped.
///
/// Its end wakes a request that waits for the target, and one that waits for any of the service.
pub(crate) struct RunningGuard(Rc<TargetMember>, Rc<TurnQueue>);

impl TargetMember {
    /// Whether one more request may be sent now.
    pub(crate) fn has_room(&self) -> bool {
        self.limit.get().has_room(self.score.borrow().running)
    }

    /// Learns how a try ended.
    pub(crate) fn note_outcome(&self, outcome: TargetOutcome, now: Timestamp) {
        self.score.borrow_mut().note(outcome, now);
    }

    /// Learns that the target took no more: it refused a request or broke a connection.
    pub(crate) fn note_refusal(&self) {
        let mut limit = self.limit.get();
        limit.note_refusal();
        self.limit.set(limit);
    }

    /// Learns that the target answered after `length` while this many requests were under way.
    pub(crate) fn note_room(&self, running: u32, length: Duration, goal: Duration, now: Timestamp) {
        let unhurried = Duration::from_secs_f64(self.score.borrow().unhurried_ms() / 1_000.0);
        let mut limit = self.limit.get();
        limit.note_answer(running, length, unhurried, goal, now);
        self.limit.set(limit);
    }

    /// Learns that a request has been under way for a whole latency target.
    pub(crate) fn note_overdue(&self, goal: Duration, now: Timestamp) {
        let mut limit = self.limit.get();
        limit.note_overdue(goal, now);
        self.limit.set(limit);
    }
}

impl RunningGuard {
    pub(crate) fn new(member: &Rc<TargetMember>, service: &Rc<TurnQueue>) -> Self {
        member.score.borrow_mut().running += 1;
        Self(Rc::clone(member), Rc::clone(service))
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        {
            let mut score = self.0.score.borrow_mut();
            score.running = score.running.saturating_sub(1);
        }
        self.0.turns.wake_one();
        self.1.wake_one();
    }
}

/// All members by service and by identity.
#[derive(Default)]
pub(crate) struct TargetRoster {
    vm: String,
    zone: String,
    by_id: HashMap<String, Rc<TargetMember>>,
    by_service: HashMap<String, Vec<Rc<TargetMember>>>,
    /// This VM's part of each service.
    subsets: HashMap<String, Vec<Rc<TargetMember>>>,
}

impl TargetRoster {
    /// A roster without members.
    pub(crate) fn new(vm: String, zone: String) -> Self {
        Self { vm, zone, ..Self::default() }
    }

    /// The roster of a new list; members that stay keep what was learned.
    pub(crate) fn rebuild(&self, list: &TargetList) -> Self {
        let mut roster = Self::new(self.vm.clone(), self.zone.clone());
        for entry in list.values() {
            let member = match self.by_id.get(&entry.id) {
                Some(member) if member.address == entry.address => Rc::clone(member),
                _ => Rc::new(new_member(entry)),
            };
            member.state.set(entry.state);
            member.cold_until.set(Instant::now() + entry.cold_left);
            roster.by_id.insert(entry.id.clone(), Rc::clone(&member));
            if entry.state == TargetState::Ready {
                roster.by_service.entry(entry.service.clone()).or_default().push(member);
            }
        }
        for (service, members) in &roster.by_service {
            let subset = choose_subset(&roster.vm, &roster.zone, members);
            roster.subsets.insert(service.clone(), subset);
        }
        for (id, member) in &self.by_id {
            if !roster.by_id.contains_key(id) {
                member.pool.clear();
            }
        }
        roster
    }

    /// Whether no target at all is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// The members of a service that take requests.
    pub(crate) fn members(&self, service: &str) -> &[Rc<TargetMember>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// This VM's part of a service's members.
    pub(crate) fn subset(&self, service: &str) -> &[Rc<TargetMember>] {
        self.subsets.get(service).map_or(&[], Vec::as_slice)
    }

    /// One member, if it takes requests.
    pub(crate) fn find(&self, id: &str) -> Option<&Rc<TargetMember>> {
        self.by_id.get(id).filter(|member| member.state.get() == TargetState::Ready)
    }

    /// Connections opened to all members.
    pub(crate) fn opened(&self) -> u64 {
        self.by_id.values().map(|member| member.pool.opened()).sum()
    }
}

/// The members with the highest hash of VM and target: VMs get different parts, and a member that
/// comes or goes changes few of them.
fn choose_subset(vm: &str, zone: &str, members: &[Rc<TargetMember>]) -> Vec<Rc<TargetMember>> {
    let mut ranked: Vec<_> = members.iter().map(|member| (rank(vm, &member.id), member)).collect();
    ranked.sort_by_key(|(rank, _)| *rank);
    let of_zone = |near: bool, most: usize| {
        let chosen = ranked.iter().filter(move |(_, member)| (member.zone == zone) == near);
        chosen.take(most).map(|(_, member)| Rc::clone(member))
    };
    of_zone(true, NEAR_MEMBERS).chain(of_zone(false, FAR_MEMBERS)).collect()
}

fn rank(vm: &str, target: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(
        target.as_bytes(),
        xxhash_rust::xxh3::xxh3_64(vm.as_bytes()),
    )
}

fn new_member(entry: &TargetEntry) -> TargetMember {
    TargetMember {
        id: entry.id.clone(),
        address: entry.address,
        zone: entry.zone.clone(),
        slots: entry.slots,
        state: Cell::new(entry.state),
        cold_until: Cell::new(Instant::now() + entry.cold_left),
        score: RefCell::new(TargetScore::new(USUAL_LATENCY)),
        limit: Cell::new(AdaptiveLimit::new(LIMIT_START, entry.slots * LIMIT_FACTOR)),
        turns: TurnQueue::default(),
        pool: SharedPool::default(),
    }
}
