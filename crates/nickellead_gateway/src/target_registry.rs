//! The registry of targets that the request path selects from.
//!
//! A new list of targets costs time in proportion to what changed in it, and statistics of targets that
//! stay are kept.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

use nickellead_core::Timestamp;
use nickellead_limit::{ColdBounds, ColdQuota};
use nickellead_range::TargetInstance;
use nickellead_time::BootClock;

use crate::admission::AdmissionTable;
use crate::evacuation::ZoneStates;
use crate::fleet::FleetTable;
use crate::listed_targets::{ListedChange, ListedTargets};
use crate::load_counter::VmId;
use crate::registered_target::{DOWN_WINDOW, RegisteredTarget, SharedSignals};
use crate::service_targets::{Placement, ServiceTargets};
use crate::sorted_targets::SortedTargets;
use crate::{ColdRule, ColdSettings, ServiceRule, TargetEntry, TargetState};

/// Most instances without an entry whose signals are kept; beyond it all of these are dropped.
const MAX_UNLISTED: usize = 4_096;

/// Most targets of one zone that count as crashed at the same time; more suggest a network
/// partition, after which the zone would stay unused if its targets were expected to be cold.
const MAX_CRASHED_PER_ZONE: usize = 3;

/// If more than one in this many targets changed, all of them are sorted anew, which takes less time
/// than sorting each one in.
const SORT_ALL_DIVISOR: usize = 16;

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

    /// Whether targets of a service may be cold.
    fn has_cold_rule(&self, service: &str) -> bool {
        self.cold_rule(service).is_some()
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

/// A service in one availability zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ServiceZone {
    pub(crate) service: String,
    pub(crate) zone: String,
}

impl ServiceZone {
    fn of(entry: &TargetEntry) -> Self {
        Self { service: entry.service.clone(), zone: entry.zone.clone() }
    }
}

/// All listed targets by service and by identity.
pub(crate) struct TargetRegistry {
    vm: VmId,
    zone: String,
    /// The list of targets that the registry reflects.
    listed: ListedTargets,
    by_id: HashMap<String, Rc<RegisteredTarget>>,
    services: HashMap<String, ServiceTargets>,
    /// Number of listed targets by availability zone.
    zone_counts: HashMap<String, usize>,
    /// Targets that are no longer listed, until they are taken.
    retired: Vec<Rc<RegisteredTarget>>,
    /// Signals of instances that are not listed now but may be listed again.
    unlisted_signals: HashMap<TargetInstance, SharedSignals>,
    /// Number of VMs that share the targets; 0 while unknown.
    sharing_vms: Rc<Cell<usize>>,
    /// Whether any service has a limit for cold targets.
    has_cold_rules: bool,
}

impl TargetRegistry {
    /// A registry without targets.
    pub(crate) fn new(vm: VmId, zone: String) -> Self {
        Self {
            vm,
            zone,
            listed: ListedTargets::default(),
            by_id: HashMap::new(),
            services: HashMap::new(),
            zone_counts: HashMap::new(),
            retired: Vec::new(),
            unlisted_signals: HashMap::new(),
            sharing_vms: Rc::default(),
            has_cold_rules: false,
        }
    }

    /// Applies a new list; instances that stay keep their statistics. Returns where targets changed.
    pub(crate) fn apply_list(
        &mut self,
        list: ListedTargets,
        rules: &RegistryRules<'_>,
    ) -> BTreeSet<ServiceZone> {
        let now = BootClock.now();
        let earlier = std::mem::replace(&mut self.listed, list.clone());
        let changes: Vec<_> = list.changes_since(&earlier).collect();
        let sorts_all = changes.len() > earlier.len() / SORT_ALL_DIVISOR;
        let mut changed = BTreeSet::new();
        for change in changes {
            let (old, new) = match change {
                ListedChange::Added(new) => (None, Some(new)),
                ListedChange::Replaced { old, new } => (Some(old), Some(new)),
                ListedChange::Removed(old) => (Some(old), None),
            };
            changed.extend(old.into_iter().chain(new).map(ServiceZone::of));
            if let Some(old) = old.filter(|_| !sorts_all) {
                self.displace(old);
            }
            self.register(old, new, now);
            if let Some(new) = new.filter(|_| !sorts_all) {
                self.place(new, rules, now);
            }
        }
        match sorts_all {
            true => self.apply_rules(rules),
            false => {
                let services: BTreeSet<&str> =
                    changed.iter().map(|place| place.service.as_str()).collect();
                services.into_iter().for_each(|service| self.update_subset(service, rules));
            }
        }
        self.forget_signals(now);
        changed
    }

    /// Applies new rules to all targets.
    pub(crate) fn apply_rules(&mut self, rules: &RegistryRules<'_>) {
        let now = BootClock.now();
        self.has_cold_rules = rules.services.keys().any(|service| rules.has_cold_rule(service));
        self.sharing_vms.set(rules.fleet.count_including(self.vm));
        self.services.clear();
        let mut sorted: HashMap<&str, Vec<(Rc<RegisteredTarget>, Placement)>> = HashMap::new();
        for entry in self.listed.entries() {
            let Some(target) = self.by_id.get(&entry.id) else { continue };
            self.apply_rules_to(target, entry, rules, now);
            let placed = (Rc::clone(target), self.placement(entry, rules));
            sorted.entry(&entry.service).or_default().push(placed);
        }
        for (service, targets) in sorted {
            self.services.insert(service.to_owned(), ServiceTargets::sort(&targets));
        }
        self.update_all_subsets(rules);
    }

    /// Applies a new fleet to all targets.
    pub(crate) fn apply_fleet(&mut self, rules: &RegistryRules<'_>) {
        if self.has_cold_rules {
            // The quotas of cold targets depend on the fleet.
            return self.apply_rules(rules);
        }
        self.sharing_vms.set(rules.fleet.count_including(self.vm));
        self.update_all_subsets(rules);
    }

    /// Selects the subsets of all services anew.
    pub(crate) fn update_all_subsets(&mut self, rules: &RegistryRules<'_>) {
        for (service, targets) in &mut self.services {
            targets.update_subset(self.vm, rules.fleet, rules.has_cold_rule(service));
        }
    }

    fn update_subset(&mut self, service: &str, rules: &RegistryRules<'_>) {
        let Some(targets) = self.services.get_mut(service) else { return };
        match targets.is_empty() {
            true => {
                self.services.remove(service);
            }
            false => targets.update_subset(self.vm, rules.fleet, rules.has_cold_rule(service)),
        }
    }

    /// Replaces the registered target of an old entry with that of a new one, which is the same if the
    /// instance stays.
    fn register(&mut self, old: Option<&TargetEntry>, new: Option<&TargetEntry>, now: Timestamp) {
        let known = old.and_then(|old| self.by_id.remove(&old.id));
        if let Some(known) = &known {
            self.count_in_zone(&known.zone, false);
        }
        let Some(entry) = new else {
            return known.into_iter().for_each(|target| self.retire(target));
        };
        let stays = known.as_ref().filter(|target| target.is_of(entry)).map(Rc::clone);
        let target = match stays {
            Some(target) => {
                target.update_from_entry(entry, now);
                target
            }
            None => {
                known.into_iter().for_each(|target| self.retire(target));
                let signals = self.unlisted_signals.get(&entry.instance()).cloned();
                let rank = self.vm.rank(&entry.id);
                let signals = signals.unwrap_or_default();
                Rc::new(RegisteredTarget::new(entry, signals, rank, &self.sharing_vms, now))
            }
        };
        self.count_in_zone(&target.zone, true);
        self.by_id.insert(entry.id.clone(), target);
    }

    /// Closes the idle connections of a target that is no longer listed, and keeps its signals.
    fn retire(&mut self, target: Rc<RegisteredTarget>) {
        target.pool.clear();
        self.unlisted_signals.insert(target.instance(), Rc::clone(&target.signals));
        self.retired.push(target);
    }

    /// Takes the targets that are no longer listed since this was last called.
    pub(crate) fn take_retired(&mut self) -> Vec<Rc<RegisteredTarget>> {
        std::mem::take(&mut self.retired)
    }

    /// Forgets signals of unlisted instances that have ended.
    fn forget_signals(&mut self, now: Timestamp) {
        self.unlisted_signals.retain(|_, signals| signals.get().has_active_signal(now));
        if self.unlisted_signals.len() > MAX_UNLISTED {
            self.unlisted_signals.clear();
        }
    }

    fn count_in_zone(&mut self, zone: &str, listed: bool) {
        let count = self.zone_counts.entry(zone.to_owned()).or_default();
        *count = if listed { *count + 1 } else { *count - 1 };
        if *count == 0 {
            self.zone_counts.remove(zone);
        }
    }

    /// Adds a registered target to its service.
    fn place(&mut self, entry: &TargetEntry, rules: &RegistryRules<'_>, now: Timestamp) {
        let Some(target) = self.by_id.get(&entry.id) else { return };
        self.apply_rules_to(target, entry, rules, now);
        let placement = self.placement(entry, rules);
        self.services.entry(entry.service.clone()).or_default().add(target, placement);
    }

    /// Removes a registered target from its service.
    fn displace(&mut self, entry: &TargetEntry) {
        let Some(target) = self.by_id.get(&entry.id) else { return };
        if let Some(service) = self.services.get_mut(&entry.service) {
            service.remove(target);
        }
    }

    /// Whether a target is available, and where.
    fn placement(&self, entry: &TargetEntry, rules: &RegistryRules<'_>) -> Placement {
        if rules.zones.is_evacuated(&entry.zone) || entry.state != TargetState::Ready {
            return Placement::Unavailable;
        }
        if entry.zone == self.zone { Placement::Near } else { Placement::Far }
    }

    fn apply_rules_to(
        &self,
        target: &RegisteredTarget,
        entry: &TargetEntry,
        rules: &RegistryRules<'_>,
        now: Timestamp,
    ) {
        target.cold_rule.set(rules.cold_rule(&entry.service));
        target.sharded.set(rules.is_sharded(&entry.service));
        target.cold_limiter.set_quota(rules.cold_quota(self.vm, entry), now);
        let returned = rules.zones.returned_at(&entry.zone);
        if let (Some(rule), Some(returned)) = (target.cold_rule.get(), returned) {
            target.expect_cold(returned + rule.duration, now);
        }
        if rules.zones.is_evacuated(&entry.zone) {
            target.pool.clear();
        }
    }

    /// All listed targets by service and availability zone.
    pub(crate) fn by_zone(&self) -> impl Iterator<Item = (&str, &str, &SortedTargets)> {
        self.services.iter().flat_map(|(service, targets)| {
            targets.by_zone().map(|(zone, targets)| (service.as_str(), zone, targets))
        })
    }

    /// The listed targets of a service in an availability zone; `None` without any.
    pub(crate) fn in_service_zone(&self, place: &ServiceZone) -> Option<&SortedTargets> {
        self.services.get(&place.service)?.in_zone(&place.zone)
    }

    /// When the next target with a cold limit becomes warm.
    pub(crate) fn next_warm(&self, now: Timestamp) -> Option<Timestamp> {
        if !self.has_cold_rules {
            return None;
        }
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
        self.zone_counts.iter().map(|(zone, count)| (zone.as_str(), *count)).collect()
    }

    /// The targets of a service that accept requests, in all zones that are not evacuated.
    pub(crate) fn available(&self, service: &str) -> &[Rc<RegisteredTarget>] {
        self.services.get(service).map_or(&[], ServiceTargets::available)
    }

    /// This VM's subset of a service's available targets.
    pub(crate) fn subset(&self, service: &str) -> &[Rc<RegisteredTarget>] {
        self.services.get(service).map_or(&[], ServiceTargets::subset)
    }

    /// Whether the fleet is so large that the service's targets are divided among the VMs.
    ///
    /// A VM whose subset is at capacity then uses no other targets, as they are at capacity as
    /// well.
    pub(crate) fn is_partitioned(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(ServiceTargets::is_partitioned)
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

#[cfg(test)]
mod tests;
