//! Drives one coordinator with simulated targets and a simulated platform that respond at once.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nickellead_core::{Incarnation, Name, TargetKey, Timestamp, Version};
use nickellead_lease::{
    CoordinatorSettings, GrantGuard, LeaseTimings, PlacementObject, ReadOutcome, TargetOrder,
    VmIncarnation, WriteOutcome, ZoneAction, ZoneCoordinator, ZoneEvent,
};

use crate::routes::config;

/// Coordinator of one zone, with measurements of its processor time and messages.
pub struct ZoneDriver {
    pub coordinator: ZoneCoordinator,
    pub now: Timestamp,
    /// Time spent in [`ZoneCoordinator::handle`].
    pub cpu_time: Duration,
    /// Number of replies from targets.
    pub replies: u64,
    /// Size of the largest written placement object.
    pub max_placement_bytes: usize,
    /// Total size of the sent orders.
    pub order_bytes: usize,
    pub orders: u64,
    pub writes: u64,
    guards: BTreeMap<TargetKey, GrantGuard>,
    placements: BTreeMap<Name, (PlacementObject, Version)>,
    version: Version,
    pub lost: Option<TargetKey>,
}

impl ZoneDriver {
    pub fn new(shards: u32, targets: u32) -> Self {
        let vm = VmIncarnation { vm: Name::new("vm-0").unwrap(), incarnation: Incarnation(1) };
        let settings = CoordinatorSettings {
            zone: Name::new("zone-a").unwrap(),
            vm,
            timings: LeaseTimings::default(),
            max_standbys: 2,
            max_concurrent_moves: 64,
            seed: 1,
        };
        let config = config(shards, targets);
        let guard = |target: &nickellead_api::DeclaredTarget| {
            let key = TargetKey::from(&target.name);
            (key, GrantGuard::new(key, Incarnation(2)))
        };
        let mut driver = Self {
            coordinator: ZoneCoordinator::new(settings, Timestamp(1_000)),
            now: Timestamp(1_000),
            cpu_time: Duration::ZERO,
            replies: 0,
            max_placement_bytes: 0,
            order_bytes: 0,
            orders: 0,
            writes: 0,
            guards: config.targets.iter().map(guard).collect(),
            placements: BTreeMap::new(),
            version: Version::ZERO,
            lost: None,
        };
        driver.handle_event(ZoneEvent::ConfigChanged(Arc::new(config)));
        driver.handle_event(ZoneEvent::VmsListed(vec![Name::new("vm-0").unwrap()]));
        driver
    }

    /// Advances the time, with a tick every 10 ms like the process.
    pub fn run(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.now = Timestamp(self.now.0 + 10);
            self.handle_event(ZoneEvent::Tick);
        }
    }

    /// Returns the target with the lowest key.
    pub fn first_target(&self) -> TargetKey {
        *self.guards.keys().next().unwrap()
    }

    fn handle_event(&mut self, event: ZoneEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let start = Instant::now();
            let actions = self.coordinator.handle(event, self.now);
            self.cpu_time += start.elapsed();
            events.extend(actions.into_iter().filter_map(|action| self.perform(action)));
        }
    }

    fn perform(&mut self, action: ZoneAction) -> Option<ZoneEvent> {
        match action {
            ZoneAction::SendOrder(order) => Some(self.send_order(&order)),
            ZoneAction::ReadMandate(call) => {
                Some(ZoneEvent::MandateRead(call, ReadOutcome::Absent))
            }
            ZoneAction::WriteMandate(call, _, _) => {
                self.version = self.version.next();
                Some(ZoneEvent::MandateWritten(call, WriteOutcome::Done(self.version)))
            }
            ZoneAction::ReadPlacement(call, service, name) => {
                let outcome = match self.placements.get(&name) {
                    Some((object, version)) => ReadOutcome::Found(object.clone(), *version),
                    None => ReadOutcome::Absent,
                };
                Some(ZoneEvent::PlacementRead(call, service, outcome))
            }
            ZoneAction::WritePlacement(call, service, name, _, object) => {
                let bytes = serde_json::to_vec(&object).unwrap().len();
                self.max_placement_bytes = self.max_placement_bytes.max(bytes);
                self.writes += 1;
                self.version = self.version.next();
                self.placements.insert(name, (object, self.version));
                let outcome = WriteOutcome::Done(self.version);
                Some(ZoneEvent::PlacementWritten(call, service, outcome))
            }
            _ => None,
        }
    }

    fn send_order(&mut self, order: &TargetOrder) -> ZoneEvent {
        self.orders += 1;
        self.order_bytes += serde_json::to_vec(order).unwrap().len();
        let guard = self.guards.get_mut(&order.target);
        match guard.filter(|_| self.lost != Some(order.target)) {
            Some(guard) => {
                self.replies += 1;
                ZoneEvent::TargetReplied(guard.apply(order, self.now))
            }
            None => ZoneEvent::TargetFailed(order.target, order.sequence),
        }
    }
}
