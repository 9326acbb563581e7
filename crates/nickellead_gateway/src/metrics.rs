//! Counters and histograms of one VM.

use std::time::Duration;

use nickellead_core::ErrorKind;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 10] = [0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0];

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ErrorLabel {
    error: &'static str,
}

/// What one VM counts.
#[derive(Clone, Debug)]
pub(crate) struct GatewayMetrics {
    pub(crate) requests: Counter,
    pub(crate) retries: Counter,
    answers: Histogram,
    errors: Family<ErrorLabel, Counter>,
}

impl GatewayMetrics {
    /// Makes the figures and registers them.
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let metrics = Self {
            requests: Counter::default(),
            retries: Counter::default(),
            answers: Histogram::new(LATENCY_BUCKETS),
            errors: Family::default(),
        };
        registry.register("requests", "Requests of callers", metrics.requests.clone());
        registry.register("retries", "Tries after the first one", metrics.retries.clone());
        registry.register("answer_seconds", "Time to a target's answer", metrics.answers.clone());
        registry.register("errors", "Requests ended by this VM", metrics.errors.clone());
        metrics
    }

    /// Counts an answer of a target that was passed on.
    pub(crate) fn note_answer(&self, length: Duration) {
        self.answers.observe(length.as_secs_f64());
    }

    /// Counts a request that this VM ended itself.
    pub(crate) fn count_error(&self, kind: ErrorKind) {
        self.errors.get_or_create(&ErrorLabel { error: kind.answer().code }).inc();
    }
}
