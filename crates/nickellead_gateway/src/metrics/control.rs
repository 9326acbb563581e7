//! Metrics of the control loop.

use nickellead_range::{OrderKind, OrderOutcome};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::store_call::StoreCall;
use crate::{StoreEra, StoreError};

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StoreCallLabels {
    answer: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StoreFailureLabels {
    call: &'static str,
    answer: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OrderLabels {
    order: &'static str,
    outcome: &'static str,
}

/// Metrics of the control loop, shared with the request thread, which serves them.
#[derive(Clone, Debug, Default)]
pub(crate) struct ControlMetrics {
    /// 1 while this VM may order targets.
    pub(crate) mandate: Gauge,
    store_calls: Family<StoreCallLabels, Counter>,
    store_failures: Family<StoreFailureLabels, Counter>,
    /// Times that the store stopped responding.
    pub(crate) store_outages: Counter,
    orders: Family<OrderLabels, Counter>,
    /// The newest known era of the store.
    store_era: Gauge,
    /// Number of responses of the store with an invalid era.
    store_invalid_eras: Gauge,
}

impl ControlMetrics {
    /// Registers all metrics.
    pub(crate) fn register(&self, registry: &mut Registry) {
        let mandate = self.mandate.clone();
        registry.register("mandate_held", "1 while this VM may order targets", mandate);
        registry.register("store_calls", "Calls to the store by result", self.store_calls.clone());
        registry.register(
            "store_failures",
            "Failed calls to the store by kind of call and result",
            self.store_failures.clone(),
        );
        let outages = self.store_outages.clone();
        registry.register("store_outages", "Times that the store stopped responding", outages);
        let (era, invalid) = (self.store_era.clone(), self.store_invalid_eras.clone());
        registry.register(
            "store_era",
            "Era of the store, which increases when the store is restored from an older copy",
            era,
        );
        registry.register(
            "store_eras_odd",
            "Responses of the store with a missing or invalid era",
            invalid,
        );
        registry.register("orders", "Orders to targets by kind and outcome", self.orders.clone());
    }

    /// Sets the store's era and the number of responses with an invalid one.
    pub(crate) fn set_era(&self, era: StoreEra, invalid: u64) {
        self.store_era.set(era.0 as i64);
        self.store_invalid_eras.set(invalid as i64);
    }

    /// Counts a call to the store by its result, and a failed one by its kind as well.
    pub(crate) fn count_store_call<T>(&self, call: StoreCall, result: &Result<T, StoreError>) {
        let answer = match result {
            Ok(_) => "done",
            Err(StoreError::Conflict) => "conflict",
            Err(StoreError::Compacted) => "forgotten",
            Err(StoreError::Refused(_)) => "refused",
            Err(StoreError::RateLimited) => "rate-limited",
            Err(StoreError::NoResponse(_)) => "silent",
            Err(StoreError::Disconnected(_)) => "disconnected",
            Err(StoreError::Malformed(_)) => "malformed",
        };
        self.store_calls.get_or_create(&StoreCallLabels { answer }).inc();
        if result.is_err() {
            let labels = StoreFailureLabels { call: call.as_str(), answer };
            self.store_failures.get_or_create(&labels).inc();
        }
    }

    /// Counts an order to a target by kind and outcome.
    pub(crate) fn count_order(&self, kind: &OrderKind, outcome: &OrderOutcome) {
        let labels = OrderLabels { order: kind.as_str(), outcome: outcome.as_str() };
        self.orders.get_or_create(&labels).inc();
    }
}
