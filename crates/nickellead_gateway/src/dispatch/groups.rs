//! Groups of targets: which targets one VM dispatches, and which VM that is.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;

use xxhash_rust::xxh3::xxh3_64;

use super::messages::GroupId;
use crate::TargetList;
use crate::evacuation::ZoneStates;
use crate::fleet::FleetTable;
use crate::registered_target::RegisteredTarget;
use crate::target_registry::TargetRegistry;

/// Most targets of one group: enough slots to pool, and few enough decisions for a small VM.
const MAX_GROUP_TARGETS: usize = 8;

/// Targets of one service in one availability zone that one VM dispatches.
pub(crate) struct TargetGroup {
    pub(super) id: GroupId,
    /// Whether the zone gets no new requests.
    pub(super) evacuated: bool,
    /// The dispatcher and its stand-in.
    pub(super) dispatchers: [Option<SocketAddr>; 2],
    pub(super) targets: Vec<Rc<RegisteredTarget>>,
}

impl TargetGroup {
    /// Availability zone of its targets.
    pub(crate) fn zone(&self) -> &str {
        &self.id.zone
    }

    /// Its targets, whether they accept requests or not.
    pub(crate) fn targets(&self) -> &[Rc<RegisteredTarget>] {
        &self.targets
    }

    /// Whether any VM may dispatch it.
    pub(crate) fn is_dispatched(&self) -> bool {
        !self.evacuated && self.dispatchers.iter().any(Option::is_some)
    }
}

/// All groups, built from one list of targets and one fleet.
#[derive(Default)]
pub(crate) struct GroupTable {
    by_service: HashMap<String, Vec<Rc<TargetGroup>>>,
    /// Group of each target by its id.
    by_target: HashMap<String, Rc<TargetGroup>>,
}

impl GroupTable {
    /// Divides the registered targets into groups.
    ///
    /// Draining targets and evacuated zones count, so that groups change as seldom as the list does.
    pub(crate) fn build(
        list: &TargetList,
        registry: &TargetRegistry,
        fleet: &FleetTable,
        zones: &ZoneStates,
    ) -> Self {
        let mut by_zone: BTreeMap<(&str, &str), Vec<&Rc<RegisteredTarget>>> = BTreeMap::new();
        for entry in list.values() {
            let target = registry.find(&entry.id);
            by_zone.entry((&entry.service, &entry.zone)).or_default().extend(target);
        }
        let mut table = Self::default();
        for ((service, zone), mut targets) in by_zone {
            targets.sort_by_cached_key(|target| (xxh3_64(target.id.as_bytes()), target.id.clone()));
            for (index, members) in divide_targets(targets.len()).into_iter().enumerate() {
                let index = u16::try_from(index).unwrap_or(u16::MAX);
                let id = GroupId { service: service.to_owned(), zone: zone.to_owned(), index };
                table.add(TargetGroup {
                    evacuated: zones.is_evacuated(zone),
                    dispatchers: fleet.dispatchers(zone, seed_of(&id)),
                    targets: targets[members].iter().map(|target| Rc::clone(target)).collect(),
                    id,
                });
            }
        }
        table
    }

    fn add(&mut self, group: TargetGroup) {
        let group = Rc::new(group);
        for target in &group.targets {
            self.by_target.insert(target.id.clone(), Rc::clone(&group));
        }
        self.by_service.entry(group.id.service.clone()).or_default().push(group);
    }

    /// The groups of a service in all availability zones.
    pub(crate) fn of_service(&self, service: &str) -> &[Rc<TargetGroup>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// The group of a target.
    pub(crate) fn of_target(&self, target: &str) -> Option<&Rc<TargetGroup>> {
        self.by_target.get(target)
    }

    /// Whether a VM at this address dispatches any group.
    pub(super) fn has_dispatcher(&self, address: SocketAddr) -> bool {
        let mut groups = self.by_service.values().flatten();
        groups.any(|group| group.dispatchers.contains(&Some(address)))
    }

    /// The group with this id.
    pub(super) fn find(&self, id: &GroupId) -> Option<&Rc<TargetGroup>> {
        self.of_service(&id.service).iter().find(|group| group.id == *id)
    }
}

/// Divides this many sorted targets evenly into groups of at most eight; returns the indexes of each
/// group.
#[must_use]
pub fn divide_targets(targets: usize) -> Vec<Range<usize>> {
    let groups = targets.div_ceil(MAX_GROUP_TARGETS);
    let start = |index: usize| index * targets / groups;
    (0..groups).map(|index| start(index)..start(index + 1)).collect()
}

/// Seed by which rendezvous hashing selects the dispatchers of a group.
fn seed_of(id: &GroupId) -> u64 {
    xxh3_64(format!("{}/{}/{}", id.service, id.zone, id.index).as_bytes())
}
