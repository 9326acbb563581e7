//! Following another VM: asking it for news for as long as it has them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use nickellead_peer::PeerClient;

use super::messages::{NewsAsk, NewsTell};
use super::{ASK_WAIT, NewsRelay, NewsSource};
use crate::book::BookMark;

/// How long an answer may take beyond [`ASK_WAIT`] before its VM counts as lost.
///
/// With `NEWS_AGE_MOST` and `TOUCH_LOOK` it keeps a change that a source misses within the
/// two seconds that the platform allows for its taking force.
const ANSWER_TIME: Duration = Duration::from_millis(350);

/// Why a VM is asked for news no more.
enum FollowEnd {
    /// It named another VM.
    AskOther(SocketAddr),
    /// It does not answer, is out of touch itself, or its news can't be used.
    Lost,
}

impl NewsRelay {
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
}
