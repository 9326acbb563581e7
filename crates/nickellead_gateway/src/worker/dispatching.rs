//! Targets that a dispatcher selects: permits, and requests that the dispatcher sends.

use std::rc::Rc;
use std::time::{Duration, Instant};

use nickellead_core::{ErrorKind, Timestamp};
use nickellead_dispatch::MAX_AVOIDED;
use nickellead_time::BootClock;

use super::{AttemptState, RESPONSE_RETURN_RESERVE, RequestWorker};
use crate::dispatch::{
    AcquireAnswer, DispatchClient, ForwardAnswer, HeldPermit, RequestFacts, TargetGroup,
};
use crate::exchange::{AttemptEnd, AttemptResult};
use crate::incoming::IncomingRequest;
use crate::registered_target::RegisteredTarget;
use crate::{DispatchScope, RepeatClass};

/// Groups of the VM's own availability zone that are asked for one request.
const MAX_NEAR_GROUPS: usize = 2;
/// Most bytes of a request that is forwarded with its body.
const MAX_FORWARDED_BYTES: usize = 1024 * 1024;

/// The target of an attempt, and how the request gets there.
pub(super) enum SelectedTarget {
    /// By this VM's own limits.
    Direct(Rc<RegisteredTarget>),
    /// With a permit of its dispatcher.
    Permitted(Rc<RegisteredTarget>, HeldPermit),
    /// The dispatcher sends it.
    Forwarded(Rc<RegisteredTarget>, Rc<TargetGroup>),
}

/// How an attempt at a selected target ended.
pub(super) enum SendEnd {
    /// The attempt was made, and the target took this long.
    Ended(Box<AttemptEnd>, Duration),
    /// Nothing was sent: the request is sent by this VM's own limits.
    Undispatched,
    /// Nothing was sent: there is no room for the request in time.
    Refused,
}

impl SelectedTarget {
    pub(super) fn target(&self) -> &Rc<RegisteredTarget> {
        match self {
            Self::Direct(target) | Self::Permitted(target, _) | Self::Forwarded(target, _) => {
                target
            }
        }
    }
}

impl RequestWorker {
    /// The client to dispatch a request with; `None` if it is sent by this VM's own limits.
    pub(super) fn dispatch_client(
        &self,
        incoming: &IncomingRequest,
    ) -> Option<&Rc<DispatchClient>> {
        let dispatch = self.dispatch.as_ref().filter(|_| self.policy.dispatch.is_on())?;
        let state = self.state.borrow();
        let is_in_scope = dispatch.scope == DispatchScope::Always;
        let needs_no_key = state.workspaces.is_none() && incoming.workspace.is_none();
        let is_fleet_known = !state.fleet.vms.is_empty();
        (is_in_scope && needs_no_key && is_fleet_known).then_some(&dispatch.client)
    }

    /// Selects the target of the next attempt through its dispatcher, or else by this VM's own
    /// limits.
    ///
    /// # Errors
    /// The reason for refusing the request.
    pub(super) async fn select_target(
        &self,
        incoming: &IncomingRequest,
        service: &str,
        attempts: &mut AttemptState,
    ) -> Result<SelectedTarget, ErrorKind> {
        let undispatched = std::mem::take(&mut attempts.undispatched);
        if let Some(client) = self.dispatch_client(incoming).filter(|_| !undispatched) {
            let sharded = self.state.borrow().is_sharded(service);
            let dispatched = match sharded {
                true => self.dispatch_owner(client, incoming, service, attempts).await?,
                false => self.dispatch_any(client, incoming, service, attempts).await?,
            };
            if let Some(selected) = dispatched {
                return Ok(selected);
            }
            self.metrics.dispatch.unavailable.inc();
        }
        if !attempts.admitted && !self.is_admitted(incoming, service) {
            return Err(ErrorKind::Overloaded);
        }
        attempts.admitted = true;
        self.wait_for_target(incoming, service, attempts).await.map(SelectedTarget::Direct)
    }

    /// Asks for a permit for any target of a service; `None` if no dispatcher decides.
    async fn dispatch_any(
        &self,
        client: &Rc<DispatchClient>,
        incoming: &IncomingRequest,
        service: &str,
        attempts: &AttemptState,
    ) -> Result<Option<SelectedTarget>, ErrorKind> {
        let mut shortest_wait: Option<Duration> = None;
        for group in self.groups_to_ask(client, incoming, service, attempts) {
            let avoid = self.avoided_targets(&group, attempts);
            let facts = request_facts(incoming, None, avoid);
            match client.acquire(&group, facts).await {
                AcquireAnswer::Granted(permit) => {
                    let granted = self.permitted_target(&permit, attempts);
                    let Some(target) = granted else {
                        permit.release_unsent();
                        return Ok(None);
                    };
                    self.record_attempt(&target);
                    self.metrics.dispatch.spilled.inc_by(u64::from(target.zone != self.zone));
                    return Ok(Some(SelectedTarget::Permitted(target, permit)));
                }
                AcquireAnswer::Refused(wait) => {
                    shortest_wait = Some(shortest_wait.map_or(wait, |known| known.min(wait)));
                }
                AcquireAnswer::Unavailable => {}
            }
        }
        let Some(wait) = shortest_wait else { return Ok(None) };
        match self.bounded_target(incoming, service, attempts) {
            Some(target) => {
                self.record_attempt(&target);
                Ok(Some(SelectedTarget::Direct(target)))
            }
            None => Err(refuse(incoming, wait)),
        }
    }

    /// The target of a permit, if this VM may send to it.
    fn permitted_target(
        &self,
        permit: &HeldPermit,
        attempts: &AttemptState,
    ) -> Option<Rc<RegisteredTarget>> {
        let state = self.state.borrow();
        let target = state.registry.find(permit.target())?;
        self.may_use(target, attempts, BootClock.now()).then(|| Rc::clone(target))
    }

    /// Whether the next attempt may be made at a target that a dispatcher selects.
    fn may_use(&self, target: &RegisteredTarget, attempts: &AttemptState, now: Timestamp) -> bool {
        let may_dispatch = target.may_dispatch(self.leaving_window, now);
        may_dispatch && !attempts.tried.contains(&target.id)
    }

    /// A target with room that no dispatcher decides for, because a bound on what all VMs send to it
    /// is in force. This VM keeps its own part of the bound.
    fn bounded_target(
        &self,
        incoming: &IncomingRequest,
        service: &str,
        attempts: &AttemptState,
    ) -> Option<Rc<RegisteredTarget>> {
        let now = BootClock.now();
        let state = self.state.borrow();
        let is_usable = |target: &&Rc<RegisteredTarget>| {
            !target.may_dispatch(self.leaving_window, now)
                && target.may_send(self.leaving_window, now)
                && target.has_capacity()
                && !target.is_leaving()
                && !target.is_down(now)
                && !attempts.tried.contains(&target.id)
                && self.allows_zone(incoming, &target.zone)
                && self.reachability.may_attempt(&target.zone, now)
        };
        let usable: Vec<_> = state.registry.subset(service).iter().filter(is_usable).collect();
        let near: Vec<_> = usable.iter().filter(|target| target.zone == self.zone).collect();
        let mut rng = self.rng.borrow_mut();
        let chosen = rng.choice(near).copied().or_else(|| rng.choice(usable));
        chosen.map(Rc::clone)
    }

    /// Groups to ask for a permit, in this order: two of the VM's own availability zone, then one of
    /// another zone.
    fn groups_to_ask(
        &self,
        client: &DispatchClient,
        incoming: &IncomingRequest,
        service: &str,
        attempts: &AttemptState,
    ) -> Vec<Rc<TargetGroup>> {
        let state = self.state.borrow();
        let now = BootClock.now();
        let is_usable = |group: &&Rc<TargetGroup>| {
            group.is_dispatched()
                && self.allows_zone(incoming, group.zone())
                && self.reachability.may_attempt(group.zone(), now)
                && group.targets().iter().any(|target| self.may_use(target, attempts, now))
        };
        let usable = state.groups.of_service(service).filter(is_usable).map(Rc::clone);
        let (mut near, mut far): (Vec<_>, Vec<_>) =
            usable.partition(|group| group.zone() == self.zone);
        let mut rng = self.rng.borrow_mut();
        rng.shuffle(&mut near);
        rng.shuffle(&mut far);
        near.truncate(MAX_NEAR_GROUPS);
        near.sort_by_key(|group| client.expected_wait(group));
        near.extend(far.into_iter().next());
        near
    }

    /// Targets of a group that the next attempt can't use: those that were tried, and those that this
    /// VM knows not to accept requests.
    fn avoided_targets(&self, group: &TargetGroup, attempts: &AttemptState) -> Vec<String> {
        let now = BootClock.now();
        let unusable = group.targets().iter().filter(|target| !self.may_use(target, attempts, now));
        unusable.map(|target| target.id.clone()).take(MAX_AVOIDED).collect()
    }

    /// Selects the owner of a key through its dispatcher; `None` if none decides for it.
    async fn dispatch_owner(
        &self,
        client: &Rc<DispatchClient>,
        incoming: &IncomingRequest,
        service: &str,
        attempts: &AttemptState,
    ) -> Result<Option<SelectedTarget>, ErrorKind> {
        if self.state.borrow().registry.is_empty() {
            return Ok(None);
        }
        let key = incoming.key.ok_or(ErrorKind::KeyMissing)?;
        loop {
            let owner = self.wait_for_owner(incoming, service, key, attempts).await?;
            self.check_owner(incoming, &owner)?;
            let Some(group) = self.owner_group(service, &owner) else { return Ok(None) };
            if is_forwarded(incoming) {
                return Ok(Some(SelectedTarget::Forwarded(owner, group)));
            }
            let facts = request_facts(incoming, Some(owner.id.clone()), Vec::new());
            let permit = match client.acquire(&group, facts).await {
                AcquireAnswer::Granted(permit) => permit,
                AcquireAnswer::Refused(wait) => return Err(refuse(incoming, wait)),
                AcquireAnswer::Unavailable => return Ok(None),
            };
            // The key may have moved, and the owner's signals may have changed, while the request
            // waited.
            let known = self.usable_owner(service, key, attempts);
            if known.is_some_and(|known| Rc::ptr_eq(&known, &owner)) {
                if owner.may_send(self.leaving_window, BootClock.now()) {
                    self.record_attempt(&owner);
                    return Ok(Some(SelectedTarget::Permitted(owner, permit)));
                }
                permit.release_unsent();
                return Ok(None);
            }
            permit.release_unsent();
        }
    }

    /// Records that a request is sent to a target, for the reach of its availability zone.
    fn record_attempt(&self, target: &RegisteredTarget) {
        self.reachability.record_attempt(&target.zone, &target.id, BootClock.now());
    }

    /// Checks what no other owner can make good.
    fn check_owner(
        &self,
        incoming: &IncomingRequest,
        owner: &RegisteredTarget,
    ) -> Result<(), ErrorKind> {
        let now = BootClock.now();
        if !self.allows_zone(incoming, &owner.zone) {
            return Err(ErrorKind::RegionNotAllowed);
        }
        if owner.signals.get().is_paused(now) {
            return Err(ErrorKind::TargetPaused);
        }
        Ok(())
    }

    /// The group of an owner; `None` if requests to the owner are not dispatched now.
    fn owner_group(&self, service: &str, owner: &RegisteredTarget) -> Option<Rc<TargetGroup>> {
        let now = BootClock.now();
        let may_dispatch = owner.may_dispatch(self.leaving_window, now);
        // The tries of a zone that is out of reach are left to this VM's own connections.
        if !may_dispatch || !self.reachability.is_in_reach(&owner.zone, now) {
            return None;
        }
        let state = self.state.borrow();
        let group = state.groups.of_target(service, owner).filter(|group| group.is_dispatched())?;
        Some(Rc::clone(group))
    }

    /// Sends a request to its selected target.
    pub(super) async fn send_to(
        &self,
        incoming: &IncomingRequest,
        service: &str,
        selected: SelectedTarget,
        attempts: &AttemptState,
    ) -> SendEnd {
        let since = Instant::now();
        match selected {
            SelectedTarget::Direct(target) => {
                let end = self.attempt(incoming, service, &target).await;
                SendEnd::Ended(Box::new(end), since.elapsed())
            }
            SelectedTarget::Permitted(target, permit) => {
                let end = self.attempt(incoming, service, &target).await;
                permit.release(&end, since.elapsed());
                SendEnd::Ended(Box::new(end), since.elapsed())
            }
            SelectedTarget::Forwarded(target, group) => {
                self.forward(incoming, service, &target, &group, attempts).await
            }
        }
    }

    /// Hands a request to the dispatcher of its owner.
    async fn forward(
        &self,
        incoming: &IncomingRequest,
        service: &str,
        owner: &RegisteredTarget,
        group: &TargetGroup,
        attempts: &AttemptState,
    ) -> SendEnd {
        let Some(client) = self.dispatch_client(incoming) else { return SendEnd::Undispatched };
        let response_size = &incoming.route.response_size;
        let Ok(held) = self.memory.admit(self.memory.reservation(response_size)) else {
            let end = AttemptEnd::from(AttemptResult::Forbidden(ErrorKind::MemoryFull));
            return SendEnd::Ended(Box::new(end), Duration::ZERO);
        };
        let since = Instant::now();
        let facts = request_facts(incoming, Some(owner.id.clone()), Vec::new());
        let may_repeat = || self.may_repeat_sent(incoming, service, attempts);
        match client.forward(group, facts, &incoming.outgoing, held, &may_repeat).await {
            ForwardAnswer::Ended(end, latency) => match end.result {
                // The dispatcher can't reach the owner; this VM may.
                AttemptResult::NotSent(_) => SendEnd::Undispatched,
                _ => {
                    self.record_attempt(owner);
                    if let AttemptResult::Responded(response) = &end.result {
                        response_size.record(response.body.len());
                    }
                    SendEnd::Ended(end, latency)
                }
            },
            ForwardAnswer::Refused(wait) => {
                refuse(incoming, wait);
                SendEnd::Refused
            }
            ForwardAnswer::Unavailable => SendEnd::Undispatched,
            ForwardAnswer::Lost(reason) => {
                let end = AttemptEnd::from(AttemptResult::Lost(reason));
                SendEnd::Ended(Box::new(end), since.elapsed())
            }
        }
    }
}

/// Whether the dispatcher of its owner sends a request. A large body would pass through the links of
/// two VMs.
fn is_forwarded(incoming: &IncomingRequest) -> bool {
    let rule = &incoming.route.rule;
    rule.repeat == RepeatClass::Safe
        && !rule.large_responses
        && incoming.outgoing.body.len() <= MAX_FORWARDED_BYTES
}

/// Keeps when there will be room for a refused request.
fn refuse(incoming: &IncomingRequest, wait: Duration) -> ErrorKind {
    incoming.capacity_retry_after.set(Some(wait));
    ErrorKind::Overloaded
}

fn request_facts(
    incoming: &IncomingRequest,
    owner: Option<String>,
    avoid: Vec<String>,
) -> RequestFacts {
    let due = incoming.latency_deadline().saturating_duration_since(Instant::now());
    RequestFacts {
        owner,
        avoid,
        route: xxhash_rust::xxh3::xxh3_64(incoming.route.rule.name.as_bytes()),
        key: incoming.key,
        rank: incoming.priority(),
        due_in: due,
        deadline_in: incoming.remaining().saturating_sub(RESPONSE_RETURN_RESERVE),
    }
}
