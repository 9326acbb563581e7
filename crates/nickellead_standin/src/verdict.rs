//! Whether the promises held, judged from what callers and targets recorded.

use std::collections::{BTreeMap, BTreeSet};

use nickellead_core::Name;
use serde::Serialize;

use crate::effect::EffectRecord;
use crate::load::LoadReport;

/// What the records show.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// Most targets that owned a shard at a moment.
    ///
    /// Each shard's effects, in order of time, must show epochs that never go
    /// back, and one target for each epoch.
    pub owners_at_once_max: u32,
    /// Answers that were for another request.
    pub wrong_answers: u64,
    /// Operations that ran more than once.
    pub repeated_once_ops: u64,
    /// Operations that ran though their caller was told that they did not.
    pub ran_though_refused: u64,
    /// Operations with a whole answer that no target ran.
    pub answered_without_effect: u64,
}

impl Verdict {
    /// Whether every promise held.
    #[must_use]
    pub const fn has_no_violations(&self) -> bool {
        self.owners_at_once_max <= 1
            && self.wrong_answers == 0
            && self.repeated_once_ops == 0
            && self.ran_though_refused == 0
            && self.answered_without_effect == 0
    }
}

/// Judges the records of one run.
#[must_use]
pub fn evaluate_run(effects: &[EffectRecord], report: &LoadReport) -> Verdict {
    let mut runs: BTreeMap<u64, u64> = BTreeMap::new();
    for effect in effects.iter().filter(|effect| effect.operation > 0) {
        *runs.entry(effect.operation).or_default() += 1;
    }
    let ran = |operation: &&u64| runs.contains_key(operation);
    let distinct = |operations: &[u64]| operations.iter().copied().collect::<BTreeSet<u64>>();
    Verdict {
        owners_at_once_max: owners_at_once(effects),
        wrong_answers: report.wrong_answers,
        repeated_once_ops: runs.values().filter(|count| **count > 1).count() as u64,
        ran_though_refused: distinct(&report.not_run).iter().filter(ran).count() as u64,
        answered_without_effect: distinct(&report.done).iter().filter(|op| !ran(op)).count() as u64,
    }
}

fn owners_at_once(effects: &[EffectRecord]) -> u32 {
    let mut shards: BTreeMap<(&str, u32), Vec<&EffectRecord>> = BTreeMap::new();
    for effect in effects {
        shards.entry((&effect.service, effect.shard)).or_default().push(effect);
    }
    let most = shards.into_values().map(owners_of_shard).max();
    most.unwrap_or(0)
}

fn owners_of_shard(mut effects: Vec<&EffectRecord>) -> u32 {
    effects.sort_by_key(|effect| (effect.at_us, effect.epoch));
    let mut owners: BTreeMap<u64, BTreeSet<&Name>> = BTreeMap::new();
    let mut newest = 0;
    let mut went_back = false;
    for effect in effects {
        owners.entry(effect.epoch).or_default().insert(&effect.target);
        went_back |= effect.epoch < newest;
        newest = newest.max(effect.epoch);
    }
    let most = owners.values().map(BTreeSet::len).max().unwrap_or(0) as u32;
    most.max(1 + u32::from(went_back))
}
