//! Metrics of the request path, shared by all workers of a process.

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

/// Metrics of the request path.
#[derive(Clone, Debug, Default)]
pub struct ProxyMetrics {
    /// Requests received from callers.
    pub requests: Counter,
    /// Responses of targets forwarded to callers.
    pub forwarded: Counter,
    /// Requests that are being handled.
    pub in_flight: Gauge,
    /// Attempts after the first one of a request.
    pub retries: Counter,
    /// Requests that waited until their shard had an owner.
    pub owner_waits: Counter,
    errors: Arc<Family<KindLabel, Counter>>,
}

impl ProxyMetrics {
    /// Counts an error response of the router itself.
    pub fn count_error(&self, kind: ErrorKind) {
        let label = KindLabel { kind: kind.response().code };
        self.errors.get_or_create(&label).inc();
    }

    /// Registers all metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register("requests", "Requests from callers", self.requests.clone());
        registry.register("answered", "Target responses forwarded", self.forwarded.clone());
        registry.register("running", "Requests that are being handled", self.in_flight.clone());
        registry.register("retries", "Attempts after the first", self.retries.clone());
        registry.register("waited", "Requests that waited for an owner", self.owner_waits.clone());
        registry.register("errors", "Error responses of the router itself", (*self.errors).clone());
    }
}
