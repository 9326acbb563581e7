//! Selection of one target among candidates.

use nickellead_core::Timestamp;

use crate::TargetScore;

/// A target that may be selected for a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Statistics of this VM's requests to the target.
    pub score: &'a TargetScore,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the target is in this VM's availability zone.
    pub same_zone: bool,
    /// Whether the target has just started and is still slow.
    pub cold: bool,
}

/// Number of candidates sampled for one request.
///
/// A larger sample would make all VMs select the same best target at the same time.
const SAMPLE_SIZE: usize = 3;
/// Cost factor of a target in another availability zone, because traffic between zones is charged.
///
/// It serves as many requests as a factor of 1.15 and sends a fifth to a quarter fewer bytes between zones.
const OTHER_ZONE_COST_FACTOR: f64 = 2.0;
/// Cost factor of a cold target, whose responses take about this many times as long.
const COLD_COST_FACTOR: f64 = 2.0;

/// Criteria that a selection uses in addition to the scores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SelectionRules {
    /// Excludes targets that are ejected for their failures.
    pub ejection: bool,
    /// Prefers targets in this VM's availability zone.
    pub prefer_same_zone: bool,
    /// Avoids targets that have just started.
    pub avoid_cold: bool,
}

/// Selects one of the candidates and returns its index; `None` if there are no candidates.
///
/// If more than half of the candidates are ejected, ejection is ignored, because the cause is
/// probably not in the targets.
pub fn choose(
    candidates: &[Candidate<'_>],
    rules: SelectionRules,
    now: Timestamp,
    rng: &mut fastrand::Rng,
) -> Option<usize> {
    let is_healthy = |index: &usize| !rules.ejection || !candidates[*index].score.is_ejected(now);
    let healthy: Vec<usize> = (0..candidates.len()).filter(is_healthy).collect();
    let pool: Vec<usize> = if healthy.len() * 2 >= candidates.len() {
        healthy
    } else {
        (0..candidates.len()).collect()
    };
    let sample_size = SAMPLE_SIZE.min(pool.len());
    let sample = (0..sample_size).map(|_| pool[rng.usize(..pool.len())]);
    sample.min_by(|a, b| cost(&candidates[*a], rules).total_cmp(&cost(&candidates[*b], rules)))
}

fn cost(candidate: &Candidate<'_>, rules: SelectionRules) -> f64 {
    let mut cost = candidate.score.cost(candidate.slots);
    if rules.prefer_same_zone && !candidate.same_zone {
        cost *= OTHER_ZONE_COST_FACTOR;
    }
    if rules.avoid_cold && candidate.cold {
        cost *= COLD_COST_FACTOR;
    }
    cost
}
