//! Workspaces and the digests of their keys.

use std::collections::BTreeMap;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use bincode::{Decode, Encode};
use nickellead_limit::QuotaLimit;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// SHA-256 of a workspace's key. The key itself is not stored, logged or sent anywhere.
#[derive(Clone, Copy, Encode, Decode)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

/// Compares in constant time.
impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyDigest {}

/// Hashes the first bytes, which are evenly distributed.
impl Hash for KeyDigest {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        hasher.write(&self.0[..8]);
    }
}

/// Shows nothing of the digest, because short keys can be guessed from it.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest")
    }
}

/// A workspace, whose callers identify themselves by one of its keys.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct WorkspaceRule {
    /// Digests of its valid keys.
    pub keys: Vec<KeyDigest>,
    /// Priority of its requests; `None` for that of the route.
    pub priority: Option<u8>,
    /// Limit for its requests on all VMs together; `None` for no limit.
    pub quota: Option<WorkspaceQuota>,
    /// Regions in which its requests may be served; `None` for all regions.
    pub regions: Option<Vec<String>>,
}

/// All workspaces by name; targets receive the name with each request of a workspace.
pub type WorkspaceRules = BTreeMap<String, Arc<WorkspaceRule>>;

/// Limit for the requests of a workspace.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub struct WorkspaceQuota {
    /// Requests per second.
    pub rate: f64,
    /// Requests that it may send at once in addition.
    pub burst: f64,
}

impl From<WorkspaceQuota> for QuotaLimit {
    fn from(quota: WorkspaceQuota) -> Self {
        Self { rate: quota.rate, burst: quota.burst }
    }
}

/// The difference between the workspaces of two versions of the declarations.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum WorkspacesChange {
    /// None: there are the same workspaces with the same rules.
    Same,
    /// Requests no longer need a key.
    Disabled,
    /// Requests need a key of a workspace, and some workspaces changed.
    Changed {
        /// Workspaces that are no longer declared.
        removed: Vec<String>,
        /// Workspaces that were added or changed.
        set: WorkspaceRules,
    },
}

impl WorkspacesChange {
    /// The change from `old` to `new`.
    pub(super) fn between(old: &Option<WorkspaceRules>, new: &Option<WorkspaceRules>) -> Self {
        if old == new {
            return Self::Same;
        }
        let Some(new) = new else { return Self::Disabled };
        let none = WorkspaceRules::new();
        let old = old.as_ref().unwrap_or(&none);
        let removed = old.keys().filter(|name| !new.contains_key(*name)).cloned().collect();
        let set = new.iter().filter(|(name, rule)| old.get(*name) != Some(*rule));
        let set = set.map(|(name, rule)| (name.clone(), Arc::clone(rule))).collect();
        Self::Changed { removed, set }
    }

    /// The workspaces after the change.
    pub(super) fn applied_to(&self, old: Option<WorkspaceRules>) -> Option<WorkspaceRules> {
        match self {
            Self::Same => old,
            Self::Disabled => None,
            Self::Changed { removed, set } => {
                let mut workspaces = old.unwrap_or_default();
                removed.iter().for_each(|name| drop(workspaces.remove(name)));
                workspaces.extend(set.iter().map(|(name, rule)| (name.clone(), Arc::clone(rule))));
                Some(workspaces)
            }
        }
    }
}
