//! Selects the target of the next attempt and waits until it has capacity.

use std::rc::Rc;
use std::time::{Duration, Instant};

use nickellead_balance::{Candidate, ReachRules, SelectionRules, choose};
use nickellead_core::{ErrorKind, Timestamp};
use nickellead_limit::WaitQueue;
use nickellead_time::BootClock;

use super::{AttemptState, RequestWorker};
use crate::WeightedService;
use crate::incoming::IncomingRequest;
use crate::registered_target::RegisteredTarget;
use crate::waiting::wait_for;

/// Longest time that a range has no owner during a planned move. A range that has none for longer
/// waits for the lease of a lost target to expire, which takes seconds, so requests for it are
/// refused at once.
const MAX_PLANNED_MOVE_DURATION: Duration = Duration::from_millis(1_000);

/// The selected target, and whether it accepts a request now.
enum TargetCapacity {
    Available(Rc<RegisteredTarget>),
    Full(Rc<RegisteredTarget>),
}

impl RequestWorker {
    /// Waits for a target with capacity.
    ///
    /// # Errors
    /// The reason for refusing the request when none is found in time.
    pub(super) async fn wait_for_target(
        &self,
        incoming: &IncomingRequest,
        service: &str,
        attempts: &AttemptState,
    ) -> Result<Rc<RegisteredTarget>, ErrorKind> {
        loop {
            let target = match self.find_target(incoming, service, attempts).await? {
                TargetCapacity::Available(target) => return Ok(target),
                TargetCapacity::Full(target) => target,
            };
            let sharded = self.state.borrow().is_sharded(service);
            let service_queue = self.queue(service);
            let queue = if sharded { &target.wait_queue } else { &*service_queue };
            let ahead = match sharded {
                true => queue.waiting(),
                // The queue of the service is served by all targets of the subset.
                false => queue.waiting() / self.subset_size(service),
            };
            let left = self.queue_timeout(incoming, &target, ahead).ok_or(ErrorKind::Overloaded)?;
            let mut ticket = queue.join(incoming.priority());
            let waited = tokio::time::timeout(left, ticket.wait()).await;
            if waited.is_err() {
                queue.leave(&ticket);
                return Err(ErrorKind::Overloaded);
            }
        }
    }

    /// Selects a target that accepts the request now, or one to wait for.
    async fn find_target(
        &self,
        incoming: &IncomingRequest,
        service: &str,
        attempts: &AttemptState,
    ) -> Result<TargetCapacity, ErrorKind> {
        let mut chosen = self.choose_target(incoming, service, attempts).await;
        while chosen.is_err() && self.state.borrow().registry.is_empty() {
            // A VM that has just started has not received the list of targets yet.
            self.wait_for_targets(incoming.latency_deadline()).await?;
            chosen = self.choose_target(incoming, service, attempts).await;
        }
        let target = chosen?;
        let has_no_path = self.must_hand_over(incoming, attempts) || self.is_cut_off_silently();
        if has_no_path {
            return Err(ErrorKind::TargetUnreachable);
        }
        if !self.allows_zone(incoming, &target.zone) {
            // The keys have no other owner.
            return Err(ErrorKind::RegionNotAllowed);
        }
        let now = BootClock.now();
        if target.signals.get().is_paused(now) {
            return Err(ErrorKind::TargetPaused);
        }
        if !target.cold_limiter.may_send(now) {
            // The keys have no other owner, and a cold target must not exceed its limit.
            return Err(ErrorKind::Overloaded);
        }
        if !target.rate_allows(now) {
            return Err(ErrorKind::TargetLimited);
        }
        let is_used_up = self.is_used_up(&target, attempts);
        if is_used_up || !self.reachability.may_attempt(&target.zone, now) {
            return Err(ErrorKind::TargetUnreachable);
        }
        if !self.accepts(&target, incoming) {
            return Ok(TargetCapacity::Full(target));
        }
        self.reachability.record_attempt(&target.zone, &target.id, now);
        Ok(TargetCapacity::Available(target))
    }

    /// Whether a target has capacity for one more request and room for its body.
    fn accepts(&self, target: &RegisteredTarget, incoming: &IncomingRequest) -> bool {
        let has_room = !self.memory.is_bounded()
            || target.request_bytes.has_room(incoming.outgoing.body.len());
        target.has_capacity() && has_room
    }

    /// How long a request may wait for the target's capacity behind `ahead` others, or `None` when
    /// its response would miss the latency target.
    fn queue_timeout(
        &self,
        incoming: &IncomingRequest,
        target: &RegisteredTarget,
        ahead: usize,
    ) -> Option<Duration> {
        let limit = target.concurrency_limit.get();
        let response_time = limit.mean_latency(incoming.route.rule.latency_target);
        let remaining = incoming.latency_deadline().saturating_duration_since(Instant::now());
        let left = remaining.saturating_sub(response_time);
        let in_time = left >= limit.expected_wait(ahead, response_time);
        let may_wait = in_time || !self.policy.turn_prediction.is_on();
        (may_wait && !left.is_zero()).then_some(left)
    }

    /// Number of targets of a service that this VM sends requests to, at least 1.
    fn subset_size(&self, service: &str) -> usize {
        self.state.borrow().registry.subset(service).len().max(1)
    }

    /// Waits for the first list of targets that is not empty.
    async fn wait_for_targets(&self, until: Instant) -> Result<(), ErrorKind> {
        let is_listed = || !self.state.borrow().registry.is_empty();
        let first_list = wait_for(&self.changed, || is_listed().then_some(()));
        let waited = tokio::time::timeout_at(until.into(), first_list).await;
        waited.map_err(|_| ErrorKind::NotConfigured)
    }

    /// The wait queue that all targets of an unsharded service share.
    pub(super) fn queue(&self, service: &str) -> Rc<WaitQueue> {
        let mut queues = self.queues.borrow_mut();
        match queues.get(service) {
            Some(queue) => Rc::clone(queue),
            None => Rc::clone(queues.entry(service.to_owned()).or_default()),
        }
    }

    /// The target of the next attempt: the owner of the key, or else the one that balancing
    /// selects. It may have no capacity.
    async fn choose_target(
        &self,
        incoming: &IncomingRequest,
        service: &str,
        attempts: &AttemptState,
    ) -> Result<Rc<RegisteredTarget>, ErrorKind> {
        if self.state.borrow().is_sharded(service) {
            let key = incoming.key.ok_or(ErrorKind::KeyMissing)?;
            return self.wait_for_owner(incoming, service, key, attempts).await;
        }
        self.select_balanced(incoming, service, attempts)
    }

    /// Whether the target owns keys and is paused, so that no other target can serve the request.
    pub(super) fn owner_is_paused(&self, service: &str, target: &RegisteredTarget) -> bool {
        let sharded = self.state.borrow().is_sharded(service);
        sharded && target.signals.get().is_paused(BootClock.now())
    }

    /// Time until the pause of the first target that can serve the request ends.
    pub(super) fn remaining_pause(&self, incoming: &IncomingRequest) -> Duration {
        let now = BootClock.now();
        let state = self.state.borrow();
        let service_pause = |weighted: &WeightedService| match incoming
            .key
            .filter(|_| state.is_sharded(&weighted.service))
        {
            Some(key) => {
                let range = state.ranges.find(&weighted.service, key);
                let owner =
                    range.and_then(|range| state.registry.find_instance(range.owner.as_ref()?));
                owner.map(|owner| owner.signals.get().pause_remaining(now))
            }
            None => {
                let targets = state.registry.available(&weighted.service).iter();
                targets.map(|target| target.signals.get().pause_remaining(now)).min()
            }
        };
        incoming.route.rule.split.iter().filter_map(service_pause).min().unwrap_or_default()
    }

    /// Selects a target by its score, preferably within this VM's subset and among the targets that
    /// are reachable and have capacity.
    fn select_balanced(
        &self,
        incoming: &IncomingRequest,
        service: &str,
        attempts: &AttemptState,
    ) -> Result<Rc<RegisteredTarget>, ErrorKind> {
        let state = self.state.borrow();
        let now = BootClock.now();
        let leaving_window = self.leaving_window;
        let usable = |target: &&Rc<RegisteredTarget>| {
            !attempts.tried.contains(&target.id)
                && target.may_send(leaving_window, now)
                && self.allows_zone(incoming, &target.zone)
        };
        let all_failures = self.reachability.rules() == ReachRules::AllFailures;
        let may_attempt = |target: &&Rc<RegisteredTarget>| {
            usable(target)
                && self.reachability.may_attempt(&target.zone, now)
                && !self.is_used_up(target, attempts)
        };
        let reachable = |target: &&Rc<RegisteredTarget>| {
            let in_reach = !all_failures || self.reachability.is_in_reach(&target.zone, now);
            may_attempt(target) && in_reach && !target.is_down(now) && !target.is_leaving()
        };
        let subset = match self.policy.subsets.is_on() {
            true => state.registry.subset(service),
            false => state.registry.available(service),
        };
        let all = state.registry.available(service);
        let mut eligible: Vec<&Rc<RegisteredTarget>> = subset.iter().filter(reachable).collect();
        let all_full = !eligible.iter().any(|target| self.accepts(target, incoming));
        if eligible.is_empty() || all_full && !state.registry.is_partitioned(service) {
            eligible = all.iter().filter(reachable).collect();
        }
        if eligible.is_empty() && all_failures {
            eligible = all.iter().filter(may_attempt).collect();
            if eligible.is_empty() && all.iter().any(|target| usable(&target)) {
                return Err(ErrorKind::TargetUnreachable);
            }
        } else if eligible.is_empty() {
            eligible = all.iter().filter(usable).collect();
        }
        if all_failures && incoming.route.rule.large_responses {
            // A large response leaves its zone only if no target of the zone has room.
            let is_near = |target: &&Rc<RegisteredTarget>| {
                target.zone == self.zone && reachable(target) && self.accepts(target, incoming)
            };
            if all.iter().any(|target| is_near(&target)) {
                eligible = all.iter().filter(is_near).collect();
            }
        }
        if eligible.iter().any(|target| self.accepts(target, incoming)) {
            eligible.retain(|target| self.accepts(target, incoming));
        }
        let scores: Vec<_> = eligible.iter().map(|target| target.score.borrow()).collect();
        let candidates: Vec<Candidate<'_>> = eligible
            .iter()
            .zip(&scores)
            .map(|(target, score)| Candidate {
                score,
                slots: target.slots,
                same_zone: target.zone == self.zone,
                cold: target.cold_limiter.is_cold(now),
            })
            .collect();
        let rules = SelectionRules {
            ejection: self.policy.ejection.is_on(),
            prefer_same_zone: self.policy.near_preference.is_on(),
            avoid_cold: self.policy.cold_avoidance.is_on(),
        };
        let chosen = choose(&candidates, rules, now, &mut self.rng.borrow_mut());
        chosen.map(|index| Rc::clone(eligible[index])).ok_or_else(|| no_target_reason(all, now))
    }

    /// Returns the owner of a key. Waits while its range moves, at most until a response would miss
    /// the latency target.
    pub(super) async fn wait_for_owner(
        &self,
        incoming: &IncomingRequest,
        service: &str,
        key: u16,
        attempts: &AttemptState,
    ) -> Result<Rc<RegisteredTarget>, ErrorKind> {
        if self.policy.ownerless_refusal.is_on() && self.is_ownerless_too_long(service, key) {
            return Err(ErrorKind::MoveTooLong);
        }
        // No other target can serve the key.
        let until = match self.policy.move_wait.is_on() {
            true => incoming.latency_deadline().min(incoming.deadline),
            false => incoming.arrived_at,
        };
        let waiting = wait_for(&self.changed, || self.usable_owner(service, key, attempts));
        let waited = tokio::time::timeout_at(until.into(), waiting).await;
        waited.map_err(|_| ErrorKind::MoveTooLong)
    }

    /// Whether a range has had no usable owner for so long that waiting does not help.
    fn is_ownerless_too_long(&self, service: &str, key: u16) -> bool {
        let state = self.state.borrow();
        let Some(range) = state.ranges.find(service, key) else { return false };
        let owner = range.owner.as_ref().filter(|_| range.settled);
        let mut ownerless = self.ownerless_since.borrow_mut();
        let now = BootClock.now();
        let owner = owner.and_then(|owner| state.registry.find_instance(owner));
        if let Some(leaving) = owner.and_then(|owner| owner.signals.get().leaving_since()) {
            // The keys have been waiting for a move since the owner announced that it leaves.
            return now.since(leaving) >= self.leaving_window.max(MAX_PLANNED_MOVE_DURATION);
        }
        if owner.is_some() {
            ownerless.remove(&range.fence);
            return false;
        }
        let since = *ownerless.entry(range.fence).or_insert_with(Instant::now);
        since.elapsed() >= MAX_PLANNED_MOVE_DURATION
    }

    /// The settled owner of a key, unless it has just refused this request or does not accept
    /// requests.
    pub(super) fn usable_owner(
        &self,
        service: &str,
        key: u16,
        attempts: &AttemptState,
    ) -> Option<Rc<RegisteredTarget>> {
        let state = self.state.borrow();
        let range = state.ranges.find(service, key).filter(|range| range.settled)?;
        let owner =
            range.owner.as_ref().filter(|owner| !attempts.misdirected.contains(&owner.id))?;
        let target = state.registry.find_instance(owner)?;
        let now = BootClock.now();
        let stays = target.signals.get().serves_owned_keys(self.leaving_window, now);
        let accepts = stays && !state.zones.is_closed(&target.zone, now);
        accepts.then(|| Rc::clone(target))
    }
}

/// Why none of a service's targets accepts a request.
fn no_target_reason(targets: &[Rc<RegisteredTarget>], now: Timestamp) -> ErrorKind {
    let staying = || targets.iter().filter(|target| !target.is_leaving());
    if staying().next().is_none() {
        ErrorKind::NoTarget
    } else if staying().any(|target| target.signals.get().is_paused(now)) {
        ErrorKind::TargetPaused
    } else if staying().any(|target| !target.rate_allows(now)) {
        ErrorKind::TargetLimited
    } else {
        ErrorKind::Overloaded
    }
}
