//! The declarations of one VM's book, as it can tell them on.

use bincode::{Decode, Encode};
use nickellead_event::{EventName, log_event};

use crate::packed::Packed;
use crate::{
    AppliedUpdate, Declarations, DeclarationsChange, DeclarationsHistory, DeclaredState,
    DeclaredStep, DeclaredUpdate, Revision,
};

/// What one VM tells another of the declarations.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct DeclaredTell {
    /// The store's revision that they are as of.
    pub(crate) as_of: Revision,
    /// How to get at them.
    pub(crate) news: DeclaredUpdate,
}

/// What a book keeps of the declarations besides their content.
#[derive(Default)]
pub(super) struct DeclaredPart {
    /// The last changes, for readers that know an earlier content; they lead to what is known.
    history: DeclarationsHistory,
    /// All of them, packed when the first reader asks for a whole copy.
    whole: Option<Packed<Declarations>>,
}

impl DeclaredPart {
    /// Which content is known.
    pub(super) fn state(&self) -> Option<DeclaredState> {
        self.history.newest()
    }

    /// Notes that declarations were read from the store, and how they differ from those before.
    pub(super) fn note_read(&mut self, known: Option<&Declarations>, new: &Declarations) {
        let step = known.and_then(|known| make_step(known, new));
        match step {
            Some(step) => self.history.push(step),
            None => self.history.reset(new.state()),
        }
        self.whole = None;
    }

    /// Notes that another VM told declarations.
    pub(super) fn note_told(&mut self, applied: &AppliedUpdate) {
        self.history.apply_update(applied);
        self.whole = None;
    }

    /// What a reader needs that knows this content, or none; `None` when it can't be told.
    pub(super) fn since(
        &mut self,
        known: Option<DeclaredState>,
        newest: &Declarations,
    ) -> Option<DeclaredUpdate> {
        if let Some(steps) = known.and_then(|known| self.history.since(known)) {
            return Some(DeclaredUpdate::Steps(steps));
        }
        if self.whole.is_none() {
            self.whole = Packed::pack(newest).map_err(|error| log_untold(newest, &error)).ok();
        }
        self.whole.clone().map(DeclaredUpdate::Full)
    }
}

/// The step from one content to the next; `None` when readers need a whole copy instead.
fn make_step(known: &Declarations, new: &Declarations) -> Option<DeclaredStep> {
    let change = DeclarationsChange::between(known, new)?;
    // Too large to be told: so is then, or is not, a whole copy, which is tried when it is asked for.
    DeclaredStep::pack(&change).ok()
}

fn log_untold(newest: &Declarations, error: &dyn std::fmt::Display) {
    let pairs: [(&str, &dyn std::fmt::Display); 2] =
        [("version", &newest.version), ("reason", error)];
    log_event(EventName::DeclarationsUntold, &pairs);
}
