//! VMs tell each other what the store says, so that few of them ask it.
//!
//! The holder of the mandate follows the store. Every other VM follows the
//! holder, or a VM of its own availability zone that does: the holder sends
//! all but a few of a zone's VMs on to those few. A VM whose source is silent,
//! or says that it is out of touch itself, follows the store until it finds a
//! source again.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bincode::{Decode, Encode};
use nickellead_event::{EventName, log_event};
use nickellead_peer::{PeerClient, PeerHandler, serve_peers};
use tokio::sync::Notify;

use crate::book::{BeliefBook, BookMark, BookNews};
use crate::load_count::{LoadCounter, LoadCounts};
use crate::store_health::StoreHealth;

/// How long a question waits for news.
const ASK_WAIT: Duration = Duration::from_millis(500);
/// How long an answer may take beyond that before its VM counts as lost.
///
/// With [`NEWS_AGE_MOST`] and [`TOUCH_LOOK`] it keeps a change that a source misses within the
/// two seconds that the platform allows for its taking force.
const ANSWER_TIME: Duration = Duration::from_millis(350);
/// News are too old when the store last answered the VM at the root longer ago than this; the root
/// asks it every third of a second.
const NEWS_AGE_MOST: Duration = Duration::from_millis(1_100);
/// Between two looks whether a source is still in touch while a question waits.
const TOUCH_LOOK: Duration = Duration::from_millis(200);
/// VMs of one zone that follow the holder itself; the others follow these.
const DIRECT_READERS: usize = 3;
/// A reader that has not asked for this long has gone.
const READER_SILENCE: Duration = Duration::from_millis(2_500);
/// News that come within this time are told together.
const NEWS_PAUSE: Duration = Duration::from_millis(15);

/// A question for news.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct NewsAsk {
    zone: String,
    address: SocketAddr,
    mark: BookMark,
    /// Sources that failed this VM a moment ago.
    avoid: Vec<SocketAddr>,
    /// What this VM's callers asked for since its last question.
    load: LoadCounts,
}

/// The answer to a [`NewsAsk`].
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) enum NewsTell {
    /// What is new, perhaps nothing, and how long ago the store was last heard of at the root.
    News(Box<BookNews>, Duration),
    /// Another VM tells it.
    AskOther(SocketAddr),
    /// This VM is out of touch itself.
    OutOfTouch,
}

/// Where a VM gets its news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NewsSource {
    /// From the store.
    Store,
    /// From another VM.
    Vm(SocketAddr),
    /// From nowhere yet: the VM has just started, or has just lost its source.
    Seeking,
}

/// This VM's part in telling news.
pub(crate) struct NewsRelay {
    zone: String,
    address: SocketAddr,
    book: Rc<BeliefBook>,
    health: Rc<StoreHealth>,
    source: Cell<NewsSource>,
    /// When the VM at the root last heard from the store, as far as its news have come here.
    root_heard: Cell<Option<Instant>>,
    leads: Cell<bool>,
    readers: RefCell<HashMap<SocketAddr, NewsReader>>,
    loads: LoadCounter,
    /// Woken when the source changes.
    pub(crate) changed: Notify,
}

struct NewsReader {
    zone: String,
    seen: Instant,
    /// Readers sent on to this one.
    sent_on: u32,
}

impl NewsRelay {
    pub(crate) fn new(
        zone: String,
        address: SocketAddr,
        book: Rc<BeliefBook>,
        health: Rc<StoreHealth>,
        loads: LoadCounter,
    ) -> Rc<Self> {
        Rc::new(Self {
            zone,
            address,
            book,
            health,
            source: Cell::new(NewsSource::Seeking),
            root_heard: Cell::new(None),
            leads: Cell::new(false),
            readers: RefCell::default(),
            loads,
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
        if leads {
            self.set_source(NewsSource::Store);
        }
    }

    fn set_source(&self, source: NewsSource) {
        if self.source.replace(source) != source {
            let text = match source {
                NewsSource::Store => "store".to_owned(),
                NewsSource::Vm(address) => address.to_string(),
                NewsSource::Seeking => "none".to_owned(),
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
            NewsSource::Store if self.health.is_lost() => None,
            NewsSource::Store => self.health.heard(),
            NewsSource::Vm(_) => self.root_heard.get(),
            NewsSource::Seeking => None,
        };
        heard.map(|heard| heard.elapsed()).filter(|age| *age < NEWS_AGE_MOST)
    }

    /// Whether what this VM counts goes to another VM.
    pub(crate) fn reports_load(&self) -> bool {
        matches!(self.source.get(), NewsSource::Vm(_))
    }

    /// Waits until this VM follows the store.
    pub(crate) async fn follows_store(&self) {
        loop {
            let changed = self.changed.notified();
            if self.source.get() == NewsSource::Store {
                return;
            }
            changed.await;
        }
    }

    /// Waits until this VM does not follow the store any more.
    pub(crate) async fn leaves_store(&self) {
        loop {
            let changed = self.changed.notified();
            if self.source.get() != NewsSource::Store {
                return;
            }
            changed.await;
        }
    }

    /// Where a reader should ask instead, if not here.
    fn better_source(&self, ask: &NewsAsk) -> Option<SocketAddr> {
        if !self.leads.get() {
            return None;
        }
        let mut readers = self.readers.borrow_mut();
        readers.retain(|_, reader| reader.seen.elapsed() < READER_SILENCE);
        if let Some(reader) = readers.get_mut(&ask.address) {
            reader.seen = Instant::now();
            return None;
        }
        let near = readers
            .iter_mut()
            .filter(|(address, reader)| reader.zone == ask.zone && !ask.avoid.contains(address));
        let near: Vec<_> = near.collect();
        if near.len() >= DIRECT_READERS {
            let least = near.into_iter().min_by_key(|(_, reader)| reader.sent_on)?;
            least.1.sent_on += 1;
            return Some(*least.0);
        }
        let reader = NewsReader { zone: ask.zone.clone(), seen: Instant::now(), sent_on: 0 };
        readers.insert(ask.address, reader);
        None
    }

    /// Answers a question, at once when there are news and else after a while.
    async fn answer(&self, mut ask: NewsAsk) -> NewsTell {
        self.loads.add(std::mem::take(&mut ask.load));
        if let Some(other) = self.better_source(&ask) {
            return NewsTell::AskOther(other);
        }
        let until = Instant::now() + ASK_WAIT;
        loop {
            let changed = self.book.changed.notified();
            let Some(age) = self.news_age() else {
                let seeking = self.source.get() == NewsSource::Seeking;
                if !seeking || Instant::now() >= until {
                    return NewsTell::OutOfTouch;
                }
                // This VM is about to learn the news itself.
                let _ = tokio::time::timeout(TOUCH_LOOK, changed).await;
                continue;
            };
            let news = self.book.news_since(ask.mark);
            let left = until.saturating_duration_since(Instant::now());
            if !news.is_empty() || left.is_zero() {
                return NewsTell::News(Box::new(news), age);
            }
            if tokio::time::timeout(left.min(TOUCH_LOOK), changed).await.is_ok() {
                tokio::time::sleep(NEWS_PAUSE).await;
            }
        }
    }

    /// Asks `first` for news, and whom it names, for as long as one of them answers.
    ///
    /// Returns when no source is left.
    pub(crate) async fn follow(&self, first: SocketAddr) {
        let mut avoid = Vec::new();
        let mut address = first;
        loop {
            match self.follow_one(address, &avoid).await {
                FollowEnd::AskOther(other) if other != self.address && !avoid.contains(&other) => {
                    address = other;
                }
                _ if self.leads.get() || address == first => break,
                _ => {
                    // The one named is of no use: the holder tells it itself then.
                    avoid.push(address);
                    address = first;
                }
            }
        }
        if matches!(self.source.get(), NewsSource::Vm(_)) {
            self.set_source(NewsSource::Seeking);
        }
    }

    async fn follow_one(&self, address: SocketAddr, avoid: &[SocketAddr]) -> FollowEnd {
        let mut client: PeerClient<NewsAsk, NewsTell> = PeerClient::new(address);
        let mut mark = BookMark::default();
        while !self.leads.get() {
            let ask = NewsAsk {
                zone: self.zone.clone(),
                address: self.address,
                mark,
                avoid: avoid.to_vec(),
                load: self.loads.take(),
            };
            match client.call(&ask, ASK_WAIT + ANSWER_TIME).await {
                Ok(NewsTell::News(news, age)) => {
                    mark = news.mark;
                    self.root_heard.set(Instant::now().checked_sub(age));
                    if !self.book.take_news(*news) {
                        return FollowEnd::Lost;
                    }
                    if self.book.mandate().is_some_and(|mandate| mandate.value.vacant) {
                        // Its holder stops: somebody has to take it now.
                        return FollowEnd::Lost;
                    }
                    self.set_source(NewsSource::Vm(address));
                }
                Ok(NewsTell::AskOther(other)) => return FollowEnd::AskOther(other),
                Ok(NewsTell::OutOfTouch) | Err(_) => return FollowEnd::Lost,
            }
        }
        FollowEnd::Lost
    }

    /// Follows the store because no VM tells news.
    pub(crate) fn fall_back(&self) {
        self.set_source(NewsSource::Store);
    }
}

enum FollowEnd {
    AskOther(SocketAddr),
    Lost,
}

/// Answers other VMs for as long as the process lives.
pub(crate) async fn serve_news(relay: Rc<NewsRelay>, listener: tokio::net::TcpListener) {
    let handler: PeerHandler<NewsAsk, NewsTell> = Rc::new(move |ask, _| {
        let relay = Rc::clone(&relay);
        Box::pin(async move { relay.answer(ask).await })
    });
    serve_peers(listener, handler).await;
}
