//! Retry budgets, which bound the retries of this VM relative to its requests.

use std::collections::HashMap;

/// Retries that each request adds to the budget of its service.
///
/// It is below the fleet's overall ratio, because callers may also retry at other VMs.
const RETRIES_PER_REQUEST: f64 = 0.12;

/// A token bucket for each service: requests add tokens, retries take them.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    max_tokens: f64,
    tokens: HashMap<String, f64>,
}

impl RetryBudget {
    /// Each service starts with `max_tokens` and never has more.
    pub(crate) fn new(max_tokens: f64) -> Self {
        Self { max_tokens, tokens: HashMap::new() }
    }

    /// Records the first attempt of a request.
    pub(crate) fn record_request(&mut self, service: &str) {
        let max_tokens = self.max_tokens;
        match self.tokens.get_mut(service) {
            Some(tokens) => *tokens = (*tokens + RETRIES_PER_REQUEST).min(max_tokens),
            None => {
                self.tokens.insert(service.to_owned(), max_tokens);
            }
        }
    }

    /// Takes a token for one retry if one is available.
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
