//! Collects the token requests of this VM and of its subscribers.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use nickellead_limit::{TokenDemand, TokenGrant};
use tokio::sync::{Notify, oneshot};

use crate::waiting::wait_for;

/// Demand for tokens by workspace.
pub type TokenDemands = BTreeMap<String, TokenDemand>;

/// A request for tokens of one workspace.
pub struct TokenRequest {
    /// Name of the workspace.
    pub workspace: String,
    /// Tokens that it needs, and those that it gives back.
    pub demand: TokenDemand,
    /// Receives the answer; it is dropped if none can be had.
    pub reply: oneshot::Sender<TokenGrant>,
}

/// Token requests that have not been sent to the upstream yet.
#[derive(Default)]
pub struct TokenQueue {
    requests: RefCell<Vec<TokenRequest>>,
    added: Notify,
}

impl TokenQueue {
    /// Adds a token request.
    pub fn add(&self, request: TokenRequest) {
        self.requests.borrow_mut().push(request);
        self.added.notify_waiters();
    }

    /// Adds requests of a subscriber and waits for the answers. Workspaces without an answer are
    /// missing from the result.
    pub async fn request(&self, demands: TokenDemands) -> BTreeMap<String, TokenGrant> {
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
    pub async fn take(&self) -> TokenRequests {
        let taken = || {
            let requests = std::mem::take(&mut *self.requests.borrow_mut());
            (!requests.is_empty()).then_some(TokenRequests(requests))
        };
        wait_for(&self.added, taken).await
    }
}

/// Token requests that are sent and answered together.
pub struct TokenRequests(Vec<TokenRequest>);

impl TokenRequests {
    /// Demand of all requests, by workspace.
    #[must_use]
    pub fn totals(&self) -> TokenDemands {
        let mut totals = TokenDemands::new();
        for request in &self.0 {
            totals.entry(request.workspace.clone()).or_default().add(request.demand);
        }
        totals
    }

    /// Divides granted tokens among the requests, in the order in which they were added. Requests of
    /// workspaces without a grant get no answer.
    pub fn distribute(self, mut granted: BTreeMap<String, TokenGrant>) {
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
