//! Results of a trial.

use std::collections::BTreeMap;
use std::fmt;

use nickellead_standin::Verdict;
use serde::Serialize;

/// Report of a trial, computed from the records of callers and targets.
#[derive(Clone, Debug, Default, Serialize)]
pub struct TrialReport {
    /// Violations of the guarantees.
    pub verdict: Verdict,
    /// Number of requests with a complete response.
    pub answered: u64,
    /// Number of requests proven not to have run.
    pub refused: u64,
    /// Number of requests that may have run.
    pub unknown: u64,
    /// Number of errors by code.
    pub errors: BTreeMap<String, u64>,
    /// 99th percentile of the durations for which a key was unavailable to a caller, in ms.
    pub unavailable_ms_p99: u64,
    /// Longest duration for which a key was unavailable to a caller, in ms.
    pub unavailable_ms_max: u64,
    /// Latency of answered requests in microseconds: p50, p99, maximum.
    pub latency_us: [u64; 3],
    /// Largest ratio of the maximum to the mean number of shards per target, over services and zones.
    pub imbalance: f64,
    /// Ownership changes divided by the number of shards of the crashed and drained targets.
    pub churn: f64,
    /// Number of ownership changes of shards.
    pub moves: u64,
    /// Number of platform calls of all VMs.
    pub platform_calls: u64,
    /// Duration of the load in seconds.
    pub seconds: u64,
}

impl TrialReport {
    /// Whether every guarantee held.
    #[must_use]
    pub const fn is_clean(&self) -> bool {
        self.verdict.has_no_violations()
    }
}

impl fmt::Display for TrialReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [p50, p99, max] = self.latency_us;
        writeln!(formatter, "answered       {:>9}", self.answered)?;
        writeln!(formatter, "refused        {:>9}   (proven not to have run)", self.refused)?;
        writeln!(formatter, "unknown        {:>9}   (may have run)", self.unknown)?;
        for (code, count) in &self.errors {
            writeln!(formatter, "  {code:<20} {count:>9}")?;
        }
        writeln!(formatter, "latency        p50 {p50} us, p99 {p99} us, max {max} us")?;
        writeln!(
            formatter,
            "unavailable    at most {} ms for one key, first to last failure",
            self.unavailable_ms_max
        )?;
        writeln!(formatter, "moves          {:>9}", self.moves)?;
        let rate = self.platform_calls as f64 / self.seconds.max(1) as f64;
        writeln!(formatter, "platform calls {:>9}   ({rate:.1} per second)", self.platform_calls)?;
        write!(
            formatter,
            "owners_at_once_max={} wrong_answers={} repeated_once_ops={} answered={} refused={} \
             unknown={} unavailable_ms_p99={} imbalance={:.3} churn={:.3}",
            self.verdict.owners_at_once_max,
            self.verdict.wrong_answers,
            self.verdict.repeated_once_ops,
            self.answered,
            self.refused,
            self.unknown,
            self.unavailable_ms_p99,
            self.imbalance,
            self.churn
        )
    }
}
