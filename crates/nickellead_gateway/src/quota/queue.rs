//! Collects the token requests of this VM and of its subscribers.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use nickellead_limit::{TokenDemand, TokenGrant};
use tokio::sync::{Notify, oneshot};

use crate::waiting::wait_for;

/// Demand for tokens by workspace.
pub(crate) type TokenDemands = BTreeMap<String, TokenDemand>;

/// A request for tokens of one workspace.
pub(crate) struct TokenRequest {
    /// Name of the workspace.
    pub(crate) workspace: String,
    pub(crate) demand: TokenDemand,
    /// Receives the answer; it is dropped if none can be had.
    pub(crate) reply: oneshot::Sender<TokenGrant>,
}

/// Token requests that have not been sent to the upstream yet.
#[derive(Default)]
pub(crate) struct TokenQueue {
    requests: RefCell<Vec<TokenRequest>>,
    added: Notify,
}

impl TokenQueue {
    /// Adds a token request.
    pub(crate) fn add(&self, request: TokenRequest) {
        self.requests.borrow_mut().push(request);
        self.added.notify_waiters();
    }

    /// Adds requests of a subscriber and waits for the answers. Workspaces without an answer are
    /// missing from the result.
    pub(crate) async fn request(&self, demands: TokenDemands) -> BTreeMap<String, TokenGrant> {
        let mut answers = Vec::new();
        for (workspace, demand) in demands {
            let (reply, answer) = oneshot::channel();
            self.add(TokenRequest { workspace: workspace.clone(), demand, reply });
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

    /// Waits for requests and takes all of them.
    pub(crate) async fn take(&self) -> TokenRequests {
        let taken = || {
            let requests = std::mem::take(&mut *self.requests.borrow_mut());
            (!requests.is_empty()).then_some(TokenRequests(requests))
        };
        wait_for(&self.added, taken).await
    }
}

/// Token requests that are sent and answered together.
pub(crate) struct TokenRequests(Vec<TokenRequest>);

impl TokenRequests {
    /// Demand of all requests, by workspace.
    pub(crate) fn totals(&self) -> TokenDemands {
        let mut totals = TokenDemands::new();
        for request in &self.0 {
            totals.entry(request.workspace.clone()).or_default().add(request.demand);
        }
        totals
    }

    /// Divides granted tokens among the requests, in the order in which they were added. Requests of
    /// workspaces without a grant get no answer.
    pub(crate) fn distribute(self, mut granted: BTreeMap<String, TokenGrant>) {
        for request in self.0 {
            let Some(left) = granted.get_mut(&request.workspace) else { continue };
            let wanted = request.demand.wanted;
            let count = wanted.min(left.granted);
            left.granted -= count;
            let retry_after = if count == wanted { Duration::ZERO } else { left.retry_after };
            // A requester that is gone leaves its tokens unused.
            let _ = request.reply.send(TokenGrant { granted: count, retry_after });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn request(workspace: &str, count: u32) -> (TokenRequest, oneshot::Receiver<TokenGrant>) {
        let (reply, answer) = oneshot::channel();
        let demand = TokenDemand { wanted: count, unused: 1 };
        (TokenRequest { workspace: workspace.to_owned(), demand, reply }, answer)
    }

    #[test]
    fn grants_are_divided_in_order_and_never_exceeded() {
        let (requests, answers): (Vec<_>, Vec<_>) =
            [request("a", 2), request("b", 1), request("a", 3), request("a", 1), request("c", 1)]
                .into_iter()
                .unzip();
        let requests = TokenRequests(requests);
        let totals = requests.totals();
        let total = |(name, wanted, unused): (&str, u32, u32)| {
            (name.to_owned(), TokenDemand { wanted, unused })
        };
        assert_eq!(totals, [("a", 6, 3), ("b", 1, 1), ("c", 1, 1)].map(total).into());
        let later = Duration::from_millis(70);
        let grant = |granted| TokenGrant { granted, retry_after: later };
        requests.distribute([("a".to_owned(), grant(4)), ("b".to_owned(), grant(1))].into());
        let received: Vec<Option<(u32, Duration)>> = answers
            .into_iter()
            .map(|mut answer| answer.try_recv().ok().map(|one| (one.granted, one.retry_after)))
            .collect();
        let all = Duration::ZERO;
        let expected = [Some((2, all)), Some((1, all)), Some((2, later)), Some((0, later)), None];
        assert_eq!(received, expected);
    }
}
