//! Nodes of the simulation: clocks, VMs, targets, and their declarations.

use nickellead_api::{
    DeclaredConfig, DeclaredService, DeclaredTarget, ServiceSpec, TargetSpec, TargetState,
};
use nickellead_core::{Name, Timestamp, Version};
use nickellead_lease::{GrantGuard, RequestTicket, ShardGrant, ZoneCoordinator};

pub fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

/// A clock with a constant rate error.
#[derive(Clone, Copy, Debug)]
pub struct DriftClock {
    offset: u64,
    rate_ppm: i64,
}

impl DriftClock {
    pub fn read(self, global: u64) -> Timestamp {
        let drift = global as i64 * self.rate_ppm / 1_000_000;
        Timestamp((self.offset + global).wrapping_add_signed(drift))
    }
}

/// One VM of the zone.
#[derive(Clone)]
pub struct VmNode {
    pub name: Name,
    pub coordinator: ZoneCoordinator,
    pub clock: DriftClock,
    pub paused: bool,
    pub alive: bool,
    pub incarnation: u64,
}

/// One target of the zone.
pub struct TargetNode {
    pub name: Name,
    pub guard: GrantGuard,
    pub clock: DriftClock,
    pub paused: bool,
    pub alive: bool,
    pub incarnation: u64,
    pub running: Vec<(ShardGrant, RequestTicket)>,
}

impl Clone for TargetNode {
    /// Copies the target without its running requests, whose tickets can't be cloned.
    fn clone(&self) -> Self {
        let guard = self.guard.clone();
        Self { name: self.name.clone(), guard, running: Vec::new(), ..*self }
    }
}

pub fn drift_clock(seed: u64) -> DriftClock {
    // Rates differ by up to 0.9%, within the default drift bound of 1%.
    let rate_ppm = (seed * 1_237 % 9_000) as i64 - 4_500;
    DriftClock { offset: seed * 1_000, rate_ppm }
}

pub fn declare(targets: usize, states: &[(usize, TargetState)]) -> DeclaredConfig {
    let spec: ServiceSpec = serde_json::from_str(
        r#"{"zones": ["zone-a"], "shards": 4, "key": {"from": "path", "segment": 2},
            "operations": [{"name": "book", "method": "POST", "repeat": "once"}]}"#,
    )
    .unwrap();
    let service = DeclaredService { name: name("boards"), version: Version(1), spec };
    let target = |number: usize| DeclaredTarget {
        name: name(&format!("target-{number}")),
        version: Version(1),
        spec: TargetSpec {
            service: name("boards"),
            zone: name("zone-a"),
            address: "127.0.0.1:1".parse().unwrap(),
            slots: 4,
            connections: 130,
            state: states
                .iter()
                .find(|(target, _)| *target == number)
                .map_or(TargetState::Active, |(_, state)| *state),
        },
    };
    DeclaredConfig {
        revision: Version(1),
        services: vec![service],
        targets: (0..targets).map(target).collect(),
    }
}
