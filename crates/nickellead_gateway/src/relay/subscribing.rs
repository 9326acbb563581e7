//! Following another VM: asking it for news for as long as it has them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use nickellead_event::{EventName, log_event};
use nickellead_peer::{ExchangeProgress, PeerClient};

use super::messages::{RELAY_PATH, RelayRequest, RelayResponse, UpdateRequest};
use super::{
    LONG_POLL_TIMEOUT, SubscriptionEnd, UnavailableStorePolicy, UpdateRelay, UpdateUpstream,
};
use crate::cluster_state::{StateCursor, StateUpdate};

/// How long an answer may take to begin, beyond [`LONG_POLL_TIMEOUT`], before its VM counts as lost.
///
/// With `MAX_UPDATE_AGE` and `CONNECTIVITY_CHECK_INTERVAL` it keeps a change that a source misses within the
/// two seconds that the platform allows for its taking force.
const UPSTREAM_RESPONSE_MARGIN: Duration = Duration::from_millis(350);
/// How long a VM waits until an answer with declarations begins.
///
/// Whether the source lives is seen by the news, and declarations that don't arrive in time are read
/// from the store meanwhile: this only ends a question that was forgotten.
const DECLARATIONS_TIMEOUT: Duration = Duration::from_secs(4);
/// Until a source is asked again that has no news because the store is away.
const STORE_UNAVAILABLE_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Until a VM is asked again for declarations that it announced and does not tell.
const DECLARATIONS_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Answers of this size and above are logged, in bytes: changes of calm seconds are smaller.
const LARGE_RESPONSE_BYTES: usize = 16 * 1024;

type RelayClient = PeerClient<RelayRequest, RelayResponse>;

/// Why a VM is asked for news no more.
enum PollEnd {
    /// It named another VM.
    Redirect(SocketAddr),
    /// It can't be followed.
    Lost(UpstreamLoss),
    /// The store does not answer the VM at the root.
    StoreUnavailable,
}

/// Why a VM can't be followed.
#[derive(Clone, Copy)]
enum UpstreamLoss {
    /// It did not answer in time, or the connection failed.
    NoResponse,
    /// It is out of touch with the store itself.
    Disconnected,
    /// Its news don't follow on what is known here.
    Unusable,
    /// The holder of the mandate stops.
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
    /// Asks `first` for news, and whom it names, for as long as one of them answers.
    ///
    /// Returns when no source is left, or as `rule` says.
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
                    // The one named is of no use: the holder tells it itself then.
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

    /// Follows one VM: news by one connection, and the declarations that they announce by another.
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

    /// Asks a VM for news again and again.
    async fn poll_updates(
        &self,
        client: &mut RelayClient,
        avoid: &[SocketAddr],
        policy: UnavailableStorePolicy,
    ) -> PollEnd {
        let mut cursor = self.cluster.cursor();
        while !self.holds_mandate.get() {
            let mut load = self.load_counter.take();
            load.vms.insert(self.vm_id);
            let request = UpdateRequest {
                zone: self.zone.clone(),
                address: self.address,
                cursor,
                avoid: avoid.to_vec(),
                load,
            };
            match client
                .call(
                    &RelayRequest::Updates(Box::new(request)),
                    LONG_POLL_TIMEOUT + UPSTREAM_RESPONSE_MARGIN,
                )
                .await
            {
                Ok(RelayResponse::Update(update, age)) => {
                    log_large_response(client.address(), client.progress());
                    let age = age + client.progress().on_way;
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
                Ok(RelayResponse::Declarations(_)) => return PollEnd::Lost(UpstreamLoss::Unusable),
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
        let cursor = self.cluster.apply_update(update).ok_or(UpstreamLoss::Unusable)?;
        match self.cluster.mandate() {
            // Its holder stops: somebody has to take it now.
            Some(mandate) if mandate.value.vacant => Err(UpstreamLoss::Vacant),
            _ => Ok(cursor),
        }
    }

    /// Asks a VM for declarations whenever newer ones are announced; returns when that fails.
    async fn fetch_declarations(&self, client: &mut RelayClient) -> UpstreamLoss {
        // What was told may not fit what is known here; a whole copy always does.
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
                // The VM does not know them itself yet.
                tokio::time::sleep(DECLARATIONS_RETRY_DELAY).await;
                continue;
            };
            let applied = self.cluster.apply_declarations_update(update);
            if !applied && whole {
                return UpstreamLoss::Unusable;
            }
            // The store may have been faster.
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
        ("waited_ms", &progress.waited.as_millis()),
        ("on_way_ms", &progress.on_way.as_millis()),
    ];
    log_event(EventName::NewsTaken, &pairs);
}

fn log_upstream_lost(upstream: SocketAddr, reason: UpstreamLoss, progress: ExchangeProgress) {
    let pairs: [(&str, &dyn std::fmt::Display); 5] = [
        ("source", &upstream),
        ("reason", &reason.as_str()),
        ("bytes", &progress.bytes),
        ("waited_ms", &progress.waited.as_millis()),
        ("on_way_ms", &progress.on_way.as_millis()),
    ];
    log_event(EventName::SourceLeft, &pairs);
}
