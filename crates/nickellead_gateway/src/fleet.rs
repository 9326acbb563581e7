//! The VMs that take requests, as the mandate's holder tells all VMs.

use std::collections::BTreeSet;

use bincode::{Decode, Encode};

use crate::load_count::VmMark;

/// Which word is newer: first by when its holder took the mandate, then by the holder's own count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub(crate) struct HolderStamp {
    /// Number of the write by which the holder took the mandate.
    pub(crate) taken: u64,
    /// Number of the holder's word.
    pub(crate) word: u64,
}

/// The VMs that take requests.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub(crate) struct FleetTable {
    pub(crate) stamp: HolderStamp,
    pub(crate) vms: BTreeSet<VmMark>,
}
