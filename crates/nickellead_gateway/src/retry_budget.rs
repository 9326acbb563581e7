//! This VM's share of the retries that all VMs together may make at a service.

use std::collections::HashMap;

/// Retries earned by one request.
///
/// The users allow 0.2 over all VMs; the rest is left for callers who move between VMs.
const EARNED: f64 = 0.12;

/// Tokens by service: requests earn them, retries spend them.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    max_tokens: f64,
    tokens: HashMap<String, f64>,
}

impl RetryBudget {
    /// Every service starts with `most` tokens and never has more.
    pub(crate) fn new(most: f64) -> Self {
        Self { max_tokens: most, tokens: HashMap::new() }
    }

    /// Notes the first try of a request.
    pub(crate) fn record_request(&mut self, service: &str) {
        let most = self.max_tokens;
        match self.tokens.get_mut(service) {
            Some(tokens) => *tokens = (*tokens + EARNED).min(most),
            None => {
                self.tokens.insert(service.to_owned(), most);
            }
        }
    }

    /// Takes a token for one retry, if there is one.
    pub(crate) fn try_take(&mut self, service: &str) -> bool {
        match self.tokens.get_mut(service) {
            Some(tokens) if *tokens >= 1.0 => {
                *tokens -= 1.0;
                true
            }
            _ => false,
        }
    }
}
