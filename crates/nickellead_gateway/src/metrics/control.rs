//! What the control duty counts.

use nickellead_range::{OrderKind, OrderOutcome};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::{StoreEra, StoreError};

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
    /// The newest era of the store that this VM heard of.
    store_era: Gauge,
    /// Answers of the store whose word of the era was odd.
    store_eras_odd: Gauge,
}

impl ControlMetrics {
    /// Registers the figures.
    pub(crate) fn register(&self, registry: &mut Registry) {
        let mandate = self.mandate.clone();
        registry.register("mandate_held", "1 while this VM may order targets", mandate);
        registry.register("store_calls", "Calls of the store", self.store_calls.clone());
        let (era, odd) = (self.store_era.clone(), self.store_eras_odd.clone());
        registry.register("store_era", "Rises when the store comes back from an older copy", era);
        registry.register("store_eras_odd", "Answers that tell no era, or one that can't be", odd);
        registry.register("orders", "Orders to targets", self.orders.clone());
    }

    /// Notes the store's era, and how many answers told it oddly.
    pub(crate) fn set_era(&self, era: StoreEra, odd: u64) {
        self.store_era.set(era.0 as i64);
        self.store_eras_odd.set(odd as i64);
    }

    /// Counts a call of the store.
    pub(crate) fn count_store_call<T>(&self, result: &Result<T, StoreError>) {
        let answer = match result {
            Ok(_) => "done",
            Err(StoreError::Conflict) => "conflict",
            Err(StoreError::Compacted) => "forgotten",
            Err(StoreError::Refused(_)) => "refused",
            Err(StoreError::NoResponse(_)) => "silent",
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
