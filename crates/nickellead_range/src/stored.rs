//! Documents of the store, as far as ownership needs them.

use std::net::SocketAddr;

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// Revision of the store: grows with each change.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Encode,
    Decode,
)]
pub struct Revision(pub u64);

/// A document with the revision of its last change.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Stored<T> {
    /// Revision of its last change.
    pub revision: Revision,
    /// The document.
    pub value: T,
}

/// Which VM decides about ranges.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct MandateRecord {
    /// Name of the VM.
    pub vm: String,
    /// Where it tells other VMs what it knows.
    pub address: SocketAddr,
    /// Life of its process.
    pub incarnation: u64,
    /// Grows with each renewal, so that every renewal changes the object.
    pub renewals: u64,
    /// What `renewals` was when the holder took it.
    pub taken: u64,
    /// Whether the holder has given the mandate back.
    pub vacant: bool,
}
