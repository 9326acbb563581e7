//! What one VM tells another of the declarations.

use bincode::{Decode, Encode};
use thiserror::Error;

use super::{
    ChangeError, Declarations, DeclarationsChange, DeclarationsHistory, DeclaredState, DeclaredStep,
};
use crate::packed::{Packed, PackedError};

/// What one VM tells another of the declarations.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum DeclaredUpdate {
    /// The changes since a content that the other VM knows, in order.
    Steps(Vec<Packed<DeclarationsChange>>),
    /// All declarations.
    Full(Packed<Declarations>),
}

/// Why news can't be applied; what was known stays in force.
#[derive(Debug, Error)]
pub enum UpdateError {
    /// There are only changes, and nothing is known that they could change.
    #[error("changes of declarations, of which none are known")]
    NoBase,
    /// A part of the news can't be read.
    #[error(transparent)]
    Packed(#[from] PackedError),
    /// A change does not follow what was known or told before it.
    #[error(transparent)]
    Change(#[from] ChangeError),
}

/// Declarations that result from news.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedUpdate {
    /// The declarations.
    pub declarations: Declarations,
    /// Their state.
    pub state: DeclaredState,
    /// The steps that led to them, to be told on; none after a whole copy.
    pub steps: Vec<DeclaredStep>,
}

impl DeclaredUpdate {
    /// Applies the news to the declarations known. Whether they are wanted is the caller's concern:
    /// a whole copy may well be older than what is known.
    ///
    /// # Errors
    /// [`UpdateError`] when any part can't be read or does not lead where it says.
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

/// Copies the declarations known once and changes the copy step by step.
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
    /// Takes news that were applied, so that the same bytes can be told on.
    pub fn apply_update(&mut self, applied: &AppliedUpdate) {
        for step in &applied.steps {
            self.push(step.clone());
        }
        if self.newest() != Some(applied.state) {
            self.restart(applied.state);
        }
    }
}
