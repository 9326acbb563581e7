//! Another VM that takes messages, and what becomes of them.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use nickellead_event::{EventName, log_event};
use nickellead_peer::{Acknowledgement, PeerChannel, PeerError};
use nickellead_time::BootClock;

use super::messages::{DISPATCH_PATH, DispatchCall, DispatchReply, ReleaseCall};
use super::peer_health::PeerHealth;

/// Longest time until a dispatcher acknowledges a message: several round trips between VMs with a
/// tenth of a core.
pub(super) const ACK_TIMEOUT: Duration = Duration::from_millis(120);
/// Longest time until a dispatcher acknowledges a request that may not be repeated. A dispatcher knows
/// nothing of the delay of the first message that it gets of a VM, and the request must not run much
/// longer than its caller waits.
const MAX_ACK_TIME: Duration = Duration::from_millis(450);
/// Longest time that the release of a permit takes; the permit expires by itself otherwise.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time until a VM answers a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Another VM that dispatches.
pub(super) struct DispatchPeer {
    channel: PeerChannel<DispatchCall, DispatchReply>,
    health: Cell<PeerHealth>,
}

impl DispatchPeer {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self { channel: PeerChannel::new(address, DISPATCH_PATH), health: Cell::default() }
    }

    /// Whether a message may be sent now, if it may be lost.
    pub(super) fn may_ask(&self) -> bool {
        let mut health = self.health.get();
        let may_ask = health.may_ask(BootClock.now());
        self.health.set(health);
        may_ask
    }

    /// Whether a request may be handed over, or a permit asked for. A lost dispatcher is tried again
    /// in the background, so that no request waits for it or is lost with it.
    pub(super) fn is_usable(self: &Rc<Self>) -> bool {
        if !self.health.get().is_lost() {
            return true;
        }
        if self.may_ask() {
            let peer = Rc::clone(self);
            actix_rt::spawn(async move {
                // `probe` records the result.
                let _ = peer.probe().await;
            });
        }
        false
    }

    /// Asks whether the VM could serve requests of others, or only whether it answers again.
    pub(super) async fn probe(&self) -> Result<DispatchReply, PeerError> {
        self.call(&DispatchCall::ProbeAssist, PROBE_TIMEOUT).await
    }

    /// Sends a message that must be acknowledged in the usual time.
    pub(super) async fn call(
        &self,
        call: &DispatchCall,
        timeout: Duration,
    ) -> Result<DispatchReply, PeerError> {
        self.call_within(call, ACK_TIMEOUT, timeout).await
    }

    /// Opens a connection within `timeout` unless one is open.
    pub(super) async fn prepare(&self, timeout: Duration) -> Result<(), PeerError> {
        let prepared = self.channel.prepare(timeout).await;
        if let Err(error) = &prepared {
            self.record_lost(error);
        }
        prepared
    }

    /// Sends a message that must be acknowledged within `ack_timeout`.
    pub(super) async fn call_within(
        &self,
        call: &DispatchCall,
        ack_timeout: Duration,
        timeout: Duration,
    ) -> Result<DispatchReply, PeerError> {
        let answer = self.channel.call(call, ack_timeout, timeout).await;
        self.record_end(&answer, timeout);
        answer
    }

    /// Hands over a request. If it is acknowledged late, it is given up if `may_repeat` allows to send
    /// it again, and otherwise waited for.
    pub(super) async fn hand_over(
        &self,
        call: &DispatchCall,
        timeout: Duration,
        may_repeat: &dyn Fn() -> bool,
    ) -> Result<DispatchReply, PeerError> {
        let started = tokio::time::Instant::now();
        let by = |time: Duration| started + time.min(timeout);
        let answer = async {
            let mut pending = self.channel.begin(call, by(ACK_TIMEOUT)).await?;
            let mut acknowledged = pending.wait_acknowledged(by(ACK_TIMEOUT)).await?;
            if acknowledged == Acknowledgement::Late && !may_repeat() {
                self.record_lost(&PeerError::NotAcknowledged);
                acknowledged = pending.wait_acknowledged(by(MAX_ACK_TIME)).await?;
            }
            match acknowledged {
                Acknowledgement::Received => pending.receive(started + timeout).await,
                Acknowledgement::Late => Err(PeerError::NotAcknowledged),
            }
        };
        let answer = answer.await;
        self.record_end(&answer, timeout);
        answer
    }

    /// Records how a call ended that might have taken `timeout`.
    fn record_end(&self, answer: &Result<DispatchReply, PeerError>, timeout: Duration) {
        match answer {
            Ok(_) => {
                let mut health = self.health.get();
                health.record_answer();
                self.health.set(health);
            }
            // It acknowledged the message, and the time of the request ran out.
            Err(PeerError::Timeout) => {}
            // The request had less time than a dispatcher may take.
            Err(_) if timeout < ACK_TIMEOUT => {}
            Err(error) => self.record_lost(error),
        }
    }

    fn record_lost(&self, error: &PeerError) {
        let mut health = self.health.get();
        if health.record_lost(BootClock.now()) {
            log_lost(self.channel.address(), error);
        }
        self.health.set(health);
    }

    /// Releases a permit in the background.
    pub(super) fn release(peer: &Rc<Self>, call: ReleaseCall) {
        let peer = Rc::clone(peer);
        actix_rt::spawn(async move {
            // A permit whose release is lost expires; `call` logs the lost dispatcher.
            let _ = peer.call(&DispatchCall::Release(call), RELEASE_TIMEOUT).await;
        });
    }
}

fn log_lost(address: SocketAddr, error: &PeerError) {
    log_event(EventName::DispatcherLost, &[("address", &address), ("reason", error)]);
}
