//! The newest declared objects, and the last changes that led to them.

use std::collections::VecDeque;
use std::sync::Arc;

use bincode::{Decode, Encode};
use nickellead_api::DeclaredConfig;
use thiserror::Error;

use crate::config_change::{ConfigChange, config_state};
use crate::content::{ChangeError, DeclaredState};

/// Most changes kept for followers: one that lacks more was away, and is told all objects. A
/// follower asks again as soon as it was answered, and each change costs it a digest of all objects.
pub const MAX_CONFIG_CHANGES: usize = 32;

/// What one VM tells another of the declared objects.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ConfigUpdate {
    /// The changes since a content that the other VM knows, oldest first.
    Changes(Vec<Arc<ConfigChange>>),
    /// All objects.
    Whole(Arc<DeclaredConfig>),
}

/// Why news can't be taken; what was known stays in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ConfigUpdateError {
    /// There are only changes, and nothing is known that they could change.
    #[error("changes of declared objects, of which none are known")]
    NoBase,
    /// A change does not follow what was known or told before it.
    #[error(transparent)]
    Change(#[from] ChangeError),
}

/// Declared objects with what names their content.
#[derive(Clone, Debug)]
struct KnownConfig {
    state: DeclaredState,
    config: Arc<DeclaredConfig>,
}

/// The newest declared objects that a VM knows, and the last changes that led to them.
///
/// It never goes back to an older revision. The changes kept are contiguous and lead to the newest
/// content; together they name no more objects than that content has.
#[derive(Debug, Default)]
pub struct ConfigHistory {
    newest: Option<KnownConfig>,
    changes: VecDeque<Arc<ConfigChange>>,
    /// Whether changes that were told could not be taken, so that all objects are needed.
    doubted: bool,
}

impl ConfigHistory {
    /// The newest declared objects.
    #[must_use]
    pub fn newest(&self) -> Option<&Arc<DeclaredConfig>> {
        self.newest.as_ref().map(|known| &known.config)
    }

    /// The content from which changes can be taken; none when all objects are needed.
    #[must_use]
    pub fn state(&self) -> Option<DeclaredState> {
        let sure = self.newest.as_ref().filter(|_| !self.doubted);
        sure.map(|known| known.state)
    }

    /// Takes all objects, unless their revision is not newer; tells whether they are the newest now.
    pub fn apply_whole(&mut self, config: Arc<DeclaredConfig>) -> bool {
        self.doubted = false;
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
        self.put_newest(KnownConfig { state, config });
        true
    }

    /// Takes what another VM told; tells whether newer objects came of it.
    ///
    /// # Errors
    /// [`ConfigUpdateError`]; nothing is taken then, and [`ConfigHistory::state`] is none until all
    /// objects are told.
    pub fn apply_update(&mut self, news: ConfigUpdate) -> Result<bool, ConfigUpdateError> {
        match news {
            ConfigUpdate::Whole(config) => Ok(self.apply_whole(config)),
            ConfigUpdate::Changes(changes) => {
                let taken = self.take_changes(changes);
                self.doubted |= taken.is_err();
                taken
            }
        }
    }

    /// Takes changes, of which those that the known content is past are ignored.
    fn take_changes(&mut self, changes: Vec<Arc<ConfigChange>>) -> Result<bool, ConfigUpdateError> {
        let known = self.newest.as_ref().ok_or(ConfigUpdateError::NoBase)?;
        let version = known.state.version;
        if changes.last().is_none_or(|last| last.to.version <= version) {
            return Ok(false);
        }
        let start = changes.iter().position(|change| change.from == known.state).unwrap_or(0);
        let new = apply_changes(known, &changes[start..])?;
        self.changes.extend(changes.into_iter().skip(start));
        self.put_newest(new);
        Ok(true)
    }

    /// What is new for a follower that knows this content, or none; `None` when nothing is.
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

    fn put_newest(&mut self, new: KnownConfig) {
        let most = new.config.services.len() + new.config.targets.len();
        self.newest = Some(new);
        let mut named: usize = self.changes.iter().map(|change| change.object_count()).sum();
        while self.changes.len() > MAX_CONFIG_CHANGES || named > most {
            let Some(oldest) = self.changes.pop_front() else { break };
            named -= oldest.object_count();
        }
    }
}

/// Copies the objects known once and changes the copy change by change.
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
