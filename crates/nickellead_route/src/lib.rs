//! The request path's decisions: routing table, limits, retries and queues.
//!
//! - [`ZoneTable`] is what a VM knows of one zone's owners; it takes deltas
//!   and never goes back to an older version.
//! - [`RoutingTable`] is what a request worker reads: from service and key to
//!   target and epoch, with no allocation.
//! - [`ConcurrencyLimiter`] bounds what one worker has under way at one target.
//! - [`RetryBudget`] bounds how much retries may add to the load.

mod concurrency;
mod retry;
mod table;
mod zone_table;

pub use concurrency::{ConcurrencyLimiter, ConcurrencyPermit};
pub use retry::{RetryBudget, backoff};
pub use table::{OwnerRoute, RouteDecision, RoutingTable, ServiceRoute, TargetRoute};
pub use zone_table::{DeltaOutcome, OwnerCounts, ZoneSummary, ZoneTable};
