//! Responds to subscribers: with updates, or with the VM to poll instead.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use nickellead_peer::{PeerHandler, serve_peers};
use nickellead_time::BootClock;

use super::messages::{RELAY_PATH, RelayRequest, RelayResponse, UpdateAges, UpdateRequest};
use super::{LONG_POLL_TIMEOUT, UpdateRelay, UpdateUpstream};
use crate::DeclaredState;
use crate::waiting::wait_for;

/// How long a request waits while this VM's updates are stale and it has not yet noticed that its
/// upstream is lost. The VM is about to watch the store, and its subscribers should stay meanwhile.
/// Together with the time to detect a lost upstream this stays below two seconds.
const STALE_UPSTREAM_GRACE: Duration = Duration::from_millis(200);
/// Interval between checks whether stale updates are fresh again.
const STALE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between checks whether updates are still fresh while a request waits.
const CONNECTIVITY_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// VMs of one zone that subscribe to the mandate holder; the others subscribe to these.
const DIRECT_SUBSCRIBERS_PER_ZONE: usize = 3;
/// A subscriber that has not polled for this long is removed.
const SUBSCRIBER_ENTRY_TTL: Duration = Duration::from_millis(2_500);
/// Changes within this time are published together.
const UPDATE_BATCH_DELAY: Duration = Duration::from_millis(15);

/// A VM that gets its updates from this one.
pub(super) struct UpdateSubscriber {
    zone: String,
    last_request: Instant,
    /// Number of VMs redirected to this one.
    redirected: u32,
}

impl UpdateRelay {
    /// The VM that a subscriber should poll instead of this one, if any.
    fn redirect_for(&self, request: &UpdateRequest) -> Option<SocketAddr> {
        if !self.holds_mandate.get() {
            return None;
        }
        let mut subscribers = self.subscribers.borrow_mut();
        subscribers
            .retain(|_, subscriber| subscriber.last_request.elapsed() < SUBSCRIBER_ENTRY_TTL);
        if let Some(subscriber) = subscribers.get_mut(&request.address) {
            subscriber.last_request = Instant::now();
            return None;
        }
        let near: Vec<_> = subscribers
            .iter_mut()
            .filter(|(_, subscriber)| subscriber.zone == request.zone)
            .collect();
        if near.len() >= DIRECT_SUBSCRIBERS_PER_ZONE {
            // `near` includes VMs that failed this subscriber. Otherwise all VMs of a zone that
            // lost one upstream would subscribe to the mandate holder.
            let others = near.into_iter().filter(|(address, _)| !request.avoid.contains(address));
            if let Some((address, subscriber)) =
                others.min_by_key(|(_, subscriber)| subscriber.redirected)
            {
                subscriber.redirected += 1;
                return Some(*address);
            }
        }
        let subscriber = UpdateSubscriber {
            zone: request.zone.clone(),
            last_request: Instant::now(),
            redirected: 0,
        };
        subscribers.insert(request.address, subscriber);
        None
    }

    /// Until when this VM, disconnected since `since`, may reconnect before it reports to its
    /// subscribers that it is disconnected.
    fn reconnect_deadline(&self, since: Instant) -> Instant {
        match self.upstream.get() {
            // The first updates are about to arrive.
            UpdateUpstream::Seeking => since + LONG_POLL_TIMEOUT,
            UpdateUpstream::Vm(_) => since + STALE_UPSTREAM_GRACE,
            // The first response of the store may be pending.
            UpdateUpstream::Store => since + STALE_UPSTREAM_GRACE,
        }
    }

    /// Whether this VM has no updates because the store responds neither to it nor to its upstream.
    fn is_store_unavailable(&self) -> bool {
        match self.upstream.get() {
            UpdateUpstream::Store => self.health.is_unavailable(),
            UpdateUpstream::Vm(_) => self.root_store_unavailable.get(),
            UpdateUpstream::Seeking => false,
        }
    }

    async fn respond(&self, request: RelayRequest) -> RelayResponse {
        match request {
            RelayRequest::Updates(request) => self.respond_updates(*request).await,
            RelayRequest::Declarations(known) => self.respond_declarations(known).await,
            RelayRequest::Tokens(wanted) => self.respond_tokens(wanted).await,
            RelayRequest::Crashes(exchange) => self.respond_crashes(exchange).await,
        }
    }

    /// Responds once this VM has newer declarations, or after [`LONG_POLL_TIMEOUT`].
    async fn respond_declarations(&self, known: Option<DeclaredState>) -> RelayResponse {
        let newer =
            wait_for(&self.cluster.changed, || self.cluster.has_newer_than(known).then_some(()));
        match tokio::time::timeout(LONG_POLL_TIMEOUT, newer).await {
            Ok(()) => RelayResponse::Declarations(self.cluster.declarations_since(known)),
            Err(_) => RelayResponse::Declarations(None),
        }
    }

    /// Responds at once when there are updates, and otherwise after [`LONG_POLL_TIMEOUT`].
    async fn respond_updates(&self, mut request: UpdateRequest) -> RelayResponse {
        let arrived_at = BootClock.now();
        self.load_counter.merge(std::mem::take(&mut request.load));
        self.last_poll.set(Some(Instant::now()));
        if let Some(other) = self.redirect_for(&request) {
            return RelayResponse::Redirect(other);
        }
        let until = Instant::now() + LONG_POLL_TIMEOUT;
        let mut stale_since = None;
        loop {
            let changed = self.cluster.changed.notified();
            let Some(age) = self.update_age() else {
                let since = *stale_since.get_or_insert_with(Instant::now);
                if Instant::now() >= self.reconnect_deadline(since).min(until) {
                    return if self.is_store_unavailable() {
                        RelayResponse::StoreUnavailable
                    } else {
                        RelayResponse::Disconnected
                    };
                }
                let _ = tokio::time::timeout(STALE_CHECK_INTERVAL, changed).await;
                continue;
            };
            stale_since = None;
            let update = self.cluster.update_since(request.cursor);
            let left = until.saturating_duration_since(Instant::now());
            if !update.is_empty() || left.is_zero() {
                let confirmation = self.cluster.declarations_confirmation();
                let declarations =
                    confirmation.map(|known| known.relay(arrived_at, BootClock.now()));
                let ages = UpdateAges { root_contact: age, declarations };
                return RelayResponse::Update(Box::new(update), ages);
            }
            if tokio::time::timeout(left.min(CONNECTIVITY_CHECK_INTERVAL), changed).await.is_ok() {
                tokio::time::sleep(UPDATE_BATCH_DELAY).await;
            }
        }
    }
}

/// Responds to other VMs for as long as the process runs.
pub(crate) async fn serve_updates(relay: Rc<UpdateRelay>, listener: tokio::net::TcpListener) {
    let handler: PeerHandler<RelayRequest, RelayResponse> = Rc::new(move |request, _| {
        let relay = Rc::clone(&relay);
        Box::pin(async move { relay.respond(request).await })
    });
    serve_peers(listener, RELAY_PATH, handler).await;
}
