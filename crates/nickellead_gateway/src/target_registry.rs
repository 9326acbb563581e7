//! The registry of targets that the request path selects from.
//!
//! It is rebuilt for each new target list; statistics of targets that stay are kept.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;

use nickellead_core::Timestamp;
use nickellead_limit::{ColdBounds, ColdQuota};
use nickellead_range::TargetInstance;
use nickellead_time::BootClock;

use crate::admission::AdmissionTable;
use crate::evacuation::ZoneStates;
use crate::fleet::FleetTable;
use crate::load_counter::VmId;
use crate::registered_target::{DOWN_WINDOW, RegisteredTarget, SharedSignals};
use crate::target_subset::{choose_subset, largest_subset};
use crate::{ColdRule, ColdSettings, ServiceRule, TargetEntry, TargetList, TargetState};

/// Most instances without an entry whose signals are kept; beyond it all of these are dropped.
const MAX_UNLISTED: usize = 4_096;

/// Most targets of one zone that count as crashed at the same time; more suggest a network
/// partition, after which the zone would stay unused if its targets were expected to be cold.
const MAX_CRASHED_PER_ZONE: usize = 3;

/// Number of listed targets by active signal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct SignalCounts {
    pub(crate) leaving: i64,
    pub(crate) paused: i64,
    pub(crate) limited: i64,
}

/// What determines how targets are used, beside their entries.
pub(crate) struct RegistryRules<'a> {
    pub(crate) services: &'a BTreeMap<String, ServiceRule>,
    pub(crate) cold_settings: Option<ColdSettings>,
    pub(crate) fleet: &'a FleetTable,
    pub(crate) zones: &'a ZoneStates,
}

impl RegistryRules<'_> {
    /// The limit for cold targets of a service, if cold limits are enabled.
    fn cold_rule(&self, service: &str) -> Option<ColdRule> {
        self.cold_settings.and(self.services.get(service)?.cold)
    }

    fn is_sharded(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|rule| rule.sharded)
    }

    /// This VM's quota of a cold target's limit.
    fn cold_quota(&self, vm: VmId, entry: &TargetEntry) -> ColdQuota {
        let (Some(bounds), Some(rule)) = (self.cold_settings, self.cold_rule(&entry.service))
        else {
            return ColdQuota::Unlimited;
        };
        let max = rule.rate * bounds.overage + bounds.slack;
        let bound = ColdBounds { rate: rule.rate, max_in_one_second: max };
        if self.is_sharded(&entry.service) {
            return ColdQuota::equal_share(bound, self.fleet.vms.len());
        }
        match self.fleet.sends_to_cold(vm, &entry.id, &entry.zone) {
            true => ColdQuota::for_sender(bound),
            false => ColdQuota::Zero,
        }
    }
}

/// All listed targets by service and by identity.
#[derive(Default)]
pub(crate) struct TargetRegistry {
    vm: String,
    zone: String,
    by_id: HashMap<String, Rc<RegisteredTarget>>,
    by_service: HashMap<String, Vec<Rc<RegisteredTarget>>>,
    /// Signals of instances that are not listed now but may be listed again.
    unlisted_signals: HashMap<TargetInstance, SharedSignals>,
    /// This VM's subset of each service.
    subsets: HashMap<String, Vec<Rc<RegisteredTarget>>>,
    /// Services whose subset is smaller than it would be in a small fleet.
    partitioned: HashSet<String>,
}

impl TargetRegistry {
    /// A registry without targets.
    pub(crate) fn new(vm: String, zone: String) -> Self {
        Self { vm, zone, ..Self::default() }
    }

    /// The registry for a new list; instances that stay keep their statistics.
    pub(crate) fn rebuild(&self, list: &TargetList, rules: &RegistryRules<'_>) -> Self {
        let now = BootClock.now();
        let vm = VmId::new(&self.vm, &self.zone);
        let sharing_vms = rules.fleet.count_including(vm);
        let mut registry = Self::new(self.vm.clone(), self.zone.clone());
        for entry in list.values() {
            let target = self.target_for_entry(entry, now);
            target.cold_rule.set(rules.cold_rule(&entry.service));
            target.sharded.set(rules.is_sharded(&entry.service));
            target.cold_limiter.set_quota(rules.cold_quota(vm, entry), now);
            target.sharing_vms.set(sharing_vms);
            if let (Some(rule), Some(returned)) =
                (target.cold_rule.get(), rules.zones.returned_at(&entry.zone))
            {
                target.expect_cold(returned + rule.duration, now);
            }
            registry.by_id.insert(entry.id.clone(), Rc::clone(&target));
            if rules.zones.is_evacuated(&entry.zone) {
                target.pool.clear();
            } else if entry.state == TargetState::Ready {
                registry.by_service.entry(entry.service.clone()).or_default().push(target);
            }
        }
        for (service, targets) in &registry.by_service {
            let subset = choose_subset(vm, &registry.zone, targets, rules.fleet, now);
            if subset.len() < largest_subset(&registry.zone, targets) {
                registry.partitioned.insert(service.clone());
            }
            registry.subsets.insert(service.clone(), subset);
        }
        registry.unlisted_signals = self.unlisted_signals.clone();
        for (id, target) in &self.by_id {
            if !registry.by_id.get(id).is_some_and(|kept| Rc::ptr_eq(kept, target)) {
                target.pool.clear();
                registry.unlisted_signals.insert(target.instance(), Rc::clone(&target.signals));
            }
        }
        registry.unlisted_signals.retain(|_, signals| signals.get().has_active_signal(now));
        if registry.unlisted_signals.len() > MAX_UNLISTED {
            registry.unlisted_signals.clear();
        }
        registry
    }

    /// The registered target of an entry, which is created unless this very instance is known.
    fn target_for_entry(&self, entry: &TargetEntry, now: Timestamp) -> Rc<RegisteredTarget> {
        let rank = VmId::new(&self.vm, &self.zone).rank(&entry.id);
        let known = self.by_id.get(&entry.id);
        match known.filter(|one| one.address == entry.address && one.born == entry.born) {
            Some(target) => {
                target.update_from_entry(entry, now);
                Rc::clone(target)
            }
            None => {
                let signals = self.unlisted_signals.get(&entry.instance()).cloned();
                Rc::new(RegisteredTarget::new(entry, signals.unwrap_or_default(), rank, now))
            }
        }
    }

    /// When the next target with a cold limit becomes warm.
    pub(crate) fn next_warm(&self, now: Timestamp) -> Option<Timestamp> {
        let cold = self.by_id.values().filter(|target| target.cold_rule.get().is_some());
        cold.map(|target| target.cold_limiter.cold_until()).filter(|until| *until > now).min()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// The listed target with this id.
    pub(crate) fn find(&self, id: &str) -> Option<&Rc<RegisteredTarget>> {
        self.by_id.get(id)
    }

    /// All listed targets.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Rc<RegisteredTarget>> {
        self.by_id.values()
    }

    /// The listed targets of an availability zone.
    pub(crate) fn in_zone<'a>(
        &'a self,
        zone: &'a str,
    ) -> impl Iterator<Item = &'a Rc<RegisteredTarget>> {
        self.by_id.values().filter(move |target| target.zone == zone)
    }

    /// Number of listed targets by availability zone.
    pub(crate) fn count_by_zone(&self) -> HashMap<&str, usize> {
        let mut counts = HashMap::new();
        for target in self.by_id.values() {
            *counts.entry(target.zone.as_str()).or_default() += 1;
        }
        counts
    }

    /// The targets of a service that accept requests, in all zones that are not evacuated.
    pub(crate) fn available(&self, service: &str) -> &[Rc<RegisteredTarget>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// This VM's subset of a service's available targets.
    pub(crate) fn subset(&self, service: &str) -> &[Rc<RegisteredTarget>] {
        self.subsets.get(service).map_or(&[], Vec::as_slice)
    }

    /// Whether the fleet is so large that the service's targets are divided among the VMs.
    ///
    /// A VM whose subset is at capacity then uses no other targets, as they are at capacity as
    /// well.
    pub(crate) fn is_partitioned(&self, service: &str) -> bool {
        self.partitioned.contains(service)
    }

    /// Sets the rate limits that the mandate holder announced.
    pub(crate) fn set_reported_limits(&self, table: &AdmissionTable) {
        for (id, target) in &self.by_id {
            target.reported_limit.set(table.reported_limit(id, target.born));
        }
    }

    /// The target that is this instance, if it accepts requests.
    pub(crate) fn find_instance(&self, instance: &TargetInstance) -> Option<&Rc<RegisteredTarget>> {
        let target = self.by_id.get(&instance.id)?;
        let same = target.born == instance.born;
        (same && target.state.get() == TargetState::Ready).then_some(target)
    }

    /// Marks a target as down after a refused connection, and expects it to be cold when it is
    /// back.
    ///
    /// A restarted target that is partitioned from the store can't publish an entry that says so.
    /// If many targets of a zone are down, a partition between them and this VM is more likely, and
    /// they are not expected to be cold. Targets of sharded services own no keys before their new
    /// entry is known.
    pub(crate) fn mark_down(&self, target: &RegisteredTarget, now: Timestamp) {
        target.mark_down(now);
        let Some(rule) = target.cold_rule.get().filter(|_| !target.sharded.get()) else { return };
        let down = self.in_zone(&target.zone).filter(|one| one.is_down(now));
        if down.count() <= MAX_CRASHED_PER_ZONE {
            target.expect_cold(now + DOWN_WINDOW + rule.duration, now);
        }
    }

    /// Counts the listed targets by active signal.
    pub(crate) fn count_signals(&self, now: Timestamp) -> SignalCounts {
        let mut counts = SignalCounts::default();
        for signals in self.by_id.values().map(|target| target.signals.get()) {
            counts.leaving += i64::from(signals.leaving_since().is_some());
            counts.paused += i64::from(signals.is_paused(now));
            counts.limited += i64::from(signals.limit().is_some());
        }
        counts
    }

    /// Number of connections opened to all listed targets.
    pub(crate) fn opened(&self) -> u64 {
        self.by_id.values().map(|target| target.pool.opened()).sum()
    }
}
