//! Checks the guarantees of the system against the records of callers and targets.

use std::collections::{BTreeMap, BTreeSet};

use nickellead_core::Name;
use serde::Serialize;

use crate::effect::EffectRecord;
use crate::load::LoadReport;

/// Violations of guarantees found in the records of one run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// Maximum number of targets that owned a shard at the same time.
    ///
    /// Within a shard, epochs must not decrease over time and each epoch must
    /// belong to one target. A value above 1 is a violation.
    pub owners_at_once_max: u32,
    /// Number of responses to a different request.
    pub wrong_answers: u64,
    /// Number of at-most-once operations that ran more than once.
    pub repeated_once_ops: u64,
    /// Number of operations that ran although their caller got the outcome `not-run`.
    pub ran_though_refused: u64,
    /// Number of operations with a complete response that no target ran.
    pub answered_without_effect: u64,
}

impl Verdict {
    /// Whether all guarantees held.
    #[must_use]
    pub const fn has_no_violations(&self) -> bool {
        self.owners_at_once_max <= 1
            && self.wrong_answers == 0
            && self.repeated_once_ops == 0
            && self.ran_though_refused == 0
            && self.answered_without_effect == 0
    }
}

/// Checks the records of one run.
#[must_use]
pub fn evaluate_run(effects: &[EffectRecord], report: &LoadReport) -> Verdict {
    let mut runs: BTreeMap<u64, u64> = BTreeMap::new();
    for effect in effects.iter().filter(|effect| effect.operation > 0) {
        *runs.entry(effect.operation).or_default() += 1;
    }
    let has_run = |operation: &&u64| runs.contains_key(operation);
    let distinct = |operations: &[u64]| operations.iter().copied().collect::<BTreeSet<u64>>();
    Verdict {
        owners_at_once_max: owners_at_once(effects),
        wrong_answers: report.wrong_answers,
        repeated_once_ops: runs.values().filter(|count| **count > 1).count() as u64,
        ran_though_refused: distinct(&report.not_run).iter().filter(has_run).count() as u64,
        answered_without_effect: distinct(&report.done).iter().filter(|op| !has_run(op)).count()
            as u64,
    }
}

fn owners_at_once(effects: &[EffectRecord]) -> u32 {
    let mut shards: BTreeMap<(&str, u32), Vec<&EffectRecord>> = BTreeMap::new();
    for effect in effects {
        shards.entry((&effect.service, effect.shard)).or_default().push(effect);
    }
    let max = shards.into_values().map(owners_of_shard).max();
    max.unwrap_or(0)
}

fn owners_of_shard(mut effects: Vec<&EffectRecord>) -> u32 {
    effects.sort_by_key(|effect| (effect.at_us, effect.epoch));
    let mut owners: BTreeMap<u64, BTreeSet<&Name>> = BTreeMap::new();
    let mut highest_epoch = 0;
    let mut epoch_decreased = false;
    for effect in effects {
        owners.entry(effect.epoch).or_default().insert(&effect.target);
        epoch_decreased |= effect.epoch < highest_epoch;
        highest_epoch = highest_epoch.max(effect.epoch);
    }
    let max_per_epoch = owners.values().map(BTreeSet::len).max().unwrap_or(0) as u32;
    max_per_epoch.max(1 + u32::from(epoch_decreased))
}
