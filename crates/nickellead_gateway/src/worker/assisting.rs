//! Has requests served by other VMs while this VM reaches no target, and serves those of others.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::Request;
use nickellead_core::ErrorKind;
use nickellead_event::{EventName, log_event};

use super::repeat_cause::RepeatCause;
use super::{AttemptState, RESPONSE_RETURN_RESERVE, RequestWorker};
use crate::RepeatClass;
use crate::dispatch::{AssistClient, AssistEnd, AssistFacts};
use crate::exchange::{LossReason, TargetResponse};
use crate::incoming::IncomingRequest;
use crate::load_counter::VmId;
use crate::log_sample::is_logged;

/// Most requests of other VMs that this VM serves at the same time, so that its own callers keep
/// most of its processor time and connections.
const MAX_ASSISTED_REQUESTS: usize = 96;

/// A request of another VM's caller.
pub(crate) struct AssistedRequest {
    /// The request as the other VM received it.
    pub(crate) request: Request,
    /// Version of the declarations by which the other VM routed it.
    pub(crate) version: u64,
    /// Attempts that may have reached a target.
    pub(crate) attempts_made: u32,
    /// Time since the caller's first attempt.
    pub(crate) caller_age: Duration,
    /// Time until a response is of no more use.
    pub(crate) deadline_in: Duration,
}

/// Why a request of another VM's caller failed.
pub(crate) struct AssistFailure {
    pub(crate) kind: ErrorKind,
    /// How long the caller is to wait before it retries.
    pub(crate) retry_after: Option<Duration>,
}

impl RequestWorker {
    /// Lets this VM's dispatch address take requests of other VMs' callers.
    pub(crate) fn accept_assisted(self: &Rc<Self>) {
        if let Some(dispatch) = &self.dispatch {
            dispatch.client.server().set_worker(self);
        }
    }

    /// The client that hands requests to other VMs; `None` if this VM can't.
    pub(super) fn assist_client(&self) -> Option<&AssistClient> {
        let dispatch = self.dispatch.as_ref().filter(|_| self.policy.assistance.is_on())?;
        Some(&dispatch.assist)
    }

    /// Whether a request must not be sent by this VM before other VMs were asked.
    pub(super) fn must_hand_over(
        &self,
        incoming: &IncomingRequest,
        attempts: &AttemptState,
    ) -> bool {
        self.is_cut_off() && may_go_elsewhere(incoming, attempts)
    }

    /// Has a request served by another VM, if this VM reaches no target; `None` if this VM is to
    /// serve it itself.
    pub(super) async fn serve_elsewhere(
        &self,
        incoming: &IncomingRequest,
        attempts: &mut AttemptState,
    ) -> Option<Result<TargetResponse, ErrorKind>> {
        if !may_go_elsewhere(incoming, attempts) || !self.leaves_to_others() {
            return None;
        }
        let client = self.assist_client()?;
        self.record_budget(incoming, incoming.main_service(), attempts);
        for address in self.choose_assistants(client, incoming) {
            let Ok(held) =
                self.memory.admit(self.memory.reservation(&incoming.route.response_size))
            else {
                return Some(Err(ErrorKind::MemoryFull));
            };
            let facts = self.assist_facts(incoming, attempts);
            let end = client.assist(address, &facts, &incoming.outgoing, held).await;
            self.metrics.reach.handed_over.inc();
            log_handed_over(incoming, address, &end);
            match end {
                AssistEnd::Responded(response) => {
                    incoming.route.response_size.record(response.body.len());
                    return Some(Ok(response));
                }
                AssistEnd::Failed(kind, _) if is_peculiar_to_vm(kind) => {}
                AssistEnd::Failed(kind, retry_after) => {
                    incoming.assisted_retry_after.set(retry_after);
                    return Some(Err(kind));
                }
                AssistEnd::Declined => {}
                AssistEnd::Lost(reason) => {
                    attempts.may_have_run = true;
                    attempts.sent += 1;
                    attempts.repeat_cause = RepeatCause::AssistLost;
                    if !self.may_repeat(incoming, reason, attempts) {
                        return Some(Err(reason.error_kind()));
                    }
                }
            }
        }
        attempts.unassisted = true;
        None
    }

    /// Whether a request that another VM may have sent is sent again.
    fn may_repeat(
        &self,
        incoming: &IncomingRequest,
        reason: LossReason,
        attempts: &AttemptState,
    ) -> bool {
        incoming.route.rule.repeat == RepeatClass::Safe
            && reason == LossReason::Broken
            && self.take_retry_permit(incoming, incoming.main_service(), attempts)
    }

    fn choose_assistants(
        &self,
        client: &AssistClient,
        incoming: &IncomingRequest,
    ) -> Vec<std::net::SocketAddr> {
        let state = self.state.borrow();
        let zones = &self.regions.zones;
        let allows = |vm: VmId| {
            let mut zones = zones.keys().filter(|zone| vm.is_in_zone(zone));
            zones.all(|zone| self.allows_zone(incoming, zone))
        };
        client.choose(&state.fleet, allows, &mut self.rng.borrow_mut())
    }

    fn assist_facts(&self, incoming: &IncomingRequest, attempts: &AttemptState) -> AssistFacts {
        AssistFacts {
            version: self.state.borrow().version.unwrap_or_default(),
            repeat: incoming.route.rule.repeat,
            attempts_made: attempts.sent,
            caller_age: incoming.caller_age + incoming.arrived_at.elapsed(),
            deadline_in: incoming.remaining().saturating_sub(RESPONSE_RETURN_RESERVE),
        }
    }

    /// Asks another VM whether it reaches targets.
    pub(super) async fn probe_assistant(&self) {
        let Some(client) = self.assist_client() else { return };
        let fleet = std::sync::Arc::clone(&self.state.borrow().fleet);
        let mut rng = self.rng.borrow_mut().fork();
        client.probe(&fleet, &mut rng).await;
    }

    /// Whether this VM serves requests of VMs that reach no target.
    pub(crate) fn may_assist(&self) -> bool {
        let is_ready = self.state.borrow().version.is_some() && !self.drain.is_draining();
        is_ready && !self.is_cut_off() && self.assisted.get() < MAX_ASSISTED_REQUESTS
    }

    /// Serves a request of another VM's caller; `None` if this VM does not take it.
    pub(crate) async fn assist(
        &self,
        assisted: AssistedRequest,
    ) -> Option<Result<TargetResponse, AssistFailure>> {
        // A VM with older declarations might refuse what they allow by now.
        let is_outdated = self.state.borrow().version < Some(assisted.version);
        if is_outdated || !self.may_assist() {
            return None;
        }
        self.assisted.set(self.assisted.get() + 1);
        let _count = AssistGuard(self);
        self.metrics.reach.assisted.inc();
        let id = self.request_id(&assisted.request);
        let started = Instant::now();
        let served = self.serve_assisted(assisted).await;
        log_assisted(&id, served.as_ref().err().map(|failure| failure.kind), started.elapsed());
        Some(served)
    }

    async fn serve_assisted(
        &self,
        assisted: AssistedRequest,
    ) -> Result<TargetResponse, AssistFailure> {
        let AssistedRequest { request, caller_age, deadline_in, attempts_made, .. } = assisted;
        let arrived = Instant::now();
        let fail = |kind, incoming: Option<&IncomingRequest>| AssistFailure {
            kind,
            retry_after: self.advise_retry(kind, incoming),
        };
        let incoming = self.read(request).await.map_err(|kind| fail(kind, None))?;
        let deadline = incoming.deadline.min(arrived + deadline_in);
        let incoming =
            IncomingRequest { caller_age, deadline, attempts_made, assisted: true, ..incoming };
        if self.drain.ends_before(deadline) {
            return Err(fail(ErrorKind::Stopping, Some(&incoming)));
        }
        self.serve(&incoming).await.map_err(|kind| fail(kind, Some(&incoming)))
    }
}

/// Counts a request of another VM until it is dropped.
struct AssistGuard<'a>(&'a RequestWorker);

impl Drop for AssistGuard<'_> {
    fn drop(&mut self) {
        self.0.assisted.set(self.0.assisted.get().saturating_sub(1));
    }
}

/// Whether other VMs may be asked to serve a request.
fn may_go_elsewhere(incoming: &IncomingRequest, attempts: &AttemptState) -> bool {
    !incoming.assisted && !attempts.unassisted
}

/// Whether another VM may serve a request that one VM refused for this reason.
fn is_peculiar_to_vm(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::NotConfigured
            | ErrorKind::UnknownRoute
            | ErrorKind::KeysOutdated
            | ErrorKind::QuotaUnknown
            | ErrorKind::RegionNotAllowed
            | ErrorKind::Stopping
            | ErrorKind::MemoryFull
            | ErrorKind::TargetUnreachable
    )
}

fn log_handed_over(incoming: &IncomingRequest, address: std::net::SocketAddr, end: &AssistEnd) {
    let id = incoming.outgoing.request_id.as_bytes();
    let result = match end {
        AssistEnd::Responded(_) => "responded",
        AssistEnd::Failed(kind, _) => kind.response().code,
        AssistEnd::Declined => "declined",
        AssistEnd::Lost(reason) => reason.as_str(),
    };
    if matches!(end, AssistEnd::Responded(_)) && !is_logged(id) {
        return;
    }
    let pairs: [(&str, &dyn std::fmt::Display); 4] = [
        ("request", &String::from_utf8_lossy(id)),
        ("address", &address),
        ("result", &result),
        ("after_ms", &incoming.arrived_at.elapsed().as_millis()),
    ];
    log_event(EventName::RequestHandedOver, &pairs);
}

fn log_assisted(id: &str, failure: Option<ErrorKind>, after: Duration) {
    if failure.is_none() && !is_logged(id.as_bytes()) {
        return;
    }
    let result = failure.map_or("responded", |kind| kind.response().code);
    let pairs: [(&str, &dyn std::fmt::Display); 3] =
        [("request", &id), ("result", &result), ("after_ms", &after.as_millis())];
    log_event(EventName::RequestAssisted, &pairs);
}
