//! Metrics of dispatch between VMs.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Metrics of dispatch between VMs.
#[derive(Clone, Debug, Default)]
pub(crate) struct DispatchMetrics {
    /// Permits that this VM granted at once.
    pub(crate) granted: Counter,
    /// Permits that this VM granted after a wait.
    pub(crate) waited: Counter,
    /// Requests that this VM refused a permit.
    pub(crate) refused: Counter,
    /// Requests of this VM that got a target in another availability zone.
    pub(crate) spilled: Counter,
    /// Attempts of this VM that no dispatcher decided for.
    pub(crate) unavailable: Counter,
    /// Requests that this VM sent for others or itself as the dispatcher.
    pub(crate) forwarded: Counter,
    groups: Gauge,
    waiting: Gauge,
}

impl DispatchMetrics {
    /// Creates and registers all metrics.
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let counters = [
            ("dispatch_granted", "Permits that this VM granted at once", &metrics.granted),
            ("dispatch_waited", "Permits that this VM granted after a wait", &metrics.waited),
            ("dispatch_refused", "Requests that this VM refused a permit", &metrics.refused),
            (
                "dispatch_spilled",
                "Requests of this VM that got a target in another availability zone",
                &metrics.spilled,
            ),
            (
                "dispatch_unavailable",
                "Attempts of this VM that no dispatcher decided for",
                &metrics.unavailable,
            ),
            (
                "dispatch_forwarded",
                "Requests that this VM sent as the dispatcher",
                &metrics.forwarded,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        let help = "Groups of targets that this VM dispatches";
        registry.register("dispatch_groups", help, metrics.groups.clone());
        let help = "Requests that wait for a permit of this VM";
        registry.register("dispatch_waiting", help, metrics.waiting.clone());
        metrics
    }

    /// Sets the number of groups that this VM dispatches and of requests that wait there.
    pub(crate) fn set_gauges(&self, groups: usize, waiting: usize) {
        self.groups.set(i64::try_from(groups).unwrap_or(i64::MAX));
        self.waiting.set(i64::try_from(waiting).unwrap_or(i64::MAX));
    }
}
