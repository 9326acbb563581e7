//! Metrics of targets that fell while they had requests.

use nickellead_quarantine::FallEvidence;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::quarantine::QuarantineCounts;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EvidenceLabel {
    evidence: &'static str,
}

/// Metrics of targets that fell while they had requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashMetrics {
    falls: Family<EvidenceLabel, Counter>,
    requests_at_falls: Counter,
    /// Requests that were not sent once more, because two targets fell with them or may have.
    pub(crate) repeats_withheld: Counter,
    quarantined: Gauge,
    suspected: Gauge,
    dropped: Gauge,
}

impl CrashMetrics {
    /// Creates and registers all metrics.
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let help = "Targets that fell while they had requests of this VM, by what showed it";
        registry.register("target_falls", help, metrics.falls.clone());
        let help = "Requests of this VM that targets had when they fell";
        registry.register("requests_at_falls", help, metrics.requests_at_falls.clone());
        let help =
            "Requests that were not sent once more, because two targets may have fallen with them";
        registry.register("crash_repeats_withheld", help, metrics.repeats_withheld.clone());
        let help = "Marks of requests that are refused because targets fell with them";
        registry.register("requests_quarantined", help, metrics.quarantined.clone());
        let help = "Marks of requests with which targets fell, and that are not refused";
        registry.register("requests_suspected", help, metrics.suspected.clone());
        let help =
            "Marks that were forgotten because there were too many, since the start of the VM";
        registry.register("quarantine_marks_dropped", help, metrics.dropped.clone());
        metrics
    }

    /// Sets the numbers of marks.
    pub(crate) fn set_marks(&self, counts: QuarantineCounts) {
        self.quarantined.set(counts.quarantined as i64);
        self.suspected.set(counts.suspected as i64);
        self.dropped.set(counts.dropped as i64);
    }

    /// Counts the fall of a target that had this many requests.
    pub(crate) fn count_fall(&self, evidence: FallEvidence, requests: usize) {
        self.falls.get_or_create(&EvidenceLabel { evidence: evidence.as_str() }).inc();
        self.requests_at_falls.inc_by(requests as u64);
    }
}
