//! Metrics of targets that fell while they had requests.

use nickellead_quarantine::FallEvidence;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EvidenceLabel {
    evidence: &'static str,
}

/// Metrics of targets that fell while they had requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashMetrics {
    falls: Family<EvidenceLabel, Counter>,
    requests_at_falls: Counter,
}

impl CrashMetrics {
    /// Creates and registers all metrics.
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let help = "Targets that fell while they had requests of this VM, by what showed it";
        registry.register("target_falls", help, metrics.falls.clone());
        let help = "Requests of this VM that targets had when they fell";
        registry.register("requests_at_falls", help, metrics.requests_at_falls.clone());
        metrics
    }

    /// Counts the fall of a target that had this many requests.
    pub(crate) fn count_fall(&self, evidence: FallEvidence, requests: usize) {
        self.falls.get_or_create(&EvidenceLabel { evidence: evidence.as_str() }).inc();
        self.requests_at_falls.inc_by(requests as u64);
    }
}
