//! Metrics of what targets receive beyond the first arrival of each request.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabel {
    cause: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabel {
    service: String,
}

/// Metrics of repeats and of the budget that pays for them.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryMetrics {
    /// Forwarded requests that the dispatcher may have received and did not acknowledge in time.
    pub(crate) unacknowledged: Counter,
    /// Number of VMs by which the retry budget is divided.
    pub(crate) budget_vms: Gauge,
    repeats: Family<CauseLabel, Counter>,
    refused: Family<CauseLabel, Counter>,
    tokens: Family<ServiceLabel, Gauge<f64, std::sync::atomic::AtomicU64>>,
}

impl RetryMetrics {
    /// Creates and registers all metrics.
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let help = "Forwarded requests that a dispatcher may have received and did not acknowledge";
        registry.register("dispatch_unacknowledged", help, metrics.unacknowledged.clone());
        let help = "VMs that share the retry budget, as far as this VM knows; 0 if unknown";
        registry.register("retry_budget_vms", help, metrics.budget_vms.clone());
        let help = "Attempts after one that may have reached a target, by how that one ended";
        registry.register("repeats", help, metrics.repeats.clone());
        let help = "Repeats that the retry budget did not allow, by how the last attempt ended";
        registry.register("repeats_refused", help, metrics.refused.clone());
        let help = "Repeats that the retry budget allows now";
        registry.register("retry_tokens", help, metrics.tokens.clone());
        metrics
    }

    /// Counts a repeat that took a token, by how the attempt before it ended.
    pub(crate) fn count_repeat(&self, cause: &'static str) {
        self.repeats.get_or_create(&CauseLabel { cause }).inc();
    }

    /// Counts a repeat for which there was no token, by how the last attempt ended.
    pub(crate) fn count_refused(&self, cause: &'static str) {
        self.refused.get_or_create(&CauseLabel { cause }).inc();
    }

    /// Sets the number of repeats that a service's budget allows.
    pub(crate) fn set_tokens(&self, service: &str, tokens: f64) {
        self.tokens.get_or_create(&ServiceLabel { service: service.to_owned() }).set(tokens);
    }
}
