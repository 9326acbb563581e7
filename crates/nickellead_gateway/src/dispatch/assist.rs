//! Hands requests to other VMs while this VM reaches no target.
//!
//! Another VM serves such a request like one of its own callers, and never hands it on.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use nickellead_core::{ErrorKind, Timestamp};
use nickellead_limit::HeldBytes;
use nickellead_peer::PeerError;
use nickellead_time::BootClock;

use super::messages::{AssistAnswer, AssistCall, DispatchCall, DispatchReply};
use super::peer::{ACK_TIMEOUT, DispatchPeer};
use super::wire::{duration, millis};
use crate::RepeatClass;
use crate::exchange::{LossReason, OutgoingRequest, TargetResponse};
use crate::fleet::FleetTable;
use crate::load_counter::VmId;

/// Most VMs that one request is handed to, one after the other.
const MAX_VMS_PER_REQUEST: usize = 3;
/// Most VMs of this VM's availability zone that it hands requests to, and most of other zones.
/// Connections must not grow with the fleet.
const MAX_ASSISTANTS: usize = 12;
/// How long a VM that declined a request is passed over.
const DECLINED_TIME: Duration = Duration::from_millis(500);
/// How long the last sign of a VM that reaches targets counts.
const ASSISTANT_TTL: Duration = Duration::from_millis(1_500);
/// Consecutive calls without an answer after which no other VM counts as reachable.
const ISOLATING_FAILURES: u32 = 3;

/// What another VM needs to know of a request beside the request itself.
pub(crate) struct AssistFacts {
    /// Version of the declarations by which this VM routed the request.
    pub(crate) version: u64,
    /// Whether the request may run more than once.
    pub(crate) repeat: RepeatClass,
    /// Attempts that may have reached a target.
    pub(crate) attempts_made: u32,
    /// Time since the caller's first attempt.
    pub(crate) caller_age: Duration,
    /// Time until a response is of no more use.
    pub(crate) deadline_in: Duration,
}

/// How handing a request to another VM ended.
pub(crate) enum AssistEnd {
    /// A response of a target.
    Responded(TargetResponse),
    /// The other VM failed the request, and advises the caller to wait this long.
    Failed(ErrorKind, Option<Duration>),
    /// The other VM did not take the request.
    Declined,
    /// The other VM may have taken the request and gave no answer.
    Lost(LossReason),
}

/// Another VM that may serve requests.
struct AssistPeer {
    peer: DispatchPeer,
    declined_at: Cell<Option<Timestamp>>,
}

impl AssistPeer {
    fn new(address: SocketAddr) -> Self {
        Self { peer: DispatchPeer::new(address), declined_at: Cell::default() }
    }

    /// Passes it over for a while.
    fn decline(&self) {
        self.declined_at.set(Some(BootClock.now()));
    }

    fn has_declined(&self, now: Timestamp) -> bool {
        self.declined_at.get().is_some_and(|at| now.since(at) < DECLINED_TIME)
    }
}

/// Hands requests to other VMs.
pub(crate) struct AssistClient {
    vm: VmId,
    peers: RefCell<HashMap<SocketAddr, Rc<AssistPeer>>>,
    /// When a VM last showed that it reaches targets.
    assistant_seen: Cell<Option<Timestamp>>,
    /// Calls without an answer since the last answer of any VM.
    unanswered: Cell<u32>,
}

impl AssistClient {
    pub(crate) fn new(vm: VmId) -> Self {
        Self {
            vm,
            peers: RefCell::default(),
            assistant_seen: Cell::default(),
            unanswered: Cell::default(),
        }
    }

    /// Forgets the VMs that are gone.
    pub(crate) fn retain(&self, fleet: &FleetTable) {
        let is_known = |address: &SocketAddr| fleet.vms.values().any(|one| *one == Some(*address));
        self.peers.borrow_mut().retain(|address, _| is_known(address));
    }

    /// Whether another VM has shown lately that it reaches targets.
    pub(crate) fn has_assistant(&self, now: Timestamp) -> bool {
        self.assistant_seen.get().is_some_and(|at| now.since(at) < ASSISTANT_TTL)
    }

    /// Whether no other VM answers.
    pub(crate) fn is_isolated(&self) -> bool {
        self.unanswered.get() >= ISOLATING_FAILURES
    }

    /// The VMs that this VM may hand requests to: a few of its own availability zone, and a few others.
    ///
    /// Rendezvous hashing selects them, so that the VMs of a zone spread their requests evenly.
    fn select(
        &self,
        fleet: &FleetTable,
        allows: impl Fn(VmId) -> bool,
    ) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let others = fleet.vms.iter().filter(|(vm, _)| **vm != self.vm && allows(**vm));
        let others = others.filter_map(|(vm, address)| Some((*vm, (*address)?)));
        let (near, far): (Vec<_>, Vec<_>) =
            others.partition(|(vm, _)| vm.shares_zone_with(self.vm));
        let best = |mut vms: Vec<(VmId, SocketAddr)>| {
            vms.sort_by_cached_key(|(vm, _)| vm.rank_seed(self.vm.key()));
            vms.into_iter().map(|(_, address)| address).take(MAX_ASSISTANTS).collect()
        };
        (best(near), best(far))
    }

    /// The VMs to hand a request to, in this order, of those that `allows` accepts.
    ///
    /// VMs of this VM's availability zone come first, unless at most half of the zone's VMs take
    /// requests: these would have to serve those of the whole zone.
    pub(crate) fn choose(
        &self,
        fleet: &FleetTable,
        allows: impl Fn(VmId) -> bool,
        rng: &mut fastrand::Rng,
    ) -> Vec<SocketAddr> {
        let now = BootClock.now();
        let (mut near, mut far) = self.select(fleet, allows);
        let vms_in_zone = near.len() + 1;
        let peers = self.peers.borrow();
        let is_willing =
            |address: &SocketAddr| peers.get(address).is_none_or(|peer| !peer.has_declined(now));
        near.retain(is_willing);
        far.retain(is_willing);
        if near.len() * 2 <= vms_in_zone {
            near.append(&mut far);
        }
        rng.shuffle(&mut near);
        rng.shuffle(&mut far);
        near.into_iter().chain(far).take(MAX_VMS_PER_REQUEST).collect()
    }

    /// Hands a request to another VM; `held` has room for the response.
    pub(crate) async fn assist(
        &self,
        address: SocketAddr,
        facts: &AssistFacts,
        request: &OutgoingRequest,
        held: HeldBytes,
    ) -> AssistEnd {
        let asked = Instant::now();
        let assistant = self.peer(address);
        if !assistant.peer.may_ask() {
            assistant.decline();
            return AssistEnd::Declined;
        }
        // Nothing was sent if there is no connection.
        let prepared = assistant.peer.prepare(ACK_TIMEOUT.min(facts.deadline_in)).await;
        if prepared.is_err() {
            self.record_unanswered();
            assistant.decline();
            return AssistEnd::Declined;
        }
        let mut call = DispatchCall::Assist(Box::new(AssistCall {
            version: facts.version,
            attempts_made: facts.attempts_made,
            caller_age_ms: millis(facts.caller_age),
            deadline_in_ms: millis(facts.deadline_in),
            request: request.into(),
        }));
        let passed = asked.elapsed();
        call.pass_time(passed);
        let left = facts.deadline_in.saturating_sub(passed);
        // A request that may run only once can't be handed to another VM after it was sent.
        let ack_timeout = match facts.repeat {
            RepeatClass::Safe => ACK_TIMEOUT,
            RepeatClass::Unsafe => left,
        };
        match assistant.peer.call_within(&call, ack_timeout, left).await {
            Ok(reply) => self.apply_reply(&assistant, reply, held),
            Err(error) if error.is_unhandled() => {
                assistant.decline();
                AssistEnd::Declined
            }
            Err(PeerError::Timeout) => AssistEnd::Lost(LossReason::Late),
            Err(_) => {
                self.record_unanswered();
                assistant.decline();
                AssistEnd::Lost(LossReason::Broken)
            }
        }
    }

    fn apply_reply(
        &self,
        assistant: &AssistPeer,
        reply: DispatchReply,
        held: HeldBytes,
    ) -> AssistEnd {
        self.unanswered.set(0);
        let DispatchReply::Assisted(answer) = reply else {
            assistant.decline();
            return AssistEnd::Declined;
        };
        match *answer {
            AssistAnswer::Responded(response) => {
                self.assistant_seen.set(Some(BootClock.now()));
                match response.into_response(held) {
                    Ok(response) => AssistEnd::Responded(response),
                    Err(reason) => AssistEnd::Lost(reason),
                }
            }
            AssistAnswer::Failed { error, retry_after_ms } => match ErrorKind::parse(&error) {
                Some(kind) => AssistEnd::Failed(kind, retry_after_ms.map(duration)),
                None => AssistEnd::Lost(LossReason::Foreign),
            },
        }
    }

    /// Asks one of the other VMs whether it could serve requests.
    pub(crate) async fn probe(&self, fleet: &FleetTable, rng: &mut fastrand::Rng) {
        let (near, far) = self.select(fleet, |_| true);
        let Some(address) = rng.choice(near.into_iter().chain(far).collect::<Vec<_>>()) else {
            return;
        };
        let assistant = self.peer(address);
        if !assistant.peer.may_ask() {
            return;
        }
        match assistant.peer.probe().await {
            Ok(DispatchReply::Released) => {
                self.unanswered.set(0);
                self.assistant_seen.set(Some(BootClock.now()));
            }
            Ok(_) => {
                self.unanswered.set(0);
                assistant.decline();
            }
            Err(_) => self.record_unanswered(),
        }
    }

    fn record_unanswered(&self) {
        self.unanswered.set(self.unanswered.get().saturating_add(1));
    }

    fn peer(&self, address: SocketAddr) -> Rc<AssistPeer> {
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(address).or_insert_with(|| Rc::new(AssistPeer::new(address)));
        Rc::clone(peer)
    }
}
