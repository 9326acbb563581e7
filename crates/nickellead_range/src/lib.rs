//! Ownership of key ranges by targets that hold time-limited grants.
//!
//! A target owns a range of a service's numeric key space for a lease that starts when a grant
//! arrives, and refuses any grant whose fence is lower than one it has seen. The store keeps the
//! [`RangeMap`]; the [`RangeController`] of the VM that holds the mandate (leader lease) decides
//! every order to a target and every write of the map. Nothing here does input or output or reads
//! a clock: functions take the time and the events and return what to do.

mod change;
mod controller;
mod inherited_map;
mod late_orders;
mod load;
mod mandate;
mod map;
mod plan;
mod predecessors;
mod stored;
mod subrange;

pub use change::{MapChange, MapChangeError};
pub use controller::{ControllerSettings, OrderKind, OrderOutcome, RangeController, RangeOrder};
pub use inherited_map::{InheritedMap, WriteOutcome, classify_write};
pub use late_orders::LateOrderDetector;
pub use load::KeyLoad;
pub use mandate::{
    MANDATE_EXPIRY_MARGIN, MANDATE_POLL_INTERVAL, MANDATE_RENEWAL_INTERVAL, MANDATE_TTL,
    MandateAuthority, MandateState, MandateWrite, POST_OUTAGE_TAKEOVER_DELAY, RENEWAL_GRACE,
};
pub use map::{RangeMap, RangeRecord, ServiceRanges, TargetInstance};
pub use plan::{MoveProposal, OwnerCandidate, OwnerPicker, plan_moves};
pub use predecessors::{LastOrder, PredecessorBounds};
pub use stored::{MandateRecord, Revision, StoreEra, Stored};
