//! The zone's mandate (leader lease), as stored in the platform.

use nickellead_core::{Incarnation, Name, Term};
use serde::{Deserialize, Serialize};

/// One run of a VM's process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VmIncarnation {
    /// Name of the VM.
    pub vm: Name,
    /// Incarnation of the process; a restart changes it and loses the ownership records.
    pub incarnation: Incarnation,
}

/// Leader lease of a zone; its holder is the zone's coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MandateObject {
    /// Grows with each new holder.
    pub term: Term,
    /// VM that coordinates the zone.
    pub holder: VmIncarnation,
    /// VMs that may take over without proof that the holder has stopped.
    pub standbys: Vec<VmIncarnation>,
    /// Number of renewals within the term.
    pub renewal: u64,
    /// Whether the holder has released the mandate and sends no more orders.
    pub stopped: bool,
}
