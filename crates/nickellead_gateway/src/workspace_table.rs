//! Finds the workspace of a key.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use http::HeaderValue;

use crate::{KeyDigest, WorkspaceRule, WorkspaceRules};

/// A workspace of the active declarations.
#[derive(Debug)]
pub(crate) struct WorkspaceEntry {
    pub(crate) name: String,
    /// The name as targets receive it.
    pub(crate) header: HeaderValue,
    pub(crate) rule: Arc<WorkspaceRule>,
}

/// All workspaces by the digests of their keys.
#[derive(Debug, Default)]
pub(crate) struct WorkspaceTable {
    by_key: HashMap<KeyDigest, Rc<WorkspaceEntry>>,
}

impl WorkspaceTable {
    /// Builds the table. A key of two workspaces belongs to the first one by name, and a workspace
    /// whose name can't be sent to targets has no valid keys.
    pub(crate) fn build(workspaces: &WorkspaceRules) -> Self {
        let mut by_key = HashMap::new();
        for (name, rule) in workspaces {
            let Ok(header) = HeaderValue::from_str(name) else { continue };
            let entry =
                Rc::new(WorkspaceEntry { name: name.clone(), header, rule: Arc::clone(rule) });
            for key in &rule.keys {
                by_key.entry(*key).or_insert_with(|| Rc::clone(&entry));
            }
        }
        Self { by_key }
    }

    /// The workspace that a key belongs to.
    pub(crate) fn find(&self, key: &KeyDigest) -> Option<&Rc<WorkspaceEntry>> {
        self.by_key.get(key)
    }
}
