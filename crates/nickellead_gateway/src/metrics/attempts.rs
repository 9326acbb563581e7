//! Metrics of how attempts at targets end.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

use crate::RepeatClass;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AttemptLabels {
    result: &'static str,
    repeat: &'static str,
}

/// Metrics of how attempts at targets end.
#[derive(Clone, Debug, Default)]
pub(crate) struct AttemptMetrics {
    attempts: Family<AttemptLabels, Counter>,
}

impl AttemptMetrics {
    /// Creates and registers all metrics.
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let help = "Attempts at targets, by how they ended and whether the request may run again";
        registry.register("attempts", help, metrics.attempts.clone());
        metrics
    }

    /// Counts an attempt that ended with this result.
    pub(crate) fn count(&self, result: &'static str, repeat: RepeatClass) {
        let repeat = match repeat {
            RepeatClass::Safe => "safe",
            RepeatClass::Unsafe => "unsafe",
        };
        self.attempts.get_or_create(&AttemptLabels { result, repeat }).inc();
    }
}
