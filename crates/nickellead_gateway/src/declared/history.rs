//! History of recent changes of the declarations, for VMs that know an earlier version.

use std::collections::VecDeque;

use super::{DeclarationsChange, DeclaredState};
use crate::packed::{Packed, PackedError};

/// Most steps in the history; a VM that is further behind gets a full copy. VMs follow within seconds of
/// each change, and each step costs such a VM a digest of all routes.
pub const MAX_HISTORY_STEPS: usize = 32;

/// Most compressed bytes of all steps, about as many as a full copy of the largest declarations
/// has, with 5,000 routes. A larger chain of steps would save nothing.
pub const MAX_HISTORY_BYTES: usize = 112 * 1024;

/// One change in compressed form, with the states before and after it.
#[derive(Clone, Debug, PartialEq)]
pub struct DeclaredStep {
    /// The state that the change applies to.
    pub from: DeclaredState,
    /// The state after the change.
    pub to: DeclaredState,
    /// The compressed change.
    pub packed: Packed<DeclarationsChange>,
}

impl DeclaredStep {
    /// Compresses a change.
    ///
    /// # Errors
    /// [`PackedError`] if the change is too large for a message.
    pub fn pack(change: &DeclarationsChange) -> Result<Self, PackedError> {
        Ok(Self { from: change.from, to: change.to, packed: Packed::pack(change)? })
    }
}

/// The last steps to the newest state, within [`MAX_HISTORY_STEPS`] and [`MAX_HISTORY_BYTES`].
///
/// The steps are contiguous, and the last one results in the newest state.
#[derive(Clone, Debug, Default)]
pub struct DeclarationsHistory {
    newest: Option<DeclaredState>,
    steps: VecDeque<DeclaredStep>,
    bytes: usize,
}

impl DeclarationsHistory {
    /// The newest state; `None` while the history is empty.
    #[must_use]
    pub fn newest(&self) -> Option<DeclaredState> {
        self.newest
    }

    /// Drops all steps, because `newest` was not reached by a step.
    pub fn reset(&mut self, newest: DeclaredState) {
        *self = Self { newest: Some(newest), ..Self::default() };
    }

    /// Appends a step; earlier ones are dropped if it does not follow them.
    pub fn push(&mut self, step: DeclaredStep) {
        if self.newest != Some(step.from) {
            self.reset(step.from);
        }
        self.newest = Some(step.to);
        self.bytes += step.packed.len();
        self.steps.push_back(step);
        while self.steps.len() > MAX_HISTORY_STEPS || self.bytes > MAX_HISTORY_BYTES {
            let Some(oldest) = self.steps.pop_front() else { break };
            self.bytes -= oldest.packed.len();
        }
    }

    /// The shortest chain of steps from a state to the newest; `None` if it is not in the history.
    #[must_use]
    pub fn since(&self, from: DeclaredState) -> Option<Vec<Packed<DeclarationsChange>>> {
        let first = if self.newest == Some(from) {
            self.steps.len()
        } else {
            self.steps.iter().rposition(|step| step.from == from)?
        };
        Some(self.steps.range(first..).map(|step| step.packed.clone()).collect())
    }
}
