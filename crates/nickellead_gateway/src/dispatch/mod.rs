//! Dispatch between VMs: one VM decides for the targets of a group.
//!
//! See `docs/design/dispatch.md`. `messages` defines the protocol; `reports`
//! decides what VMs of one zone tell each other about other zones.

mod messages;
mod reports;

pub use messages::ZoneReport;
pub use reports::ZoneReports;
