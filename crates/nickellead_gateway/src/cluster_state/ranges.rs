//! The newest map of ranges, and the last steps that led to it.
//!
//! The store's revision identifies a map's content, whichever VM sends it. A subscriber that has a
//! map therefore gets the steps from there from any VM that keeps them, also if another VM sent the
//! map.

use std::collections::VecDeque;

use bincode::{Decode, Encode};
use nickellead_range::{MapChange, MapChangeError, RangeMap};
use thiserror::Error;

use crate::{Revision, Stored};

/// Steps kept for other VMs; a VM that is further behind gets the whole map.
///
/// The map is written three times a second, so they cover 20 seconds, more than a subscriber needs to find
/// another upstream.
const MAX_RECENT_STEPS: usize = 64;

/// The change from one map of ranges to the next.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RangesStep {
    /// Revision of the map to which the change applies.
    pub from: Revision,
    /// Revision of the resulting map.
    pub to: Revision,
    /// The changed ranges.
    pub change: MapChange,
}

/// What a VM sends a subscriber about the map of ranges.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum RangesUpdate {
    /// The steps from the subscriber's map to the newest one, oldest first.
    Steps(Vec<RangesStep>),
    /// The newest map.
    Whole(Stored<RangeMap>),
}

/// Why steps can't be applied; the known map stays.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StepsError {
    /// No step starts at the known map, or a whole map is needed.
    #[error("no step starts at the known revision {}", known)]
    NoStart {
        /// Revision of the known map; 0 when a whole map is needed.
        known: Revision,
    },
    /// A step does not start where the previous one ends, or its revision does not increase.
    #[error("step from revision {} to {} does not continue from {}", from, to, reached)]
    Broken {
        /// Revision that the step starts at.
        from: Revision,
        /// Revision that the step leads to.
        to: Revision,
        /// Revision at which the previous step ends.
        reached: Revision,
    },
    /// The change does not apply to the map of its revision.
    #[error("change to revision {} does not apply: {error}", to)]
    Refused {
        /// Revision that the step leads to.
        to: Revision,
        /// Why the change does not apply.
        error: MapChangeError,
    },
}

/// The newest map of ranges that a VM knows, and the last steps that led to it.
///
/// The revision of the map never decreases.
#[derive(Debug, Default)]
pub struct RangesHistory {
    newest: Option<Stored<RangeMap>>,
    /// The last steps, each starting where the previous one ends; the last one ends at the newest
    /// map.
    steps: VecDeque<RangesStep>,
    /// Whether a step did not apply to the newest map, so that a whole one is needed.
    needs_whole_map: bool,
}

impl RangesHistory {
    /// The newest map; `None` before the first one.
    #[must_use]
    pub fn newest(&self) -> Option<&Stored<RangeMap>> {
        self.newest.as_ref()
    }

    /// The revision from which steps can be applied; 0 when a whole map is needed.
    #[must_use]
    pub fn revision(&self) -> Revision {
        let base = self.newest.as_ref().filter(|_| !self.needs_whole_map);
        base.map_or(Revision::default(), |newest| newest.revision)
    }

    /// Applies a whole map, unless it is older. Returns whether it is the newest now.
    pub fn apply_whole(&mut self, new: Stored<RangeMap>) -> bool {
        match &self.newest {
            Some(known) if new.revision < known.revision => return false,
            Some(known) if new.revision == known.revision && !self.needs_whole_map => return false,
            Some(known) if !self.needs_whole_map => match step_between(known, &new) {
                Some(step) => self.push_step(step),
                None => self.steps.clear(),
            },
            _ => self.steps.clear(),
        }
        self.needs_whole_map = false;
        self.newest = Some(new);
        true
    }

    /// Applies steps; those up to the known map are ignored. Returns whether the map is newer now.
    ///
    /// # Errors
    /// [`StepsError`] when the steps do not apply to the known map, which stays.
    pub fn apply_steps(&mut self, steps: Vec<RangesStep>) -> Result<bool, StepsError> {
        check_order(&steps)?;
        let known = self.revision();
        if steps.last().is_none_or(|last| last.to <= known) {
            return Ok(false);
        }
        let start = steps.iter().position(|step| step.from == known);
        let (Some(start), Some(newest)) = (start, &self.newest) else {
            return Err(StepsError::NoStart { known });
        };
        let result = fold_steps(newest, &steps[start..]);
        if result.is_err() {
            self.needs_whole_map = true;
            self.steps.clear();
        }
        self.newest = Some(result?);
        steps.into_iter().skip(start).for_each(|step| self.push_step(step));
        Ok(true)
    }

    /// The update for a subscriber with the map of revision `from`, 0 for none.
    ///
    /// `None` when the subscriber's map is as new as the newest one.
    #[must_use]
    pub fn since(&self, from: Revision) -> Option<RangesUpdate> {
        let newest = self.newest.as_ref().filter(|newest| from < newest.revision)?;
        let steps = self.steps_from(from).filter(|steps| is_shorter(steps, &newest.value));
        Some(steps.map_or_else(|| RangesUpdate::Whole(newest.clone()), RangesUpdate::Steps))
    }

    /// The steps from a revision to the newest map; `None` when they are not kept.
    fn steps_from(&self, revision: Revision) -> Option<Vec<RangesStep>> {
        let start = self.steps.iter().position(|step| step.from == revision)?;
        Some(self.steps.range(start..).cloned().collect())
    }

    fn push_step(&mut self, step: RangesStep) {
        self.steps.push_back(step);
        if self.steps.len() > MAX_RECENT_STEPS {
            self.steps.pop_front();
        }
    }
}

/// The step between two maps, if a change leads from one exactly to the other.
fn step_between(known: &Stored<RangeMap>, new: &Stored<RangeMap>) -> Option<RangesStep> {
    let change = MapChange::between(&known.value, &new.value)?;
    Some(RangesStep { from: known.revision, to: new.revision, change })
}

/// Whether steps are shorter to send than the whole map, by their number of ranges.
fn is_shorter(steps: &[RangesStep], map: &RangeMap) -> bool {
    let step_ranges: usize = steps.iter().map(|step| step.change.range_count()).sum();
    step_ranges < map.services.values().map(Vec::len).sum()
}

/// Checks that each step starts where the previous one ends and increases the revision.
fn check_order(steps: &[RangesStep]) -> Result<(), StepsError> {
    let mut reached = steps.first().map_or(Revision::default(), |first| first.from);
    for RangesStep { from, to, .. } in steps {
        if *from != reached || to <= from {
            return Err(StepsError::Broken { from: *from, to: *to, reached });
        }
        reached = *to;
    }
    Ok(())
}

/// The map that results from applying steps to the map at which the first one starts.
fn fold_steps(
    base: &Stored<RangeMap>,
    steps: &[RangesStep],
) -> Result<Stored<RangeMap>, StepsError> {
    let mut result = base.clone();
    for step in steps {
        let to = step.to;
        let applied = step.change.apply(&result.value);
        let value = applied.map_err(|error| StepsError::Refused { to, error })?;
        result = Stored { revision: to, value };
    }
    Ok(result)
}
