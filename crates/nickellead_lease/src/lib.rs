//! Ownership as pure state machines: sessions, grants, mandate and moves.
//!
//! Everything here is a function of (state, event, time) to (state, actions).
//! No socket, no clock and no thread is touched, so the same code runs in the
//! process, in the tests and in the benches. The argument for why no two
//! targets own a key at once stands in `docs/design/ownership.md`.
//!
//! - [`GrantGuard`] is the target's side: what it may run, and until when.
//! - [`ZoneCoordinator`] is the VM's side: it follows, or it holds the zone's
//!   mandate and decides who owns which shard.

mod charts;
mod coordinator;
mod guard;
mod mandate;
mod object;
mod order;
mod session;
mod shard;
mod timings;
mod view;

pub use charts::{
    LeaseCharts, MandateEvent, MandatePhase, SessionEvent, SessionPhase, ShardEvent, ShardPhase,
    charts,
};
pub use coordinator::{
    CallId, CoordinatorSettings, RecordBatch, RecordResponse, ShardRecordEntry, TargetStatus,
    ZoneAction, ZoneCoordinator, ZoneEvent, ZoneNotice,
};
pub use guard::{GrantGuard, RequestTicket, RunRefusal};
pub use mandate::{MandateObject, VmIncarnation};
pub use object::{PlacementObject, PlacementOwner, ReadOutcome, WriteOutcome};
pub use order::{OrderOutcome, ShardGrant, TargetOrder, TargetReply};
pub use timings::LeaseTimings;
pub use view::{RouteChange, ShardOwner, ZoneDelta, ZoneLog};
