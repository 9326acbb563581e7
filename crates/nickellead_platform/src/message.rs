//! Bodies of the platform's answers.

use std::net::SocketAddr;

use nickellead_api::{ObjectKind, ResourceObject};
use nickellead_core::{Name, Version};
use serde::{Deserialize, Serialize};

/// Every object of some kinds, as of one revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObjectList {
    /// The platform's revision.
    pub revision: Version,
    /// The objects.
    pub items: Vec<ResourceObject>,
}

/// One change that a watch saw.
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

/// What a watch saw since a revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchPage {
    /// The revision to go on from.
    pub revision: Version,
    /// The changes, oldest first.
    pub events: Vec<WatchEvent>,
}

/// Answer to a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteReceipt {
    /// The object's version: the new one, or in a conflict the one it has.
    pub version: Version,
}

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// It runs.
    Live,
    /// It will be taken away.
    Leaving,
}

/// One VM of the platform's lagging list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// Name of the VM.
    pub vm: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Where it listens for other VMs.
    pub address: SocketAddr,
    /// Whether it stays.
    pub state: VmState,
}
