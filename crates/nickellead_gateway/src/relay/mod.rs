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
pub(crate) use self::publishing::serve_news;
use crate::cluster_state::ClusterState;
use crate::load_counter::{LoadCounter, VmId};
use crate::store_health::StoreHealth;
use crate::waiting::wait_for;

/// How long a question waits for news.
const ASK_WAIT: Duration = Duration::from_millis(500);
/// News are too old when the store last answered the VM at the root longer ago than this; the root
/// asks it every third of a second.
const NEWS_AGE_MOST: Duration = Duration::from_millis(1_100);

/// A VM that was not asked for this long has no readers.
const READERS_SILENCE: Duration = Duration::from_millis(1_000);

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
pub(crate) enum AwayRule {
    /// It looks whether the store answers it.
    Leave,
    /// It keeps its place: the store does not answer it either.
    Stay,
}

/// Why no other VM is followed any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FollowOutcome {
    /// No source is left.
    Lost,
    /// There are sources, but the store does not answer the VM at the root.
    StoreAway,
}

/// This VM's part in telling news.
pub(crate) struct UpdateRelay {
    zone: String,
    address: SocketAddr,
    book: Rc<ClusterState>,
    health: Rc<StoreHealth>,
    source: Cell<UpdateUpstream>,
    /// When the VM at the root last heard from the store, as far as its news have come here.
    root_heard: Cell<Option<Instant>>,
    /// Whether the source last said that the store does not answer the VM at the root.
    root_away: Cell<bool>,
    /// Whether this VM holds the mandate.
    leads: Cell<bool>,
    /// VMs that ask this one, by address; kept by the mandate's holder only.
    readers: RefCell<HashMap<SocketAddr, UpdateSubscriber>>,
    /// When another VM last asked this one for news.
    asked: Cell<Option<Instant>>,
    loads: LoadCounter,
    /// This VM, in the loads that it reports.
    mark: VmId,
    /// Woken when the source changes.
    changed: Notify,
}

impl UpdateRelay {
    pub(crate) fn new(
        zone: String,
        address: SocketAddr,
        book: Rc<ClusterState>,
        health: Rc<StoreHealth>,
        loads: LoadCounter,
        mark: VmId,
    ) -> Rc<Self> {
        Rc::new(Self {
            zone,
            address,
            book,
            health,
            source: Cell::new(UpdateUpstream::Seeking),
            root_heard: Cell::new(None),
            root_away: Cell::new(false),
            leads: Cell::new(false),
            readers: RefCell::default(),
            asked: Cell::new(None),
            loads,
            mark,
            changed: Notify::new(),
        })
    }

    /// Whether this VM holds the mandate, and so tells the others.
    pub(crate) fn leads(&self) -> bool {
        self.leads.get()
    }

    /// Notes whether this VM holds the mandate: a holder follows the store.
    pub(crate) fn set_leads(&self, leads: bool) {
        self.leads.set(leads);
        self.changed.notify_waiters();
        if leads {
            self.set_source(UpdateUpstream::Store);
        }
    }

    /// Notes where this VM gets its news from now on.
    fn set_source(&self, source: UpdateUpstream) {
        if self.source.replace(source) != source {
            let text = match source {
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
    fn news_age(&self) -> Option<Duration> {
        let heard = match self.source.get() {
            UpdateUpstream::Store if self.health.is_unavailable() => None,
            UpdateUpstream::Store => self.health.last_response(),
            UpdateUpstream::Vm(_) => self.root_heard.get(),
            UpdateUpstream::Seeking => None,
        };
        heard.map(|heard| heard.elapsed()).filter(|age| *age < NEWS_AGE_MOST)
    }

    /// Whether this VM has no news because the store does not answer the VM at the root.
    pub(crate) fn is_away(&self) -> bool {
        self.root_away.get()
    }

    /// Whether other VMs have their news from this one.
    pub(crate) fn has_readers(&self) -> bool {
        self.asked.get().is_some_and(|asked| asked.elapsed() < READERS_SILENCE)
    }

    /// Whether what this VM counts goes to another VM.
    pub(crate) fn reports_load(&self) -> bool {
        matches!(self.source.get(), UpdateUpstream::Vm(_))
    }

    /// Waits until this VM follows the store.
    pub(crate) async fn follows_store(&self) {
        self.wait_for_source(|source| source == UpdateUpstream::Store).await;
    }

    /// Waits until this VM does not follow the store any more.
    pub(crate) async fn leaves_store(&self) {
        self.wait_for_source(|source| source != UpdateUpstream::Store).await;
    }

    /// Waits until this VM takes the mandate; for ever while it holds it already.
    pub(crate) async fn starts_to_lead(&self) {
        if self.leads.get() {
            return std::future::pending().await;
        }
        self.wait_until(|| self.leads.get()).await;
    }

    /// Waits until this VM does not hold the mandate.
    pub(crate) async fn leads_no_more(&self) {
        self.wait_until(|| !self.leads.get()).await;
    }

    /// Waits until this VM gets its news from a source that is wanted.
    async fn wait_for_source(&self, wanted: impl Fn(UpdateUpstream) -> bool) {
        self.wait_until(|| wanted(self.source.get())).await;
    }

    async fn wait_until(&self, holds: impl Fn() -> bool) {
        wait_for(&self.changed, || holds().then_some(())).await;
    }

    /// Follows the store because no VM tells news.
    pub(crate) fn fall_back(&self) {
        self.set_source(UpdateUpstream::Store);
    }
}
