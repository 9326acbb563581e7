//! Requests for tokens of limited workspaces between VMs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use nickellead_limit::TokenGrant;
use nickellead_peer::PeerClient;

use super::messages::{RELAY_PATH, RelayRequest, RelayResponse, WireDemand, WireGrant};
use super::{UpdateRelay, UpdateUpstream};
use crate::quota::{TokenDemands, TokenQueue};

/// How long a response with tokens may take to begin; it passes at most one other VM.
const TOKENS_TIMEOUT: Duration = Duration::from_millis(400);

/// Connection to the VM from which this one requests tokens.
#[derive(Default)]
pub(crate) struct TokenClient(Option<PeerClient<RelayRequest, RelayResponse>>);

impl UpdateRelay {
    /// Token requests of this VM and its subscribers.
    pub(crate) fn token_queue(&self) -> &TokenQueue {
        &self.token_queue
    }

    /// Requests tokens from the upstream, or from the VM that holds the mandate (leader lease) while
    /// there is no upstream, as on a VM that stops.
    pub(crate) async fn request_tokens(
        &self,
        client: &mut TokenClient,
        demands: TokenDemands,
    ) -> BTreeMap<String, TokenGrant> {
        let Some(address) = self.token_source() else { return BTreeMap::new() };
        let client = match &mut client.0 {
            Some(client) if client.address() == address => client,
            other => other.insert(PeerClient::new(address, RELAY_PATH)),
        };
        let demands =
            demands.into_iter().map(|(workspace, demand)| (workspace, demand.into())).collect();
        match client.call(&RelayRequest::Tokens(demands), TOKENS_TIMEOUT).await {
            Ok(RelayResponse::Tokens(answers)) => {
                answers.into_iter().map(|(workspace, answer)| (workspace, answer.into())).collect()
            }
            // The upstream is about to be replaced, which polls for updates detect.
            _ => BTreeMap::new(),
        }
    }

    /// The VM from which this one requests tokens.
    fn token_source(&self) -> Option<SocketAddr> {
        if let UpdateUpstream::Vm(address) = self.upstream.get() {
            return Some(address);
        }
        let mandate = self.cluster.mandate()?.value;
        (!mandate.vacant && mandate.address != self.address).then_some(mandate.address)
    }

    /// Responds to a VM that needs tokens.
    pub(super) async fn respond_tokens(
        &self,
        demands: BTreeMap<String, WireDemand>,
    ) -> RelayResponse {
        let demands = demands.into_iter().map(|(workspace, demand)| (workspace, demand.into()));
        let granted = self.token_queue.request(demands.collect()).await;
        let answers = granted.into_iter().map(|(workspace, grant)| (workspace, grant.into()));
        RelayResponse::Tokens(answers.collect::<BTreeMap<String, WireGrant>>())
    }
}
