//! All declarations of the operators at one revision.

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
    /// Spec of the service.
    pub spec: ServiceSpec,
}

/// A target with its name and version.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct DeclaredTarget {
    /// Name of the target.
    pub name: Name,
    /// Version of its object.
    pub version: Version,
    /// Spec of the target.
    pub spec: TargetSpec,
}

/// All declared services and targets at one revision of the platform.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct DeclaredConfig {
    /// Revision of the platform; a higher one always replaces a lower one.
    pub revision: Version,
    /// Services, sorted by name.
    pub services: Vec<DeclaredService>,
    /// Targets, sorted by name.
    pub targets: Vec<DeclaredTarget>,
}

impl DeclaredConfig {
    /// Returns the service of this name, or `None` if it is not declared.
    #[must_use]
    pub fn service(&self, name: &Name) -> Option<&DeclaredService> {
        self.services.iter().find(|service| service.name == *name)
    }

    /// Returns the targets in a zone.
    pub fn targets_in<'a>(&'a self, zone: &'a Name) -> impl Iterator<Item = &'a DeclaredTarget> {
        self.targets.iter().filter(move |target| target.spec.zone == *zone)
    }
}
