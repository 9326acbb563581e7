//! VMs tell each other what the store says, so that few of them ask it.
//!
//! The holder of the mandate follows the store. Every other VM follows the
//! holder, or a VM of its own availability zone that does: the holder sends
//! all but a few of a zone's VMs on to those few. A VM whose source is silent,
//! or says that it is out of touch itself, follows the store until it finds a
//! source again.
//!
//! This module holds where this VM gets its news. `messages` is what VMs ask
//! and answer, `subscribing` asks another VM, `publishing` answers others.

mod messages;
mod publishing;
mod subscribing;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use nickellead_event::{EventName, log_event};
use tokio::sync::Notify;

use self::publishing::UpdateSubscriber;
pub(crate) use self::publishing::serve_updates;
use crate::cluster_state::ClusterState;
use crate::load_counter::{LoadCounter, VmId};
use crate::store_health::StoreHealth;
use crate::waiting::wait_for;

/// How long a question waits for news.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// News are too old when the store last answered the VM at the root longer ago than this; the root
/// asks it every third of a second.
const MAX_UPDATE_AGE: Duration = Duration::from_millis(1_100);

/// A VM that was not asked for this long has no readers.
const SUBSCRIBER_POLL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Where a VM gets its news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UpdateUpstream {
    /// From the store.
    Store,
    /// From another VM.
    Vm(SocketAddr),
    /// From nowhere yet: the VM has just started, or has just lost its source.
    Seeking,
}

/// What a reader does when the store does not answer the VM at the root.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnavailableStorePolicy {
    /// It looks whether the store answers it.
    Leave,
    /// It keeps its place: the store does not answer it either.
    Stay,
}

/// Why no other VM is followed any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SubscriptionEnd {
    /// No source is left.
    NoUpstream,
    /// There are sources, but the store does not answer the VM at the root.
    StoreUnavailable,
}

/// This VM's part in telling news.
pub(crate) struct UpdateRelay {
    zone: String,
    address: SocketAddr,
    cluster: Rc<ClusterState>,
    health: Rc<StoreHealth>,
    upstream: Cell<UpdateUpstream>,
    /// When the VM at the root last heard from the store, as far as its news have come here.
    root_contact: Cell<Option<Instant>>,
    /// Whether the source last said that the store does not answer the VM at the root.
    root_store_unavailable: Cell<bool>,
    /// Whether this VM holds the mandate.
    holds_mandate: Cell<bool>,
    /// VMs that ask this one, by address; kept by the mandate's holder only.
    subscribers: RefCell<HashMap<SocketAddr, UpdateSubscriber>>,
    /// When another VM last asked this one for news.
    last_poll: Cell<Option<Instant>>,
    load_counter: LoadCounter,
    /// This VM, in the loads that it reports.
    vm_id: VmId,
    /// Woken when the source changes.
    changed: Notify,
}

impl UpdateRelay {
    pub(crate) fn new(
        zone: String,
        address: SocketAddr,
        cluster: Rc<ClusterState>,
        health: Rc<StoreHealth>,
        load_counter: LoadCounter,
        vm_id: VmId,
    ) -> Rc<Self> {
        Rc::new(Self {
            zone,
            address,
            cluster,
            health,
            upstream: Cell::new(UpdateUpstream::Seeking),
            root_contact: Cell::new(None),
            root_store_unavailable: Cell::new(false),
            holds_mandate: Cell::new(false),
            subscribers: RefCell::default(),
            last_poll: Cell::new(None),
            load_counter,
            vm_id,
            changed: Notify::new(),
        })
    }

    /// Whether this VM holds the mandate, and so tells the others.
    pub(crate) fn holds_mandate(&self) -> bool {
        self.holds_mandate.get()
    }

    /// Notes whether this VM holds the mandate: a holder follows the store.
    pub(crate) fn set_holds_mandate(&self, holds: bool) {
        self.holds_mandate.set(holds);
        self.changed.notify_waiters();
        if holds {
            self.set_upstream(UpdateUpstream::Store);
        }
    }

    /// Notes where this VM gets its news from now on.
    fn set_upstream(&self, upstream: UpdateUpstream) {
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

    /// How old the news are that this VM tells; `None` when it is out of touch.
    ///
    /// The age is counted from the store's last answer to the VM at the root, so VMs that would
    /// follow each other in a circle notice it.
    fn update_age(&self) -> Option<Duration> {
        let last_contact = match self.upstream.get() {
            UpdateUpstream::Store if self.health.is_unavailable() => None,
            UpdateUpstream::Store => self.health.last_response(),
            UpdateUpstream::Vm(_) => self.root_contact.get(),
            UpdateUpstream::Seeking => None,
        };
        last_contact.map(|last_contact| last_contact.elapsed()).filter(|age| *age < MAX_UPDATE_AGE)
    }

    /// Whether this VM has no news because the store does not answer the VM at the root.
    pub(crate) fn is_root_store_unavailable(&self) -> bool {
        self.root_store_unavailable.get()
    }

    /// Whether other VMs have their news from this one.
    pub(crate) fn has_subscribers(&self) -> bool {
        self.last_poll.get().is_some_and(|poll| poll.elapsed() < SUBSCRIBER_POLL_TIMEOUT)
    }

    /// Whether what this VM counts goes to another VM.
    pub(crate) fn reports_load(&self) -> bool {
        matches!(self.upstream.get(), UpdateUpstream::Vm(_))
    }

    /// Waits until this VM follows the store.
    pub(crate) async fn wait_until_watching_store(&self) {
        self.wait_for_upstream(|upstream| upstream == UpdateUpstream::Store).await;
    }

    /// Waits until this VM does not follow the store any more.
    pub(crate) async fn wait_until_not_watching_store(&self) {
        self.wait_for_upstream(|upstream| upstream != UpdateUpstream::Store).await;
    }

    /// Waits until this VM takes the mandate; for ever while it holds it already.
    pub(crate) async fn wait_until_mandate_taken(&self) {
        if self.holds_mandate.get() {
            return std::future::pending().await;
        }
        self.wait_until(|| self.holds_mandate.get()).await;
    }

    /// Waits until this VM does not hold the mandate.
    pub(crate) async fn wait_while_holding_mandate(&self) {
        self.wait_until(|| !self.holds_mandate.get()).await;
    }

    /// Waits until this VM gets its news from a source that is wanted.
    async fn wait_for_upstream(&self, wanted: impl Fn(UpdateUpstream) -> bool) {
        self.wait_until(|| wanted(self.upstream.get())).await;
    }

    async fn wait_until(&self, holds: impl Fn() -> bool) {
        wait_for(&self.changed, || holds().then_some(())).await;
    }

    /// Follows the store because no VM tells news.
    pub(crate) fn watch_store(&self) {
        self.set_upstream(UpdateUpstream::Store);
    }
}
