//! Quotas of workspaces that all VMs keep together.
//!
//! The holder of the mandate (leader lease) grants tokens, and a VM sends a request of a limited
//! workspace only with a token. [`QuotaClient`] on the request thread asks for the tokens of waiting
//! requests, and [`QuotaDesk`] on the control thread joins these with the needs of the VMs that
//! subscribe to this one, so that one request at a time goes to the upstream.

mod client;
mod desk;

pub(crate) use self::client::{QuotaClient, QuotaToken};
pub(crate) use self::desk::{QuotaDesk, TokenDemands, TokenNeed};

/// Most needs of the request thread that wait for the control thread.
pub(crate) const MAX_QUEUED_NEEDS: usize = 1_024;
