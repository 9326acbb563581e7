//! Metrics of whether this VM reaches targets.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

/// Metrics of whether this VM reaches targets.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReachMetrics {
    /// Time since a target last responded.
    pub(crate) response_age: Gauge<f64, std::sync::atomic::AtomicU64>,
    /// VMs that take requests, as announced.
    pub(crate) known_vms: Gauge,
    /// Whether this VM reaches no target.
    pub(crate) cut_off: Gauge,
    /// Requests that this VM handed to other VMs.
    pub(crate) handed_over: Counter,
    /// Requests that this VM served for others.
    pub(crate) assisted: Counter,
    failures: Family<ReasonLabel, Counter>,
}

impl ReachMetrics {
    /// Creates and registers all metrics.
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let help = "Time since a target last responded to this VM, or since the VM started";
        registry.register("target_response_age_seconds", help, metrics.response_age.clone());
        let help = "VMs that take requests, as announced by the mandate holder";
        registry.register("known_vms", help, metrics.known_vms.clone());
        let help = "Whether this VM can't connect to any target";
        registry.register("vm_cut_off", help, metrics.cut_off.clone());
        let help = "Requests that this VM, cut off from targets, handed to other VMs";
        registry.register("requests_handed_over", help, metrics.handed_over.clone());
        let help = "Requests that this VM served for VMs that are cut off from targets";
        registry.register("requests_assisted", help, metrics.assisted.clone());
        let help = "Attempts that failed while connecting to a target, by reason";
        registry.register("target_connect_failures", help, metrics.failures.clone());
        metrics
    }

    /// Counts an attempt that failed while connecting.
    pub(crate) fn count_failure(&self, reason: &'static str) {
        self.failures.get_or_create(&ReasonLabel { reason }).inc();
    }
}
