//! Following another VM: asking it for news for as long as it has them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use nickellead_event::{EventName, log_event};
use nickellead_peer::{ExchangeProgress, PeerClient};

use super::messages::{NewsAsk, NewsTell};
use super::{ASK_WAIT, NewsRelay, NewsSource};
use crate::book::BookMark;

/// How long an answer may take beyond [`ASK_WAIT`] before its VM counts as lost.
///
/// With `NEWS_AGE_MOST` and `TOUCH_LOOK` it keeps a change that a source misses within the
/// two seconds that the platform allows for its taking force.
const ANSWER_TIME: Duration = Duration::from_millis(350);

/// Answers of this size and above are logged, in bytes: whole copies, not the changes of calm seconds.
const LARGE_ANSWER: usize = 16 * 1024;

/// Why a VM is asked for news no more.
enum FollowEnd {
    /// It named another VM.
    AskOther(SocketAddr),
    /// It can't be followed.
    Lost(LossReason),
}

/// Why a VM can't be followed.
#[derive(Clone, Copy)]
enum LossReason {
    /// It did not answer in time, or the connection failed.
    NoAnswer,
    /// It is out of touch with the store itself.
    OutOfTouch,
    /// Its news don't follow on what is known here.
    Unusable,
    /// The holder of the mandate stops.
    Vacant,
    /// This VM holds the mandate now.
    Leads,
}

impl LossReason {
    const fn as_str(self) -> &'static str {
        match self {
            Self::NoAnswer => "no-answer",
            Self::OutOfTouch => "out-of-touch",
            Self::Unusable => "unusable",
            Self::Vacant => "vacant",
            Self::Leads => "leads",
        }
    }
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
        let mut client = PeerClient::new(address);
        let end = self.ask_on(&mut client, avoid).await;
        if let FollowEnd::Lost(reason) = end {
            log_left(address, reason, client.progress());
        }
        end
    }

    /// Asks one VM again and again.
    async fn ask_on(
        &self,
        client: &mut PeerClient<NewsAsk, NewsTell>,
        avoid: &[SocketAddr],
    ) -> FollowEnd {
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
                    log_large(client.address(), client.progress());
                    mark = news.mark;
                    self.root_heard.set(Instant::now().checked_sub(age));
                    if !self.book.take_news(*news) {
                        return FollowEnd::Lost(LossReason::Unusable);
                    }
                    if self.book.mandate().is_some_and(|mandate| mandate.value.vacant) {
                        // Its holder stops: somebody has to take it now.
                        return FollowEnd::Lost(LossReason::Vacant);
                    }
                    self.set_source(NewsSource::Vm(client.address()));
                }
                Ok(NewsTell::AskOther(other)) => return FollowEnd::AskOther(other),
                Ok(NewsTell::OutOfTouch) => return FollowEnd::Lost(LossReason::OutOfTouch),
                Err(_) => return FollowEnd::Lost(LossReason::NoAnswer),
            }
        }
        FollowEnd::Lost(LossReason::Leads)
    }
}

fn log_large(source: SocketAddr, progress: ExchangeProgress) {
    if progress.bytes < LARGE_ANSWER {
        return;
    }
    let pairs: [(&str, &dyn std::fmt::Display); 4] = [
        ("source", &source),
        ("bytes", &progress.bytes),
        ("waited_ms", &progress.waited.as_millis()),
        ("on_way_ms", &progress.on_way.as_millis()),
    ];
    log_event(EventName::NewsTaken, &pairs);
}

fn log_left(source: SocketAddr, reason: LossReason, progress: ExchangeProgress) {
    let pairs: [(&str, &dyn std::fmt::Display); 5] = [
        ("source", &source),
        ("reason", &reason.as_str()),
        ("bytes", &progress.bytes),
        ("waited_ms", &progress.waited.as_millis()),
        ("on_way_ms", &progress.on_way.as_millis()),
    ];
    log_event(EventName::SourceLeft, &pairs);
}
