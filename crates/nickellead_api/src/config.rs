//! All that operators declared, as one versioned whole.

use bincode::{Decode, Encode};
use nickellead_core::{Name, Version};

use crate::{ServiceSpec, TargetSpec};

/// A service with its name and version.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct DeclaredService {
    /// Name of the service.
    pub name: Name,
    /// Version of its object.
    pub version: Version,
    /// Its spec.
    pub spec: ServiceSpec,
}

/// A target with its name and version.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct DeclaredTarget {
    /// Name of the target.
    pub name: Name,
    /// Version of its object.
    pub version: Version,
    /// Its spec.
    pub spec: TargetSpec,
}

/// Every declaration, as of one revision of the platform.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct DeclaredConfig {
    /// The platform's revision that this holds; a later one always replaces it.
    pub revision: Version,
    /// Services, by name.
    pub services: Vec<DeclaredService>,
    /// Targets, by name.
    pub targets: Vec<DeclaredTarget>,
}

impl DeclaredConfig {
    /// The service of this name.
    #[must_use]
    pub fn service(&self, name: &Name) -> Option<&DeclaredService> {
        self.services.iter().find(|service| service.name == *name)
    }

    /// The targets that stand in a zone.
    pub fn targets_in<'a>(&'a self, zone: &'a Name) -> impl Iterator<Item = &'a DeclaredTarget> {
        self.targets.iter().filter(move |target| target.spec.zone == *zone)
    }
}
