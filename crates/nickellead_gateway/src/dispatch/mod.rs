//! Dispatch between VMs: one VM decides for the targets of a group.
//!
//! See `docs/design/dispatch.md`. `messages` defines the protocol, `wire` converts its types, and `passed_time`
//! corrects the durations in it.
//! `groups` divides the targets; `server` and `group_state` decide, and `client` asks the VMs of `peer`.
//! `assist` hands requests to other VMs while this VM reaches no target. `reports` decides what VMs of
//! one zone tell each other about other zones.

mod assist;
mod client;
mod group_state;
mod groups;
mod messages;
mod passed_time;
mod peer;
mod peer_health;
mod permit;
mod reports;
mod server;
mod wire;

pub(crate) use assist::{AssistClient, AssistEnd, AssistFacts};
pub(crate) use client::{AcquireAnswer, DispatchClient, ForwardAnswer, RequestFacts};
pub use groups::divide_targets;
pub(crate) use groups::{GroupTable, TargetGroup};
pub use messages::ZoneReport;
pub use peer_health::PeerHealth;
pub(crate) use permit::HeldPermit;
pub use reports::ZoneReports;
pub(crate) use server::{DispatchServer, ServerContext, serve_dispatch};
