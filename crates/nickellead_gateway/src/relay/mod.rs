//! Distribution of the store's content between VMs, so that few of them query the store.
//!
//! The VM that holds the mandate (leader lease) watches the store. Every other VM subscribes to the
//! mandate holder, or to a VM of its own availability zone that does: the mandate holder redirects
//! all but a few of a zone's VMs to those few. A VM whose upstream is silent or disconnected
//! watches the store until it finds an upstream again.
//!
//! This module tracks the VM's upstream. `messages` defines the protocol, `subscribing` polls an
//! upstream, `publishing` responds to subscribers, `tokens` requests tokens for quotas, and
//! `crash_reports` exchanges what VMs know of requests that make targets fall.

mod crash_reports;
mod messages;
mod publishing;
mod subscribing;
mod tokens;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use nickellead_event::{EventName, log_event};
use tokio::sync::Notify;

use self::publishing::UpdateSubscriber;
pub(crate) use self::publishing::serve_updates;
pub(crate) use self::tokens::TokenClient;
use crate::cluster_state::ClusterState;
use crate::load_counter::{LoadCounter, VmReport};
use crate::metrics::ThreadMetrics;
use crate::quarantine::SharedQuarantine;
use crate::quota::TokenQueue;
use crate::store_health::StoreHealth;
use crate::waiting::wait_for;

/// How long a request for updates waits until there are any.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Updates are stale when the store last responded to the VM at the root longer ago than this. That
/// VM probes the store several times within this time.
const MAX_UPDATE_AGE: Duration = Duration::from_millis(1_100);

/// A VM that no other VM has polled for this long has no subscribers.
const SUBSCRIBER_POLL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Where a VM gets its updates from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UpdateUpstream {
    Store,
    Vm(SocketAddr),
    /// None yet: the VM has just started or has just lost its upstream.
    Seeking,
}

/// What a subscriber does when the store does not respond to the VM at the root.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnavailableStorePolicy {
    /// Leaves the upstream to check whether the store responds to this VM.
    Leave,
    /// Stays with the upstream, because the store does not respond to this VM either.
    Stay,
}

/// Why a subscription ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SubscriptionEnd {
    /// No upstream is left.
    NoUpstream,
    /// Upstreams respond, but the store does not respond to the VM at the root.
    StoreUnavailable,
}

/// This VM's part in the distribution of updates.
pub(crate) struct UpdateRelay {
    zone: String,
    address: SocketAddr,
    cluster: Rc<ClusterState>,
    health: Rc<StoreHealth>,
    upstream: Cell<UpdateUpstream>,
    /// The last VM that was the upstream.
    last_upstream: Cell<Option<SocketAddr>>,
    /// When the store last responded to the VM at the root, as far as updates have reported it.
    root_contact: Cell<Option<Instant>>,
    /// Whether the upstream last reported that the store does not respond to the VM at the root.
    root_store_unavailable: Cell<bool>,
    holds_mandate: Cell<bool>,
    /// Direct subscribers by address; only the mandate holder keeps them.
    subscribers: RefCell<HashMap<SocketAddr, UpdateSubscriber>>,
    /// When another VM last polled this one.
    last_poll: Cell<Option<Instant>>,
    load_counter: LoadCounter,
    token_queue: TokenQueue,
    quarantine: SharedQuarantine,
    /// This VM in its load reports.
    own_report: VmReport,
    thread_metrics: ThreadMetrics,
    /// Notified when the upstream or the mandate changes.
    changed: Notify,
}

/// Settings and shared dependencies of a VM's part in the distribution of updates.
pub(crate) struct RelayContext {
    pub(crate) zone: String,
    /// Address at which other VMs reach this one.
    pub(crate) address: SocketAddr,
    pub(crate) cluster: Rc<ClusterState>,
    pub(crate) health: Rc<StoreHealth>,
    pub(crate) load_counter: LoadCounter,
    pub(crate) quarantine: SharedQuarantine,
    /// This VM in its load reports.
    pub(crate) own_report: VmReport,
    pub(crate) thread_metrics: ThreadMetrics,
}

impl UpdateRelay {
    pub(crate) fn new(context: RelayContext) -> Rc<Self> {
        Rc::new(Self {
            zone: context.zone,
            address: context.address,
            cluster: context.cluster,
            health: context.health,
            upstream: Cell::new(UpdateUpstream::Seeking),
            last_upstream: Cell::new(None),
            root_contact: Cell::new(None),
            root_store_unavailable: Cell::new(false),
            holds_mandate: Cell::new(false),
            subscribers: RefCell::default(),
            last_poll: Cell::new(None),
            load_counter: context.load_counter,
            token_queue: TokenQueue::default(),
            quarantine: context.quarantine,
            own_report: context.own_report,
            thread_metrics: context.thread_metrics,
            changed: Notify::new(),
        })
    }

    /// Whether this VM holds the mandate and so publishes updates from the store.
    pub(crate) fn holds_mandate(&self) -> bool {
        self.holds_mandate.get()
    }

    /// Sets whether this VM holds the mandate; a mandate holder watches the store.
    pub(crate) fn set_holds_mandate(&self, holds: bool) {
        self.holds_mandate.set(holds);
        self.changed.notify_waiters();
        if holds {
            self.set_upstream(UpdateUpstream::Store);
        }
    }

    fn set_upstream(&self, upstream: UpdateUpstream) {
        if let UpdateUpstream::Vm(address) = upstream {
            self.last_upstream.set(Some(address));
        }
        if self.upstream.replace(upstream) != upstream {
            let text = match upstream {
                UpdateUpstream::Store => "store".to_owned(),
                UpdateUpstream::Vm(address) => address.to_string(),
                UpdateUpstream::Seeking => "none".to_owned(),
            };
            log_event(EventName::NewsSource, &[("source", &text)]);
            self.changed.notify_waiters();
        }
    }

    /// Age of this VM's updates, or `None` when they are stale.
    ///
    /// The age counts from the store's last response to the VM at the root, so that VMs detect a
    /// subscription cycle.
    fn update_age(&self) -> Option<Duration> {
        let last_contact = match self.upstream.get() {
            UpdateUpstream::Store if self.health.is_unavailable() => None,
            UpdateUpstream::Store => self.health.last_response(),
            UpdateUpstream::Vm(_) => self.root_contact.get(),
            UpdateUpstream::Seeking => None,
        };
        last_contact.map(|last_contact| last_contact.elapsed()).filter(|age| *age < MAX_UPDATE_AGE)
    }

    /// Whether this VM has no updates because the store does not respond to the VM at the root.
    pub(crate) fn is_root_store_unavailable(&self) -> bool {
        self.root_store_unavailable.get()
    }

    /// Whether other VMs get their updates from this one.
    pub(crate) fn has_subscribers(&self) -> bool {
        self.last_poll.get().is_some_and(|poll| poll.elapsed() < SUBSCRIBER_POLL_TIMEOUT)
    }

    /// Whether this VM reports its load to another VM.
    pub(crate) fn reports_load(&self) -> bool {
        matches!(self.upstream.get(), UpdateUpstream::Vm(_))
    }

    pub(crate) async fn wait_until_watching_store(&self) {
        self.wait_for_upstream(|upstream| upstream == UpdateUpstream::Store).await;
    }

    pub(crate) async fn wait_until_not_watching_store(&self) {
        self.wait_for_upstream(|upstream| upstream != UpdateUpstream::Store).await;
    }

    /// Waits until this VM takes the mandate; never completes if it already holds the mandate.
    pub(crate) async fn wait_until_mandate_taken(&self) {
        if self.holds_mandate.get() {
            return std::future::pending().await;
        }
        self.wait_until(|| self.holds_mandate.get()).await;
    }

    pub(crate) async fn wait_while_holding_mandate(&self) {
        self.wait_until(|| !self.holds_mandate.get()).await;
    }

    async fn wait_for_upstream(&self, wanted: impl Fn(UpdateUpstream) -> bool) {
        self.wait_until(|| wanted(self.upstream.get())).await;
    }

    async fn wait_until(&self, holds: impl Fn() -> bool) {
        wait_for(&self.changed, || holds().then_some(())).await;
    }

    /// Watches the store, because no VM provides updates.
    pub(crate) fn watch_store(&self) {
        self.set_upstream(UpdateUpstream::Store);
    }
}
