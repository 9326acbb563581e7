//! Subscribes to other VMs and polls them for updates.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use nickellead_event::{EventName, log_event};
use nickellead_peer::{ExchangeProgress, PeerClient};
use nickellead_time::BootClock;

use super::messages::{RELAY_PATH, RelayRequest, RelayResponse, UpdateRequest};
use super::{
    LONG_POLL_TIMEOUT, SubscriptionEnd, UnavailableStorePolicy, UpdateRelay, UpdateUpstream,
};
use crate::cluster_state::{StateCursor, StateUpdate};
use crate::metrics::ThreadStep;
use crate::thread_turns::run_step;

/// How long a response may take to begin, beyond [`LONG_POLL_TIMEOUT`], before the upstream counts
/// as lost.
///
/// Together with `MAX_UPDATE_AGE` and `CONNECTIVITY_CHECK_INTERVAL` it bounds the delay of a change
/// that an upstream misses to the two seconds that the platform allows.
const UPSTREAM_RESPONSE_MARGIN: Duration = Duration::from_millis(350);
/// How long a response with declarations may take to begin.
///
/// It only ends requests that got lost: polls for updates detect a lost upstream, and declarations
/// that arrive late are read from the store meanwhile.
const DECLARATIONS_TIMEOUT: Duration = Duration::from_secs(4);
/// Delay before the next poll of an upstream without updates because the store is unavailable.
const STORE_UNAVAILABLE_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Delay before declarations are requested again from a VM that has announced them but does not
/// have them yet.
const DECLARATIONS_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Responses of at least this size are logged, in bytes.
const LARGE_RESPONSE_BYTES: usize = 16 * 1024;

type RelayClient = PeerClient<RelayRequest, RelayResponse>;

/// Why an upstream is no longer polled.
enum PollEnd {
    /// It named another VM.
    Redirect(SocketAddr),
    /// It failed.
    Lost(UpstreamLoss),
    /// The store does not respond to the VM at the root.
    StoreUnavailable,
}

/// Why an upstream is lost.
#[derive(Clone, Copy)]
enum UpstreamLoss {
    /// It did not respond in time, or the connection failed.
    NoResponse,
    /// It has no fresh state itself.
    Disconnected,
    /// Its response does not apply to the state of this VM.
    Unusable,
    /// The mandate holder is stopping.
    Vacant,
    /// This VM holds the mandate now.
    HoldsMandate,
}

impl UpstreamLoss {
    const fn as_str(self) -> &'static str {
        match self {
            Self::NoResponse => "no-answer",
            Self::Disconnected => "out-of-touch",
            Self::Unusable => "unusable",
            Self::Vacant => "vacant",
            Self::HoldsMandate => "leads",
        }
    }
}

impl UpdateRelay {
    /// Polls `first`, or the VMs that it redirects to, for as long as one of them responds.
    ///
    /// Returns when no upstream is left, or as `policy` says.
    pub(crate) async fn subscribe(
        &self,
        first: SocketAddr,
        policy: UnavailableStorePolicy,
    ) -> SubscriptionEnd {
        let mut avoid = Vec::new();
        let mut address = first;
        loop {
            match self.subscribe_to(address, &avoid, policy).await {
                PollEnd::StoreUnavailable => return SubscriptionEnd::StoreUnavailable,
                PollEnd::Redirect(other) if other != self.address && !avoid.contains(&other) => {
                    address = other;
                }
                _ if self.holds_mandate.get() || address == first => break,
                _ => {
                    // The mandate holder no longer redirects to a VM that failed, and may serve
                    // this one itself.
                    avoid.push(address);
                    address = first;
                }
            }
        }
        if matches!(self.upstream.get(), UpdateUpstream::Vm(_)) {
            self.set_upstream(UpdateUpstream::Seeking);
        }
        SubscriptionEnd::NoUpstream
    }

    /// Polls one VM: for updates on one connection, and for announced declarations on another.
    async fn subscribe_to(
        &self,
        address: SocketAddr,
        avoid: &[SocketAddr],
        policy: UnavailableStorePolicy,
    ) -> PollEnd {
        let mut updates = RelayClient::new(address, RELAY_PATH);
        let mut declarations = RelayClient::new(address, RELAY_PATH);
        let (end, progress) = tokio::select! {
            end = self.poll_updates(&mut updates, avoid, policy) => (end, updates.progress()),
            reason = self.fetch_declarations(&mut declarations) => {
                (PollEnd::Lost(reason), declarations.progress())
            }
        };
        if let PollEnd::Lost(reason) = end {
            log_upstream_lost(address, reason, progress);
        }
        end
    }

    /// Polls a VM for updates until it fails or redirects.
    async fn poll_updates(
        &self,
        client: &mut RelayClient,
        avoid: &[SocketAddr],
        policy: UnavailableStorePolicy,
    ) -> PollEnd {
        let mut cursor = self.cluster.cursor();
        while !self.holds_mandate.get() {
            let mut load = self.load_counter.take();
            load.vms.insert(self.own_report.vm, self.own_report.dispatch_address);
            let request = UpdateRequest {
                zone: self.zone.clone(),
                address: self.address,
                cursor,
                avoid: avoid.to_vec(),
                load,
            };
            let sent_at = BootClock.now();
            match client
                .call(
                    &RelayRequest::Updates(Box::new(request)),
                    LONG_POLL_TIMEOUT + UPSTREAM_RESPONSE_MARGIN,
                )
                .await
            {
                Ok(RelayResponse::Update(update, ages)) => {
                    log_large_response(client.address(), client.progress());
                    if let Some(confirmed) = ages.declarations {
                        self.cluster.confirm_declarations(confirmed.receive(sent_at));
                    }
                    let age = ages.root_contact + client.progress().transfer_time;
                    cursor = match self.apply_update(*update, age) {
                        Ok(cursor) => cursor,
                        Err(reason) => return PollEnd::Lost(reason),
                    };
                    self.root_store_unavailable.set(false);
                    self.set_upstream(UpdateUpstream::Vm(client.address()));
                }
                Ok(RelayResponse::StoreUnavailable) => {
                    self.root_store_unavailable.set(true);
                    if policy == UnavailableStorePolicy::Leave {
                        return PollEnd::StoreUnavailable;
                    }
                    self.set_upstream(UpdateUpstream::Vm(client.address()));
                    tokio::time::sleep(STORE_UNAVAILABLE_RETRY_DELAY).await;
                }
                Ok(RelayResponse::Redirect(other)) => return PollEnd::Redirect(other),
                Ok(RelayResponse::Disconnected) => {
                    return PollEnd::Lost(UpstreamLoss::Disconnected);
                }
                Ok(
                    RelayResponse::Declarations(_)
                    | RelayResponse::Tokens(_)
                    | RelayResponse::Crashes(_),
                ) => {
                    return PollEnd::Lost(UpstreamLoss::Unusable);
                }
                Err(_) => return PollEnd::Lost(UpstreamLoss::NoResponse),
            }
        }
        PollEnd::Lost(UpstreamLoss::HoldsMandate)
    }

    fn apply_update(
        &self,
        update: StateUpdate,
        age: Duration,
    ) -> Result<StateCursor, UpstreamLoss> {
        self.root_contact.set(Instant::now().checked_sub(age));
        let apply = || self.cluster.apply_update(update);
        let cursor = run_step(ThreadStep::Update, &self.thread_metrics, apply);
        let cursor = cursor.ok_or(UpstreamLoss::Unusable)?;
        match self.cluster.mandate() {
            // The mandate holder is stopping, and another VM has to take the mandate now.
            Some(mandate) if mandate.value.vacant => Err(UpstreamLoss::Vacant),
            _ => Ok(cursor),
        }
    }

    /// Requests declarations whenever newer ones are announced; returns when a request fails.
    async fn fetch_declarations(&self, client: &mut RelayClient) -> UpstreamLoss {
        // Steps may not apply to the known declarations; a whole copy always does.
        let mut whole = false;
        loop {
            self.cluster.wait_for_missing_declarations().await;
            let known = self.cluster.declared_state().filter(|_| !whole);
            let update =
                match client.call(&RelayRequest::Declarations(known), DECLARATIONS_TIMEOUT).await {
                    Ok(RelayResponse::Declarations(update)) => update,
                    Ok(_) => return UpstreamLoss::Unusable,
                    Err(_) => return UpstreamLoss::NoResponse,
                };
            log_large_response(client.address(), client.progress());
            let Some(update) = update else {
                // The upstream does not have them itself yet.
                tokio::time::sleep(DECLARATIONS_RETRY_DELAY).await;
                continue;
            };
            let applied = self.cluster.apply_declarations_update(update);
            if !applied && whole {
                return UpstreamLoss::Unusable;
            }
            // Declarations read from the store may have arrived first.
            whole = !applied && self.cluster.is_missing_declarations();
        }
    }
}

fn log_large_response(upstream: SocketAddr, progress: ExchangeProgress) {
    if progress.bytes < LARGE_RESPONSE_BYTES {
        return;
    }
    let pairs: [(&str, &dyn std::fmt::Display); 4] = [
        ("source", &upstream),
        ("bytes", &progress.bytes),
        ("waited_ms", &progress.time_to_response.as_millis()),
        ("on_way_ms", &progress.transfer_time.as_millis()),
    ];
    log_event(EventName::NewsTaken, &pairs);
}

fn log_upstream_lost(upstream: SocketAddr, reason: UpstreamLoss, progress: ExchangeProgress) {
    let pairs: [(&str, &dyn std::fmt::Display); 5] = [
        ("source", &upstream),
        ("reason", &reason.as_str()),
        ("bytes", &progress.bytes),
        ("waited_ms", &progress.time_to_response.as_millis()),
        ("on_way_ms", &progress.transfer_time.as_millis()),
    ];
    log_event(EventName::SourceLeft, &pairs);
}
