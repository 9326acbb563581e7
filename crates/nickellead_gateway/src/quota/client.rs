//! Takes a token for each request of a limited workspace.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use nickellead_core::{ErrorKind, Timestamp};
use nickellead_limit::{QuotaLimit, QuotaTolerance, TokenDemand, TokenGrant};
use nickellead_time::BootClock;
use tokio::sync::{mpsc, oneshot};

use super::TokenRequest;
use crate::workspace_table::WorkspaceEntry;

/// How long a VM waits for tokens before it refuses the requests that need them.
const TOKEN_TIMEOUT: Duration = Duration::from_millis(600);
/// Longest time for which a VM refuses requests by itself after tokens were refused.
const MAX_REFUSAL_PERIOD: Duration = Duration::from_millis(50);

/// Permission to send one request of a workspace.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuotaToken {
    /// Until when it may be used; `None` for a workspace without a quota.
    expires_at: Option<Timestamp>,
}

impl QuotaToken {
    /// A token of a request that no quota limits.
    pub(crate) const UNLIMITED: Self = Self { expires_at: None };

    /// Whether a request may be sent with it at `now`.
    pub(crate) fn is_usable(self, now: Timestamp) -> bool {
        self.expires_at.is_none_or(|expires_at| now <= expires_at)
    }
}

/// Why there is no token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QuotaRefusal {
    pub(crate) kind: ErrorKind,
    /// When a token is expected to be free; zero if unknown.
    pub(crate) retry_after: Duration,
}

impl QuotaRefusal {
    /// The VM that grants tokens did not respond.
    const UNKNOWN: Self = Self { kind: ErrorKind::QuotaUnknown, retry_after: Duration::ZERO };

    fn exceeded(retry_after: Duration) -> Self {
        Self { kind: ErrorKind::QuotaExceeded, retry_after }
    }
}

/// Tokens with which no request was run.
#[derive(Clone, Copy, Debug, Default)]
struct UnusedTokens {
    count: u32,
    /// When the first of them expires. Expired tokens are not given back, because the bucket may
    /// have been full again since they were granted.
    expires_at: Timestamp,
}

impl UnusedTokens {
    /// Adds tokens that expire at `expires_at`.
    fn with(self, count: u32, expires_at: Timestamp, now: Timestamp) -> Self {
        let valid = self.valid(now);
        let added = if now <= expires_at { count } else { 0 };
        match (valid, added) {
            (_, 0) => self,
            (0, _) => Self { count: added, expires_at },
            _ => Self {
                count: valid.saturating_add(added),
                expires_at: self.expires_at.min(expires_at),
            },
        }
    }

    /// Number of tokens if they are valid.
    fn valid(self, now: Timestamp) -> u32 {
        if now <= self.expires_at { self.count } else { 0 }
    }
}

type TokenResult = Result<QuotaToken, QuotaRefusal>;

/// Requests of one workspace that wait for tokens.
#[derive(Default)]
struct QuotaAccount {
    waiting: RefCell<VecDeque<oneshot::Sender<TokenResult>>>,
    /// Whether tokens are being requested.
    requesting: Cell<bool>,
    /// Tokens with which no request was run, to be given back with the next demand.
    unused: Cell<UnusedTokens>,
    /// Until when requests are refused without asking, and when a token is expected.
    refused: Cell<Option<(Timestamp, Timestamp)>>,
}

/// Takes tokens from the VM that grants them.
pub(crate) struct QuotaClient {
    requests: mpsc::Sender<TokenRequest>,
    tolerance: QuotaTolerance,
    accounts: RefCell<HashMap<String, Rc<QuotaAccount>>>,
}

impl QuotaClient {
    pub(crate) fn new(requests: mpsc::Sender<TokenRequest>, tolerance: QuotaTolerance) -> Rc<Self> {
        Rc::new(Self { requests, tolerance, accounts: RefCell::default() })
    }

    /// Forgets workspaces that are no longer declared, except those with waiting requests.
    pub(crate) fn retain(&self, is_declared: impl Fn(&str) -> bool) {
        let mut accounts = self.accounts.borrow_mut();
        accounts.retain(|name, account| account.requesting.get() || is_declared(name));
    }

    /// Takes a token for one request.
    ///
    /// # Errors
    /// Why the request is refused.
    pub(crate) async fn take(self: &Rc<Self>, workspace: &WorkspaceEntry) -> TokenResult {
        let Some(quota) = workspace.rule.quota else { return Ok(QuotaToken::UNLIMITED) };
        let account = self.account(&workspace.name);
        let now = BootClock.now();
        if let Some((until, free_at)) = account.refused.get()
            && now < until
        {
            return Err(QuotaRefusal::exceeded(free_at.since(now)));
        }
        let (sender, answer) = oneshot::channel();
        account.waiting.borrow_mut().push_back(sender);
        if !account.requesting.replace(true) {
            let (client, name) = (Rc::clone(self), workspace.name.clone());
            actix_rt::spawn(async move {
                client.request_tokens(&account, &name, quota.into()).await;
            });
        }
        answer.await.unwrap_or(Err(QuotaRefusal::UNKNOWN))
    }

    /// Gives back a token with which no request was run.
    pub(crate) fn give_back(&self, workspace: &WorkspaceEntry, token: QuotaToken) {
        if let Some(expires_at) = token.expires_at {
            self.account(&workspace.name).give_back(1, expires_at);
        }
    }

    fn account(&self, workspace: &str) -> Rc<QuotaAccount> {
        let mut accounts = self.accounts.borrow_mut();
        match accounts.get(workspace) {
            Some(account) => Rc::clone(account),
            None => Rc::clone(accounts.entry(workspace.to_owned()).or_default()),
        }
    }

    /// Requests tokens until no request waits for any.
    async fn request_tokens(&self, account: &QuotaAccount, workspace: &str, limit: QuotaLimit) {
        loop {
            let waiting = std::mem::take(&mut *account.waiting.borrow_mut());
            if waiting.is_empty() {
                account.requesting.set(false);
                return;
            }
            // Tokens are granted later than this, so they expire in time on this VM's clock.
            let expires_at = BootClock.now() + limit.token_validity(self.tolerance);
            let wanted = u32::try_from(waiting.len()).unwrap_or(u32::MAX);
            let unused = account.unused.take().valid(BootClock.now());
            let demand = TokenDemand { wanted, unused };
            let grant = self.request(workspace, demand).await;
            account.answer(waiting, grant, expires_at);
        }
    }

    /// Requests tokens once; `None` without an answer.
    async fn request(&self, workspace: &str, demand: TokenDemand) -> Option<TokenGrant> {
        let (reply, answer) = oneshot::channel();
        self.requests
            .try_send(TokenRequest { workspace: workspace.to_owned(), demand, reply })
            .ok()?;
        tokio::time::timeout(TOKEN_TIMEOUT, answer).await.ok()?.ok()
    }
}

impl QuotaAccount {
    fn give_back(&self, count: u32, expires_at: Timestamp) {
        self.unused.set(self.unused.get().with(count, expires_at, BootClock.now()));
    }

    /// Answers the requests that waited for a grant.
    fn answer(
        &self,
        waiting: VecDeque<oneshot::Sender<TokenResult>>,
        grant: Option<TokenGrant>,
        expires_at: Timestamp,
    ) {
        let Some(TokenGrant { granted, retry_after }) = grant else {
            for sender in waiting {
                // The caller of a closed channel is gone.
                let _ = sender.send(Err(QuotaRefusal::UNKNOWN));
            }
            return;
        };
        let now = BootClock.now();
        let has_refused = (granted as usize) < waiting.len();
        let period = (now + retry_after.min(MAX_REFUSAL_PERIOD), now + retry_after);
        self.refused.set(has_refused.then_some(period));
        let token = Ok(QuotaToken { expires_at: Some(expires_at) });
        let mut left = granted;
        for sender in waiting {
            let refused = Err(QuotaRefusal::exceeded(retry_after));
            if left == 0 {
                let _ = sender.send(refused);
            } else if sender.send(token).is_ok() {
                left -= 1;
            }
        }
        self.give_back(left, expires_at);
    }
}
