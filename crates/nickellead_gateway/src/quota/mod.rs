//! Quotas of workspaces that all VMs keep together.
//!
//! The holder of the mandate (leader lease) grants tokens, and a VM sends a request of a limited
//! workspace only with a token. [`QuotaClient`] on the request thread asks for the tokens of waiting
//! requests, and [`TokenQueue`] on the control thread joins these with the requests of the VMs that
//! subscribe to this one, so that one request at a time goes to the upstream.

mod client;
mod queue;

pub(crate) use self::client::{QuotaClient, QuotaToken};
pub use self::queue::{TokenDemands, TokenQueue, TokenRequest, TokenRequests};

/// Most token requests of the request thread that wait for the control thread.
pub(crate) const MAX_QUEUED_REQUESTS: usize = 1_024;
