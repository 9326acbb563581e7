//! The newest declared objects and the latest changes that led to them.

use std::collections::VecDeque;
use std::sync::Arc;

use bincode::{Decode, Encode};
use nickellead_api::DeclaredConfig;
use thiserror::Error;

use crate::config_change::{ConfigChange, config_state};
use crate::declared_state::{ChangeError, DeclaredState};

/// Maximum number of kept changes; a follower that misses more receives all objects.
///
/// Followers compute a digest of all objects for each change, so that applying many changes costs
/// more than replacing all objects.
pub const MAX_CONFIG_CHANGES: usize = 32;

/// Update of the declared objects that one VM sends to another.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ConfigUpdate {
    /// Changes since a state that the other VM has, oldest first.
    Changes(Vec<Arc<ConfigChange>>),
    /// All objects.
    Whole(Arc<DeclaredConfig>),
}

/// Error of an update; the previous objects stay active.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ConfigUpdateError {
    /// The update has only changes, and there are no objects to apply them to.
    #[error("changes received before any declared objects")]
    NoBase,
    /// A change does not apply to the state before it, or leads to an unexpected state.
    #[error(transparent)]
    Change(#[from] ChangeError),
}

/// Declared objects with their version and digest.
#[derive(Clone, Debug)]
struct KnownConfig {
    state: DeclaredState,
    config: Arc<DeclaredConfig>,
}

/// The newest declared objects that a VM knows, and the latest changes that led to them.
///
/// The revision never decreases. The kept changes are contiguous, end at the newest state, and
/// contain no more objects in total than that state has.
#[derive(Debug, Default)]
pub struct ConfigHistory {
    newest: Option<KnownConfig>,
    changes: VecDeque<Arc<ConfigChange>>,
    /// Whether an update failed, so that the next one must contain all objects.
    needs_whole: bool,
}

impl ConfigHistory {
    /// Newest declared objects; `None` before the first update.
    #[must_use]
    pub fn newest(&self) -> Option<&Arc<DeclaredConfig>> {
        self.newest.as_ref().map(|known| &known.config)
    }

    /// State to which changes can be applied; `None` when all objects are needed.
    #[must_use]
    pub fn state(&self) -> Option<DeclaredState> {
        let base = self.newest.as_ref().filter(|_| !self.needs_whole);
        base.map(|known| known.state)
    }

    /// Replaces all objects if their revision is newer; returns whether they were replaced.
    pub fn apply_whole(&mut self, config: Arc<DeclaredConfig>) -> bool {
        self.needs_whole = false;
        let known = self.newest.as_ref();
        if known.is_some_and(|known| config.revision <= known.config.revision) {
            return false;
        }
        let change = known
            .and_then(|known| ConfigChange::between_states(&known.config, known.state, &config));
        let state = change.as_ref().map_or_else(|| config_state(&config), |change| change.to);
        if change.is_none() {
            self.changes.clear();
        }
        self.changes.extend(change.map(Arc::new));
        self.set_newest(KnownConfig { state, config });
        true
    }

    /// Applies an update of another VM; returns whether the objects changed.
    ///
    /// # Errors
    /// [`ConfigUpdateError`]; the objects are unchanged then, and [`ConfigHistory::state`] returns
    /// `None` until an update with all objects arrives.
    pub fn apply_update(&mut self, update: ConfigUpdate) -> Result<bool, ConfigUpdateError> {
        match update {
            ConfigUpdate::Whole(config) => Ok(self.apply_whole(config)),
            ConfigUpdate::Changes(changes) => {
                let applied = self.apply_newer_changes(changes);
                self.needs_whole |= applied.is_err();
                applied
            }
        }
    }

    /// Applies changes, skipping those that lead up to the known state.
    fn apply_newer_changes(
        &mut self,
        changes: Vec<Arc<ConfigChange>>,
    ) -> Result<bool, ConfigUpdateError> {
        let known = self.newest.as_ref().ok_or(ConfigUpdateError::NoBase)?;
        let version = known.state.version;
        if changes.last().is_none_or(|last| last.to.version <= version) {
            return Ok(false);
        }
        let start = changes.iter().position(|change| change.from == known.state).unwrap_or(0);
        let new = apply_changes(known, &changes[start..])?;
        self.changes.extend(changes.into_iter().skip(start));
        self.set_newest(new);
        Ok(true)
    }

    /// Update for a follower in the given state; `None` when the follower is up to date.
    #[must_use]
    pub fn since(&self, known: Option<DeclaredState>) -> Option<ConfigUpdate> {
        let newest = self.newest.as_ref()?;
        if known.is_some_and(|known| known.version >= newest.state.version) {
            return None;
        }
        let changes = known.and_then(|known| self.changes_from(known));
        Some(changes.unwrap_or_else(|| ConfigUpdate::Whole(Arc::clone(&newest.config))))
    }

    fn changes_from(&self, known: DeclaredState) -> Option<ConfigUpdate> {
        let start = self.changes.iter().position(|change| change.from == known)?;
        Some(ConfigUpdate::Changes(self.changes.range(start..).cloned().collect()))
    }

    fn set_newest(&mut self, new: KnownConfig) {
        let max_objects = new.config.services.len() + new.config.targets.len();
        self.newest = Some(new);
        let mut objects: usize = self.changes.iter().map(|change| change.object_count()).sum();
        while self.changes.len() > MAX_CONFIG_CHANGES || objects > max_objects {
            let Some(oldest) = self.changes.pop_front() else { break };
            objects -= oldest.object_count();
        }
    }
}

/// Copies the known objects once and applies all changes to the copy.
fn apply_changes(
    known: &KnownConfig,
    changes: &[Arc<ConfigChange>],
) -> Result<KnownConfig, ChangeError> {
    let mut state = known.state;
    let mut config = DeclaredConfig::clone(&known.config);
    for change in changes {
        ChangeError::check_base(change.from, state)?;
        config = change.applied_to(config)?;
        state = change.to;
    }
    Ok(KnownConfig { state, config: Arc::new(config) })
}
