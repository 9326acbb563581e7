//! The zone's mandate object.

use nickellead_core::{Incarnation, Name, Term};
use serde::{Deserialize, Serialize};

/// A VM that may take the mandate when the coordinator is gone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VmIncarnation {
    /// Name of the VM.
    pub vm: Name,
    /// The life of its process; another life has lost the records.
    pub incarnation: Incarnation,
}

/// A zone's lease of coordination, as the platform keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MandateObject {
    /// Grows with each new coordinator.
    pub term: Term,
    /// The coordinator.
    pub holder: VmIncarnation,
    /// Who may take over while the holder's state is unknown.
    pub standbys: Vec<VmIncarnation>,
    /// Grows with each renewal.
    pub renewal: u64,
    /// Whether the holder has given it up and sends no more orders.
    pub stopped: bool,
}
