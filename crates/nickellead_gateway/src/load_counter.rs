//! Load statistics that the request thread collects for the control loop.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bincode::{Decode, Encode};
use nickellead_range::TargetInstance;

/// Most keys of one service that are counted between two reads; further keys are ignored.
const MAX_KEYS: usize = 8_192;

/// Number of requests by service and key since the last read.
pub(crate) type KeyCounts = HashMap<String, HashMap<u16, u32>>;

/// Statistics of the request path since the last read.
#[derive(Clone, Debug, Default, Encode, Decode)]
pub(crate) struct LoadCounts {
    /// Requests by service and key.
    pub(crate) keys: KeyCounts,
    /// Responses and losses by target.
    pub(crate) responses: HashMap<String, ResponseCounts>,
    /// Targets that signalled that they are leaving.
    pub(crate) leaving: BTreeSet<TargetInstance>,
    /// Limits that targets reported.
    pub(crate) limits: BTreeMap<TargetInstance, LimitCounts>,
    /// The VMs that contributed to these counts, with the address where each takes dispatch messages;
    /// `None` for VMs without one.
    pub(crate) vms: BTreeMap<VmId, Option<SocketAddr>>,
}

/// Hashes of a VM's name and of its availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Encode, Decode)]
pub(crate) struct VmId {
    vm: u32,
    zone: u32,
}

impl VmId {
    /// The identifier of the VM with this name in this availability zone.
    pub(crate) fn new(vm: &str, zone: &str) -> Self {
        Self { vm: short_hash(vm), zone: short_hash(zone) }
    }

    /// Both hashes in one number.
    pub(crate) const fn key(self) -> u64 {
        (self.zone as u64) << 32 | self.vm as u64
    }

    pub(crate) fn is_in_zone(self, zone: &str) -> bool {
        self.zone == short_hash(zone)
    }

    pub(crate) fn shares_zone_with(self, other: Self) -> bool {
        self.zone == other.zone
    }

    /// The VM's rank for a target, for rendezvous hashing.
    pub(crate) fn rank(self, target: &str) -> u64 {
        self.rank_bytes(target.as_bytes())
    }

    /// The VM's rank for a number that stands for what is assigned, for rendezvous hashing.
    pub(crate) fn rank_seed(self, seed: u64) -> u64 {
        self.rank_bytes(&seed.to_le_bytes())
    }

    fn rank_bytes(self, name: &[u8]) -> u64 {
        xxhash_rust::xxh3::xxh3_64_with_seed(name, u64::from(self.vm))
    }
}

/// What a VM reports about itself with its load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VmReport {
    pub(crate) vm: VmId,
    /// Where it takes dispatch messages of other VMs.
    pub(crate) dispatch_address: Option<SocketAddr>,
}

fn short_hash(name: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32
}

/// Outcomes of requests at one target since the last read.
#[derive(Clone, Copy, Debug, Default, Encode, Decode)]
pub(crate) struct ResponseCounts {
    /// Complete responses.
    pub(crate) responses: u32,
    /// Sum of their latencies, in milliseconds.
    pub(crate) total_ms: f64,
    /// Sum of their latencies, each divided by the latency target of its request.
    pub(crate) latency_target_ratios: f64,
    /// Attempts that were refused, lost their connection or timed out after the request was sent.
    pub(crate) lost: u32,
    /// Longest pause that the target requested, in milliseconds; 0 for none.
    pub(crate) max_pause_ms: u32,
}

/// Limits that one instance of a target reported since the last read.
#[derive(Clone, Copy, Debug, Default, Encode, Decode)]
pub(crate) struct LimitCounts {
    /// Lowest reported limit, in requests a second from all VMs together.
    pub(crate) min_limit: Option<f64>,
    /// Responses without a limit, counted only by VMs that know one.
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

/// Statistics shared by the request thread and the control loop.
///
/// The lock is only held for one insertion or swap.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadCounter(Arc<Mutex<LoadCounts>>);

impl LoadCounter {
    /// Locks the counts; a poisoned lock is ignored, because each change is a single insertion or
    /// swap.
    fn lock(&self) -> MutexGuard<'_, LoadCounts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts one request for a key.
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

    /// Counts a complete response to a request with this latency target.
    pub(crate) fn record_response(
        &self,
        target: &str,
        latency: Duration,
        latency_target: Duration,
    ) {
        let latency_target_ratio =
            latency.as_secs_f64() / latency_target.as_secs_f64().max(f64::EPSILON);
        let total_ms = latency.as_secs_f64() * 1_000.0;
        self.add_responses(
            target,
            ResponseCounts {
                responses: 1,
                total_ms,
                latency_target_ratios: latency_target_ratio,
                ..ResponseCounts::default()
            },
        );
    }

    /// Counts a request without a usable response.
    pub(crate) fn record_lost(&self, target: &str) {
        self.add_responses(target, ResponseCounts { lost: 1, ..ResponseCounts::default() });
    }

    /// Records a pause that a target requested.
    pub(crate) fn record_pause(&self, target: &str, pause: Duration) {
        let pause_ms = u32::try_from(pause.as_millis()).unwrap_or(u32::MAX);
        self.add_responses(
            target,
            ResponseCounts { max_pause_ms: pause_ms, ..ResponseCounts::default() },
        );
    }

    /// Records the limit of a response, or that a response has none any more.
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

    /// Records a target that signalled that it is leaving.
    pub(crate) fn record_leaving(&self, target: TargetInstance) {
        self.lock().leaving.insert(target);
    }

    /// Returns and clears the targets that are leaving.
    pub(crate) fn take_leaving(&self) -> BTreeSet<TargetInstance> {
        std::mem::take(&mut self.lock().leaving)
    }

    /// Adds the counts of another VM.
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

    /// Returns and resets all counts.
    pub(crate) fn take(&self) -> LoadCounts {
        std::mem::take(&mut *self.lock())
    }
}

/// Adds to a key's count, unless [`MAX_KEYS`] other keys are counted already.
fn add_count(keys: &mut HashMap<u16, u32>, key: u16, count: u32) {
    if keys.len() < MAX_KEYS || keys.contains_key(&key) {
        *keys.entry(key).or_default() += count;
    }
}
