//! Requests by key and answers of targets, handed from the request path to the control duty.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bincode::{Decode, Encode};
use nickellead_range::TargetInstance;

/// Most keys counted between two looks of one service; the rest is not counted.
const KEYS_MAX: usize = 8_192;

/// Counts by service and key since the last look.
pub(crate) type KeyCounts = HashMap<String, HashMap<u16, u32>>;

/// What the request path has seen since the last look.
#[derive(Clone, Debug, Default, Encode, Decode)]
pub(crate) struct LoadCounts {
    /// Requests by service and key.
    pub(crate) keys: KeyCounts,
    /// What became of requests, by target.
    pub(crate) responses: HashMap<String, ResponseCounts>,
    /// Targets that said that they leave.
    pub(crate) leaving: BTreeSet<TargetInstance>,
    /// What targets said of limits.
    pub(crate) limits: BTreeMap<TargetInstance, LimitCounts>,
    /// The VMs that counted.
    pub(crate) vms: BTreeSet<VmId>,
}

/// A VM and its availability zone, hashed: enough to count VMs by, and to share work out among them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Encode, Decode)]
pub(crate) struct VmId {
    vm: u32,
    zone: u32,
}

impl VmId {
    /// The mark of the VM of this name and availability zone.
    pub(crate) fn new(vm: &str, zone: &str) -> Self {
        Self { vm: short_hash(vm), zone: short_hash(zone) }
    }

    /// Whether the VM is in this availability zone.
    pub(crate) fn is_in_zone(self, zone: &str) -> bool {
        self.zone == short_hash(zone)
    }

    /// Whether both VMs are in one availability zone.
    pub(crate) fn shares_zone_with(self, other: Self) -> bool {
        self.zone == other.zone
    }

    /// The VM's rank for a target among all VMs.
    pub(crate) fn rank(self, target: &str) -> u64 {
        xxhash_rust::xxh3::xxh3_64_with_seed(target.as_bytes(), u64::from(self.vm))
    }
}

fn short_hash(name: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32
}

/// What became of requests at one target since the last look.
#[derive(Clone, Copy, Debug, Default, Encode, Decode)]
pub(crate) struct ResponseCounts {
    /// Whole answers.
    pub(crate) responses: u32,
    /// Their time together, in milliseconds.
    pub(crate) total_ms: f64,
    /// The same, each as a part of its request's latency target.
    pub(crate) latency_target_ratios: f64,
    /// Tries that were sent and met a refusal, a broken connection or no answer in time.
    pub(crate) lost: u32,
    /// Longest pause that it asked for, in milliseconds; 0 for none.
    pub(crate) max_pause_ms: u32,
}

/// What one life of a target said of its limit since the last look.
#[derive(Clone, Copy, Debug, Default, Encode, Decode)]
pub(crate) struct LimitCounts {
    /// Least limit that it named, in requests a second from all VMs together.
    pub(crate) min_limit: Option<f64>,
    /// Answers that named none, counted by VMs that know of one.
    pub(crate) unlimited: u32,
}

impl LimitCounts {
    fn add(&mut self, other: Self) {
        self.min_limit = match (self.min_limit, other.min_limit) {
            (Some(one), Some(other)) => Some(one.min(other)),
            (one, other) => one.or(other),
        };
        self.unlimited = self.unlimited.saturating_add(other.unlimited);
    }
}

impl ResponseCounts {
    fn add(&mut self, other: Self) {
        self.responses = self.responses.saturating_add(other.responses);
        self.total_ms += other.total_ms;
        self.latency_target_ratios += other.latency_target_ratios;
        self.lost = self.lost.saturating_add(other.lost);
        self.max_pause_ms = self.max_pause_ms.max(other.max_pause_ms);
    }
}

/// Counters that both duties share.
///
/// The lock is held for one insertion or one swap, so neither duty waits for the other's work.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadCounter(Arc<Mutex<LoadCounts>>);

impl LoadCounter {
    /// The counts; they are sound after any panic, as each change is one insertion or swap.
    fn lock(&self) -> MutexGuard<'_, LoadCounts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts one request.
    pub(crate) fn record_request(&self, service: &str, key: u16) {
        let mut counts = self.lock();
        let counts = &mut counts.keys;
        if !counts.contains_key(service) {
            counts.insert(service.to_owned(), HashMap::new());
        }
        if let Some(keys) = counts.get_mut(service) {
            add_count(keys, key, 1);
        }
    }

    /// Counts a whole answer of a target to a request with this latency target.
    pub(crate) fn record_response(&self, target: &str, length: Duration, goal: Duration) {
        let goal_parts = length.as_secs_f64() / goal.as_secs_f64().max(f64::EPSILON);
        let total_ms = length.as_secs_f64() * 1_000.0;
        self.add_responses(
            target,
            ResponseCounts {
                responses: 1,
                total_ms,
                latency_target_ratios: goal_parts,
                ..ResponseCounts::default()
            },
        );
    }

    /// Counts a request that a target left without a usable answer.
    pub(crate) fn record_lost(&self, target: &str) {
        self.add_responses(target, ResponseCounts { lost: 1, ..ResponseCounts::default() });
    }

    /// Counts a pause that a target asked for.
    pub(crate) fn record_pause(&self, target: &str, pause: Duration) {
        let pause_ms = u32::try_from(pause.as_millis()).unwrap_or(u32::MAX);
        self.add_responses(
            target,
            ResponseCounts { max_pause_ms: pause_ms, ..ResponseCounts::default() },
        );
    }

    /// Counts an answer that names a limit, or that names none any more.
    pub(crate) fn record_limit(&self, target: TargetInstance, limit: Option<f64>) {
        let counts = LimitCounts { min_limit: limit, unlimited: u32::from(limit.is_none()) };
        self.lock().limits.entry(target).or_default().add(counts);
    }

    fn add_responses(&self, target: &str, new: ResponseCounts) {
        let mut counts = self.lock();
        match counts.responses.get_mut(target) {
            Some(known) => known.add(new),
            None => {
                counts.responses.insert(target.to_owned(), new);
            }
        }
    }

    /// Notes a target that said that it leaves.
    pub(crate) fn record_leaving(&self, target: TargetInstance) {
        self.lock().leaving.insert(target);
    }

    /// Takes the targets that said so since the last look.
    pub(crate) fn take_leaving(&self) -> BTreeSet<TargetInstance> {
        std::mem::take(&mut self.lock().leaving)
    }

    /// Adds what another VM has seen.
    pub(crate) fn merge(&self, other: LoadCounts) {
        let mut counts = self.lock();
        for (service, keys) in other.keys {
            let known = counts.keys.entry(service).or_default();
            keys.into_iter().for_each(|(key, count)| add_count(known, key, count));
        }
        counts.vms.extend(other.vms);
        counts.leaving.extend(other.leaving);
        for (target, new) in other.limits {
            counts.limits.entry(target).or_default().add(new);
        }
        for (target, new) in other.responses {
            counts.responses.entry(target).or_default().add(new);
        }
    }

    /// Takes the counts and starts anew.
    pub(crate) fn take(&self) -> LoadCounts {
        std::mem::take(&mut *self.lock())
    }
}

/// Adds to a key's count, unless too many other keys are counted already.
fn add_count(keys: &mut HashMap<u16, u32>, key: u16, count: u32) {
    if keys.len() < KEYS_MAX || keys.contains_key(&key) {
        *keys.entry(key).or_default() += count;
    }
}
