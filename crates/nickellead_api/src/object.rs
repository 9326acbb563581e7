//! The common form of every object.

use nickellead_core::{Name, Version};
use serde::{Deserialize, Serialize};

/// The closed list of kinds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ObjectKind {
    /// A declared service.
    Service,
    /// A declared target.
    Target,
    /// A zone's lease of coordination; written by the system only.
    Mandate,
    /// Placement of one service in one zone; written by the system only.
    Placement,
}

impl ObjectKind {
    /// Every kind.
    pub const ALL: [Self; 4] = [Self::Service, Self::Target, Self::Mandate, Self::Placement];

    /// The name of the kind in paths and files.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Service => "service",
            Self::Target => "target",
            Self::Mandate => "mandate",
            Self::Placement => "placement",
        }
    }

    /// The kind of this name.
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

/// One object, as the resource API shows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResourceObject {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Name, unique within the kind.
    pub name: Name,
    /// Version that the platform gave it; 0 in an object that is not stored yet.
    #[serde(default)]
    pub version: Version,
    /// What is wanted.
    pub spec: serde_json::Value,
    /// What is; never read from a writer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<serde_json::Value>,
}
