//! Exclusive shard ownership as pure state machines: sessions, grants, the mandate (leader
//! lease) and shard moves.
//!
//! Each state machine maps (state, event, time) to (state, actions) and performs no I/O, so
//! production, tests and benchmarks run the same code. `docs/design/ownership.md` proves that
//! no two targets own a key at the same time.
//!
//! - [`GrantGuard`] runs in a target and decides which requests the target may execute.
//! - [`ZoneCoordinator`] runs in each VM. It follows the zone's coordinator, or holds the
//!   mandate and assigns shards to targets.

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
