//! The registry of targets that the request path selects from.
//!
//! It is rebuilt for each new target list; statistics of targets that stay are kept.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use nickellead_balance::{
    ReportedLimit, TargetOutcome, TargetScore, TargetSignals, even_subset, subset_size,
};
use nickellead_core::Timestamp;
use nickellead_limit::{
    AdaptiveLimit, ColdBounds, ColdLimiter, ColdQuota, InFlightBytes, RateLimiter, WaitQueue,
};
use nickellead_range::TargetInstance;
use nickellead_time::BootClock;

use crate::admission::AdmissionTable;
use crate::connections::SharedPool;
use crate::evacuation::ZoneStates;
use crate::fleet::FleetTable;
use crate::load_counter::VmId;
use crate::targets::instance_of;
use crate::{ColdRule, ColdSettings, ServiceRule, TargetEntry, TargetList, TargetState};

/// Latency that is assumed for a target until responses have been measured.
const DEFAULT_LATENCY: Duration = Duration::from_millis(80);

/// Initial concurrency limit of a target: low, because all VMs may discover a new target at once.
const INITIAL_CONCURRENCY_LIMIT: u32 = 2;

/// Upper bound of the concurrency limit, as a multiple of the target's slots.
const MAX_REQUESTS_PER_SLOT: u32 = 4;

/// Most targets of a service in this VM's own zone that are in its subset.
///
/// Requests that are spread over too many targets can't reuse idle connections before they time
/// out.
const MAX_NEAR_TARGETS: usize = 8;
/// Most targets of other zones in the subset, which serve when the near ones are at capacity.
const MAX_FAR_TARGETS: usize = 4;
/// Fewest targets of either kind in a subset, however many VMs share the service.
const MIN_TARGETS: usize = 2;

/// How long a target is avoided after it refused a connection, if other targets are available.
///
/// The entry of a crashed target expires after about the same time.
const DOWN_WINDOW: Duration = Duration::from_millis(2_500);

/// Most bytes of requests that this VM has in flight to one target.
///
/// What memory a target has is unknown; it holds the requests of several VMs.
const MAX_REQUEST_BYTES: usize = 8 * 1024 * 1024;

/// Most instances without an entry whose signals are kept; beyond it all of these are dropped.
const MAX_UNLISTED: usize = 4_096;

/// Most targets of one zone that count as crashed at the same time; more suggest a network
/// partition, after which the zone would stay unused if its targets were expected to be cold.
const MAX_CRASHED_PER_ZONE: usize = 3;

/// Signals of one target instance, shared by its requests and kept for a while after it is
/// unlisted.
pub(crate) type SharedSignals = Rc<Cell<TargetSignals>>;

/// One instance of a target, with the state and statistics that this VM keeps about it.
pub(crate) struct RegisteredTarget {
    pub(crate) id: String,
    pub(crate) born: Option<u64>,
    pub(crate) address: SocketAddr,
    pub(crate) zone: String,
    pub(crate) slots: u32,
    pub(crate) state: Cell<TargetState>,
    /// Remaining cold time that its entry last stated.
    listed_cold: Cell<Duration>,
    /// The service's limit for cold targets; `None` if there is none.
    cold_rule: Cell<Option<ColdRule>>,
    pub(crate) cold_limiter: ColdLimiter,
    /// Whether its service is sharded, so that it may own keys.
    sharded: Cell<bool>,
    /// Until when it is avoided because it refused a connection.
    down_until: Cell<Timestamp>,
    /// Signals that this VM received from it.
    pub(crate) signals: SharedSignals,
    /// Its rate limit as announced by the mandate holder.
    reported_limit: Cell<ReportedLimit>,
    /// Enforces this VM's share of its rate limit.
    rate_limiter: RateLimiter,
    /// Number of VMs that share its rate limit, including this one; 0 while unknown.
    sharing_vms: Cell<usize>,
    pub(crate) score: RefCell<TargetScore>,
    pub(crate) concurrency_limit: Cell<AdaptiveLimit>,
    pub(crate) request_bytes: InFlightBytes,
    /// Requests that can only be served by this target.
    pub(crate) wait_queue: WaitQueue,
    pub(crate) pool: SharedPool,
}

/// Number of listed targets by active signal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct SignalCounts {
    pub(crate) leaving: i64,
    pub(crate) paused: i64,
    pub(crate) limited: i64,
}

/// Counts a request as in flight at a target until it is dropped.
///
/// The drop wakes one request that waits for the target and one that waits for any target of its
/// service.
pub(crate) struct InFlightGuard {
    target: Rc<RegisteredTarget>,
    service_queue: Rc<WaitQueue>,
    /// Size of the request's body.
    bytes: usize,
}

impl RegisteredTarget {
    /// Whether the concurrency limit allows one more request.
    pub(crate) fn has_capacity(&self) -> bool {
        self.concurrency_limit.get().has_capacity(self.score.borrow().in_flight)
    }

    /// Whether the target's signals, cold limit and rate limit allow a request now;
    /// `leaving_window` as in [`TargetSignals::may_send`].
    pub(crate) fn may_send(&self, leaving_window: Duration, now: Timestamp) -> bool {
        self.signals.get().may_send(leaving_window, now)
            && self.cold_limiter.may_send(now)
            && self.rate_allows(now)
    }

    /// Whether a dispatcher may decide about requests to it: no bound on what all VMs together send to
    /// it is in force.
    pub(crate) fn may_dispatch(&self, leaving_window: Duration, now: Timestamp) -> bool {
        self.is_ready()
            && !self.is_leaving()
            && !self.is_down(now)
            && !self.cold_limiter.is_limited(now)
            && !self.may_be_limited()
            && self.may_send(leaving_window, now)
    }

    /// Whether this VM's share of the rate limit allows one more request.
    pub(crate) fn rate_allows(&self, now: Timestamp) -> bool {
        let limit = self.signals.get().effective_limit(self.reported_limit.get(), now);
        self.rate_limiter.set_limit(limit, self.sharing_vms.get(), now);
        self.rate_limiter.may_send(now)
    }

    /// Whether this VM or the mandate holder knows a rate limit of it that may still be active.
    pub(crate) fn may_be_limited(&self) -> bool {
        let is_announced = matches!(self.reported_limit.get(), ReportedLimit::Limited(_));
        is_announced || self.signals.get().limit().is_some()
    }

    /// Takes a token of the cold limit and the rate limit if a request may be sent now.
    ///
    /// Called once the connection is established, because the limits may have changed meanwhile.
    pub(crate) fn try_take_token(&self, leaving_window: Duration, now: Timestamp) -> bool {
        let may_send = self.may_send(leaving_window, now);
        if may_send {
            self.cold_limiter.record_sent(now);
            self.rate_limiter.record_sent(now);
        }
        may_send
    }

    /// Returns the tokens of a request that was not sent.
    pub(crate) fn return_token(&self, now: Timestamp) {
        self.cold_limiter.refund(now);
        self.rate_limiter.refund(now);
    }

    /// Whether its entry says that it accepts requests.
    pub(crate) fn is_ready(&self) -> bool {
        self.state.get() == TargetState::Ready
    }

    /// Whether it signalled that it is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.signals.get().leaving_since().is_some()
    }

    /// The identity of this instance.
    pub(crate) fn instance(&self) -> TargetInstance {
        instance_of(&self.id, self.born, self.address)
    }

    /// Whether it refused a connection of this VM within the last [`DOWN_WINDOW`].
    pub(crate) fn is_down(&self, now: Timestamp) -> bool {
        now < self.down_until.get()
    }

    /// Avoids it for [`DOWN_WINDOW`].
    pub(crate) fn mark_down(&self, now: Timestamp) {
        self.down_until.set(now + DOWN_WINDOW);
    }

    /// Extends the time that it counts as cold.
    fn expect_cold(&self, until: Timestamp, now: Timestamp) {
        if self.cold_limiter.cold_until() < until {
            self.cold_limiter.set_cold_until(until, now);
        }
    }

    /// Applies its entry of the current list.
    fn update_from_entry(&self, entry: &TargetEntry, now: Timestamp) {
        self.state.set(entry.state);
        // An unchanged entry must not restart the cold time with each list.
        if self.listed_cold.replace(entry.cold_left) != entry.cold_left {
            self.cold_limiter.set_cold_until(now + entry.cold_left, now);
            self.down_until.set(Timestamp::ZERO);
        }
    }

    /// Updates its score with the outcome of an attempt.
    pub(crate) fn record_outcome(&self, outcome: TargetOutcome, now: Timestamp) {
        self.score.borrow_mut().record(outcome, now);
    }

    /// Lowers the concurrency limit after it refused a request or broke a connection.
    pub(crate) fn record_refusal(&self) {
        let mut limit = self.concurrency_limit.get();
        limit.record_refusal();
        self.concurrency_limit.set(limit);
    }

    /// Adjusts the concurrency limit to a response's latency with `running` requests in flight.
    pub(crate) fn record_latency(
        &self,
        running: u32,
        latency: Duration,
        latency_target: Duration,
        now: Timestamp,
    ) {
        let baseline = Duration::from_secs_f64(self.score.borrow().baseline_ms() / 1_000.0);
        let mut limit = self.concurrency_limit.get();
        limit.record_response(running, latency, baseline, latency_target, now);
        self.concurrency_limit.set(limit);
    }

    /// Adjusts the concurrency limit to a request that exceeded its latency target.
    pub(crate) fn record_overdue(&self, latency_target: Duration, now: Timestamp) {
        let mut limit = self.concurrency_limit.get();
        limit.record_overdue(latency_target, now);
        self.concurrency_limit.set(limit);
    }
}

impl InFlightGuard {
    pub(crate) fn new(
        target: &Rc<RegisteredTarget>,
        service: &Rc<WaitQueue>,
        bytes: usize,
    ) -> Self {
        target.score.borrow_mut().in_flight += 1;
        target.request_bytes.add(bytes);
        Self { target: Rc::clone(target), service_queue: Rc::clone(service), bytes }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        {
            let mut score = self.target.score.borrow_mut();
            score.in_flight = score.in_flight.saturating_sub(1);
        }
        self.target.request_bytes.remove(self.bytes);
        self.target.wait_queue.wake_one();
        self.service_queue.wake_one();
    }
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
            let near = targets.iter().filter(|target| target.zone == registry.zone).count();
            let usual = near.min(MAX_NEAR_TARGETS) + (targets.len() - near).min(MAX_FAR_TARGETS);
            if subset.len() < usual {
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
                Rc::new(new_target(entry, signals.unwrap_or_default(), rank, now))
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

/// This VM's subset of a service: near and far targets, and the cold ones that it sends requests
/// to.
fn choose_subset(
    vm: VmId,
    zone: &str,
    targets: &[Rc<RegisteredTarget>],
    fleet: &FleetTable,
    now: Timestamp,
) -> Vec<Rc<RegisteredTarget>> {
    let is_bounded = |target: &&Rc<RegisteredTarget>| target.cold_limiter.is_limited(now);
    let (cold, warm): (Vec<_>, Vec<_>) = targets.iter().partition(is_bounded);
    let warmed = cold.into_iter().filter(|target| target.cold_limiter.has_quota());
    let (near, far): (Vec<_>, Vec<_>) = warm.into_iter().partition(|target| target.zone == zone);
    let near_subset = match fleet.index_in_zone(vm) {
        Some((index, vms)) => even_targets(near, index, vms, MAX_NEAR_TARGETS),
        None => ranked_targets(vm, near, MAX_NEAR_TARGETS),
    };
    let far_subset = match fleet.index(vm) {
        Some((index, vms)) => even_targets(far, index, vms, MAX_FAR_TARGETS),
        None => ranked_targets(vm, far, MAX_FAR_TARGETS),
    };
    near_subset.into_iter().chain(far_subset).chain(warmed).map(Rc::clone).collect()
}

/// An even subset of the targets for the VM with this index among `vms` VMs.
fn even_targets(
    mut targets: Vec<&Rc<RegisteredTarget>>,
    index: usize,
    vms: usize,
    max: usize,
) -> Vec<&Rc<RegisteredTarget>> {
    targets.sort_by_cached_key(|target| xxhash_rust::xxh3::xxh3_64(target.id.as_bytes()));
    let slots = targets.iter().map(|target| target.slots).sum();
    let size = subset_size(slots, vms, targets.len(), MIN_TARGETS, max);
    even_subset(index, vms, targets.len(), size).map(|index| targets[index]).collect()
}

/// The targets that rendezvous hashing assigns to a VM that does not know the fleet.
fn ranked_targets(
    vm: VmId,
    mut targets: Vec<&Rc<RegisteredTarget>>,
    max: usize,
) -> Vec<&Rc<RegisteredTarget>> {
    targets.sort_by_cached_key(|target| vm.rank(&target.id));
    targets.truncate(max);
    targets
}

/// Creates a target without statistics; `rank` is this VM's rank for it.
fn new_target(
    entry: &TargetEntry,
    signals: SharedSignals,
    rank: u64,
    now: Timestamp,
) -> RegisteredTarget {
    let phase = rank as f64 / u64::MAX as f64;
    RegisteredTarget {
        id: entry.id.clone(),
        born: entry.born,
        address: entry.address,
        zone: entry.zone.clone(),
        slots: entry.slots,
        state: Cell::new(entry.state),
        sharded: Cell::new(false),
        listed_cold: Cell::new(entry.cold_left),
        cold_rule: Cell::new(None),
        cold_limiter: ColdLimiter::new(now + entry.cold_left, phase, now),
        down_until: Cell::new(Timestamp::ZERO),
        signals,
        reported_limit: Cell::default(),
        rate_limiter: RateLimiter::new(rank),
        sharing_vms: Cell::new(0),
        score: RefCell::new(TargetScore::new(DEFAULT_LATENCY)),
        concurrency_limit: Cell::new(AdaptiveLimit::new(
            INITIAL_CONCURRENCY_LIMIT,
            entry.slots * MAX_REQUESTS_PER_SLOT,
        )),
        request_bytes: InFlightBytes::new(MAX_REQUEST_BYTES),
        wait_queue: WaitQueue::default(),
        pool: SharedPool::default(),
    }
}
