//! Metrics of the request thread.

use std::time::Duration;

use nickellead_core::ErrorKind;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use super::attempts::AttemptMetrics;
use super::crashes::CrashMetrics;
use super::dispatch::DispatchMetrics;
use super::reach::ReachMetrics;
use super::retries::RetryMetrics;
use super::unread::UnreadMetrics;
use crate::response_signals::{LimitSignal, LoadSignal, ResponseSignals};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 10] = [0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0];
/// Value of the `service` label for requests that end before a service is selected.
const NO_SERVICE: &str = "-";

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ErrorLabel {
    error: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SignalLabel {
    sign: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    service: String,
    outcome: &'static str,
}

/// Metrics of the request thread.
#[derive(Clone, Debug)]
pub(crate) struct GatewayMetrics {
    pub(crate) requests: Counter,
    pub(crate) retries: Counter,
    pub(crate) connections: Gauge,
    pub(crate) leaving: Gauge,
    pub(crate) paused: Gauge,
    pub(crate) limited: Gauge,
    pub(crate) zones_out_of_reach: Gauge,
    pub(crate) held_bytes: Gauge,
    pub(crate) held_bytes_limit: Gauge,
    pub(crate) callers_cut: Gauge,
    pub(crate) connection_bytes: Gauge,
    pub(crate) heads_cut: Gauge,
    pub(crate) config_version: Gauge,
    pub(crate) config_age: Gauge<f64, std::sync::atomic::AtomicU64>,
    pub(crate) targets_age: Gauge<f64, std::sync::atomic::AtomicU64>,
    pub(crate) keys_age: Gauge<f64, std::sync::atomic::AtomicU64>,
    response_latency: Histogram,
    errors: Family<ErrorLabel, Counter>,
    outcomes: Family<OutcomeLabels, Counter>,
    signals: Family<SignalLabel, Counter>,
    pub(crate) attempts: AttemptMetrics,
    pub(crate) crashes: CrashMetrics,
    pub(crate) dispatch: DispatchMetrics,
    pub(crate) reach: ReachMetrics,
    pub(crate) repeats: RetryMetrics,
    pub(crate) unread: UnreadMetrics,
}

impl GatewayMetrics {
    /// Creates and registers all metrics.
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let metrics = Self {
            requests: Counter::default(),
            retries: Counter::default(),
            connections: Gauge::default(),
            leaving: Gauge::default(),
            paused: Gauge::default(),
            limited: Gauge::default(),
            zones_out_of_reach: Gauge::default(),
            held_bytes: Gauge::default(),
            held_bytes_limit: Gauge::default(),
            callers_cut: Gauge::default(),
            connection_bytes: Gauge::default(),
            heads_cut: Gauge::default(),
            config_version: Gauge::default(),
            config_age: Gauge::default(),
            targets_age: Gauge::default(),
            keys_age: Gauge::default(),
            response_latency: Histogram::new(LATENCY_BUCKETS),
            errors: Family::default(),
            outcomes: Family::default(),
            signals: Family::default(),
            attempts: AttemptMetrics::register(registry),
            crashes: CrashMetrics::register(registry),
            dispatch: DispatchMetrics::register(registry),
            reach: ReachMetrics::register(registry),
            repeats: RetryMetrics::register(registry),
            unread: UnreadMetrics::register(registry),
        };
        registry.register("requests", "Requests of callers", metrics.requests.clone());
        registry.register(
            "retries",
            "Attempts after the first one of a request, sent or not",
            metrics.retries.clone(),
        );
        let opened = metrics.connections.clone();
        registry.register(
            "target_connections_opened",
            "Connections opened to listed targets",
            opened,
        );
        let help = "Listed targets that signalled this VM that they are leaving";
        registry.register("targets_leaving", help, metrics.leaving.clone());
        let help = "Listed targets that requested a pause from this VM";
        registry.register("targets_paused", help, metrics.paused.clone());
        let help = "Listed targets that reported a rate limit to this VM";
        registry.register("targets_limited", help, metrics.limited.clone());
        let help = "Availability zones that this VM can't reach";
        registry.register("zones_out_of_reach", help, metrics.zones_out_of_reach.clone());
        let help = "Bytes of requests and responses that this VM holds";
        registry.register("held_bytes", help, metrics.held_bytes.clone());
        let help =
            "Most bytes of requests and responses that this VM holds beside a single large body";
        registry.register("held_bytes_limit", help, metrics.held_bytes_limit.clone());
        let help = "Connections closed because their callers took nothing of a response";
        registry.register("callers_cut", help, metrics.callers_cut.clone());
        let help = "Bytes that connections of callers are counted with";
        registry.register("connection_bytes", help, metrics.connection_bytes.clone());
        let help = "Connections closed because there was no memory for a long head";
        registry.register("heads_cut", help, metrics.heads_cut.clone());
        let version = metrics.config_version.clone();
        registry.register("config_version", "Version of the active declarations", version);
        let age = metrics.config_age.clone();
        registry.register(
            "config_age_seconds",
            "Time since the declarations were last updated",
            age,
        );
        let age = metrics.targets_age.clone();
        registry.register(
            "targets_age_seconds",
            "Time since the list of targets was last updated",
            age,
        );
        registry.register(
            "keys_age_seconds",
            "Age of the knowledge of which keys of workspaces are valid",
            metrics.keys_age.clone(),
        );
        registry.register(
            "answer_seconds",
            "Latency of responses of targets",
            metrics.response_latency.clone(),
        );
        registry.register(
            "errors",
            "Requests that ended with an error of this VM, by error",
            metrics.errors.clone(),
        );
        registry.register("outcomes", "Requests by service and outcome", metrics.outcomes.clone());
        let signals = metrics.signals.clone();
        registry.register("target_signs", "Responses of targets by signal", signals);
        metrics
    }

    /// Records a target's response that was forwarded to the caller.
    pub(crate) fn record_response(&self, service: &str, latency: Duration) {
        self.response_latency.observe(latency.as_secs_f64());
        self.count_outcome(service, "answered");
    }

    /// Counts a request that ended with an error of this VM.
    pub(crate) fn count_error(&self, kind: ErrorKind, service: Option<&str>) {
        let response = kind.response();
        self.errors.get_or_create(&ErrorLabel { error: response.code }).inc();
        self.count_outcome(service.unwrap_or(NO_SERVICE), response.outcome.as_str());
    }

    /// Counts the signals of a response.
    pub(crate) fn count_signals(&self, signals: ResponseSignals) {
        let signalled = [
            ("leaving", signals.leaving),
            ("pause", signals.pause.is_some()),
            ("unreadable-pause", signals.unreadable_pause),
            ("limit", matches!(signals.limit, LimitSignal::Limited(_))),
            ("unreadable-limit", signals.limit == LimitSignal::Unreadable),
            ("unreadable-load", signals.load == LoadSignal::Unreadable),
        ];
        for (sign, _) in signalled.into_iter().filter(|(_, is_set)| *is_set) {
            self.signals.get_or_create(&SignalLabel { sign }).inc();
        }
    }

    fn count_outcome(&self, service: &str, outcome: &'static str) {
        let labels = OutcomeLabels { service: service.to_owned(), outcome };
        self.outcomes.get_or_create(&labels).inc();
    }
}
