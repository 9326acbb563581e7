//! What a VM of `nickellead run` tells one that follows it.
//!
//! Seen: on a large fleet declarations were in force too late. How: each change went whole to
//! each VM. Cause: a follower named the revision that it knew, and was told everything if there
//! was a newer one. Proof: the bytes of the answers, with 2,000 targets declared.
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

/// Targets declared beside the one that serves.
const TARGETS: usize = 2_000;
/// Most bytes of an answer that tells a change of one target, with all that the answer holds besides.
const SMALL_ANSWER: usize = 1_024;

/// A service in a zone without VMs, whose targets nobody calls.
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
    let targets: Vec<String> = (0..TARGETS).map(target).collect();
    format!("[{service},{}]", targets.join(","))
}

/// A follower of one VM.
struct Follower {
    client: PeerClient,
    own: PeerVm,
    known: ConfigHistory,
    /// The owners that it knows, so that they are not told again.
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

    /// Asks until declarations are told; gives the answer's bytes.
    async fn follow(&mut self) -> usize {
        loop {
            let request = FollowRequest {
                from: self.own.clone(),
                zones: self.zones.values().copied().collect(),
                config: self.known.state(),
                wait_ms: 1_000,
            };
            let limit = Duration::from_secs(5);
            let answer = self.client.call(&PeerRequest::Follow(request), limit).await.unwrap();
            let PeerReply::Follow(reply) = answer else { panic!("no answer: {answer:?}") };
            if self.take(*reply) {
                return self.client.progress().bytes;
            }
        }
    }

    fn revision(&self) -> u64 {
        self.known.newest().unwrap().revision.0
    }

    /// Takes an answer; tells whether it held declarations.
    fn take(&mut self, reply: FollowReply) -> bool {
        for delta in reply.zones {
            let (zone, term, version) = (delta.zone, delta.term, delta.version);
            self.zones.insert(zone, KnownZone { zone, term, version });
        }
        let Some(news) = reply.config else { return false };
        self.known.apply_update(news).unwrap()
    }
}

#[test]
fn a_change_of_one_target_is_told_in_few_bytes() {
    let fleet = Fleet::start(FleetSpec {
        label: "follow",
        vms_per_zone: 1,
        targets_per_zone: 1,
        ..FleetSpec::default()
    });
    fleet.apply(&declarations());
    actix_rt::System::new().block_on(async {
        let mut early = Follower::new(fleet.vms[0].peers);
        early.follow().await;
        while early.revision() < fleet.platform_revision() {
            early.follow().await;
        }
        // One that knows nothing is told everything.
        let mut follower = Follower::new(fleet.vms[0].peers);
        let whole = follower.follow().await;
        assert!(whole > 100 * TARGETS / 4, "{whole} bytes of all declarations");
        fleet.declare_target(0, "draining");
        let change = follower.follow().await;
        eprintln!("{TARGETS} targets: all declarations {whole} bytes, one change {change} bytes");
        assert!(change < SMALL_ANSWER, "{change} bytes for one target of {TARGETS}");
    });
}
