//! Routing tables, concurrency limits and retry budgets of the request path.
//!
//! - [`ZoneTable`] holds the owners of one zone. It applies deltas and never returns to an older
//!   version.
//! - [`RoutingTable`] maps a service and key to a target and epoch without allocation.
//! - [`ConcurrencyLimiter`] limits one worker's requests in flight at one target.
//! - [`RetryBudget`] limits the load that retries add.

mod concurrency;
mod retry;
mod table;
mod zone_table;

pub use concurrency::{ConcurrencyLimiter, ConcurrencyPermit};
pub use retry::{RetryBudget, backoff};
pub use table::{OwnerRoute, RouteDecision, RoutingTable, ServiceRoute, TargetRoute};
pub use zone_table::{DeltaOutcome, OwnerCounts, ZoneSummary, ZoneTable};
