//! A permit that a request holds while it is sent.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::messages::{GroupId, ReleaseCall, WireOutcome, WireSignals};
use super::peer::DispatchPeer;
use super::server::DispatchServer;
use super::wire::millis;
use crate::connections::ConnectFailure;
use crate::exchange::{AttemptEnd, AttemptResult, LossReason};

/// Who granted a permit.
pub(super) enum PermitIssuer {
    /// This VM.
    Local(Rc<DispatchServer>),
    /// Another VM.
    Remote(Rc<DispatchPeer>),
}

/// A permit of a dispatcher. Dropping it releases it as abandoned.
pub(crate) struct HeldPermit {
    pub(super) issuer: PermitIssuer,
    pub(super) group: GroupId,
    pub(super) permit: u64,
    pub(super) target: String,
    pub(super) since: Instant,
    pub(super) released: bool,
}

impl HeldPermit {
    pub(super) fn new(issuer: PermitIssuer, group: GroupId, permit: u64, target: String) -> Self {
        Self { issuer, group, permit, target, since: Instant::now(), released: false }
    }

    /// Id of the target that the request may be sent to.
    pub(crate) fn target(&self) -> &str {
        &self.target
    }

    /// Releases the permit after the attempt for which it was used.
    pub(crate) fn release(mut self, end: &AttemptEnd, latency: Duration) {
        let outcome = outcome_of(&end.result, latency);
        self.send(outcome, WireSignals::from(end.signals));
    }

    /// Releases the permit without having sent anything.
    pub(crate) fn release_unsent(mut self) {
        self.send(WireOutcome::NotSent, WireSignals::default());
    }

    fn send(&mut self, outcome: WireOutcome, signals: WireSignals) {
        self.released = true;
        let call = ReleaseCall {
            group: self.group.clone(),
            permit: self.permit,
            target: self.target.clone(),
            outcome,
            signals,
        };
        match &self.issuer {
            PermitIssuer::Local(server) => server.release(&call),
            PermitIssuer::Remote(peer) => DispatchPeer::release(peer, call),
        }
    }
}

impl Drop for HeldPermit {
    fn drop(&mut self) {
        if !self.released {
            let after_ms = millis(self.since.elapsed());
            self.send(WireOutcome::Abandoned { after_ms }, WireSignals::default());
        }
    }
}

/// What an attempt tells the dispatcher about the target.
fn outcome_of(result: &AttemptResult, latency: Duration) -> WireOutcome {
    match result {
        AttemptResult::Responded(response) if response.status.is_server_error() => {
            WireOutcome::Failed
        }
        AttemptResult::Responded(_) => WireOutcome::Responded { latency_ms: millis(latency) },
        AttemptResult::Shed => WireOutcome::Shed,
        // The cause is this VM or its view of the zone.
        AttemptResult::NotSent(ConnectFailure::OutOfReach | ConnectFailure::Unopened)
        | AttemptResult::Lost(LossReason::NoMemory) => WireOutcome::NotSent,
        AttemptResult::NotSent(_) | AttemptResult::Lost(_) => WireOutcome::NoResponse,
        AttemptResult::Misdirected | AttemptResult::Withheld | AttemptResult::Forbidden(_) => {
            WireOutcome::NotSent
        }
    }
}
