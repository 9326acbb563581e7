//! What a dispatcher knows of one group: its queue, its targets and who waits.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use nickellead_core::Timestamp;
use nickellead_dispatch::{
    DispatchDecision, DispatchEvent, DispatchPermit, DispatchQueue, DispatchRefusal,
    DispatchRequest, MAX_AVOIDED, PermitId, RefusalReason, RouteKey, TargetKey, TicketId,
};
use tokio::sync::oneshot;

use super::groups::TargetGroup;
use super::messages::{AcquireCall, ReleaseCall};
use super::wire::duration;
use crate::registered_target::RegisteredTarget;

/// The answer to a request for a permit.
#[derive(Debug)]
pub(super) enum GroupAnswer {
    Granted(DispatchPermit),
    Refused(Duration),
    /// No target of the group may be dispatched, or not the one that the request needs.
    Unavailable,
}

/// The immediate answer to a request for a permit.
pub(super) enum GroupDecision {
    Answered(GroupAnswer),
    /// The answer follows.
    Waiting(TicketId, oneshot::Receiver<GroupAnswer>),
}

/// A target of the group.
struct GroupTarget {
    key: TargetKey,
    target: Rc<RegisteredTarget>,
    /// Whether the queue may use it.
    usable: bool,
}

/// The state of one group on its dispatcher.
pub(super) struct GroupState {
    queue: DispatchQueue,
    targets: HashMap<String, GroupTarget>,
    next_key: u32,
    waiting: HashMap<TicketId, oneshot::Sender<GroupAnswer>>,
    last_used: Instant,
}

impl GroupState {
    /// The state of a group without targets; permits are numbered from `first_id`.
    pub(super) fn new(first_id: u64) -> Self {
        Self {
            queue: DispatchQueue::new(first_id),
            targets: HashMap::new(),
            next_key: 0,
            waiting: HashMap::new(),
            last_used: Instant::now(),
        }
    }

    /// Applies which targets the group has and which of them may be dispatched now, and answers the
    /// requests for which this matters.
    pub(super) fn refresh(
        &mut self,
        group: &TargetGroup,
        leaving_window: Duration,
        now: Timestamp,
    ) {
        let mut changed = self.remove_unlisted(group);
        for target in &group.targets {
            let usable = !group.evacuated && target.may_dispatch(leaving_window, now);
            changed |= self.set_usable(target, usable);
        }
        if changed {
            self.poll(now);
        }
    }

    /// Removes the targets that are not in the group any more; returns whether there were any.
    fn remove_unlisted(&mut self, group: &TargetGroup) -> bool {
        let (queue, before) = (&mut self.queue, self.targets.len());
        self.targets.retain(|_, known| {
            let stays = group.targets.iter().any(|target| Rc::ptr_eq(target, &known.target));
            if !stays {
                queue.remove_target(known.key);
            }
            stays
        });
        self.targets.len() < before
    }

    /// Adds a target, and sets whether the queue may use it; returns whether this is new.
    fn set_usable(&mut self, target: &Rc<RegisteredTarget>, usable: bool) -> bool {
        let known = match self.targets.get_mut(&target.id) {
            Some(known) => known,
            None => {
                self.next_key += 1;
                let key = TargetKey(self.next_key);
                let added = GroupTarget { key, target: Rc::clone(target), usable: false };
                self.targets.entry(target.id.clone()).or_insert(added)
            }
        };
        if known.usable == usable {
            return false;
        }
        known.usable = usable;
        match usable {
            true => self.queue.set_target(known.key, target.slots),
            false => self.queue.suspend_target(known.key),
        }
        true
    }

    /// Asks for a permit.
    pub(super) fn request(&mut self, call: &AcquireCall, now: Timestamp) -> GroupDecision {
        self.last_used = Instant::now();
        let Some(request) = self.request_of(call, now) else {
            return GroupDecision::Answered(GroupAnswer::Unavailable);
        };
        let decision = self.queue.request(request, now);
        match decision {
            DispatchDecision::Granted(permit) => {
                GroupDecision::Answered(GroupAnswer::Granted(permit))
            }
            DispatchDecision::Refused(refusal) => GroupDecision::Answered(answer_of(refusal)),
            DispatchDecision::Queued(ticket) => {
                let (sender, receiver) = oneshot::channel();
                self.waiting.insert(ticket, sender);
                // It may go before others, or a slot may have become free.
                self.poll(now);
                GroupDecision::Waiting(ticket, receiver)
            }
        }
    }

    /// Cancels a request that waits.
    pub(super) fn cancel(&mut self, ticket: TicketId, now: Timestamp) {
        if self.waiting.remove(&ticket).is_some() {
            self.queue.cancel(ticket);
            self.poll(now);
        }
    }

    /// Releases a permit.
    pub(super) fn release(&mut self, call: &ReleaseCall, now: Timestamp) {
        self.last_used = Instant::now();
        let load = call.signals.load.map(Into::into);
        self.queue.release(PermitId(call.permit), call.outcome.into(), load, now);
    }

    /// Releases a permit that nobody received.
    pub(super) fn release_unsent(&mut self, permit: DispatchPermit, now: Timestamp) {
        let outcome = nickellead_dispatch::PermitOutcome::NotSent;
        self.queue.release(permit.id, outcome, None, now);
    }

    /// Answers the requests whose time has come.
    pub(super) fn poll(&mut self, now: Timestamp) {
        loop {
            let events = self.queue.poll(now);
            if events.is_empty() {
                return;
            }
            for event in events {
                self.deliver(event, now);
            }
        }
    }

    fn deliver(&mut self, event: DispatchEvent, now: Timestamp) {
        let (ticket, answer) = match event {
            DispatchEvent::Granted(ticket, permit) => (ticket, GroupAnswer::Granted(permit)),
            DispatchEvent::Refused(ticket, refusal) => (ticket, answer_of(refusal)),
        };
        let undelivered = match self.waiting.remove(&ticket) {
            Some(sender) => sender.send(answer).err(),
            None => Some(answer),
        };
        if let Some(GroupAnswer::Granted(permit)) = undelivered {
            self.release_unsent(permit, now);
        }
    }

    /// The target that a permit is for.
    pub(super) fn target_of(&self, permit: DispatchPermit) -> Option<&Rc<RegisteredTarget>> {
        let known = self.targets.values().find(|known| known.key == permit.target)?;
        Some(&known.target)
    }

    /// The target with this id.
    pub(super) fn target(&self, id: &str) -> Option<&Rc<RegisteredTarget>> {
        self.targets.get(id).map(|known| &known.target)
    }

    /// When [`Self::poll`] is needed next.
    pub(super) fn next_deadline(&self) -> Option<Timestamp> {
        self.queue.next_deadline()
    }

    /// Number of requests that wait.
    pub(super) fn waiting(&self) -> usize {
        self.queue.waiting()
    }

    /// Whether nothing runs, and nobody has asked for this time.
    pub(super) fn is_idle(&self, time: Duration) -> bool {
        let is_unused = self.queue.waiting() + self.queue.running() == 0;
        is_unused && self.last_used.elapsed() >= time
    }

    /// The request in terms of the queue; `None` if none of the targets it can use is dispatched.
    fn request_of(&self, call: &AcquireCall, now: Timestamp) -> Option<DispatchRequest> {
        let usable_key = |id: &String| {
            let key = self.targets.get(id)?.key;
            self.queue.is_usable(key).then_some(key)
        };
        let owner = match &call.owner {
            Some(id) => Some(usable_key(id)?),
            None => None,
        };
        let mut avoid = [None; MAX_AVOIDED];
        let avoided = call.avoid.iter().filter_map(usable_key);
        for (slot, key) in avoid.iter_mut().zip(avoided) {
            *slot = Some(key);
        }
        let can_use = |known: &GroupTarget| {
            self.queue.is_usable(known.key) && !avoid.contains(&Some(known.key))
        };
        if owner.is_none() && !self.targets.values().any(can_use) {
            return None;
        }
        Some(DispatchRequest {
            owner,
            avoid,
            route: RouteKey(call.route),
            key: call.key,
            rank: call.rank,
            due: now + duration(call.due_in_ms),
            deadline: now + duration(call.deadline_in_ms),
        })
    }
}

fn answer_of(refusal: DispatchRefusal) -> GroupAnswer {
    match refusal.reason {
        RefusalReason::NoCapacity => GroupAnswer::Refused(refusal.retry_after),
        RefusalReason::NoTarget => GroupAnswer::Unavailable,
    }
}
