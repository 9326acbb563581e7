//! Bodies of the platform's responses.

use std::net::SocketAddr;

use nickellead_api::{ObjectKind, ResourceObject};
use nickellead_core::{Name, Version};
use serde::{Deserialize, Serialize};

/// All objects of the declared kinds at one revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObjectList {
    /// Revision of the platform that the list shows.
    pub revision: Version,
    /// Listed objects.
    pub items: Vec<ResourceObject>,
}

/// One change of an object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Name of the object.
    pub name: Name,
    /// The object after the change; `None` when it was deleted.
    pub object: Option<ResourceObject>,
    /// Revision of the change.
    pub revision: Version,
}

/// Changes since a revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchPage {
    /// Revision from which the next watch continues.
    pub revision: Version,
    /// Changes, oldest first.
    pub events: Vec<WatchEvent>,
}

/// Response to a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteReceipt {
    /// New version of the object, or its current one after a conflict.
    pub version: Version,
}

/// State of a VM in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM is about to be removed.
    Leaving,
}

/// One VM of the platform's list, which may lag behind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// Name of the VM.
    pub vm: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Address on which it listens for other VMs.
    pub address: SocketAddr,
    /// Whether the VM runs or is about to be removed.
    pub state: VmState,
}
