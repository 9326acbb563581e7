//! What the request duty counts.

use std::time::Duration;

use nickellead_core::ErrorKind;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::response_signals::{LimitSignal, ResponseSignals};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 10] = [0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0];
/// Label of requests that end before a service is chosen.
const NO_SERVICE: &str = "-";

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ErrorLabel {
    error: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SignLabel {
    sign: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    service: String,
    outcome: &'static str,
}

/// What the request duty counts.
#[derive(Clone, Debug)]
pub(crate) struct GatewayMetrics {
    pub(crate) requests: Counter,
    pub(crate) retries: Counter,
    pub(crate) connections: Gauge,
    pub(crate) leaving: Gauge,
    pub(crate) paused: Gauge,
    pub(crate) limited: Gauge,
    pub(crate) config_version: Gauge,
    pub(crate) config_age: Gauge<f64, std::sync::atomic::AtomicU64>,
    pub(crate) targets_age: Gauge<f64, std::sync::atomic::AtomicU64>,
    answers: Histogram,
    errors: Family<ErrorLabel, Counter>,
    outcomes: Family<OutcomeLabels, Counter>,
    signs: Family<SignLabel, Counter>,
}

impl GatewayMetrics {
    /// Makes the figures and registers them.
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let metrics = Self {
            requests: Counter::default(),
            retries: Counter::default(),
            connections: Gauge::default(),
            leaving: Gauge::default(),
            paused: Gauge::default(),
            limited: Gauge::default(),
            config_version: Gauge::default(),
            config_age: Gauge::default(),
            targets_age: Gauge::default(),
            answers: Histogram::new(LATENCY_BUCKETS),
            errors: Family::default(),
            outcomes: Family::default(),
            signs: Family::default(),
        };
        registry.register("requests", "Requests of callers", metrics.requests.clone());
        registry.register("retries", "Tries after the first one", metrics.retries.clone());
        let opened = metrics.connections.clone();
        registry.register("target_connections_opened", "Opened to targets that are listed", opened);
        let told = "Listed targets that told this VM that they leave";
        registry.register("targets_leaving", told, metrics.leaving.clone());
        let told = "Listed targets that told this VM that they want nothing now";
        registry.register("targets_paused", told, metrics.paused.clone());
        let told = "Listed targets that named this VM a limit of requests a second";
        registry.register("targets_limited", told, metrics.limited.clone());
        let version = metrics.config_version.clone();
        registry.register("config_version", "Declarations in force", version);
        let age = metrics.config_age.clone();
        registry.register("config_age_seconds", "Since declarations were taken over", age);
        let age = metrics.targets_age.clone();
        registry.register("targets_age_seconds", "Since a list of targets was taken over", age);
        registry.register("answer_seconds", "Time to a target's answer", metrics.answers.clone());
        registry.register("errors", "Requests ended by this VM", metrics.errors.clone());
        registry.register("outcomes", "Requests by service and outcome", metrics.outcomes.clone());
        let signs = metrics.signs.clone();
        registry.register("target_signs", "Answers by what they tell of their target", signs);
        metrics
    }

    /// Counts an answer of a target that was passed on.
    pub(crate) fn record_response(&self, service: &str, length: Duration) {
        self.answers.observe(length.as_secs_f64());
        self.count_outcome(service, "answered");
    }

    /// Counts a request that this VM ended itself.
    pub(crate) fn count_error(&self, kind: ErrorKind, service: Option<&str>) {
        let answer = kind.response();
        self.errors.get_or_create(&ErrorLabel { error: answer.code }).inc();
        self.count_outcome(service.unwrap_or(NO_SERVICE), answer.outcome.as_str());
    }

    /// Counts an answer that tells something of its target.
    pub(crate) fn count_signals(&self, signs: ResponseSignals) {
        let told = [
            ("leaving", signs.leaving),
            ("pause", signs.pause.is_some()),
            ("unreadable-pause", signs.unreadable_pause),
            ("limit", matches!(signs.limit, LimitSignal::Limited(_))),
            ("unreadable-limit", signs.limit == LimitSignal::Unreadable),
        ];
        for (sign, _) in told.into_iter().filter(|(_, told)| *told) {
            self.signs.get_or_create(&SignLabel { sign }).inc();
        }
    }

    fn count_outcome(&self, service: &str, outcome: &'static str) {
        let labels = OutcomeLabels { service: service.to_owned(), outcome };
        self.outcomes.get_or_create(&labels).inc();
    }
}
