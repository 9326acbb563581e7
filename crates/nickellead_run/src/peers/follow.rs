//! Following coordinators: this zone's by every VM, the others' by the coordinator.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use nickellead_core::Name;
use nickellead_lease::ZoneEvent;
use nickellead_peer::{FollowReply, PEER_PATH, PeerClient, PeerReply, PeerRequest};

use super::hub::PeerHub;
use crate::channel::try_send;
use crate::coordination::CoordinationMessage;

/// How long a coordinator may hold an answer to a standby back.
const STANDBY_WAIT_MS: u32 = 250;
/// How long a coordinator may hold an answer to another VM back.
const FOLLOW_WAIT_MS: u32 = 1_000;
/// How long an answer is waited for beyond that.
const FOLLOW_TIMEOUT: Duration = Duration::from_millis(350);
/// Pause after an answer of a VM that does not coordinate, or after none.
const SEARCH_PAUSE: Duration = Duration::from_millis(50);
/// Between two looks for zones that are not followed yet.
const ZONES_PERIOD: Duration = Duration::from_millis(500);

/// Follows the coordinator of this VM's zone for as long as the thread runs.
pub(super) async fn follow_own_zone(hub: Rc<PeerHub>) {
    let mut search = PeerSearch::new(hub.own.zone.clone());
    let mut followed = false;
    loop {
        if hub.leads() {
            followed = false;
            tokio::time::sleep(SEARCH_PAUSE).await;
            continue;
        }
        let heard = match search.ask(&hub).await {
            Some(reply) => hear(&hub, &mut search, reply),
            None => None,
        };
        if let Some(event) = heard {
            followed = true;
            try_send(hub.coordination(), CoordinationMessage::Event(event));
            continue;
        }
        if std::mem::take(&mut followed) {
            let gone = CoordinationMessage::Event(ZoneEvent::CoordinatorLost);
            try_send(hub.coordination(), gone);
        }
        tokio::time::sleep(SEARCH_PAUSE).await;
    }
}

/// Takes over an answer; the event to tell when it came from the coordinator.
fn hear(hub: &PeerHub, search: &mut PeerSearch, reply: FollowReply) -> Option<ZoneEvent> {
    let (term, standby) = (reply.term, reply.standby);
    search.wait_ms = if standby { STANDBY_WAIT_MS } else { FOLLOW_WAIT_MS };
    hub.take_reply(reply).then_some(ZoneEvent::CoordinatorAnnounced(term, standby))
}

/// While this VM coordinates, follows the coordinators of the other zones.
pub(super) async fn follow_other_zones(hub: Rc<PeerHub>) {
    let mut followed = BTreeSet::new();
    loop {
        for zone in hub.other_zones() {
            if followed.insert(zone.clone()) {
                actix_rt::spawn(follow_zone(Rc::clone(&hub), zone));
            }
        }
        hub.check_readiness();
        tokio::time::sleep(ZONES_PERIOD).await;
    }
}

async fn follow_zone(hub: Rc<PeerHub>, zone: Name) {
    let mut search = PeerSearch::new(zone);
    loop {
        if !hub.leads() {
            tokio::time::sleep(ZONES_PERIOD).await;
            continue;
        }
        let from_coordinator = match search.ask(&hub).await {
            Some(reply) => hub.take_reply(reply),
            None => false,
        };
        if !from_coordinator {
            tokio::time::sleep(SEARCH_PAUSE).await;
        }
    }
}

/// Looks for a zone's coordinator: the known one first, then any VM of the zone.
struct PeerSearch {
    zone: Name,
    next: usize,
    /// How long the next answer may be held back.
    wait_ms: u32,
    client: Option<PeerClient>,
}

impl PeerSearch {
    const fn new(zone: Name) -> Self {
        Self { zone, next: 0, wait_ms: STANDBY_WAIT_MS, client: None }
    }

    async fn ask(&mut self, hub: &PeerHub) -> Option<FollowReply> {
        let address = self.choose(hub)?;
        let mut client = match self.client.take().filter(|client| client.address() == address) {
            Some(client) => client,
            None => PeerClient::new(address, PEER_PATH),
        };
        let request = PeerRequest::Follow(hub.follow_request(self.wait_ms));
        let limit = Duration::from_millis(u64::from(self.wait_ms)) + FOLLOW_TIMEOUT;
        let answer = client.call(&request, limit).await;
        match answer {
            Ok(PeerReply::Follow(reply)) => {
                self.client = Some(client);
                Some(*reply)
            }
            _ => {
                self.wait_ms = STANDBY_WAIT_MS;
                hub.forget_coordinator(&self.zone);
                None
            }
        }
    }

    fn choose(&mut self, hub: &PeerHub) -> Option<SocketAddr> {
        let coordinator = hub.coordinator_of(&self.zone);
        if let Some(coordinator) = coordinator.filter(|vm| vm.vm != hub.own.vm) {
            return Some(coordinator.address);
        }
        let vms = hub.vms_of(&self.zone);
        self.next = self.next.wrapping_add(1);
        vms.get(self.next % vms.len().max(1)).copied()
    }
}
