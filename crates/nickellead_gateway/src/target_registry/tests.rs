//! A registry that took many changes is the same as one built from the last list.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use quickcheck::{Arbitrary, Gen, quickcheck};

use super::*;
use crate::SlotCount;
use crate::dispatch::{GroupTable, TargetGroup};

const SERVICES: [&str; 2] = ["keyed", "plain"];
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Longer than a test takes, so that nothing depends on the time.
const COLD_TIME: Duration = Duration::from_secs(3_600);

/// One change of what a registry reflects.
#[derive(Clone, Debug)]
enum Step {
    /// Entries that are added or replaced, and numbers of targets that are removed.
    List(Vec<TargetEntry>, Vec<u8>),
    /// Numbers of VMs of the fleet.
    Fleet(Vec<u8>),
    /// Indexes of evacuated zones.
    Evacuate(Vec<u8>),
    /// Whether the service `plain` has a limit for cold targets.
    ColdRule(bool),
}

fn id(number: u8) -> String {
    format!("i-{}", number % 48)
}

fn random_entry(random: &mut Gen) -> TargetEntry {
    let pick = |random: &mut Gen, from: &[&str]| (*random.choose(from).unwrap()).to_owned();
    TargetEntry {
        id: id(u8::arbitrary(random)),
        born: Some(u64::arbitrary(random) % 2),
        service: pick(random, &SERVICES),
        address: SocketAddr::from(([10, 0, 0, 1], 1 + u16::arbitrary(random) % 2)),
        zone: pick(random, &ZONES),
        slots: SlotCount::new(1 + u64::arbitrary(random) % 4).unwrap(),
        state: *random.choose(&[TargetState::Ready, TargetState::Draining]).unwrap(),
        cold_left: *random.choose(&[Duration::ZERO, COLD_TIME]).unwrap(),
    }
}

impl Arbitrary for Step {
    fn arbitrary(random: &mut Gen) -> Self {
        match u8::arbitrary(random) % 8 {
            0 => Self::Fleet(Vec::arbitrary(random)),
            1 => Self::Evacuate(Vec::arbitrary(random)),
            2 => Self::ColdRule(bool::arbitrary(random)),
            _ => {
                // Few changes of a long list are sorted in, and many changes sort all targets.
                let count = *random.choose(&[1, 1, 1, 40]).unwrap();
                let entries = (0..count).map(|_| random_entry(random)).collect();
                let removed = (0..count / 2 + 1).map(|_| u8::arbitrary(random)).collect();
                Self::List(entries, removed)
            }
        }
    }
}

/// A registry with what it reflects, changed step by step.
struct TestRegistry {
    registry: TargetRegistry,
    groups: GroupTable,
    list: ListedTargets,
    services: BTreeMap<String, ServiceRule>,
    fleet: FleetTable,
    zones: ZoneStates,
}

fn empty_registry() -> TargetRegistry {
    TargetRegistry::new(VmId::new("vm-0", ZONES[0]), ZONES[0].to_owned())
}

impl TestRegistry {
    fn new() -> Self {
        let rule = |sharded| ServiceRule { connections: 100, sharded, cold: None };
        let services = SERVICES.map(|name| (name.to_owned(), rule(name == "keyed")));
        Self {
            registry: empty_registry(),
            groups: GroupTable::default(),
            list: ListedTargets::default(),
            services: services.into(),
            fleet: FleetTable::default(),
            zones: ZoneStates::default(),
        }
    }

    /// A registry and groups that are built from the present state only.
    fn rebuilt(&self) -> (TargetRegistry, GroupTable) {
        let mut registry = empty_registry();
        registry.apply_list(self.list.clone(), &self.rules());
        let groups = GroupTable::build(&registry, &self.fleet, &self.zones);
        (registry, groups)
    }

    fn rules(&self) -> RegistryRules<'_> {
        RegistryRules {
            services: &self.services,
            cold_settings: Some(ColdSettings { overage: 1.5, slack: 4.0 }),
            fleet: &self.fleet,
            zones: &self.zones,
        }
    }

    fn apply(&mut self, step: Step) {
        let mut registry = std::mem::replace(&mut self.registry, empty_registry());
        match step {
            Step::List(entries, removed) => {
                removed.into_iter().for_each(|number| drop(self.list.remove(&id(number))));
                entries.into_iter().for_each(|entry| self.list.insert(entry));
                let changed = registry.apply_list(self.list.clone(), &self.rules());
                self.groups =
                    self.groups.with_changes(&changed, &registry, &self.fleet, &self.zones);
            }
            Step::Fleet(numbers) => {
                let member = |number: u8| {
                    let zone = ZONES[usize::from(number) % ZONES.len()];
                    let address = SocketAddr::from(([10, 0, 1, number], 1));
                    (VmId::new(&format!("vm-{number}"), zone), Some(address))
                };
                self.fleet.vms = numbers.into_iter().map(member).collect();
                registry.apply_fleet(&self.rules());
                self.groups = GroupTable::build(&registry, &self.fleet, &self.zones);
            }
            Step::Evacuate(indexes) => {
                let zone = |index: u8| ZONES[usize::from(index) % ZONES.len()].to_owned();
                self.zones.update(&indexes.into_iter().map(zone).collect(), BootClock.now());
                registry.apply_rules(&self.rules());
                self.groups = GroupTable::build(&registry, &self.fleet, &self.zones);
            }
            Step::ColdRule(has_rule) => {
                // The cold time after the return of a zone would depend on when the target was added.
                let rule = ColdRule { rate: 2.0, duration: Duration::ZERO };
                self.services.get_mut("plain").unwrap().cold = has_rule.then_some(rule);
                registry.apply_rules(&self.rules());
                self.groups = GroupTable::build(&registry, &self.fleet, &self.zones);
            }
        }
        self.registry = registry;
    }
}

/// What requests can see of a registry and its groups.
fn describe(registry: &TargetRegistry, groups: &GroupTable) -> Vec<String> {
    let ids = |targets: &[Rc<RegisteredTarget>]| -> Vec<String> {
        targets.iter().map(|target| target.id.clone()).collect()
    };
    let mut lines = Vec::new();
    for service in SERVICES {
        let available = ids(registry.available(service));
        let subset = ids(registry.subset(service));
        let partitioned = registry.is_partitioned(service);
        lines.push(format!("{service} {available:?} {subset:?} {partitioned}"));
        let describe_group = |group: &Rc<TargetGroup>| {
            let (zone, dispatchers) = (group.zone(), &group.dispatchers);
            format!("{zone} {} {dispatchers:?} {:?}", group.is_dispatched(), ids(group.targets()))
        };
        lines.extend(groups.of_service(service).map(describe_group));
    }
    let describe_target = |target: &Rc<RegisteredTarget>| {
        let service = SERVICES.into_iter().find(|service| {
            groups.of_target(service, target).is_some_and(|group| {
                group.targets().iter().any(|member| Rc::ptr_eq(member, target))
            })
        });
        let (state, sharing, now) =
            (target.state.get(), registry.sharing_vms.get(), BootClock.now());
        let limited = target.cold_limiter.is_limited(now);
        let quota = target.cold_limiter.has_quota();
        let (instance, slots) = (target.instance(), target.slots);
        format!("{instance:?} {slots} {state:?} {service:?} {sharing} {limited} {quota}")
    };
    let mut targets: Vec<String> = registry.all().map(describe_target).collect();
    targets.sort();
    lines.extend(targets);
    let counts: BTreeMap<&str, usize> = registry.count_by_zone().into_iter().collect();
    lines.push(format!("{counts:?}"));
    lines
}

quickcheck! {
    /// Guards against registries that differ from the list after changes were sorted in one by one.
    fn changes_give_the_registry_that_the_last_list_gives(steps: Vec<Step>) -> bool {
        let mut test = TestRegistry::new();
        steps.into_iter().all(|step| {
            test.apply(step);
            let (registry, groups) = test.rebuilt();
            describe(&test.registry, &test.groups) == describe(&registry, &groups)
        })
    }
}

/// Guards against changes that lose what a VM knows of targets that stay.
#[test]
fn targets_that_stay_are_the_same_after_a_change() {
    let mut test = TestRegistry::new();
    let mut random = Gen::new(100);
    let numbered = |number, entry: TargetEntry| TargetEntry { id: id(number), ..entry };
    let entries = (0..40).map(|number| numbered(number, random_entry(&mut random))).collect();
    test.apply(Step::List(entries, Vec::new()));
    let before: Vec<_> = test.registry.all().map(Rc::clone).collect();
    test.apply(Step::List(vec![numbered(40, random_entry(&mut random))], vec![0]));
    test.apply(Step::Fleet((0..20).collect()));
    test.apply(Step::Evacuate(vec![1]));
    let stayed = before.iter().filter(|target| {
        test.registry.find(&target.id).is_some_and(|known| Rc::ptr_eq(known, target))
    });
    assert_eq!(stayed.count(), 39);
}
