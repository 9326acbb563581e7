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

    /// Retries with which a VM starts. A restart must not hand out a share of `extra` again.
    fn initial_tokens(&self) -> f64 {
        match self.extra {
            Some(_) => 0.0,
            None => self.burst,
        }
    }

    /// Most retries that one of `vms` VMs saves up; 0 VMs if their number is unknown.
    ///
    /// What a request earns can always be used, even if the share of a VM is smaller.
    fn max_tokens(&self, vms: usize) -> f64 {
        let share = match self.extra {
            None => self.burst,
            Some(_) if vms == 0 => 0.0,
            Some(extra) => extra / vms as f64,
        };
        share.max(self.tokens_per_request()).min(self.burst)
    }
}

/// Tokens of one service.
#[derive(Debug)]
struct ServiceTokens {
    saved: f64,
    /// Sum of the parts of tokens that were drawn for and not won, from 0 to 1.
    drawn: f64,
}

/// A token bucket for each service: requests add tokens, retries take them.
///
/// The retries of all VMs in any time are at most what their requests earn in that time, and what the VMs
/// had saved up before, which is at most `extra` if each knows the size of the fleet. VMs that start add
/// nothing to this sum.
///
/// A VM whose share is less than one token draws: it spends what it has and may retry with that
/// probability, so that the sum over many VMs is kept on average.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    /// Where the draws of each service start, from 0 to 1.
    draw_phase: f64,
    max_tokens: f64,
    services: HashMap<String, ServiceTokens>,
}

impl RetryBudget {
    /// Creates the budget of a VM that has just started. `draw_phase` must be random, from 0 to 1.
    #[must_use]
    pub fn new(limits: RetryLimits, draw_phase: f64) -> Self {
        Self { limits, draw_phase, max_tokens: limits.max_tokens(0), services: HashMap::new() }
    }

    /// Sets the number of VMs that share the allowance of the fleet; 0 if unknown.
    pub fn set_fleet_size(&mut self, vms: usize) {
        self.max_tokens = self.limits.max_tokens(vms);
        for tokens in self.services.values_mut() {
            tokens.saved = tokens.saved.min(self.max_tokens);
        }
    }

    /// Records the first attempt of a request.
    pub fn record_request(&mut self, service: &str) {
        let earned = self.limits.tokens_per_request();
        match self.services.get_mut(service) {
            Some(tokens) => tokens.saved = (tokens.saved + earned).min(self.max_tokens),
            None => {
                let saved = (self.limits.initial_tokens() + earned).min(self.max_tokens);
                let tokens = ServiceTokens { saved, drawn: self.draw_phase };
                self.services.insert(service.to_owned(), tokens);
            }
        }
    }

    /// The tokens that each service has saved up.
    pub fn tokens(&self) -> impl Iterator<Item = (&str, f64)> {
        self.services.iter().map(|(service, tokens)| (service.as_str(), tokens.saved))
    }

    /// Whether [`RetryBudget::try_take`] would allow a retry now.
    #[must_use]
    pub fn has_token(&self, service: &str) -> bool {
        let Some(tokens) = self.services.get(service) else { return false };
        tokens.saved >= 1.0 || self.draws() && tokens.saved + tokens.drawn >= 1.0
    }

    /// Takes a token for one retry if one is available.
    pub fn try_take(&mut self, service: &str) -> bool {
        let draws = self.draws();
        let Some(tokens) = self.services.get_mut(service) else { return false };
        if tokens.saved >= 1.0 {
            tokens.saved -= 1.0;
            return true;
        }
        if draws {
            tokens.drawn += std::mem::take(&mut tokens.saved);
        }
        let is_won = tokens.drawn >= 1.0;
        if is_won {
            tokens.drawn -= 1.0;
        }
        is_won
    }

    /// Whether a VM can't save up a whole token.
    fn draws(&self) -> bool {
        self.max_tokens < 1.0
    }
}
