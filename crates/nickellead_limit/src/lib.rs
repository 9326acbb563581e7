//! How many requests may be under way at a target, and who goes first when none may.
//!
//! A target is shared by VMs that do not ask each other. Each keeps an
//! [`AdaptiveLimit`]: refusals and slow answers shrink it, answers let it grow. Requests
//! that find no target with room wait in a [`WaitQueue`], the most urgent first.
//! [`OwnerAdmission`] is what all VMs together may send to an owner of keys, for fleets on which no
//! VM sees enough of it.
//! [`ColdLimiter`] bounds what all VMs together send a target that has just started.
//! [`RateLimiter`] lets through one VM's part of a rate that a target names for all VMs.
//! [`WaitTolerance`] tells how long a caller has been trying before.

mod adaptive;
mod admission;
mod cold;
mod queue;
mod rate;
mod wait_tolerance;

pub use adaptive::AdaptiveLimit;
pub use admission::{AdmissionFractions, OwnerAdmission, OwnerReport, allocate_rate};
pub use cold::{COLD_SENDERS, ColdBounds, ColdLimiter, ColdQuota, is_cold_sender};
pub use queue::{QueueTicket, WaitQueue};
pub use rate::{RateLimiter, sustainable_rate};
pub use wait_tolerance::WaitTolerance;
