//! Groups of targets: which targets one VM dispatches, and which VM that is.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;

use xxhash_rust::xxh3::xxh3_64;

use super::messages::GroupId;
use crate::evacuation::ZoneStates;
use crate::fleet::{FleetTable, ZoneDispatchers};
use crate::registered_target::RegisteredTarget;
use crate::sorted_targets::SortedTargets;
use crate::target_registry::{ServiceZone, TargetRegistry};

/// Most targets of one group: enough slots to pool, and few enough decisions for a small VM.
const MAX_GROUP_TARGETS: usize = 8;

/// Targets of one service in one availability zone that one VM dispatches.
pub(crate) struct TargetGroup {
    pub(super) id: GroupId,
    /// Whether the zone gets no new requests.
    pub(super) evacuated: bool,
    /// The dispatcher and its stand-in.
    pub(crate) dispatchers: [Option<SocketAddr>; 2],
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

/// The groups of one service in one availability zone.
struct ZoneGroups {
    /// In the order of their targets.
    groups: Vec<Rc<TargetGroup>>,
    /// Addresses of their dispatchers.
    dispatchers: HashSet<SocketAddr>,
}

impl ZoneGroups {
    /// Divides the targets into groups, and has `dispatchers` select those of each.
    fn build(
        place: &ServiceZone,
        targets: &SortedTargets,
        evacuated: bool,
        dispatchers: impl Fn(&GroupId) -> [Option<SocketAddr>; 2],
    ) -> Self {
        let ranges = divide_targets(targets.len()).into_iter().enumerate();
        let groups = ranges.map(|(index, members)| {
            let index = u16::try_from(index).unwrap_or(u16::MAX);
            let (service, zone) = (place.service.clone(), place.zone.clone());
            let id = GroupId { service, zone, index };
            let dispatchers = dispatchers(&id);
            let targets = targets.as_slice()[members].to_vec();
            Rc::new(TargetGroup { id, evacuated, dispatchers, targets })
        });
        let groups: Vec<Rc<TargetGroup>> = groups.collect();
        let dispatchers = groups.iter().flat_map(|group| group.dispatchers).flatten().collect();
        Self { groups, dispatchers }
    }

    /// The dispatchers of the group with this index.
    fn dispatchers_of(&self, index: u16) -> Option<[Option<SocketAddr>; 2]> {
        self.groups.get(usize::from(index)).map(|group| group.dispatchers)
    }

    /// The group of a target.
    fn of_target(&self, target: &RegisteredTarget) -> Option<&Rc<TargetGroup>> {
        let begins_before = |group: &Rc<TargetGroup>| {
            group.targets.first().is_some_and(|first| first.order() <= target.order())
        };
        let end = self.groups.partition_point(begins_before);
        let group = self.groups.get(end.checked_sub(1)?)?;
        group.targets.iter().any(|one| one.id == target.id).then_some(group)
    }
}

/// All groups, built from one list of targets and one fleet. Tables share the groups that are the
/// same in both.
#[derive(Default)]
pub(crate) struct GroupTable {
    by_service: BTreeMap<String, BTreeMap<String, Rc<ZoneGroups>>>,
}

impl GroupTable {
    /// Divides the registered targets into groups.
    ///
    /// Draining targets and evacuated zones count, so that groups change as seldom as the list does.
    pub(crate) fn build(registry: &TargetRegistry, fleet: &FleetTable, zones: &ZoneStates) -> Self {
        let mut table = Self::default();
        let mut by_zone: BTreeMap<&str, ZoneDispatchers> = BTreeMap::new();
        for (service, zone, targets) in registry.by_zone() {
            let dispatchers = by_zone.entry(zone).or_insert_with(|| fleet.zone_dispatchers(zone));
            let place = ServiceZone { service: service.to_owned(), zone: zone.to_owned() };
            let evacuated = zones.is_evacuated(zone);
            let groups =
                ZoneGroups::build(&place, targets, evacuated, |id| dispatchers.select(seed_of(id)));
            table.insert(place, groups);
        }
        table
    }

    /// The table after targets changed in these places only.
    pub(crate) fn with_changes(
        &self,
        changed: &BTreeSet<ServiceZone>,
        registry: &TargetRegistry,
        fleet: &FleetTable,
        zones: &ZoneStates,
    ) -> Self {
        let mut table = Self { by_service: self.by_service.clone() };
        for place in changed {
            let earlier = self.in_zone(&place.service, &place.zone);
            let Some(targets) = registry.in_service_zone(place) else {
                table.remove(place);
                continue;
            };
            let evacuated = zones.is_evacuated(&place.zone);
            let groups = ZoneGroups::build(place, targets, evacuated, |id| {
                let known = earlier.and_then(|earlier| earlier.dispatchers_of(id.index));
                known.unwrap_or_else(|| fleet.dispatchers(&id.zone, seed_of(id)))
            });
            table.insert(place.clone(), groups);
        }
        table
    }

    fn insert(&mut self, place: ServiceZone, groups: ZoneGroups) {
        self.by_service.entry(place.service).or_default().insert(place.zone, Rc::new(groups));
    }

    fn remove(&mut self, place: &ServiceZone) {
        if let Some(by_zone) = self.by_service.get_mut(&place.service) {
            by_zone.remove(&place.zone);
        }
    }

    fn in_zone(&self, service: &str, zone: &str) -> Option<&ZoneGroups> {
        self.by_service.get(service)?.get(zone).map(|groups| &**groups)
    }

    /// The groups of a service in all availability zones.
    pub(crate) fn of_service(&self, service: &str) -> impl Iterator<Item = &Rc<TargetGroup>> {
        let by_zone = self.by_service.get(service).into_iter().flat_map(BTreeMap::values);
        by_zone.flat_map(|in_zone| &in_zone.groups)
    }

    /// The group of a target of this service.
    pub(crate) fn of_target(
        &self,
        service: &str,
        target: &RegisteredTarget,
    ) -> Option<&Rc<TargetGroup>> {
        self.in_zone(service, &target.zone)?.of_target(target)
    }

    /// Whether a VM at this address dispatches any group.
    pub(super) fn has_dispatcher(&self, address: SocketAddr) -> bool {
        let mut zones = self.by_service.values().flat_map(BTreeMap::values);
        zones.any(|groups| groups.dispatchers.contains(&address))
    }

    /// The group with this id.
    pub(super) fn find(&self, id: &GroupId) -> Option<&Rc<TargetGroup>> {
        self.in_zone(&id.service, &id.zone)?.groups.get(usize::from(id.index))
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
