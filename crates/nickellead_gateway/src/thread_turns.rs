//! Measures how long the threads of a VM are busy without a pause.
//!
//! While a thread applies a large piece of state, it notices neither callers that leave nor timeouts.

use std::time::{Duration, Instant};

use nickellead_event::{EventName, log_event};

use crate::metrics::{ThreadMetrics, ThreadStep, VmThread};

/// Interval between two measurements of a thread.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// A due task that waits for longer is logged.
const MAX_UNLOGGED_LATE: Duration = Duration::from_millis(100);
/// A step that takes longer is logged.
const MAX_UNLOGGED_STEP: Duration = Duration::from_millis(50);

/// Measures how late due tasks of the current thread run, for as long as its runtime runs.
pub(crate) async fn measure_turns(thread: VmThread, metrics: ThreadMetrics) {
    loop {
        let due = Instant::now() + CHECK_INTERVAL;
        tokio::time::sleep_until(due.into()).await;
        let late = due.elapsed();
        metrics.record_late(thread, late);
        if late > MAX_UNLOGGED_LATE {
            let pairs: [(&str, &dyn std::fmt::Display); 2] =
                [("thread", &thread.as_str()), ("late_ms", &late.as_millis())];
            log_event(EventName::ThreadLate, &pairs);
        }
    }
}

/// Does a step, and records how long it takes.
pub(crate) fn run_step<T>(step: ThreadStep, metrics: &ThreadMetrics, run: impl FnOnce() -> T) -> T {
    let started = Instant::now();
    let result = run();
    let took = started.elapsed();
    metrics.record_step(step, took);
    if took > MAX_UNLOGGED_STEP {
        let pairs: [(&str, &dyn std::fmt::Display); 2] =
            [("step", &step.as_str()), ("took_ms", &took.as_millis())];
        log_event(EventName::StepLong, &pairs);
    }
    result
}
