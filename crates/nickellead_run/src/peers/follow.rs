//! Follow loops: every VM follows the coordinator of its zone, and a coordinator those of the other zones.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use nickellead_core::Name;
use nickellead_lease::ZoneEvent;
use nickellead_peer::{FollowReply, PEER_PATH, PeerClient, PeerReply, PeerRequest};

use super::state::PeerState;
use crate::channel::try_send;
use crate::coordination::CoordinationMessage;

/// How long a coordinator may delay its response to a standby.
const STANDBY_LONG_POLL_MS: u32 = 250;
/// How long a coordinator may delay its response to a VM that is not a standby.
const FOLLOWER_LONG_POLL_MS: u32 = 1_000;
/// Added to the long-poll time for the timeout of a follow request.
const LONG_POLL_GRACE: Duration = Duration::from_millis(350);
/// Delay after a failed request or a response of a VM that does not coordinate.
const SEARCH_BACKOFF: Duration = Duration::from_millis(50);
/// Interval between two checks for zones that are not followed yet.
const ZONES_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Follows the coordinator of this VM's zone; idle while this VM coordinates.
pub(super) async fn follow_own_zone(state: Rc<PeerState>) {
    let mut search = CoordinatorSearch::new(state.own.zone.clone());
    let mut has_coordinator = false;
    loop {
        if state.is_leading() {
            has_coordinator = false;
            tokio::time::sleep(SEARCH_BACKOFF).await;
            continue;
        }
        let announcement = match search.poll(&state).await {
            Some(reply) => apply_response(&state, &mut search, reply),
            None => None,
        };
        if let Some(event) = announcement {
            has_coordinator = true;
            try_send(state.coordination(), CoordinationMessage::Event(event));
            continue;
        }
        if std::mem::take(&mut has_coordinator) {
            let lost = CoordinationMessage::Event(ZoneEvent::CoordinatorLost);
            try_send(state.coordination(), lost);
        }
        tokio::time::sleep(SEARCH_BACKOFF).await;
    }
}

/// Applies a response; returns the event for the coordination if the coordinator sent it.
fn apply_response(
    state: &PeerState,
    search: &mut CoordinatorSearch,
    reply: FollowReply,
) -> Option<ZoneEvent> {
    let (term, standby) = (reply.term, reply.standby);
    search.long_poll_ms = if standby { STANDBY_LONG_POLL_MS } else { FOLLOWER_LONG_POLL_MS };
    state.apply_reply(reply).then_some(ZoneEvent::CoordinatorAnnounced(term, standby))
}

/// Starts a follow loop for each other zone; these only run while this VM coordinates.
pub(super) async fn follow_other_zones(state: Rc<PeerState>) {
    let mut followed_zones = BTreeSet::new();
    loop {
        for zone in state.other_zones() {
            if followed_zones.insert(zone.clone()) {
                actix_rt::spawn(follow_zone(Rc::clone(&state), zone));
            }
        }
        state.check_readiness();
        tokio::time::sleep(ZONES_CHECK_INTERVAL).await;
    }
}

async fn follow_zone(state: Rc<PeerState>, zone: Name) {
    let mut search = CoordinatorSearch::new(zone);
    loop {
        if !state.is_leading() {
            tokio::time::sleep(ZONES_CHECK_INTERVAL).await;
            continue;
        }
        let from_coordinator = match search.poll(&state).await {
            Some(reply) => state.apply_reply(reply),
            None => false,
        };
        if !from_coordinator {
            tokio::time::sleep(SEARCH_BACKOFF).await;
        }
    }
}

/// Requests to a zone's coordinator, or round robin to its VMs while none is known.
struct CoordinatorSearch {
    zone: Name,
    next_index: usize,
    /// How long the next response may be delayed, in milliseconds.
    long_poll_ms: u32,
    client: Option<PeerClient>,
}

impl CoordinatorSearch {
    const fn new(zone: Name) -> Self {
        Self { zone, next_index: 0, long_poll_ms: STANDBY_LONG_POLL_MS, client: None }
    }

    async fn poll(&mut self, state: &PeerState) -> Option<FollowReply> {
        let address = self.next_address(state)?;
        let mut client = match self.client.take().filter(|client| client.address() == address) {
            Some(client) => client,
            None => PeerClient::new(address, PEER_PATH),
        };
        let request = PeerRequest::Follow(state.follow_request(self.long_poll_ms));
        let timeout = Duration::from_millis(u64::from(self.long_poll_ms)) + LONG_POLL_GRACE;
        let response = client.call(&request, timeout).await;
        match response {
            Ok(PeerReply::Follow(reply)) => {
                self.client = Some(client);
                Some(*reply)
            }
            _ => {
                self.long_poll_ms = STANDBY_LONG_POLL_MS;
                state.remove_coordinator(&self.zone);
                None
            }
        }
    }

    fn next_address(&mut self, state: &PeerState) -> Option<SocketAddr> {
        let coordinator = state.coordinator_of(&self.zone);
        if let Some(coordinator) = coordinator.filter(|vm| vm.vm != state.own.vm) {
            return Some(coordinator.address);
        }
        let vms = state.vms_of(&self.zone);
        self.next_index = self.next_index.wrapping_add(1);
        vms.get(self.next_index % vms.len().max(1)).copied()
    }
}
