//! What the control duty counts.

use nickellead_range::{OrderKind, OrderOutcome};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::StoreError;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AnswerLabel {
    answer: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OrderLabels {
    order: &'static str,
    outcome: &'static str,
}

/// The control duty's counters and its one gauge.
#[derive(Clone, Debug, Default)]
pub(crate) struct ControlMetrics {
    /// 1 while this VM may order targets.
    pub(crate) mandate: Gauge,
    store_calls: Family<AnswerLabel, Counter>,
    orders: Family<OrderLabels, Counter>,
}

impl ControlMetrics {
    /// Registers the figures.
    pub(crate) fn register(&self, registry: &mut Registry) {
        let mandate = self.mandate.clone();
        registry.register("mandate_held", "1 while this VM may order targets", mandate);
        registry.register("store_calls", "Calls of the store", self.store_calls.clone());
        registry.register("orders", "Orders to targets", self.orders.clone());
    }

    /// Counts a call of the store.
    pub(crate) fn count_store_call<T>(&self, result: &Result<T, StoreError>) {
        let answer = match result {
            Ok(_) => "done",
            Err(StoreError::Conflict) => "conflict",
            Err(StoreError::Forgotten) => "forgotten",
            Err(StoreError::Refused(_)) => "refused",
            Err(StoreError::Silent(_)) => "silent",
            Err(StoreError::Malformed(_)) => "malformed",
        };
        self.store_calls.get_or_create(&AnswerLabel { answer }).inc();
    }

    /// Counts an order to a target.
    pub(crate) fn count_order(&self, kind: &OrderKind, outcome: &OrderOutcome) {
        let labels = OrderLabels { order: kind.as_str(), outcome: outcome.as_str() };
        self.orders.get_or_create(&labels).inc();
    }
}
