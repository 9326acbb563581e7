//! Finding the target of the next try, and waiting until it has room.

use std::rc::Rc;
use std::time::{Duration, Instant};

use nickellead_balance::{Candidate, SelectionRules, choose};
use nickellead_core::{ErrorKind, Timestamp};
use nickellead_limit::WaitQueue;
use nickellead_time::BootClock;

use super::{AttemptState, RequestWorker};
use crate::WeightedService;
use crate::incoming::IncomingRequest;
use crate::target_registry::RegisteredTarget;
use crate::waiting::wait_for;

/// A range without an owner for longer is not on a planned move, which takes about the time of a
/// request: it waits for a lost target's hold, seconds long, and requests for it are refused at once.
const OWNERLESS_LONG: Duration = Duration::from_millis(1_000);

/// What a look for a target came to.
enum RoomLook {
    /// It may be sent the request now.
    Found(Rc<RegisteredTarget>),
    /// It has no room now.
    Full(Rc<RegisteredTarget>),
}

impl RequestWorker {
    /// A target with room, or why none was found in time.
    pub(super) async fn wait_for_turn(
        &self,
        planned: &IncomingRequest,
        service: &str,
        state: &AttemptState,
    ) -> Result<Rc<RegisteredTarget>, ErrorKind> {
        loop {
            let member = match self.look_for_room(planned, service, state).await? {
                RoomLook::Found(member) => return Ok(member),
                RoomLook::Full(member) => member,
            };
            let divided = self.beliefs.borrow().is_divided(service);
            let service_queue = self.queue(service);
            let turns = if divided { &member.wait_queue } else { &*service_queue };
            let ahead = match divided {
                true => turns.waiting(),
                // The turns of all members come to the one queue.
                false => turns.waiting() / self.part_size(service),
            };
            let left = self.time_for_turn(planned, &member, ahead).ok_or(ErrorKind::Overloaded)?;
            let mut turn = turns.join(planned.route.rule.priority);
            let woken = tokio::time::timeout(left, turn.wait()).await;
            if woken.is_err() {
                turns.leave(&turn);
                return Err(ErrorKind::Overloaded);
            }
        }
    }

    /// A target that may be sent the request now, or one to wait for.
    async fn look_for_room(
        &self,
        planned: &IncomingRequest,
        service: &str,
        state: &AttemptState,
    ) -> Result<RoomLook, ErrorKind> {
        let mut chosen = self.choose_member(planned, service, state).await;
        while chosen.is_err() && self.beliefs.borrow().roster.is_empty() {
            // The VM has just started: what it is told next is the list of targets.
            self.wait_for_targets(planned.latency_deadline()).await?;
            chosen = self.choose_member(planned, service, state).await;
        }
        let member = chosen?;
        let now = BootClock.now();
        if member.signals.get().is_paused(now) {
            return Err(ErrorKind::TargetPaused);
        }
        if !member.cold_limiter.may_send(now) {
            // Its keys have no other owner, and it would fall over for more.
            return Err(ErrorKind::Overloaded);
        }
        if !member.rate_allows(now) {
            return Err(ErrorKind::TargetLimited);
        }
        if !self.reach.may_attempt(&member.zone, now) {
            return Err(ErrorKind::TargetUnreachable);
        }
        if !member.has_capacity() {
            return Ok(RoomLook::Full(member));
        }
        self.reach.record_attempt(&member.zone, now);
        Ok(RoomLook::Found(member))
    }

    /// How long a request may wait for a member's room behind `ahead` others; `None` when its answer
    /// would not be in time, so that waiting is of no use to the caller.
    fn time_for_turn(
        &self,
        planned: &IncomingRequest,
        member: &RegisteredTarget,
        ahead: usize,
    ) -> Option<Duration> {
        let limit = member.concurrency_limit.get();
        let answer = limit.mean_latency(planned.route.rule.latency_target);
        let whole = planned.latency_deadline().saturating_duration_since(Instant::now());
        let left = whole.saturating_sub(answer);
        let comes = left >= limit.expected_wait(ahead, answer);
        let hopeful = comes || !self.policy.turn_prediction.is_on();
        (hopeful && !left.is_zero()).then_some(left)
    }

    /// Members of a service that this VM sends to.
    fn part_size(&self, service: &str) -> usize {
        self.beliefs.borrow().roster.subset(service).len().max(1)
    }

    /// Waits for the first list of targets.
    async fn wait_for_targets(&self, until: Instant) -> Result<(), ErrorKind> {
        let is_listed = || !self.beliefs.borrow().roster.is_empty();
        let listed = wait_for(&self.changed, || is_listed().then_some(()));
        let waited = tokio::time::timeout_at(until.into(), listed).await;
        waited.map_err(|_| ErrorKind::NotConfigured)
    }

    /// The queue of a service.
    pub(super) fn queue(&self, service: &str) -> Rc<WaitQueue> {
        let mut queues = self.queues.borrow_mut();
        match queues.get(service) {
            Some(queue) => Rc::clone(queue),
            None => Rc::clone(queues.entry(service.to_owned()).or_default()),
        }
    }

    /// The target for the next try, with room or without.
    async fn choose_member(
        &self,
        planned: &IncomingRequest,
        service: &str,
        state: &AttemptState,
    ) -> Result<Rc<RegisteredTarget>, ErrorKind> {
        if self.beliefs.borrow().is_divided(service) {
            let key = planned.key.ok_or(ErrorKind::KeyMissing)?;
            return self.wait_for_owner(planned, service, key, state).await;
        }
        self.balance(service, &state.tried)
    }

    /// Whether a member owns keys and wants nothing now: nobody else can serve them.
    pub(super) fn owner_is_paused(&self, service: &str, member: &RegisteredTarget) -> bool {
        let divided = self.beliefs.borrow().is_divided(service);
        divided && member.signals.get().is_paused(BootClock.now())
    }

    /// How long it takes until a target that could serve a request wants requests again.
    pub(super) fn pause_left(&self, planned: &IncomingRequest) -> Duration {
        let now = BootClock.now();
        let beliefs = self.beliefs.borrow();
        let part_pause = |part: &WeightedService| match planned
            .key
            .filter(|_| beliefs.is_divided(&part.service))
        {
            Some(key) => {
                let range = beliefs.ranges.find(&part.service, key);
                let owner =
                    range.and_then(|range| beliefs.roster.find_instance(range.owner.as_ref()?));
                owner.map(|owner| owner.signals.get().pause_remaining(now))
            }
            None => {
                let members = beliefs.roster.available(&part.service).iter();
                members.map(|member| member.signals.get().pause_remaining(now)).min()
            }
        };
        planned.route.rule.split.iter().filter_map(part_pause).min().unwrap_or_default()
    }

    fn balance(&self, service: &str, tried: &[String]) -> Result<Rc<RegisteredTarget>, ErrorKind> {
        let beliefs = self.beliefs.borrow();
        let now = BootClock.now();
        let stay = self.leaving_stay;
        let usable = |member: &&Rc<RegisteredTarget>| {
            !tried.contains(&member.id) && member.may_send(stay, now)
        };
        let reached = |member: &&Rc<RegisteredTarget>| {
            let in_reach = !member.is_down(now) && self.reach.may_attempt(&member.zone, now);
            usable(member) && in_reach && !member.is_leaving()
        };
        let part = match self.policy.subsets.is_on() {
            true => beliefs.roster.subset(service),
            false => beliefs.roster.available(service),
        };
        let all = beliefs.roster.available(service);
        let mut fresh: Vec<&Rc<RegisteredTarget>> = part.iter().filter(reached).collect();
        let full = !fresh.iter().any(|member| member.has_capacity());
        if fresh.is_empty() || full && !beliefs.roster.is_partitioned(service) {
            fresh = all.iter().filter(reached).collect();
        }
        if fresh.is_empty() {
            fresh = all.iter().filter(usable).collect();
        }
        if fresh.iter().any(|member| member.has_capacity()) {
            fresh.retain(|member| member.has_capacity());
        }
        let scores: Vec<_> = fresh.iter().map(|member| member.score.borrow()).collect();
        let candidates: Vec<Candidate<'_>> = fresh
            .iter()
            .zip(&scores)
            .map(|(member, score)| Candidate {
                score,
                slots: member.slots,
                same_zone: member.zone == self.zone,
                cold: member.cold_limiter.is_cold(now),
            })
            .collect();
        let rules = SelectionRules {
            ejection: self.policy.ejection.is_on(),
            prefer_same_zone: self.policy.near_preference.is_on(),
            avoid_cold: self.policy.cold_avoidance.is_on(),
        };
        let chosen = choose(&candidates, rules, now, &mut self.rng.borrow_mut());
        chosen.map(|place| Rc::clone(fresh[place])).ok_or_else(|| lacks_target(all, now))
    }

    /// The owner of a key; waits a bounded time while its range moves.
    async fn wait_for_owner(
        &self,
        planned: &IncomingRequest,
        service: &str,
        key: u16,
        state: &AttemptState,
    ) -> Result<Rc<RegisteredTarget>, ErrorKind> {
        if self.policy.ownerless_refusal.is_on() && self.lacks_owner_for_long(service, key) {
            return Err(ErrorKind::MoveTooLong);
        }
        // Nobody else can serve the key, so the request waits for as long as it can be in time.
        let until = match self.policy.move_wait.is_on() {
            true => planned.latency_deadline().min(planned.deadline),
            false => planned.arrived_at,
        };
        let waiting = wait_for(&self.changed, || self.owner(service, key, state));
        let waited = tokio::time::timeout_at(until.into(), waiting).await;
        waited.map_err(|_| ErrorKind::MoveTooLong)
    }

    /// Whether nobody could be asked for a key for so long that waiting is of no use.
    fn lacks_owner_for_long(&self, service: &str, key: u16) -> bool {
        let beliefs = self.beliefs.borrow();
        let Some(range) = beliefs.ranges.find(service, key) else { return false };
        let owner = range.owner.as_ref().filter(|_| range.settled);
        let mut ownerless = self.ownerless.borrow_mut();
        let now = BootClock.now();
        let owner = owner.and_then(|owner| beliefs.roster.find_instance(owner));
        if let Some(leaving) = owner.and_then(|owner| owner.signals.get().leaving_since()) {
            // Its keys have been about to move since it said that it leaves.
            return now.since(leaving) >= self.leaving_stay.max(OWNERLESS_LONG);
        }
        if owner.is_some() {
            ownerless.remove(&range.fence);
            return false;
        }
        let since = *ownerless.entry(range.fence).or_insert_with(Instant::now);
        since.elapsed() >= OWNERLESS_LONG
    }

    /// The settled owner of a key, unless it has just refused this request.
    fn owner(&self, service: &str, key: u16, state: &AttemptState) -> Option<Rc<RegisteredTarget>> {
        let beliefs = self.beliefs.borrow();
        let range = beliefs.ranges.find(service, key).filter(|range| range.settled)?;
        let owner = range.owner.as_ref().filter(|owner| !state.misdirected.contains(&owner.id))?;
        let member = beliefs.roster.find_instance(owner)?;
        let now = BootClock.now();
        let stays = member.signals.get().serves_owned_keys(self.leaving_stay, now);
        let asked = stays && !beliefs.zones.is_closed(&member.zone, now);
        asked.then(|| Rc::clone(member))
    }
}

/// Why none of a service's targets can be sent a request now.
fn lacks_target(members: &[Rc<RegisteredTarget>], now: Timestamp) -> ErrorKind {
    let staying = || members.iter().filter(|member| !member.is_leaving());
    if staying().next().is_none() {
        ErrorKind::NoTarget
    } else if staying().any(|member| member.signals.get().is_paused(now)) {
        ErrorKind::TargetPaused
    } else if staying().any(|member| !member.rate_allows(now)) {
        ErrorKind::TargetLimited
    } else {
        ErrorKind::Overloaded
    }
}
