//! Collects the needs for tokens of this VM and of its subscribers.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use nickellead_limit::{TokenDemand, TokenGrant};
use tokio::sync::{Notify, oneshot};

use crate::waiting::wait_for;

/// Demand for tokens by workspace.
pub(crate) type TokenDemands = BTreeMap<String, TokenDemand>;

/// Tokens that are needed for requests of one workspace.
pub(crate) struct TokenNeed {
    /// Name of the workspace.
    pub(crate) workspace: String,
    pub(crate) demand: TokenDemand,
    /// Receives the answer; it is dropped if none can be had.
    pub(crate) reply: oneshot::Sender<TokenGrant>,
}

/// Needs that wait for the next request for tokens.
#[derive(Default)]
pub(crate) struct QuotaDesk {
    needs: RefCell<Vec<TokenNeed>>,
    added: Notify,
}

impl QuotaDesk {
    /// Adds a need.
    pub(crate) fn add(&self, need: TokenNeed) {
        self.needs.borrow_mut().push(need);
        self.added.notify_waiters();
    }

    /// Adds needs of a subscriber and waits for the answers. Workspaces without an answer are
    /// missing from the result.
    pub(crate) async fn request(&self, demands: TokenDemands) -> BTreeMap<String, TokenGrant> {
        let mut answers = Vec::new();
        for (workspace, demand) in demands {
            let (reply, answer) = oneshot::channel();
            self.add(TokenNeed { workspace: workspace.clone(), demand, reply });
            answers.push((workspace, answer));
        }
        let mut granted = BTreeMap::new();
        for (workspace, answer) in answers {
            if let Ok(grant) = answer.await {
                granted.insert(workspace, grant);
            }
        }
        granted
    }

    /// Waits for needs and takes all of them.
    pub(crate) async fn take(&self) -> TokenNeeds {
        let taken = || {
            let needs = std::mem::take(&mut *self.needs.borrow_mut());
            (!needs.is_empty()).then_some(TokenNeeds(needs))
        };
        wait_for(&self.added, taken).await
    }
}

/// Needs that are requested together.
pub(crate) struct TokenNeeds(Vec<TokenNeed>);

impl TokenNeeds {
    /// Demand of all needs, by workspace.
    pub(crate) fn totals(&self) -> TokenDemands {
        let mut totals = TokenDemands::new();
        for need in &self.0 {
            totals.entry(need.workspace.clone()).or_default().add(need.demand);
        }
        totals
    }

    /// Divides granted tokens among the needs, in the order in which they were added. Needs of
    /// workspaces without a grant get no answer.
    pub(crate) fn distribute(self, mut granted: BTreeMap<String, TokenGrant>) {
        for need in self.0 {
            let Some(left) = granted.get_mut(&need.workspace) else { continue };
            let wanted = need.demand.wanted;
            let count = wanted.min(left.granted);
            left.granted -= count;
            let retry_after = if count == wanted { Duration::ZERO } else { left.retry_after };
            // A requester that is gone leaves its tokens unused.
            let _ = need.reply.send(TokenGrant { granted: count, retry_after });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn need(workspace: &str, count: u32) -> (TokenNeed, oneshot::Receiver<TokenGrant>) {
        let (reply, answer) = oneshot::channel();
        let demand = TokenDemand { wanted: count, unused: 1 };
        (TokenNeed { workspace: workspace.to_owned(), demand, reply }, answer)
    }

    #[test]
    fn grants_are_divided_in_order_and_never_exceeded() {
        let (needs, answers): (Vec<_>, Vec<_>) =
            [need("a", 2), need("b", 1), need("a", 3), need("a", 1), need("c", 1)]
                .into_iter()
                .unzip();
        let needs = TokenNeeds(needs);
        let totals = needs.totals();
        let total = |(name, wanted, unused): (&str, u32, u32)| {
            (name.to_owned(), TokenDemand { wanted, unused })
        };
        assert_eq!(totals, [("a", 6, 3), ("b", 1, 1), ("c", 1, 1)].map(total).into());
        let later = Duration::from_millis(70);
        let grant = |granted| TokenGrant { granted, retry_after: later };
        needs.distribute([("a".to_owned(), grant(4)), ("b".to_owned(), grant(1))].into());
        let received: Vec<Option<(u32, Duration)>> = answers
            .into_iter()
            .map(|mut answer| answer.try_recv().ok().map(|one| (one.granted, one.retry_after)))
            .collect();
        let all = Duration::ZERO;
        let expected = [Some((2, all)), Some((1, all)), Some((2, later)), Some((0, later)), None];
        assert_eq!(received, expected);
    }
}
