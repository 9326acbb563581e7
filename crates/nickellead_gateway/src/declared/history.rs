//! The last changes of declarations, for VMs that know an earlier content.

use std::collections::VecDeque;

use super::{DeclarationsChange, DeclaredState};
use crate::packed::{Packed, PackedError};

/// Most steps kept: a VM follows within seconds of each change, so one that lacks more than this
/// was away and is better served by a whole copy; each step also costs it a digest of all routes.
pub const HISTORY_STEPS: usize = 32;

/// Most bytes of all steps kept: about a packed copy of 5,000 routes, the most that are declared.
/// A chain of steps that is larger would save nothing.
pub const HISTORY_BYTES: usize = 112 * 1024;

/// One change as it is told, with the contents that it joins.
#[derive(Clone, Debug, PartialEq)]
pub struct DeclaredStep {
    /// The content that it changes.
    pub from: DeclaredState,
    /// The content that results.
    pub to: DeclaredState,
    /// The change.
    pub packed: Packed<DeclarationsChange>,
}

impl DeclaredStep {
    /// Packs a change to be told.
    ///
    /// # Errors
    /// [`PackedError`] when the change is too large to be told.
    pub fn pack(change: &DeclarationsChange) -> Result<Self, PackedError> {
        Ok(Self { from: change.from, to: change.to, packed: Packed::pack(change)? })
    }
}

/// The last steps to the newest content, within [`HISTORY_STEPS`] and [`HISTORY_BYTES`].
///
/// The steps kept are always contiguous, and the last one leads to the newest content.
#[derive(Clone, Debug, Default)]
pub struct DeclarationsHistory {
    newest: Option<DeclaredState>,
    steps: VecDeque<DeclaredStep>,
    bytes: usize,
}

impl DeclarationsHistory {
    /// The newest content; none before the first.
    #[must_use]
    pub fn newest(&self) -> Option<DeclaredState> {
        self.newest
    }

    /// Forgets all steps: the newest content was not reached from the one before.
    pub fn restart(&mut self, newest: DeclaredState) {
        *self = Self { newest: Some(newest), ..Self::default() };
    }

    /// Takes the step to a new content; earlier ones are forgotten when it does not follow them.
    pub fn push(&mut self, step: DeclaredStep) {
        if self.newest != Some(step.from) {
            self.restart(step.from);
        }
        self.newest = Some(step.to);
        self.bytes += step.packed.len();
        self.steps.push_back(step);
        while self.steps.len() > HISTORY_STEPS || self.bytes > HISTORY_BYTES {
            let Some(oldest) = self.steps.pop_front() else { break };
            self.bytes -= oldest.packed.len();
        }
    }

    /// The shortest chain of steps from a content to the newest; none when it is not kept.
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
