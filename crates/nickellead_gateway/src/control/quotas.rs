//! Tokens for requests of limited workspaces: grants them on the VM that holds the mandate (leader
//! lease), and requests them from the upstream on all others.

use std::collections::BTreeMap;
use std::rc::Rc;

use nickellead_core::Timestamp;
use nickellead_limit::{QuotaLimit, TokenBucket, TokenGrant};
use nickellead_range::MandateAuthority;
use nickellead_time::BootClock;
use tokio::sync::mpsc;

use super::ControlLoop;
use crate::fleet::MandateTerm;
use crate::quota::TokenNeed;
use crate::relay::TokenClient;
use crate::{OrderPort, StorePort};

/// Buckets of all workspaces that requests named, in one term of the mandate.
#[derive(Default)]
pub(super) struct TokenBuckets {
    term: MandateTerm,
    buckets: BTreeMap<String, TokenBucket>,
}

impl TokenBuckets {
    /// Grants up to `wanted` tokens of a workspace; buckets of another term are dropped, because
    /// another VM may have granted tokens since.
    fn grant(
        &mut self,
        term: MandateTerm,
        workspace: String,
        limit: QuotaLimit,
        wanted: u32,
        now: Timestamp,
    ) -> TokenGrant {
        if self.term != term {
            *self = Self { term, buckets: BTreeMap::new() };
        }
        let bucket = self.buckets.entry(workspace).or_insert_with(|| TokenBucket::new(limit, now));
        bucket.set_limit(limit, now);
        bucket.grant(wanted, now)
    }
}

/// Forwards the needs of the request thread to the desk.
pub(super) async fn receive_needs<S: StorePort, O: OrderPort>(
    control: Rc<ControlLoop<S, O>>,
    mut needs: mpsc::Receiver<TokenNeed>,
) {
    while let Some(need) = needs.recv().await {
        control.relay.quota_desk().add(need);
    }
}

/// Gets tokens for all needs, one request at a time.
pub(super) async fn run_quota_loop<S: StorePort, O: OrderPort>(control: Rc<ControlLoop<S, O>>) {
    let mut upstream = TokenClient::default();
    loop {
        let needs = control.relay.quota_desk().take().await;
        let wanted = needs.totals();
        let granted = match control.relay.holds_mandate() {
            true => control.grant_tokens(wanted),
            false => control.relay.request_tokens(&mut upstream, wanted).await,
        };
        needs.distribute(granted);
    }
}

impl<S: StorePort, O: OrderPort> ControlLoop<S, O> {
    /// Grants tokens, if this VM's mandate is certainly valid.
    fn grant_tokens(&self, wanted: BTreeMap<String, u32>) -> BTreeMap<String, TokenGrant> {
        let now = BootClock.now();
        let mandate = self.mandate.borrow();
        let is_valid = mandate.authority(now) == MandateAuthority::Full;
        let term = mandate.seen().map(MandateTerm::of).filter(|_| is_valid);
        let declarations = self.cluster.declarations();
        let workspaces = declarations.as_ref().and_then(|known| known.workspaces.as_ref());
        let (Some(term), Some(workspaces)) = (term, workspaces) else { return BTreeMap::new() };
        let mut buckets = self.token_buckets.borrow_mut();
        let mut granted = BTreeMap::new();
        for (workspace, count) in wanted {
            // A VM with other declarations may know a quota that this one does not.
            let Some(rule) = workspaces.get(&workspace) else { continue };
            let grant = match rule.quota {
                None => TokenGrant { granted: count, ..TokenGrant::default() },
                Some(quota) => {
                    let limit = QuotaLimit { rate: quota.rate, burst: quota.burst };
                    buckets.grant(term, workspace.clone(), limit, count, now)
                }
            };
            granted.insert(workspace, grant);
        }
        granted
    }
}
