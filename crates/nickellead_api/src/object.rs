//! Common format of all objects.

use nickellead_core::{Name, Version};
use serde::{Deserialize, Serialize};

/// Kind of an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ObjectKind {
    /// Service; declared by operators.
    Service,
    /// Target; declared by operators.
    Target,
    /// Mandate (leader lease) of a zone; written by the system only.
    Mandate,
    /// Placement of one service in one zone; written by the system only.
    Placement,
}

impl ObjectKind {
    /// All kinds, in order of declaration.
    pub const ALL: [Self; 4] = [Self::Service, Self::Target, Self::Mandate, Self::Placement];

    /// Name of the kind in paths and files.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Service => "service",
            Self::Target => "target",
            Self::Mandate => "mandate",
            Self::Placement => "placement",
        }
    }

    /// Returns the kind of this name, or `None` if there is no such kind.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == name)
    }

    /// Whether operators write objects of this kind.
    #[must_use]
    pub const fn is_declared(self) -> bool {
        matches!(self, Self::Service | Self::Target)
    }
}

/// One object in the format of the resource API.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResourceObject {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Name, unique within the kind.
    pub name: Name,
    /// Version that the platform assigned; 0 if the object is not stored yet.
    #[serde(default)]
    pub version: Version,
    /// Desired state.
    pub spec: serde_json::Value,
    /// Observed state; ignored in writes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<serde_json::Value>,
}
