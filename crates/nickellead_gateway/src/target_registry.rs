//! The targets of each service as the request path uses them.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use nickellead_balance::{
    ReportedLimit, TargetOutcome, TargetScore, TargetSignals, even_subset, subset_size,
};
use nickellead_core::Timestamp;
use nickellead_limit::{AdaptiveLimit, ColdBounds, ColdLimiter, ColdQuota, RateLimiter, WaitQueue};
use nickellead_range::TargetInstance;
use nickellead_time::BootClock;

use crate::admission::AdmissionTable;
use crate::connections::SharedPool;
use crate::evacuation::ZoneStates;
use crate::fleet::FleetTable;
use crate::load_counter::VmId;
use crate::targets::instance_of;
use crate::{ColdRule, ColdSettings, ServiceRule, TargetEntry, TargetList, TargetState};

/// What an unknown target is taken to need for an answer, until it has shown it.
const USUAL_LATENCY: Duration = Duration::from_millis(80);

/// Requests that may be under way at a target of which nothing is known: all VMs begin at the same
/// time, and ten times this many fill a target's slots and queue.
const LIMIT_START: u32 = 2;

/// This VM never has more requests under way at a target than this many times its slots.
const LIMIT_FACTOR: u32 = 4;

/// Members of a service in this VM's own zone that it sends requests to.
///
/// A VM that spread its requests over hundreds of targets would use no connection twice before the
/// target closes it.
const NEAR_MEMBERS: usize = 8;
/// The same for members of other zones, for when the near ones are full.
const FAR_MEMBERS: usize = 4;
/// The least members of either kind, however many VMs there are.
const MEMBERS_LEAST: usize = 2;

/// How long a target that refused this VM a connection is left out while others are there: nobody listens
/// at its address, and its entry goes after three heartbeats, some three seconds.
const DOWN_TIME: Duration = Duration::from_millis(2_500);

/// Most lives that are not listed and told something of themselves; beyond it all are forgotten.
///
/// A fleet of a thousand targets that is replaced once an hour leaves as many in four hours.
const UNLISTED_MOST: usize = 4_096;

/// Targets of one zone that may have fallen at the same moment; more are rather cut off.
const FALLEN_MOST: usize = 3;

/// Kept by all who ask one life of a target, and beyond the time that it is listed.
pub(crate) type SharedSignals = Rc<Cell<TargetSignals>>;

/// One target with what this VM has learned of it.
pub(crate) struct RegisteredTarget {
    pub(crate) id: String,
    pub(crate) born: Option<u64>,
    pub(crate) address: SocketAddr,
    pub(crate) zone: String,
    pub(crate) slots: u32,
    pub(crate) state: Cell<TargetState>,
    /// What its entry last said of how much longer it is cold.
    listed_cold: Cell<Duration>,
    /// What its targets bear while they are cold.
    cold_rule: Cell<Option<ColdRule>>,
    pub(crate) cold_limiter: ColdLimiter,
    /// Whether it owns keys.
    sharded: Cell<bool>,
    /// Until when it is left out because it refused a connection.
    down_until: Cell<Timestamp>,
    /// What it told this VM of itself.
    pub(crate) signals: SharedSignals,
    /// What the mandate's holder told of its limit.
    reported_limit: Cell<ReportedLimit>,
    /// This VM's part of its limit.
    rate_limiter: RateLimiter,
    /// VMs that share its limit, this one included; 0 while they are not known.
    sharing_vms: Cell<usize>,
    pub(crate) score: RefCell<TargetScore>,
    pub(crate) concurrency_limit: Cell<AdaptiveLimit>,
    /// Requests that wait for this very target.
    pub(crate) wait_queue: WaitQueue,
    pub(crate) pool: SharedPool,
}

/// Members by what they told this VM of themselves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct SignalCounts {
    /// They leave.
    pub(crate) leaving: i64,
    /// They want nothing now.
    pub(crate) paused: i64,
    /// They name a limit.
    pub(crate) limited: i64,
}

/// Requests under way at a member, counted also when their future is dropped.
///
/// Its end wakes a request that waits for the target, and one that waits for any of the service.
pub(crate) struct InFlightGuard(Rc<RegisteredTarget>, Rc<WaitQueue>);

impl RegisteredTarget {
    /// Whether one more request may be sent now.
    pub(crate) fn has_capacity(&self) -> bool {
        self.concurrency_limit.get().has_capacity(self.score.borrow().in_flight)
    }

    /// Whether a request may be sent now, by what the target bears and told of itself; `stay` as in
    /// [`TargetSignals::may_send`].
    pub(crate) fn may_send(&self, stay: Duration, now: Timestamp) -> bool {
        self.signals.get().may_send(stay, now)
            && self.cold_limiter.may_send(now)
            && self.rate_allows(now)
    }

    /// Whether its limit has room for one more request of this VM.
    pub(crate) fn rate_allows(&self, now: Timestamp) -> bool {
        let limit = self.signals.get().effective_limit(self.reported_limit.get(), now);
        self.rate_limiter.set_limit(limit, self.sharing_vms.get(), now);
        self.rate_limiter.may_send(now)
    }

    /// Whether this VM or the mandate's holder was told a limit of it that may still count.
    pub(crate) fn may_be_limited(&self) -> bool {
        let told = matches!(self.reported_limit.get(), ReportedLimit::Limited(_));
        told || self.signals.get().limit().is_some()
    }

    /// Counts a request that is sent now, if it may be: asked when its connection is there, as others may
    /// have been sent meanwhile, and the target may have told something.
    pub(crate) fn try_take_token(&self, stay: Duration, now: Timestamp) -> bool {
        let may_send = self.may_send(stay, now);
        if may_send {
            self.cold_limiter.record_sent(now);
            self.rate_limiter.record_sent(now);
        }
        may_send
    }

    /// Gives back what a request took that was not sent after all.
    pub(crate) fn return_token(&self, now: Timestamp) {
        self.cold_limiter.refund(now);
        self.rate_limiter.refund(now);
    }

    /// Whether it said that it leaves.
    pub(crate) fn is_leaving(&self) -> bool {
        self.signals.get().leaving_since().is_some()
    }

    /// This life of it.
    pub(crate) fn instance(&self) -> TargetInstance {
        instance_of(&self.id, self.born, self.address)
    }

    /// Whether it refused this VM a connection a moment ago.
    pub(crate) fn is_down(&self, now: Timestamp) -> bool {
        now < self.down_until.get()
    }

    /// Learns that nobody listens at its address.
    fn mark_down(&self, now: Timestamp) {
        self.down_until.set(now + DOWN_TIME);
    }

    /// Reckons with it being cold until then.
    fn expect_cold(&self, until: Timestamp, now: Timestamp) {
        if self.cold_limiter.cold_until() < until {
            self.cold_limiter.set_cold_until(until, now);
        }
    }

    /// Takes over its entry as it is listed now.
    fn update_from_entry(&self, entry: &TargetEntry, now: Timestamp) {
        self.state.set(entry.state);
        // An old entry's time does not begin again with each list.
        if self.listed_cold.replace(entry.cold_left) != entry.cold_left {
            self.cold_limiter.set_cold_until(now + entry.cold_left, now);
            self.down_until.set(Timestamp::ZERO);
        }
    }

    /// Learns how a try ended.
    pub(crate) fn record_outcome(&self, outcome: TargetOutcome, now: Timestamp) {
        self.score.borrow_mut().record(outcome, now);
    }

    /// Learns that the target took no more: it refused a request or broke a connection.
    pub(crate) fn record_refusal(&self) {
        let mut limit = self.concurrency_limit.get();
        limit.record_refusal();
        self.concurrency_limit.set(limit);
    }

    /// Learns that the target answered after `length` while this many requests were under way.
    pub(crate) fn record_latency(
        &self,
        running: u32,
        length: Duration,
        goal: Duration,
        now: Timestamp,
    ) {
        let unhurried = Duration::from_secs_f64(self.score.borrow().baseline_ms() / 1_000.0);
        let mut limit = self.concurrency_limit.get();
        limit.record_response(running, length, unhurried, goal, now);
        self.concurrency_limit.set(limit);
    }

    /// Learns that a request has been under way for a whole latency target.
    pub(crate) fn record_overdue(&self, goal: Duration, now: Timestamp) {
        let mut limit = self.concurrency_limit.get();
        limit.record_overdue(goal, now);
        self.concurrency_limit.set(limit);
    }
}

impl InFlightGuard {
    pub(crate) fn new(member: &Rc<RegisteredTarget>, service: &Rc<WaitQueue>) -> Self {
        member.score.borrow_mut().in_flight += 1;
        Self(Rc::clone(member), Rc::clone(service))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        {
            let mut score = self.0.score.borrow_mut();
            score.in_flight = score.in_flight.saturating_sub(1);
        }
        self.0.wait_queue.wake_one();
        self.1.wake_one();
    }
}

/// What decides which targets get requests, beside their entries.
pub(crate) struct RegistryRules<'a> {
    pub(crate) services: &'a BTreeMap<String, ServiceRule>,
    pub(crate) cold_settings: Option<ColdSettings>,
    pub(crate) fleet: &'a FleetTable,
    pub(crate) zones: &'a ZoneStates,
}

impl RegistryRules<'_> {
    /// What the targets of a service bear while they are cold, if that is bounded.
    fn cold_rule(&self, service: &str) -> Option<ColdRule> {
        self.cold_settings.and(self.services.get(service)?.cold)
    }

    /// Whether each key of a service has one owner.
    fn is_sharded(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|rule| rule.sharded)
    }

    /// This VM's share of what a target bears while it is cold.
    fn cold_share(&self, vm: VmId, entry: &TargetEntry) -> ColdQuota {
        let (Some(bounds), Some(rule)) = (self.cold_settings, self.cold_rule(&entry.service))
        else {
            return ColdQuota::Unlimited;
        };
        let most = rule.rate * bounds.overage + bounds.slack;
        let bound = ColdBounds { rate: rule.rate, max_in_one_second: most };
        if self.is_sharded(&entry.service) {
            return ColdQuota::equal_share(bound, self.fleet.vms.len());
        }
        match self.fleet.sends_to_cold(vm, &entry.id, &entry.zone) {
            true => ColdQuota::for_sender(bound),
            false => ColdQuota::Zero,
        }
    }
}

/// All members by service and by identity.
#[derive(Default)]
pub(crate) struct TargetRegistry {
    vm: String,
    zone: String,
    by_id: HashMap<String, Rc<RegisteredTarget>>,
    by_service: HashMap<String, Vec<Rc<RegisteredTarget>>>,
    /// What lives told of themselves that are not listed now: they may be listed once more.
    unlisted_signals: HashMap<TargetInstance, SharedSignals>,
    /// This VM's part of each service.
    subsets: HashMap<String, Vec<Rc<RegisteredTarget>>>,
    /// Services of which this VM's part is smaller than it would be on a small fleet.
    partitioned: HashSet<String>,
}

impl TargetRegistry {
    /// A roster without members.
    pub(crate) fn new(vm: String, zone: String) -> Self {
        Self { vm, zone, ..Self::default() }
    }

    /// The roster of a new list; members that stay keep what was learned.
    pub(crate) fn rebuild(&self, list: &TargetList, rules: &RegistryRules<'_>) -> Self {
        let now = BootClock.now();
        let mark = VmId::new(&self.vm, &self.zone);
        let sharers = rules.fleet.count_including(mark);
        let mut roster = Self::new(self.vm.clone(), self.zone.clone());
        for entry in list.values() {
            let member = self.target_for_entry(entry, now);
            member.cold_rule.set(rules.cold_rule(&entry.service));
            member.sharded.set(rules.is_sharded(&entry.service));
            member.cold_limiter.set_quota(rules.cold_share(mark, entry), now);
            member.sharing_vms.set(sharers);
            if let (Some(rule), Some(returned)) =
                (member.cold_rule.get(), rules.zones.returned_at(&entry.zone))
            {
                member.expect_cold(returned + rule.duration, now);
            }
            roster.by_id.insert(entry.id.clone(), Rc::clone(&member));
            if rules.zones.is_evacuated(&entry.zone) {
                member.pool.clear();
            } else if entry.state == TargetState::Ready {
                roster.by_service.entry(entry.service.clone()).or_default().push(member);
            }
        }
        for (service, members) in &roster.by_service {
            let subset = choose_subset(mark, &roster.zone, members, rules.fleet, now);
            let near = members.iter().filter(|member| member.zone == roster.zone).count();
            let usual = near.min(NEAR_MEMBERS) + (members.len() - near).min(FAR_MEMBERS);
            if subset.len() < usual {
                roster.partitioned.insert(service.clone());
            }
            roster.subsets.insert(service.clone(), subset);
        }
        roster.unlisted_signals = self.unlisted_signals.clone();
        for (id, member) in &self.by_id {
            if !roster.by_id.get(id).is_some_and(|kept| Rc::ptr_eq(kept, member)) {
                member.pool.clear();
                roster.unlisted_signals.insert(member.instance(), Rc::clone(&member.signals));
            }
        }
        roster.unlisted_signals.retain(|_, signs| signs.get().has_active_signal(now));
        if roster.unlisted_signals.len() > UNLISTED_MOST {
            roster.unlisted_signals.clear();
        }
        roster
    }

    /// The member of an entry; another life of a target is another member.
    fn target_for_entry(&self, entry: &TargetEntry, now: Timestamp) -> Rc<RegisteredTarget> {
        let rank = VmId::new(&self.vm, &self.zone).rank(&entry.id);
        let known = self.by_id.get(&entry.id);
        match known.filter(|one| one.address == entry.address && one.born == entry.born) {
            Some(member) => {
                member.update_from_entry(entry, now);
                Rc::clone(member)
            }
            None => {
                let signs = self.unlisted_signals.get(&entry.instance()).cloned();
                Rc::new(new_member(entry, signs.unwrap_or_default(), rank, now))
            }
        }
    }

    /// When the next target that is bounded while it is cold gets warm.
    pub(crate) fn next_warm(&self, now: Timestamp) -> Option<Timestamp> {
        let cold = self.by_id.values().filter(|member| member.cold_rule.get().is_some());
        cold.map(|member| member.cold_limiter.cold_until()).filter(|until| *until > now).min()
    }

    /// Whether no target at all is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// The members of a service that take requests.
    pub(crate) fn available(&self, service: &str) -> &[Rc<RegisteredTarget>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// This VM's part of a service's members.
    pub(crate) fn subset(&self, service: &str) -> &[Rc<RegisteredTarget>] {
        self.subsets.get(service).map_or(&[], Vec::as_slice)
    }

    /// Whether VMs are so many for a service that its targets are shared out among them: then a VM whose
    /// part is full does not go to the others' targets, which would be full as well.
    pub(crate) fn is_partitioned(&self, service: &str) -> bool {
        self.partitioned.contains(service)
    }

    /// Takes over what the mandate's holder tells of limits.
    pub(crate) fn set_reported_limits(&self, table: &AdmissionTable) {
        for (id, member) in &self.by_id {
            member.reported_limit.set(table.reported_limit(id, member.born));
        }
    }

    /// The member that is this holder of keys, if it takes requests.
    pub(crate) fn find_instance(&self, holder: &TargetInstance) -> Option<&Rc<RegisteredTarget>> {
        let member = self.by_id.get(&holder.id)?;
        let same = member.born == holder.born;
        (same && member.state.get() == TargetState::Ready).then_some(member)
    }

    /// Learns that nobody listens at a member's address: if it has fallen, it is cold once it is back.
    ///
    /// Its entry tells so, but not while it is cut off from the store. Several in one zone at once are
    /// rather cut off from this VM, and then to reckon with cold ones would leave the zone unused after
    /// the cut. An owner of keys that starts again holds none until its entry is known.
    pub(crate) fn mark_down(&self, member: &RegisteredTarget, now: Timestamp) {
        member.mark_down(now);
        let Some(rule) = member.cold_rule.get().filter(|_| !member.sharded.get()) else { return };
        let in_zone = self.by_id.values().filter(|one| one.zone == member.zone);
        if in_zone.filter(|one| one.is_down(now)).count() <= FALLEN_MOST {
            member.expect_cold(now + DOWN_TIME + rule.duration, now);
        }
    }

    /// How many members told what still counts.
    pub(crate) fn count_signals(&self, now: Timestamp) -> SignalCounts {
        let mut counts = SignalCounts::default();
        for signs in self.by_id.values().map(|member| member.signals.get()) {
            counts.leaving += i64::from(signs.leaving_since().is_some());
            counts.paused += i64::from(signs.is_paused(now));
            counts.limited += i64::from(signs.limit().is_some());
        }
        counts
    }

    /// Connections opened to all members.
    pub(crate) fn opened(&self) -> u64 {
        self.by_id.values().map(|member| member.pool.opened()).sum()
    }
}

/// This VM's part of a service: near and far members, and the cold ones that it helps to warm.
fn choose_subset(
    vm: VmId,
    zone: &str,
    members: &[Rc<RegisteredTarget>],
    fleet: &FleetTable,
    now: Timestamp,
) -> Vec<Rc<RegisteredTarget>> {
    let is_bounded = |member: &&Rc<RegisteredTarget>| member.cold_limiter.is_limited(now);
    let (cold, warm): (Vec<_>, Vec<_>) = members.iter().partition(is_bounded);
    let warmed = cold.into_iter().filter(|member| member.cold_limiter.has_quota());
    let (near, far): (Vec<_>, Vec<_>) = warm.into_iter().partition(|member| member.zone == zone);
    let near_part = match fleet.index_in_zone(vm) {
        Some((place, vms)) => even_members(near, place, vms, NEAR_MEMBERS),
        None => ranked_members(vm, near, NEAR_MEMBERS),
    };
    let far_part = match fleet.index(vm) {
        Some((place, vms)) => even_members(far, place, vms, FAR_MEMBERS),
        None => ranked_members(vm, far, FAR_MEMBERS),
    };
    near_part.into_iter().chain(far_part).chain(warmed).map(Rc::clone).collect()
}

/// An even part of the members for one of `vms` VMs.
fn even_members(
    mut members: Vec<&Rc<RegisteredTarget>>,
    place: usize,
    vms: usize,
    most: usize,
) -> Vec<&Rc<RegisteredTarget>> {
    members.sort_by_cached_key(|member| xxhash_rust::xxh3::xxh3_64(member.id.as_bytes()));
    let slots = members.iter().map(|member| member.slots).sum();
    let size = subset_size(slots, vms, members.len(), MEMBERS_LEAST, most);
    even_subset(place, vms, members.len(), size).map(|place| members[place]).collect()
}

/// The members with the highest hash of VM and target: a VM that does not know the fleet takes others than
/// most VMs do, and a member that comes or goes changes few of them.
fn ranked_members(
    vm: VmId,
    mut members: Vec<&Rc<RegisteredTarget>>,
    most: usize,
) -> Vec<&Rc<RegisteredTarget>> {
    members.sort_by_cached_key(|member| vm.rank(&member.id));
    members.truncate(most);
    members
}

/// `rank` is this VM's rank for the target.
fn new_member(
    entry: &TargetEntry,
    signs: SharedSignals,
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
        signals: signs,
        reported_limit: Cell::default(),
        rate_limiter: RateLimiter::new(rank),
        sharing_vms: Cell::new(0),
        score: RefCell::new(TargetScore::new(USUAL_LATENCY)),
        concurrency_limit: Cell::new(AdaptiveLimit::new(LIMIT_START, entry.slots * LIMIT_FACTOR)),
        wait_queue: WaitQueue::default(),
        pool: SharedPool::default(),
    }
}
