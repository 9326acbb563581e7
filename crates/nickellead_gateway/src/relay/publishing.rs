//! Answering other VMs: the news, or which VM to ask instead.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use nickellead_peer::{PeerHandler, serve_peers};

use super::messages::{RELAY_PATH, RelayRequest, RelayResponse, UpdateRequest};
use super::{ASK_WAIT, UpdateRelay, UpdateUpstream};
use crate::DeclaredState;
use crate::waiting::wait_for;

/// How long a question waits for a VM whose news are too old and that has not noticed yet that its
/// source is lost: it is about to follow the store, and its readers are to keep their places meanwhile.
/// With what a VM needs to find a lost source this stays within two seconds.
const STALE_WAIT: Duration = Duration::from_millis(200);
/// Between two looks whether a source that is out of touch is in touch again.
const STALE_LOOK: Duration = Duration::from_millis(20);
/// Between two looks whether a source is still in touch while a question waits.
const TOUCH_LOOK: Duration = Duration::from_millis(200);
/// VMs of one zone that follow the holder itself; the others follow these.
const DIRECT_READERS: usize = 3;
/// A reader that has not asked for this long has gone.
const READER_SILENCE: Duration = Duration::from_millis(2_500);
/// News that come within this time are told together.
const NEWS_PAUSE: Duration = Duration::from_millis(15);

/// A VM that gets its news from this one.
pub(super) struct UpdateSubscriber {
    /// Its availability zone.
    zone: String,
    /// When it last asked.
    seen: Instant,
    /// Readers sent on to this one.
    sent_on: u32,
}

impl UpdateRelay {
    /// Where a reader should ask instead, if not here.
    fn better_source(&self, ask: &UpdateRequest) -> Option<SocketAddr> {
        if !self.leads.get() {
            return None;
        }
        let mut readers = self.readers.borrow_mut();
        readers.retain(|_, reader| reader.seen.elapsed() < READER_SILENCE);
        if let Some(reader) = readers.get_mut(&ask.address) {
            reader.seen = Instant::now();
            return None;
        }
        let near: Vec<_> =
            readers.iter_mut().filter(|(_, reader)| reader.zone == ask.zone).collect();
        if near.len() >= DIRECT_READERS {
            // Those that failed this reader count as well: else a zone whose readers lost one source
            // would all come here.
            let others = near.into_iter().filter(|(address, _)| !ask.avoid.contains(address));
            if let Some((address, reader)) = others.min_by_key(|(_, reader)| reader.sent_on) {
                reader.sent_on += 1;
                return Some(*address);
            }
        }
        let reader = UpdateSubscriber { zone: ask.zone.clone(), seen: Instant::now(), sent_on: 0 };
        readers.insert(ask.address, reader);
        None
    }

    /// Until when this VM, out of touch since `since`, may be in touch again without being lost to its
    /// readers.
    fn regains_touch_by(&self, since: Instant) -> Instant {
        match self.source.get() {
            // It is about to learn the news itself.
            UpdateUpstream::Seeking => since + ASK_WAIT,
            UpdateUpstream::Vm(_) => since + STALE_WAIT,
            // It follows the store now and may only be waiting for its first answer.
            UpdateUpstream::Store => since + STALE_WAIT,
        }
    }

    /// Whether this VM has no news because the store answers neither it nor its source.
    fn store_is_away(&self) -> bool {
        match self.source.get() {
            UpdateUpstream::Store => self.health.is_unavailable(),
            UpdateUpstream::Vm(_) => self.root_away.get(),
            UpdateUpstream::Seeking => false,
        }
    }

    async fn answer(&self, ask: RelayRequest) -> RelayResponse {
        match ask {
            RelayRequest::News(ask) => self.tell_news(*ask).await,
            RelayRequest::Declarations(known) => self.tell_declarations(known).await,
        }
    }

    /// Answers a question for declarations, once this VM knows newer ones, or after a while.
    async fn tell_declarations(&self, known: Option<DeclaredState>) -> RelayResponse {
        let newer = wait_for(&self.book.changed, || self.book.has_newer_than(known).then_some(()));
        match tokio::time::timeout(ASK_WAIT, newer).await {
            Ok(()) => RelayResponse::Declarations(self.book.declarations_since(known)),
            Err(_) => RelayResponse::Declarations(None),
        }
    }

    /// Answers a question for news, at once when there are any and else after a while.
    async fn tell_news(&self, mut ask: UpdateRequest) -> RelayResponse {
        self.loads.merge(std::mem::take(&mut ask.load));
        self.asked.set(Some(Instant::now()));
        if let Some(other) = self.better_source(&ask) {
            return RelayResponse::AskOther(other);
        }
        let until = Instant::now() + ASK_WAIT;
        let mut stale_since = None;
        loop {
            let changed = self.book.changed.notified();
            let Some(age) = self.news_age() else {
                let since = *stale_since.get_or_insert_with(Instant::now);
                if Instant::now() >= self.regains_touch_by(since).min(until) {
                    return if self.store_is_away() {
                        RelayResponse::StoreAway
                    } else {
                        RelayResponse::OutOfTouch
                    };
                }
                let _ = tokio::time::timeout(STALE_LOOK, changed).await;
                continue;
            };
            stale_since = None;
            let news = self.book.news_since(ask.mark);
            let left = until.saturating_duration_since(Instant::now());
            if !news.is_empty() || left.is_zero() {
                return RelayResponse::News(Box::new(news), age);
            }
            if tokio::time::timeout(left.min(TOUCH_LOOK), changed).await.is_ok() {
                tokio::time::sleep(NEWS_PAUSE).await;
            }
        }
    }
}

/// Answers other VMs for as long as the process lives.
pub(crate) async fn serve_news(relay: Rc<UpdateRelay>, listener: tokio::net::TcpListener) {
    let handler: PeerHandler<RelayRequest, RelayResponse> = Rc::new(move |ask, _| {
        let relay = Rc::clone(&relay);
        Box::pin(async move { relay.answer(ask).await })
    });
    serve_peers(listener, RELAY_PATH, handler).await;
}
