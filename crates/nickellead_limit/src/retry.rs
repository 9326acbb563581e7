//! Retry budgets, which bound the retries of this VM relative to its requests.

use std::collections::HashMap;

/// Part of the fleet's overall ratio of retries that VMs use, because callers may also retry at
/// other VMs.
const USED_RATIO_FRACTION: f64 = 0.6;

/// What the retries of one VM to a service are bounded by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries of all VMs together that are allowed, as a fraction of the requests.
    pub ratio: f64,
    /// Most retries that this VM saves up.
    pub burst: f64,
    /// Retries of all VMs together that are allowed in addition to `ratio`; `None` if unknown.
    pub extra: Option<f64>,
}

impl RetryLimits {
    /// Retries that each request adds to the budget of its service.
    fn tokens_per_request(&self) -> f64 {
        self.ratio * USED_RATIO_FRACTION
    }

    /// Retries with which one of `vms` VMs starts; 0 VMs if their number is unknown.
    fn initial_tokens(&self, vms: usize) -> f64 {
        match self.extra {
            Some(extra) if vms > 0 => self.burst.min(extra / vms as f64),
            _ => self.burst,
        }
    }

    /// Most retries that it saves up: at least one, or those that its requests earn could never be used.
    fn max_tokens(&self, vms: usize) -> f64 {
        self.initial_tokens(vms).max(1.0).min(self.burst)
    }
}

/// A token bucket for each service: requests add tokens, retries take them.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    initial_tokens: f64,
    max_tokens: f64,
    tokens: HashMap<String, f64>,
}

impl RetryBudget {
    /// Each service starts with the most tokens that it may have.
    #[must_use]
    pub fn new(limits: RetryLimits) -> Self {
        let (initial_tokens, max_tokens) = (limits.initial_tokens(0), limits.max_tokens(0));
        Self { limits, initial_tokens, max_tokens, tokens: HashMap::new() }
    }

    /// Sets the number of VMs that share the allowance of the fleet; 0 if unknown.
    pub fn set_fleet_size(&mut self, vms: usize) {
        self.initial_tokens = self.limits.initial_tokens(vms);
        self.max_tokens = self.limits.max_tokens(vms);
    }

    /// Records the first attempt of a request.
    pub fn record_request(&mut self, service: &str) {
        let max_tokens = self.max_tokens;
        match self.tokens.get_mut(service) {
            Some(tokens) => {
                *tokens = (*tokens + self.limits.tokens_per_request()).min(max_tokens);
            }
            None => {
                self.tokens.insert(service.to_owned(), self.initial_tokens);
            }
        }
    }

    /// The retries that the budget of each service allows now.
    pub fn tokens(&self) -> impl Iterator<Item = (&str, f64)> {
        self.tokens.iter().map(|(service, tokens)| (service.as_str(), *tokens))
    }

    /// Takes a token for one retry if one is available.
    pub fn try_take(&mut self, service: &str) -> bool {
        match self.tokens.get_mut(service) {
            Some(tokens) if *tokens >= 1.0 => {
                *tokens -= 1.0;
                true
            }
            _ => false,
        }
    }
}
