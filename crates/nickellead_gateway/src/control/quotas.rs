//! Tokens for requests of limited workspaces: grants them on the VM that holds the mandate (leader
//! lease), and requests them from the upstream on all others.

use std::collections::BTreeMap;
use std::rc::Rc;

use nickellead_core::Timestamp;
use nickellead_limit::{QuotaLimit, TokenBucket, TokenDemand, TokenGrant};
use nickellead_range::MandateAuthority;
use nickellead_time::BootClock;
use tokio::sync::mpsc;

use super::ControlLoop;
use crate::fleet::MandateTerm;
use crate::quota::{TokenDemands, TokenRequest};
use crate::relay::TokenClient;
use crate::{OrderPort, StorePort};

/// Buckets of all workspaces that requests named, in one term of the mandate.
#[derive(Default)]
pub(super) struct TokenBuckets {
    term: MandateTerm,
    /// When this VM first saw that it holds the mandate in this term.
    since: Timestamp,
    buckets: BTreeMap<String, TokenBucket>,
}

impl TokenBuckets {
    /// Begins a term; buckets of another one are dropped, because another VM may have granted tokens
    /// since.
    fn enter_term(&mut self, term: MandateTerm, now: Timestamp) {
        if self.term != term {
            *self = Self { term, since: now, buckets: BTreeMap::new() };
        }
    }

    /// Grants tokens of a workspace.
    fn grant(
        &mut self,
        workspace: String,
        limit: QuotaLimit,
        demand: TokenDemand,
        now: Timestamp,
    ) -> TokenGrant {
        let since = self.since;
        let bucket =
            self.buckets.entry(workspace).or_insert_with(|| TokenBucket::new(limit, since));
        bucket.set_limit(limit, now);
        bucket.grant(demand, now)
    }
}

/// Forwards the token requests of the request thread to the queue.
pub(super) async fn receive_requests<S: StorePort, O: OrderPort>(
    control: Rc<ControlLoop<S, O>>,
    mut requests: mpsc::Receiver<TokenRequest>,
) {
    while let Some(request) = requests.recv().await {
        control.relay.token_queue().add(request);
    }
}

/// Answers all token requests; at most one message to the upstream is in flight.
pub(super) async fn run_quota_loop<S: StorePort, O: OrderPort>(control: Rc<ControlLoop<S, O>>) {
    let mut upstream = TokenClient::default();
    loop {
        let requests = control.relay.token_queue().take().await;
        let demands = requests.totals();
        let granted = match control.relay.holds_mandate() {
            true => control.grant_tokens(demands),
            false => control.relay.request_tokens(&mut upstream, demands).await,
        };
        requests.distribute(granted);
    }
}

impl<S: StorePort, O: OrderPort> ControlLoop<S, O> {
    /// Begins to count the time from which buckets fill, if this VM's mandate is certainly valid;
    /// returns whether it is.
    pub(super) fn enter_token_term(&self, now: Timestamp) -> bool {
        let mandate = self.mandate.borrow();
        let is_valid = mandate.authority(now) == MandateAuthority::Full;
        let term = mandate.seen().map(MandateTerm::of).filter(|_| is_valid);
        term.map(|term| self.token_buckets.borrow_mut().enter_term(term, now)).is_some()
    }

    /// Grants tokens, if this VM's mandate is certainly valid.
    fn grant_tokens(&self, demands: TokenDemands) -> BTreeMap<String, TokenGrant> {
        let now = BootClock.now();
        if !self.enter_token_term(now) {
            return BTreeMap::new();
        }
        let declarations = self.cluster.declarations();
        let workspaces = declarations.as_ref().and_then(|known| known.workspaces.as_ref());
        let Some(workspaces) = workspaces else { return BTreeMap::new() };
        let mut buckets = self.token_buckets.borrow_mut();
        let mut granted = BTreeMap::new();
        for (workspace, demand) in demands {
            // A VM with other declarations may know a quota that this one does not.
            let Some(rule) = workspaces.get(&workspace) else { continue };
            let grant = match rule.quota {
                None => TokenGrant { granted: demand.wanted, ..TokenGrant::default() },
                Some(quota) => buckets.grant(workspace.clone(), quota.into(), demand, now),
            };
            granted.insert(workspace, grant);
        }
        granted
    }
}
