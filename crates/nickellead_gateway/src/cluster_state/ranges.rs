//! The newest map of ranges, and the last steps that led to it.
//!
//! The revision of the store names a map's content, whichever VM tells it. So
//! a reader that has a map is told the steps from there by any VM that keeps
//! them, also when it had that map from another one.

use std::collections::VecDeque;

use bincode::{Decode, Encode};
use nickellead_range::{MapChange, MapChangeError, RangeMap};
use thiserror::Error;

use crate::{Revision, Stored};

/// Steps kept for other VMs; a VM that is further behind gets the whole map.
///
/// The map is written three times a second, so they reach back 20 seconds: longer than a reader
/// takes to find another source.
const STEPS_KEPT: usize = 64;

/// From one map of ranges to the next one that a VM had.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RangesStep {
    /// Revision of the map that the change applies to.
    pub from: Revision,
    /// Revision of the map that it makes.
    pub to: Revision,
    /// What changes.
    pub change: MapChange,
}

/// What a VM tells another one of the map of ranges.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum RangesUpdate {
    /// The steps from the reader's map to the newest one, oldest first.
    Steps(Vec<RangesStep>),
    /// The newest map.
    Whole(Stored<RangeMap>),
}

/// Why steps can't be taken; the map that was known stays.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StepsMisfit {
    /// No step starts at the known map, or a whole map is needed.
    #[error("no step starts at revision {}, which is known", known)]
    NoStart {
        /// Revision of the known map; 0 when a whole map is needed.
        known: Revision,
    },
    /// A step does not start where the one before it ends, or does not go forward.
    #[error("a step from revision {} to {} does not go on from {}", from, to, reached)]
    Broken {
        /// Revision that the step starts at.
        from: Revision,
        /// Revision that the step leads to.
        to: Revision,
        /// Revision that the steps before it led to.
        reached: Revision,
    },
    /// The change does not apply to the map of its revision.
    #[error("the change to revision {} does not apply: {error}", to)]
    Refused {
        /// Revision that the step leads to.
        to: Revision,
        /// Why it does not apply.
        error: MapChangeError,
    },
}

/// The newest map of ranges that a VM knows, and the last steps that led to it.
///
/// It never goes back to an older map.
#[derive(Debug, Default)]
pub struct RangesHistory {
    newest: Option<Stored<RangeMap>>,
    /// The last steps, each from where the one before it ends; the last one ends at the newest map.
    steps: VecDeque<RangesStep>,
    /// Whether a step did not apply to the newest map, so that a whole one is needed.
    doubted: bool,
}

impl RangesHistory {
    /// The newest map.
    #[must_use]
    pub fn newest(&self) -> Option<&Stored<RangeMap>> {
        self.newest.as_ref()
    }

    /// From which revision steps can be taken; 0 when a whole map is needed.
    #[must_use]
    pub fn revision(&self) -> Revision {
        let sure = self.newest.as_ref().filter(|_| !self.doubted);
        sure.map_or(Revision::default(), |newest| newest.revision)
    }

    /// Takes a whole map, unless it is older; tells whether it is the newest now.
    pub fn take_whole(&mut self, new: Stored<RangeMap>) -> bool {
        match &self.newest {
            Some(known) if new.revision < known.revision => return false,
            Some(known) if new.revision == known.revision && !self.doubted => return false,
            Some(known) if !self.doubted => match step_between(known, &new) {
                Some(step) => self.keep_step(step),
                None => self.steps.clear(),
            },
            _ => self.steps.clear(),
        }
        self.doubted = false;
        self.newest = Some(new);
        true
    }

    /// Takes steps, of which those that the known map is past are ignored; tells whether a newer
    /// map came of it.
    ///
    /// # Errors
    /// [`StepsMisfit`]; nothing is taken then.
    pub fn take_steps(&mut self, steps: Vec<RangesStep>) -> Result<bool, StepsMisfit> {
        check_order(&steps)?;
        let known = self.revision();
        if steps.last().is_none_or(|last| last.to <= known) {
            return Ok(false);
        }
        let start = steps.iter().position(|step| step.from == known);
        let (Some(start), Some(newest)) = (start, &self.newest) else {
            return Err(StepsMisfit::NoStart { known });
        };
        let made = apply_steps(newest, &steps[start..]);
        if made.is_err() {
            self.doubted = true;
            self.steps.clear();
        }
        self.newest = Some(made?);
        steps.into_iter().skip(start).for_each(|step| self.keep_step(step));
        Ok(true)
    }

    /// What is new for a reader that has the map of this revision, 0 for none.
    ///
    /// `None` when its map is as new as the newest one here.
    #[must_use]
    pub fn since(&self, mark: Revision) -> Option<RangesUpdate> {
        let newest = self.newest.as_ref().filter(|newest| mark < newest.revision)?;
        let steps = self.steps_from(mark).filter(|steps| is_shorter(steps, &newest.value));
        Some(steps.map_or_else(|| RangesUpdate::Whole(newest.clone()), RangesUpdate::Steps))
    }

    /// The steps from a revision on; `None` when they are not kept.
    fn steps_from(&self, revision: Revision) -> Option<Vec<RangesStep>> {
        let start = self.steps.iter().position(|step| step.from == revision)?;
        Some(self.steps.range(start..).cloned().collect())
    }

    fn keep_step(&mut self, step: RangesStep) {
        self.steps.push_back(step);
        if self.steps.len() > STEPS_KEPT {
            self.steps.pop_front();
        }
    }
}

/// The step between two maps, if there is a change that leads from one exactly to the other.
fn step_between(known: &Stored<RangeMap>, new: &Stored<RangeMap>) -> Option<RangesStep> {
    let change = MapChange::between(&known.value, &new.value)?;
    Some(RangesStep { from: known.revision, to: new.revision, change })
}

/// Whether steps take less to tell than the whole map: they have fewer ranges.
fn is_shorter(steps: &[RangesStep], map: &RangeMap) -> bool {
    let told: usize = steps.iter().map(|step| step.change.range_count()).sum();
    told < map.services.values().map(Vec::len).sum()
}

/// Fails unless each step goes forward, from where the one before it ends.
fn check_order(steps: &[RangesStep]) -> Result<(), StepsMisfit> {
    let mut reached = steps.first().map_or(Revision::default(), |first| first.from);
    for RangesStep { from, to, .. } in steps {
        if *from != reached || to <= from {
            return Err(StepsMisfit::Broken { from: *from, to: *to, reached });
        }
        reached = *to;
    }
    Ok(())
}

/// The map that steps make of the one that the first of them starts at.
fn apply_steps(
    base: &Stored<RangeMap>,
    steps: &[RangesStep],
) -> Result<Stored<RangeMap>, StepsMisfit> {
    let mut made = base.clone();
    for step in steps {
        let to = step.to;
        let applied = step.change.apply(&made.value);
        let value = applied.map_err(|error| StepsMisfit::Refused { to, error })?;
        made = Stored { revision: to, value };
    }
    Ok(made)
}
