//! The declarations of one VM's cluster state, in the form in which other VMs get them.

use bincode::{Decode, Encode};
use nickellead_event::{EventName, log_event};

use crate::packed::Packed;
use crate::{
    AppliedUpdate, Declarations, DeclarationsChange, DeclarationsHistory, DeclaredState,
    DeclaredStep, DeclaredUpdate, Revision,
};

/// Newer declarations, as one VM sends them to another.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct DeclarationsUpdate {
    /// The store's revision as of which they are known.
    pub(crate) as_of: Revision,
    /// Steps from the known declarations, or a whole copy.
    pub(crate) content: DeclaredUpdate,
}

/// Steps and packed copy of the declarations for subscribers.
#[derive(Default)]
pub(super) struct DeclarationsCache {
    /// Recent steps that lead to the newest declarations, for subscribers with earlier ones.
    history: DeclarationsHistory,
    /// All declarations, packed when the first subscriber needs a whole copy.
    whole: Option<Packed<Declarations>>,
}

impl DeclarationsCache {
    /// The newest content; `None` before the first one.
    pub(super) fn state(&self) -> Option<DeclaredState> {
        self.history.newest()
    }

    /// Records declarations that were read from the store, with the step from the known ones.
    pub(super) fn record_stored(&mut self, known: Option<&Declarations>, new: &Declarations) {
        let step = known.and_then(|known| make_step(known, new));
        match step {
            Some(step) => self.history.push(step),
            None => self.history.reset(new.state()),
        }
        self.whole = None;
    }

    /// Records declarations that another VM sent.
    pub(super) fn record_update(&mut self, applied: &AppliedUpdate) {
        self.history.apply_update(applied);
        self.whole = None;
    }

    /// What a subscriber with this content, or with none, needs; `None` when it can't be encoded.
    pub(super) fn since(
        &mut self,
        known: Option<DeclaredState>,
        newest: &Declarations,
    ) -> Option<DeclaredUpdate> {
        if let Some(steps) = known.and_then(|known| self.history.since(known)) {
            return Some(DeclaredUpdate::Steps(steps));
        }
        if self.whole.is_none() {
            self.whole = Packed::pack(newest).map_err(|error| log_unsendable(newest, &error)).ok();
        }
        self.whole.clone().map(DeclaredUpdate::Full)
    }
}

/// The step from one content to the next; `None` when subscribers need a whole copy instead.
fn make_step(known: &Declarations, new: &Declarations) -> Option<DeclaredStep> {
    let change = DeclarationsChange::between(known, new)?;
    // A step that is too large to send falls back to a whole copy, which is packed on demand.
    DeclaredStep::pack(&change).ok()
}

fn log_unsendable(newest: &Declarations, error: &dyn std::fmt::Display) {
    let pairs: [(&str, &dyn std::fmt::Display); 2] =
        [("version", &newest.version), ("reason", error)];
    log_event(EventName::DeclarationsUntold, &pairs);
}
