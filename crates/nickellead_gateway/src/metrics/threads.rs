//! Metrics of how long the threads of a VM are busy without a pause.

use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the buckets, in seconds.
const PAUSE_BUCKETS: [f64; 8] = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5];

/// A thread of one VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum VmThread {
    Requests,
    Control,
}

impl VmThread {
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::Control => "control",
        }
    }
}

/// Work that a thread does without a pause: applying a new part of the cluster state, unless it says
/// otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ThreadStep {
    Declarations,
    Targets,
    Evacuations,
    Fleet,
    Ranges,
    Admissions,
    /// All parts of an update from another VM, as the control thread applies them.
    Update,
    /// Replacing owners of ranges that left, on the mandate holder.
    Owners,
    /// Planning moves that balance load, on the mandate holder.
    Balance,
}

impl ThreadStep {
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Declarations => "declarations",
            Self::Targets => "targets",
            Self::Evacuations => "evacuations",
            Self::Fleet => "fleet",
            Self::Ranges => "ranges",
            Self::Admissions => "admissions",
            Self::Update => "update",
            Self::Owners => "owners",
            Self::Balance => "balance",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ThreadLabel {
    thread: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StepLabel {
    step: &'static str,
}

/// Metrics of both threads of a VM; clones share the values.
#[derive(Clone, Debug)]
pub(crate) struct ThreadMetrics {
    pauses: Family<ThreadLabel, Histogram, fn() -> Histogram>,
    steps: Family<StepLabel, Histogram, fn() -> Histogram>,
}

impl Default for ThreadMetrics {
    fn default() -> Self {
        let new = || Histogram::new(PAUSE_BUCKETS);
        Self {
            pauses: Family::new_with_constructor(new as fn() -> Histogram),
            steps: Family::new_with_constructor(new as fn() -> Histogram),
        }
    }
}

impl ThreadMetrics {
    /// Registers all metrics.
    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Time that a due task of a thread waited for its turn";
        registry.register("thread_late_seconds", help, self.pauses.clone());
        let help = "Time that a thread took for a step without a pause";
        registry.register("thread_step_seconds", help, self.steps.clone());
    }

    /// Records how late a due task of a thread ran.
    pub(crate) fn record_late(&self, thread: VmThread, late: Duration) {
        let label = ThreadLabel { thread: thread.as_str() };
        self.pauses.get_or_create(&label).observe(late.as_secs_f64());
    }

    /// Records how long a step took.
    pub(crate) fn record_step(&self, step: ThreadStep, took: Duration) {
        let label = StepLabel { step: step.as_str() };
        self.steps.get_or_create(&label).observe(took.as_secs_f64());
    }
}
