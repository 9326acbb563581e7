//! Who owns which range of keys, when targets take grants with a hold time.
//!
//! A target holds a range of a service's numeric key space for a hold time
//! that starts when a grant arrives. It refuses a grant whose fence is lower
//! than one it has seen. [`RangeMap`] is what the store keeps; the
//! [`RangeController`] decides every order and every write of the map. Its
//! functions take the time and what happened, and return what is to be done:
//! nothing here does input or output or reads a clock.

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
pub use plan::{MoveProposal, OwnerCandidate, least_loaded_owner, plan_moves};
pub use predecessors::{LastOrder, PredecessorBounds};
pub use stored::{MandateRecord, Revision, StoreEra, Stored};
