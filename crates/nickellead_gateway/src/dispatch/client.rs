//! Asks dispatchers for permits, and hands them requests to send.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use nickellead_limit::HeldBytes;
use nickellead_peer::PeerError;
use nickellead_time::BootClock;

use super::groups::{GroupTable, TargetGroup};
use super::messages::{AcquireCall, DispatchCall, DispatchReply, ForwardCall, GroupId, ZoneReport};
use super::peer::DispatchPeer;
use super::permit::{HeldPermit, PermitIssuer};
use super::server::DispatchServer;
use super::wire::{duration, millis};
use crate::exchange::{AttemptEnd, LossReason, OutgoingRequest};
use crate::metrics::RetryMetrics;

/// Longest time that the report of a zone takes; it counts for little longer.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Answers within this time count as immediate.
const IMMEDIATE_ANSWER: Duration = Duration::from_millis(10);

/// What a dispatcher needs to know of a request.
pub(crate) struct RequestFacts {
    /// The owner of the request's key; `None` if any target of the group can serve it.
    pub(crate) owner: Option<String>,
    /// Targets that the request can't use.
    pub(crate) avoid: Vec<String>,
    /// Hash of the route's name.
    pub(crate) route: u64,
    pub(crate) key: Option<u16>,
    /// Priority; 0 is the highest.
    pub(crate) rank: u8,
    /// Time until the response is due.
    pub(crate) due_in: Duration,
    /// Time until the response is of no more use.
    pub(crate) deadline_in: Duration,
}

impl RequestFacts {
    fn into_call(self, group: &TargetGroup) -> AcquireCall {
        AcquireCall {
            group: group.id.clone(),
            owner: self.owner,
            avoid: self.avoid,
            route: self.route,
            key: self.key,
            rank: self.rank,
            due_in_ms: millis(self.due_in),
            deadline_in_ms: millis(self.deadline_in),
        }
    }
}

/// Result of asking for a permit.
pub(crate) enum AcquireAnswer {
    Granted(HeldPermit),
    /// When there will be room.
    Refused(Duration),
    /// No dispatcher decides for the target.
    Unavailable,
}

/// Result of handing a request to a dispatcher.
pub(crate) enum ForwardAnswer {
    /// The dispatcher made an attempt, and the target took this long.
    Ended(Box<AttemptEnd>, Duration),
    /// When there will be room.
    Refused(Duration),
    /// No dispatcher decides for the target, and none has sent the request.
    Unavailable,
    /// The dispatcher may have sent the request.
    Lost(LossReason),
}

/// What became of a request that was handed to one dispatcher.
enum HandOverEnd {
    Replied(DispatchReply),
    /// The dispatcher does not send the request.
    NotTaken,
    /// The dispatcher may have sent the request.
    Unknown(LossReason),
}

/// What a group's dispatcher last told: how long a request has to wait there.
#[derive(Clone, Copy)]
struct ToldWait {
    wait: Duration,
    at: Instant,
}

/// Asks the dispatchers of groups.
pub(crate) struct DispatchClient {
    server: Rc<DispatchServer>,
    /// Address at which other VMs reach this VM's dispatcher.
    own_address: SocketAddr,
    peers: RefCell<HashMap<SocketAddr, Rc<DispatchPeer>>>,
    told_waits: RefCell<HashMap<GroupId, ToldWait>>,
    metrics: RetryMetrics,
}

impl DispatchClient {
    pub(crate) fn new(
        server: Rc<DispatchServer>,
        own_address: SocketAddr,
        metrics: RetryMetrics,
    ) -> Rc<Self> {
        Rc::new(Self {
            metrics,
            server,
            own_address,
            peers: RefCell::default(),
            told_waits: RefCell::default(),
        })
    }

    /// Replaces the groups after the registry was rebuilt.
    pub(crate) fn set_groups(&self, table: Rc<GroupTable>) {
        self.retain(&table);
        self.server.set_groups(table);
    }

    /// The dispatcher of this VM.
    pub(crate) fn server(&self) -> &Rc<DispatchServer> {
        &self.server
    }

    /// Asks for a permit.
    pub(crate) async fn acquire(&self, group: &TargetGroup, facts: RequestFacts) -> AcquireAnswer {
        let asked = Instant::now();
        let mut call = facts.into_call(group);
        let mut passed = Duration::ZERO;
        for address in group.dispatchers.into_iter().flatten() {
            let elapsed = asked.elapsed();
            call.pass_time(elapsed.saturating_sub(std::mem::replace(&mut passed, elapsed)));
            let Some((reply, issuer)) = self.ask(address, &call).await else { continue };
            match reply {
                DispatchReply::Granted { permit, target } => {
                    self.record_wait(group, asked.elapsed());
                    let held = HeldPermit::new(issuer, group.id.clone(), permit, target);
                    return AcquireAnswer::Granted(held);
                }
                DispatchReply::Refused { retry_after_ms } => {
                    let wait = duration(retry_after_ms);
                    self.record_wait(group, wait);
                    return AcquireAnswer::Refused(wait);
                }
                DispatchReply::Unavailable => return AcquireAnswer::Unavailable,
                DispatchReply::NotServing
                | DispatchReply::Released
                | DispatchReply::Forwarded(_)
                | DispatchReply::Assisted(_) => {}
            }
        }
        AcquireAnswer::Unavailable
    }

    /// Asks one dispatcher for a permit; `None` if it gave no answer.
    async fn ask(
        &self,
        address: SocketAddr,
        call: &AcquireCall,
    ) -> Option<(DispatchReply, PermitIssuer)> {
        if address == self.own_address {
            let issuer = PermitIssuer::Local(Rc::clone(&self.server));
            return Some((self.server.acquire(call).await, issuer));
        }
        let peer = self.peer(address);
        if !peer.is_usable() {
            return None;
        }
        let left = duration(call.deadline_in_ms);
        let reply = peer.call(&DispatchCall::Acquire(call.clone()), left).await;
        reply.ok().map(|reply| (reply, PermitIssuer::Remote(peer)))
    }

    /// Hands a request to a dispatcher, which sends it; `held` has room for the response.
    ///
    /// `may_repeat` tells whether the request could be sent again after it was lost.
    pub(crate) async fn forward(
        &self,
        group: &TargetGroup,
        facts: RequestFacts,
        request: &OutgoingRequest,
        held: HeldBytes,
        may_repeat: &dyn Fn() -> bool,
    ) -> ForwardAnswer {
        let asked = Instant::now();
        let time = facts.deadline_in;
        let call = ForwardCall { acquire: facts.into_call(group), request: request.into() };
        let mut call = DispatchCall::Forward(Box::new(call));
        let mut passed = Duration::ZERO;
        for address in group.dispatchers.into_iter().flatten() {
            let elapsed = asked.elapsed();
            call.pass_time(elapsed.saturating_sub(std::mem::replace(&mut passed, elapsed)));
            let left = time.saturating_sub(elapsed);
            let reply = match self.hand_over(address, &call, left, may_repeat).await {
                HandOverEnd::Replied(reply) => reply,
                HandOverEnd::NotTaken => continue,
                HandOverEnd::Unknown(reason) => return ForwardAnswer::Lost(reason),
            };
            match reply {
                DispatchReply::Forwarded(attempt) => {
                    let (end, latency) = attempt.into_end(held, BootClock.now());
                    return ForwardAnswer::Ended(Box::new(end), latency);
                }
                DispatchReply::Refused { retry_after_ms } => {
                    return ForwardAnswer::Refused(duration(retry_after_ms));
                }
                DispatchReply::Unavailable => return ForwardAnswer::Unavailable,
                DispatchReply::NotServing
                | DispatchReply::Released
                | DispatchReply::Granted { .. }
                | DispatchReply::Assisted(_) => {}
            }
        }
        ForwardAnswer::Unavailable
    }

    /// Hands a request to one dispatcher, which has to answer within `time`.
    async fn hand_over(
        &self,
        address: SocketAddr,
        call: &DispatchCall,
        time: Duration,
        may_repeat: &dyn Fn() -> bool,
    ) -> HandOverEnd {
        if address == self.own_address {
            return match call {
                DispatchCall::Forward(call) => {
                    HandOverEnd::Replied(self.server.forward((**call).clone()).await)
                }
                DispatchCall::Acquire(_)
                | DispatchCall::Release(_)
                | DispatchCall::ZoneReport(_)
                | DispatchCall::Assist(_)
                | DispatchCall::ProbeAssist => HandOverEnd::NotTaken,
            };
        }
        let peer = self.peer(address);
        if !peer.is_usable() {
            return HandOverEnd::NotTaken;
        }
        match peer.hand_over(call, time, may_repeat).await {
            Ok(reply) => HandOverEnd::Replied(reply),
            Err(error) if error.is_unhandled() => HandOverEnd::NotTaken,
            Err(PeerError::Timeout) => HandOverEnd::Unknown(LossReason::Late),
            Err(PeerError::NotAcknowledged) => {
                self.metrics.unacknowledged.inc();
                HandOverEnd::Unknown(LossReason::Dispatcher)
            }
            Err(_) => HandOverEnd::Unknown(LossReason::Dispatcher),
        }
    }

    /// How long a request probably has to wait at a group, by what its dispatcher last told.
    pub(crate) fn expected_wait(&self, group: &TargetGroup) -> Duration {
        let waits = self.told_waits.borrow();
        waits
            .get(&group.id)
            .map_or(Duration::ZERO, |told| told.wait.saturating_sub(told.at.elapsed()))
    }

    /// Tells other VMs of this VM's zone what it found out about another zone.
    ///
    /// A VM that does not receive the report finds out by its own requests.
    pub(crate) fn tell(&self, addresses: &[SocketAddr], reports: &[ZoneReport]) {
        for address in addresses.iter().filter(|address| **address != self.own_address) {
            let peer = self.peer(*address);
            let reports = reports.to_vec();
            actix_rt::spawn(async move {
                for report in reports {
                    if peer.may_ask() {
                        // `call` logs a lost VM.
                        let _ = peer.call(&DispatchCall::ZoneReport(report), REPORT_TIMEOUT).await;
                    }
                }
            });
        }
    }

    /// Forgets the peers and waits of groups that no longer exist.
    fn retain(&self, table: &GroupTable) {
        self.told_waits.borrow_mut().retain(|id, _| table.find(id).is_some());
        self.peers.borrow_mut().retain(|address, _| table.has_dispatcher(*address));
    }

    fn record_wait(&self, group: &TargetGroup, wait: Duration) {
        let wait = if wait < IMMEDIATE_ANSWER { Duration::ZERO } else { wait };
        let told = ToldWait { wait, at: Instant::now() };
        self.told_waits.borrow_mut().insert(group.id.clone(), told);
    }

    fn peer(&self, address: SocketAddr) -> Rc<DispatchPeer> {
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(address).or_insert_with(|| Rc::new(DispatchPeer::new(address)));
        Rc::clone(peer)
    }
}
