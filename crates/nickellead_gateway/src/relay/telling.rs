//! Answering other VMs: the news, or which VM to ask instead.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use nickellead_peer::{PeerHandler, serve_peers};

use super::messages::{NewsAsk, RELAY_PATH, RelayAsk, RelayTell};
use super::{ASK_WAIT, NewsRelay, NewsSource};
use crate::DeclaredState;
use crate::waiting::wait_for;

/// Between two looks whether a source is still in touch while a question waits.
const TOUCH_LOOK: Duration = Duration::from_millis(200);
/// VMs of one zone that follow the holder itself; the others follow these.
const DIRECT_READERS: usize = 3;
/// A reader that has not asked for this long has gone.
const READER_SILENCE: Duration = Duration::from_millis(2_500);
/// News that come within this time are told together.
const NEWS_PAUSE: Duration = Duration::from_millis(15);

/// A VM that gets its news from this one.
pub(super) struct NewsReader {
    /// Its availability zone.
    zone: String,
    /// When it last asked.
    seen: Instant,
    /// Readers sent on to this one.
    sent_on: u32,
}

impl NewsRelay {
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
        let reader = NewsReader { zone: ask.zone.clone(), seen: Instant::now(), sent_on: 0 };
        readers.insert(ask.address, reader);
        None
    }

    async fn answer(&self, ask: RelayAsk) -> RelayTell {
        match ask {
            RelayAsk::News(ask) => self.tell_news(*ask).await,
            RelayAsk::Declarations(known) => self.tell_declarations(known).await,
        }
    }

    /// Answers a question for declarations, once this VM knows newer ones, or after a while.
    async fn tell_declarations(&self, known: Option<DeclaredState>) -> RelayTell {
        let newer = wait_for(&self.book.changed, || self.book.has_newer_than(known).then_some(()));
        match tokio::time::timeout(ASK_WAIT, newer).await {
            Ok(()) => RelayTell::Declarations(self.book.declarations_since(known)),
            Err(_) => RelayTell::Declarations(None),
        }
    }

    /// Answers a question for news, at once when there are any and else after a while.
    async fn tell_news(&self, mut ask: NewsAsk) -> RelayTell {
        self.loads.add(std::mem::take(&mut ask.load));
        if let Some(other) = self.better_source(&ask) {
            return RelayTell::AskOther(other);
        }
        let until = Instant::now() + ASK_WAIT;
        loop {
            let changed = self.book.changed.notified();
            let Some(age) = self.news_age() else {
                let seeking = self.source.get() == NewsSource::Seeking;
                if !seeking || Instant::now() >= until {
                    return RelayTell::OutOfTouch;
                }
                // This VM is about to learn the news itself.
                let _ = tokio::time::timeout(TOUCH_LOOK, changed).await;
                continue;
            };
            let news = self.book.news_since(ask.mark);
            let left = until.saturating_duration_since(Instant::now());
            if !news.is_empty() || left.is_zero() {
                return RelayTell::News(Box::new(news), age);
            }
            if tokio::time::timeout(left.min(TOUCH_LOOK), changed).await.is_ok() {
                tokio::time::sleep(NEWS_PAUSE).await;
            }
        }
    }
}

/// Answers other VMs for as long as the process lives.
pub(crate) async fn serve_news(relay: Rc<NewsRelay>, listener: tokio::net::TcpListener) {
    let handler: PeerHandler<RelayAsk, RelayTell> = Rc::new(move |ask, _| {
        let relay = Rc::clone(&relay);
        Box::pin(async move { relay.answer(ask).await })
    });
    serve_peers(listener, RELAY_PATH, handler).await;
}
