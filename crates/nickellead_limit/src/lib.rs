//! Limits on the requests sent to a target, and the queue of requests that wait for capacity.
//!
//! VMs share targets without coordinating every request. Each VM keeps an [`AdaptiveLimit`] on the
//! requests in flight at a target: refusals and slow responses lower it, fast responses raise it.
//! Requests that find no target with capacity wait in a [`WaitQueue`], ordered by priority.
//!
//! Three limiters bound what all VMs together send to one target. [`OwnerAdmission`] computes the
//! rate that an overloaded owner of keys can serve, [`ColdLimiter`] bounds requests to a target that
//! has just started, and [`RateLimiter`] enforces one VM's share of a rate that the target requests.
//! A [`TokenBucket`] bounds what all VMs together send for one workspace, and a [`RetryBudget`] the
//! retries of one VM. [`WaitTolerance`] estimates how long a caller has been retrying.
//!
//! [`ByteBudget`] bounds the memory that requests and responses take on one VM.

mod adaptive;
mod admission;
mod bytes;
mod cold;
mod memory_bounds;
mod queue;
mod quota;
mod rate;
mod retry;
mod wait_tolerance;

pub use adaptive::AdaptiveLimit;
pub use admission::{AdmissionFractions, OwnerAdmission, OwnerReport, allocate_rate};
pub use bytes::{
    ByteBudget, BytePurpose, HeldBytes, HeldConnection, InFlightBytes, NoRoom, SizeEstimate,
};
pub use cold::{COLD_SENDERS, ColdBounds, ColdLimiter, ColdQuota, is_cold_sender};
pub use memory_bounds::{MemoryBounds, machine_memory};
pub use queue::{QueueTicket, WaitQueue};
pub use quota::{QuotaLimit, QuotaTolerance, TokenBucket, TokenDemand, TokenGrant};
pub use rate::{RateLimiter, sustainable_rate};
pub use retry::{RetryBudget, RetryLimits};
pub use wait_tolerance::WaitTolerance;
