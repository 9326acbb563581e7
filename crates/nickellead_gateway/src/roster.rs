//! The targets of each service as the request path uses them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use nickellead_balance::TargetScore;
use nickellead_limit::{AdaptiveLimit, TurnQueue};

use crate::connections::SharedPool;
use crate::{TargetEntry, TargetList, TargetState};

/// What an unknown target is taken to need for an answer, until it has shown it.
const USUAL_LATENCY: Duration = Duration::from_millis(80);

/// This VM never has more requests under way at a target than this many times its slots.
const LIMIT_FACTOR: u32 = 4;

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
    by_id: HashMap<String, Rc<TargetMember>>,
    by_service: HashMap<String, Vec<Rc<TargetMember>>>,
}

impl TargetRoster {
    /// The roster of a new list; members that stay keep what was learned.
    pub(crate) fn rebuild(&self, list: &TargetList) -> Self {
        let mut roster = Self::default();
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
        for (id, member) in &self.by_id {
            if !roster.by_id.contains_key(id) {
                member.pool.clear();
            }
        }
        roster
    }

    /// The members of a service that take requests.
    pub(crate) fn members(&self, service: &str) -> &[Rc<TargetMember>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
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

fn new_member(entry: &TargetEntry) -> TargetMember {
    TargetMember {
        id: entry.id.clone(),
        address: entry.address,
        zone: entry.zone.clone(),
        slots: entry.slots,
        state: Cell::new(entry.state),
        cold_until: Cell::new(Instant::now() + entry.cold_left),
        score: RefCell::new(TargetScore::new(USUAL_LATENCY)),
        limit: Cell::new(AdaptiveLimit::new(entry.slots, entry.slots * LIMIT_FACTOR)),
        turns: TurnQueue::default(),
        pool: SharedPool::default(),
    }
}
