//! What a trial showed.

use std::collections::BTreeMap;
use std::fmt;

use nickellead_standin::Verdict;
use serde::Serialize;

/// The report of a trial, computed from what callers and targets recorded.
#[derive(Clone, Debug, Default, Serialize)]
pub struct TrialReport {
    /// Whether the promises held.
    pub verdict: Verdict,
    /// Requests with a whole answer.
    pub answered: u64,
    /// Requests that were proved not run.
    pub refused: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Errors by code.
    pub errors: BTreeMap<String, u64>,
    /// 99th percentile over all times that a key was unavailable to a caller.
    pub unavailable_ms_p99: u64,
    /// Longest time that a key was unavailable to a caller.
    pub unavailable_ms_max: u64,
    /// Latency of answered requests in microseconds: p50, p99, maximum.
    pub latency_us: [u64; 3],
    /// Largest over services of: most shards of a target per slot, over the mean.
    pub imbalance: f64,
    /// Shards that changed their owner, over those of the lost and drained targets.
    pub churn: f64,
    /// Shards that changed their owner.
    pub moves: u64,
    /// Calls of the platform, by all VMs.
    pub platform_calls: u64,
    /// Length of the load in seconds.
    pub seconds: u64,
}

impl TrialReport {
    /// Whether every promise held.
    #[must_use]
    pub const fn is_clean(&self) -> bool {
        self.verdict.has_no_violations()
    }
}

impl fmt::Display for TrialReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [p50, p99, max] = self.latency_us;
        writeln!(formatter, "answers        {:>9}", self.answered)?;
        writeln!(formatter, "refused        {:>9}   (proved not run)", self.refused)?;
        writeln!(formatter, "unknown        {:>9}   (may have run)", self.unknown)?;
        for (code, count) in &self.errors {
            writeln!(formatter, "  {code:<20} {count:>9}")?;
        }
        writeln!(formatter, "latency        p50 {p50} us, p99 {p99} us, max {max} us")?;
        writeln!(
            formatter,
            "unavailable    longest {} ms for one key, first to last failure",
            self.unavailable_ms_max
        )?;
        writeln!(formatter, "moves          {:>9}", self.moves)?;
        let rate = self.platform_calls as f64 / self.seconds.max(1) as f64;
        writeln!(formatter, "platform calls {:>9}   ({rate:.1} a second)", self.platform_calls)?;
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
