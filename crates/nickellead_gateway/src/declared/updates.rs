//! Updates of the declarations that VMs send to each other.

use bincode::{Decode, Encode};
use thiserror::Error;

use super::{
    ChangeError, Declarations, DeclarationsChange, DeclarationsHistory, DeclaredState, DeclaredStep,
};
use crate::packed::{Packed, PackedError};

/// An update of the declarations from another VM.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum DeclaredUpdate {
    /// The changes since the state that the subscriber knows, in order.
    Steps(Vec<Packed<DeclarationsChange>>),
    /// A full copy of the declarations.
    Full(Packed<Declarations>),
}

/// Why an update can't be applied; the known declarations stay active.
#[derive(Debug, Error)]
pub enum UpdateError {
    /// The update contains changes, but no declarations are known yet.
    #[error("received changes of declarations before any declarations")]
    NoBase,
    /// A message in the update can't be unpacked.
    #[error(transparent)]
    Packed(#[from] PackedError),
    /// A change does not apply to the state before it.
    #[error(transparent)]
    Change(#[from] ChangeError),
}

/// The result of an update.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedUpdate {
    /// The declarations after the update.
    pub declarations: Declarations,
    /// Version and digest of these declarations.
    pub state: DeclaredState,
    /// The steps that led to them, for this VM's own subscribers; empty after a full copy.
    pub steps: Vec<DeclaredStep>,
}

impl DeclaredUpdate {
    /// Applies the update to the known declarations.
    ///
    /// The result may be older than `known` after a full copy, which the caller must check.
    ///
    /// # Errors
    /// [`UpdateError`] if a message can't be unpacked or a change does not apply.
    pub fn apply(&self, known: Option<&Declarations>) -> Result<AppliedUpdate, UpdateError> {
        match self {
            Self::Full(packed) => {
                let declarations = packed.unpack()?;
                let state = declarations.state();
                Ok(AppliedUpdate { declarations, state, steps: Vec::new() })
            }
            Self::Steps(changes) => {
                let known = known.ok_or(UpdateError::NoBase)?;
                apply_steps(known, changes)
            }
        }
    }
}

/// Applies all changes to one copy of the known declarations.
fn apply_steps(
    known: &Declarations,
    changes: &[Packed<DeclarationsChange>],
) -> Result<AppliedUpdate, UpdateError> {
    let mut state = known.state();
    let mut declarations = known.clone();
    let mut steps = Vec::new();
    for packed in changes {
        let change = packed.unpack()?;
        change.check_base(state)?;
        declarations = change.applied_to(declarations)?;
        state = change.to;
        steps.push(DeclaredStep { from: change.from, to: change.to, packed: packed.clone() });
    }
    Ok(AppliedUpdate { declarations, state, steps })
}

impl DeclarationsHistory {
    /// Appends the steps of an applied update, so that the same bytes can be forwarded.
    pub fn apply_update(&mut self, applied: &AppliedUpdate) {
        for step in &applied.steps {
            self.push(step.clone());
        }
        if self.newest() != Some(applied.state) {
            self.reset(applied.state);
        }
    }
}
