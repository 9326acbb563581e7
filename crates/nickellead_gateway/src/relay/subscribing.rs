//! Following another VM: asking it for news for as long as it has them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use nickellead_event::{EventName, log_event};
use nickellead_peer::{ExchangeProgress, PeerClient};

use super::messages::{RELAY_PATH, RelayRequest, RelayResponse, UpdateRequest};
use super::{ASK_WAIT, AwayRule, FollowOutcome, UpdateRelay, UpdateUpstream};
use crate::cluster_state::{StateCursor, StateUpdate};

/// How long an answer may take to begin, beyond [`ASK_WAIT`], before its VM counts as lost.
///
/// With `NEWS_AGE_MOST` and `TOUCH_LOOK` it keeps a change that a source misses within the
/// two seconds that the platform allows for its taking force.
const ANSWER_TIME: Duration = Duration::from_millis(350);
/// How long a VM waits until an answer with declarations begins.
///
/// Whether the source lives is seen by the news, and declarations that don't arrive in time are read
/// from the store meanwhile: this only ends a question that was forgotten.
const DECLARATIONS_WAIT: Duration = Duration::from_secs(4);
/// Until a source is asked again that has no news because the store is away.
const AWAY_PAUSE: Duration = Duration::from_millis(250);
/// Until a VM is asked again for declarations that it announced and does not tell.
const UNTOLD_PAUSE: Duration = Duration::from_millis(100);
/// Answers of this size and above are logged, in bytes: changes of calm seconds are smaller.
const LARGE_ANSWER: usize = 16 * 1024;

type RelayClient = PeerClient<RelayRequest, RelayResponse>;

/// Why a VM is asked for news no more.
enum FollowEnd {
    /// It named another VM.
    AskOther(SocketAddr),
    /// It can't be followed.
    Lost(LossReason),
    /// The store does not answer the VM at the root.
    StoreAway,
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

impl UpdateRelay {
    /// Asks `first` for news, and whom it names, for as long as one of them answers.
    ///
    /// Returns when no source is left, or as `rule` says.
    pub(crate) async fn follow(&self, first: SocketAddr, rule: AwayRule) -> FollowOutcome {
        let mut avoid = Vec::new();
        let mut address = first;
        loop {
            match self.follow_one(address, &avoid, rule).await {
                FollowEnd::StoreAway => return FollowOutcome::StoreAway,
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
        if matches!(self.source.get(), UpdateUpstream::Vm(_)) {
            self.set_source(UpdateUpstream::Seeking);
        }
        FollowOutcome::Lost
    }

    /// Follows one VM: news by one connection, and the declarations that they announce by another.
    async fn follow_one(
        &self,
        address: SocketAddr,
        avoid: &[SocketAddr],
        rule: AwayRule,
    ) -> FollowEnd {
        let mut news = RelayClient::new(address, RELAY_PATH);
        let mut declarations = RelayClient::new(address, RELAY_PATH);
        let (end, progress) = tokio::select! {
            end = self.follow_news(&mut news, avoid, rule) => (end, news.progress()),
            reason = self.follow_declarations(&mut declarations) => {
                (FollowEnd::Lost(reason), declarations.progress())
            }
        };
        if let FollowEnd::Lost(reason) = end {
            log_left(address, reason, progress);
        }
        end
    }

    /// Asks a VM for news again and again.
    async fn follow_news(
        &self,
        client: &mut RelayClient,
        avoid: &[SocketAddr],
        rule: AwayRule,
    ) -> FollowEnd {
        let mut mark = self.book.mark();
        while !self.leads.get() {
            let mut load = self.loads.take();
            load.vms.insert(self.mark);
            let ask = UpdateRequest {
                zone: self.zone.clone(),
                address: self.address,
                mark,
                avoid: avoid.to_vec(),
                load,
            };
            match client.call(&RelayRequest::News(Box::new(ask)), ASK_WAIT + ANSWER_TIME).await {
                Ok(RelayResponse::News(news, age)) => {
                    log_large(client.address(), client.progress());
                    let age = age + client.progress().on_way;
                    mark = match self.take_news(*news, age) {
                        Ok(mark) => mark,
                        Err(reason) => return FollowEnd::Lost(reason),
                    };
                    self.root_away.set(false);
                    self.set_source(UpdateUpstream::Vm(client.address()));
                }
                Ok(RelayResponse::StoreAway) => {
                    self.root_away.set(true);
                    if rule == AwayRule::Leave {
                        return FollowEnd::StoreAway;
                    }
                    self.set_source(UpdateUpstream::Vm(client.address()));
                    tokio::time::sleep(AWAY_PAUSE).await;
                }
                Ok(RelayResponse::AskOther(other)) => return FollowEnd::AskOther(other),
                Ok(RelayResponse::OutOfTouch) => return FollowEnd::Lost(LossReason::OutOfTouch),
                Ok(RelayResponse::Declarations(_)) => return FollowEnd::Lost(LossReason::Unusable),
                Err(_) => return FollowEnd::Lost(LossReason::NoAnswer),
            }
        }
        FollowEnd::Lost(LossReason::Leads)
    }

    fn take_news(&self, news: StateUpdate, age: Duration) -> Result<StateCursor, LossReason> {
        self.root_heard.set(Instant::now().checked_sub(age));
        let mark = self.book.take_news(news).ok_or(LossReason::Unusable)?;
        match self.book.mandate() {
            // Its holder stops: somebody has to take it now.
            Some(mandate) if mandate.value.vacant => Err(LossReason::Vacant),
            _ => Ok(mark),
        }
    }

    /// Asks a VM for declarations whenever newer ones are announced; returns when that fails.
    async fn follow_declarations(&self, client: &mut RelayClient) -> LossReason {
        // What was told may not fit what is known here; a whole copy always does.
        let mut whole = false;
        loop {
            self.book.wait_for_lack().await;
            let known = self.book.declared_state().filter(|_| !whole);
            let told =
                match client.call(&RelayRequest::Declarations(known), DECLARATIONS_WAIT).await {
                    Ok(RelayResponse::Declarations(told)) => told,
                    Ok(_) => return LossReason::Unusable,
                    Err(_) => return LossReason::NoAnswer,
                };
            log_large(client.address(), client.progress());
            let Some(told) = told else {
                // The VM does not know them itself yet.
                tokio::time::sleep(UNTOLD_PAUSE).await;
                continue;
            };
            let taken = self.book.take_declarations(told);
            if !taken && whole {
                return LossReason::Unusable;
            }
            // The store may have been faster.
            whole = !taken && self.book.lacks_declarations();
        }
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
