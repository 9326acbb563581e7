//! Size of the updates that a VM of `nickellead run` sends to its followers.
//!
//! Guards against sending all declarations to each follower for a change of one target.
#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use common::fleet::{Fleet, FleetSpec};
use nickellead_core::{Incarnation, Name, ZoneKey};
use nickellead_peer::{
    ConfigHistory, FollowReply, FollowRequest, KnownZone, PEER_PATH, PeerClient, PeerReply,
    PeerRequest, PeerVm,
};

/// Number of declared targets besides the one that serves.
const SPARE_TARGETS: usize = 2_000;
/// Maximum size in bytes of a response with the change of one target.
const MAX_CHANGE_BYTES: usize = 1_024;

/// Declares a service in a zone without VMs, whose targets receive no requests.
fn declarations() -> String {
    let service = r#"{"kind": "service", "name": "spares", "spec": {"zones": ["zone-z"],
        "shards": 64, "key": {"from": "path", "segment": 2},
        "operations": [{"name": "look", "method": "GET", "repeat": "repeatable"}]}}"#;
    let target = |number: usize| {
        format!(
            r#"{{"kind": "target", "name": "spare-{number}", "spec": {{"service": "spares",
                "zone": "zone-z", "address": "127.0.0.1:{}", "slots": 4, "connections": 130}}}}"#,
            10_000 + number
        )
    };
    let targets: Vec<String> = (0..SPARE_TARGETS).map(target).collect();
    format!("[{service},{}]", targets.join(","))
}

/// Client that follows one VM.
struct Follower {
    client: PeerClient,
    own: PeerVm,
    known: ConfigHistory,
    /// Known versions of the owners, which the VM then does not send again.
    zones: BTreeMap<ZoneKey, KnownZone>,
}

impl Follower {
    fn new(address: SocketAddr) -> Self {
        let name = |text| Name::new(text).unwrap();
        let own = PeerVm {
            vm: name("vm-reader"),
            zone: name("zone-r"),
            address: "127.0.0.1:1".parse().unwrap(),
            incarnation: Incarnation(1),
        };
        Self {
            client: PeerClient::new(address, PEER_PATH),
            own,
            known: ConfigHistory::default(),
            zones: BTreeMap::new(),
        }
    }

    /// Sends requests until a response contains declarations; returns its size in bytes.
    async fn next_config(&mut self) -> usize {
        loop {
            let request = FollowRequest {
                from: self.own.clone(),
                zones: self.zones.values().copied().collect(),
                config: self.known.state(),
                wait_ms: 1_000,
            };
            let timeout = Duration::from_secs(5);
            let response = self.client.call(&PeerRequest::Follow(request), timeout).await.unwrap();
            let PeerReply::Follow(reply) = response else {
                panic!("unexpected response: {response:?}")
            };
            if self.apply(*reply) {
                return self.client.progress().bytes;
            }
        }
    }

    fn revision(&self) -> u64 {
        self.known.newest().unwrap().revision.0
    }

    /// Applies a response; returns whether it contained declarations.
    fn apply(&mut self, reply: FollowReply) -> bool {
        for delta in reply.zones {
            let (zone, term, version) = (delta.zone, delta.term, delta.version);
            self.zones.insert(zone, KnownZone { zone, term, version });
        }
        let Some(update) = reply.config else { return false };
        self.known.apply_update(update).unwrap()
    }
}

#[test]
fn a_change_of_one_target_is_sent_as_a_small_update() {
    let fleet = Fleet::start(FleetSpec {
        label: "follow",
        vms_per_zone: 1,
        targets_per_zone: 1,
        ..FleetSpec::default()
    });
    fleet.apply(&declarations());
    actix_rt::System::new().block_on(async {
        let mut first_follower = Follower::new(fleet.vms[0].peers);
        first_follower.next_config().await;
        while first_follower.revision() < fleet.platform_revision() {
            first_follower.next_config().await;
        }
        // A new follower receives all declarations.
        let mut follower = Follower::new(fleet.vms[0].peers);
        let full = follower.next_config().await;
        assert!(full > 100 * SPARE_TARGETS / 4, "{full} bytes of all declarations");
        fleet.declare_target(0, "draining");
        let change = follower.next_config().await;
        eprintln!(
            "{SPARE_TARGETS} targets: all declarations {full} bytes, one change {change} bytes"
        );
        assert!(change < MAX_CHANGE_BYTES, "{change} bytes for one target of {SPARE_TARGETS}");
    });
}
