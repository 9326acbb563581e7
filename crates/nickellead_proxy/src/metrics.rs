//! Counters that all workers of a process share.

use std::sync::Arc;

use nickellead_core::ErrorKind;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Label of a counter by error kind.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct KindLabel {
    kind: &'static str,
}

/// What the request path counts.
#[derive(Clone, Debug, Default)]
pub struct ProxyMetrics {
    /// Requests that came in.
    pub requests: Counter,
    /// Answers of targets passed on.
    pub answered: Counter,
    /// Requests under way.
    pub running: Gauge,
    /// Tries after the first.
    pub retries: Counter,
    /// Requests that waited for a new owner.
    pub waited: Counter,
    errors: Arc<Family<KindLabel, Counter>>,
}

impl ProxyMetrics {
    /// Counts an answer of the router itself.
    pub fn count_error(&self, kind: ErrorKind) {
        let label = KindLabel { kind: kind.response().code };
        self.errors.get_or_create(&label).inc();
    }

    /// Registers every counter.
    pub fn register(&self, registry: &mut Registry) {
        registry.register("requests", "Requests from callers", self.requests.clone());
        registry.register("answered", "Answers of targets passed on", self.answered.clone());
        registry.register("running", "Requests under way", self.running.clone());
        registry.register("retries", "Tries after the first", self.retries.clone());
        registry.register("waited", "Requests that waited for a new owner", self.waited.clone());
        registry.register("errors", "Answers of the router itself", (*self.errors).clone());
    }
}
