//! The declarations of one VM's cluster state: how they are updated and confirmed, and the form in
//! which other VMs get them.

use std::sync::Arc;
use std::time::Instant;

use bincode::{Decode, Encode};
use nickellead_core::Timestamp;
use nickellead_event::{EventName, log_event};
use nickellead_time::BootClock;

use super::ClusterState;
use super::updates::log_unusable;
use crate::packed::Packed;
use crate::waiting::wait_for;
use crate::{
    AppliedUpdate, Declarations, DeclarationsChange, DeclarationsHistory, DeclaredState,
    DeclaredStep, DeclaredUpdate, Revision, StateConfirmation, StoreEra,
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

/// Declarations that another VM has announced and this one does not have yet.
#[derive(Clone, Copy)]
pub(super) struct MissingDeclarations {
    state: DeclaredState,
    /// Since when any newer declarations have been missing.
    since: Instant,
}

impl ClusterState {
    /// The known content of the declarations.
    pub(crate) fn declared_state(&self) -> Option<DeclaredState> {
        self.declared.borrow().state()
    }

    /// The newest content of the declarations that is known or announced.
    pub(crate) fn newest_declared(&self) -> Option<DeclaredState> {
        self.announced.get().map(|missing| missing.state).or_else(|| self.declared_state())
    }

    /// Records content of the declarations that another VM has announced.
    pub(crate) fn record_announced_declarations(&self, state: DeclaredState) {
        let newest = self.newest_declared();
        if newest.is_some_and(|newest| newest.version >= state.version) {
            return;
        }
        let since = self.announced.get().map_or_else(Instant::now, |missing| missing.since);
        self.announced.set(Some(MissingDeclarations { state, since }));
        self.changed.notify_waiters();
    }

    /// Whether newer declarations are announced than are known.
    pub(crate) fn is_missing_declarations(&self) -> bool {
        self.announced.get().is_some()
    }

    /// Whether newer declarations have been missing ever since `since`.
    pub(crate) fn is_missing_since(&self, since: Instant) -> bool {
        self.announced.get().is_some_and(|missing| missing.since == since)
    }

    /// Waits until newer declarations are announced than are known, and returns since when.
    pub(crate) async fn wait_for_missing_declarations(&self) -> Instant {
        wait_for(&self.changed, || self.announced.get().map(|missing| missing.since)).await
    }

    fn is_newer(&self, version: u64) -> bool {
        self.declared_state().is_none_or(|known| known.version < version)
    }

    /// Applies declarations from the store, which were the newest ones at `current_at`; older ones
    /// are ignored.
    pub(crate) fn apply_stored_declarations(
        &self,
        as_of: Revision,
        new: Option<Declarations>,
        current_at: Timestamp,
    ) {
        self.raise_declarations_revision(as_of);
        self.enter_declarations_era(as_of.era);
        let Some(new) = new else { return };
        if new.workspaces.is_some() {
            let state = new.state();
            self.confirm_declarations(StateConfirmation { state, at: current_at });
        }
        if !self.is_newer(new.version) {
            return;
        }
        self.declared.borrow_mut().record_stored(self.declarations().as_deref(), &new);
        self.activate_declarations(new);
    }

    /// Records the store's era of the declarations, and whether the store was restored.
    fn enter_declarations_era(&self, era: StoreEra) {
        let before = self.declarations_era.get();
        self.declarations_era.set(before.max(era));
        // A VM that has just started can't know for how long the store has been in this era.
        if before < era {
            self.freshness.borrow_mut().record_restore(BootClock.now());
        }
    }

    pub(super) fn raise_declarations_revision(&self, as_of: Revision) {
        self.raise_revision(|known| &mut known.declarations, as_of);
    }

    /// Records that a state of the declarations was the store's newest one at some time.
    pub(crate) fn confirm_declarations(&self, confirmation: StateConfirmation<DeclaredState>) {
        self.freshness.borrow_mut().confirm(confirmation);
        self.publish_confirmation();
    }

    /// The last confirmation of the active declarations, unless they have no workspaces.
    pub(crate) fn declarations_confirmation(&self) -> Option<StateConfirmation<DeclaredState>> {
        let declarations = self.declarations()?;
        declarations.workspaces.as_ref()?;
        self.freshness.borrow().confirmation()
    }

    /// Notifies the request thread of the last confirmation.
    fn publish_confirmation(&self) {
        let Some(StateConfirmation { state, at }) = self.freshness.borrow().confirmation() else {
            return;
        };
        let confirmation = Some(StateConfirmation { state: state.version, at });
        self.senders.confirmation.send_if_modified(|known| {
            let modified = *known != confirmation;
            *known = confirmation;
            modified
        });
    }

    /// Applies declarations from another VM; older ones are ignored. Returns whether they apply to
    /// the known ones.
    pub(crate) fn apply_declarations_update(&self, update: DeclarationsUpdate) -> bool {
        let applied = match update.content.apply(self.declarations().as_deref()) {
            Ok(applied) => applied,
            Err(error) => {
                log_unusable("declarations", &error);
                return false;
            }
        };
        if self.is_newer(applied.state.version) {
            self.declared.borrow_mut().record_update(&applied);
            self.activate_declarations(applied.declarations);
        }
        if self.declared_state() == Some(applied.state) {
            self.raise_declarations_revision(update.as_of);
        }
        true
    }

    fn activate_declarations(&self, new: Declarations) {
        let version = new.version;
        if self.announced.get().is_some_and(|missing| missing.state.version <= version) {
            self.announced.set(None);
        }
        self.senders.declarations.send_replace(Some(Arc::new(new)));
        if let Some(state) = self.declared_state() {
            self.freshness.borrow_mut().activate(state);
            self.publish_confirmation();
        }
        log_event(EventName::ConfigInForce, &[("version", &version)]);
        self.changed.notify_waiters();
    }

    /// Whether newer declarations are known than the given ones.
    pub(crate) fn has_newer_than(&self, known: Option<DeclaredState>) -> bool {
        let own = self.declared_state().map(|own| own.version);
        own > known.map(|known| known.version)
    }

    /// What a subscriber with this content of the declarations, or with none, needs.
    pub(crate) fn declarations_since(
        &self,
        known: Option<DeclaredState>,
    ) -> Option<DeclarationsUpdate> {
        let newest = self.declarations()?;
        let content = self.declared.borrow_mut().since(known, &newest)?;
        Some(DeclarationsUpdate { as_of: self.known().declarations.unwrap_or_default(), content })
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
