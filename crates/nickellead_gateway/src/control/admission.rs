//! What all VMs saw of each target, and what crowded owners may be sent.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use nickellead_balance::BaselineLatency;
use nickellead_core::Timestamp;
use nickellead_event::{EventName, log_event};
use nickellead_limit::{AdmissionFractions, OwnerAdmission, OwnerReport, allocate_rate};
use nickellead_range::{KeyLoad, RangeRecord};
use nickellead_time::BootClock;

use super::ControlLoop;
use super::loads::RECENT_LOAD_WINDOW_S;
use super::ranges::BALANCE_INTERVAL;
use crate::admission::{AdmissionRange, AdmissionTable};
use crate::fleet::{AnnouncementStamp, MandateTerm};
use crate::load_counter::{ResponseCounts, VmId};
use crate::{OrderPort, StorePort};

/// Weight of one answer in what is known of a target's speed, as a part of the weight that a VM gives
/// the answers that it sees itself: all VMs together see many times as many.
const RESPONSE_WEIGHT_FACTOR: f64 = 0.2;
/// An average of several answers counts as at most this many.
const MAX_SAMPLES_PER_MEAN: u32 = 8;
/// VMs a slot from which an owner's limit is told to all.
///
/// Up to here one request of each VM is a queue of two behind each slot, which VMs' own limits and turns
/// see and keep in time; limits for all showed no gain on 12 VMs and six slots. Beyond it one request of
/// each VM is too much.
const MAX_UNLIMITED_VMS_PER_SLOT: usize = 3;
/// A VM that has not reported for this long takes no requests.
const REPORTER_TTL: Duration = Duration::from_millis(2_500);
/// A target that serves nobody and asks for a pause is to own keys again after so many of them: it often
/// asks for the next one, and keys that came back would wait for one more move.
const OWNERSHIP_SUSPENSION_PAUSES: u32 = 2;
/// For so long all VMs are told that no target names a limit any more.
const LIMITS_END_ANNOUNCE_PERIOD: Duration = Duration::from_secs(5);
/// Most ranges of crowded owners that are told: each costs every VM about ten bytes a word.
const MAX_ANNOUNCED_RANGES: usize = 256;

/// What all VMs saw of one target.
#[derive(Clone, Copy)]
pub(super) struct TargetStats {
    /// Which life of the target they are of.
    born: Option<u64>,
    pub(super) baseline_latency: BaselineLatency,
    /// Latency target of its requests, in milliseconds; 0 before the first answer.
    latency_target_ms: f64,
    /// What it did since the last look.
    counts: ResponseCounts,
    admission: OwnerAdmission,
    /// Until when the pauses that it asked for count.
    paused_until: Timestamp,
}

impl Default for TargetStats {
    fn default() -> Self {
        Self {
            born: None,
            baseline_latency: BaselineLatency::with_weight_factor(RESPONSE_WEIGHT_FACTOR),
            latency_target_ms: 0.0,
            counts: ResponseCounts::default(),
            admission: OwnerAdmission::default(),
            paused_until: Timestamp::ZERO,
        }
    }
}

impl TargetStats {
    fn record(&mut self, counts: ResponseCounts, now: Timestamp) {
        self.counts = counts;
        if counts.max_pause_ms > 0 {
            let pause = Duration::from_millis(counts.max_pause_ms.into());
            self.paused_until = self.paused_until.max(now + pause * OWNERSHIP_SUSPENSION_PAUSES);
        }
        if counts.responses == 0 {
            return;
        }
        let mean = counts.total_ms / f64::from(counts.responses);
        (0..counts.responses.min(MAX_SAMPLES_PER_MEAN))
            .for_each(|_| self.baseline_latency.record(mean));
        self.latency_target_ms = counts.total_ms / counts.latency_target_ratios.max(f64::EPSILON);
    }

    /// Whether it asked for pauses and serves nobody now: one that serves others is overrun, and moves by load
    /// relieve it.
    pub(super) fn is_paused(&self, now: Timestamp) -> bool {
        now < self.paused_until && self.counts.responses == 0
    }

    /// The report of the last period, for an owner with these slots and this demand a second.
    fn report(&self, slots: u32, demand: f64) -> OwnerReport {
        let millis = self.baseline_latency.millis();
        let is_known = self.baseline_latency.samples() > 0 && millis > 0.0;
        OwnerReport {
            responses: self.counts.responses,
            latency_ratio_sum: self.counts.latency_target_ratios,
            demand,
            baseline_rate: is_known.then(|| f64::from(slots) * 1_000.0 / millis),
            baseline_latency_ratio: if is_known {
                millis / self.latency_target_ms.max(f64::EPSILON)
            } else {
                0.0
            },
        }
    }
}

impl<S: StorePort, O: OrderPort> ControlLoop<S, O> {
    /// Takes in what became of requests since the last look.
    pub(super) fn record_responses(&self, mut responses: HashMap<String, ResponseCounts>) {
        let listed = self.cluster.targets();
        let now = BootClock.now();
        let mut stats = self.target_stats.borrow_mut();
        let born = |target: &String| listed.get(target).map(|entry| entry.born);
        // What one life of a target did says nothing of the next one.
        stats.retain(|target, stats| born(target) == Some(stats.born));
        for (target, stats) in stats.iter_mut() {
            stats.record(responses.remove(target).unwrap_or_default(), now);
        }
        for (target, counts) in responses {
            if let Some(born) = born(&target) {
                let fresh = TargetStats { born, ..TargetStats::default() };
                stats.entry(target).or_insert(fresh).record(counts, now);
            }
        }
    }

    /// Takes in which VMs reported load.
    pub(super) fn record_reporters(&self, vms: BTreeSet<VmId>) {
        let now = BootClock.now();
        let mut reporters = self.reporters.borrow_mut();
        reporters.extend(vms.into_iter().map(|vm| (vm, now)));
        reporters.retain(|_, seen| now.since(*seen) < REPORTER_TTL);
    }

    /// How many VMs take requests; this one does not report to itself.
    pub(super) fn count_vms(&self) -> usize {
        self.reporters.borrow().len() + 1
    }

    /// Decides what crowded owners may be sent, and tells it with the limits that targets name.
    pub(super) fn announce_admissions(&self) {
        let Some(term) = self.cluster.mandate().as_ref().map(MandateTerm::of) else { return };
        let services = match self.policy.shared_admission.is_on() {
            true => self.limit_services(),
            false => BTreeMap::new(),
        };
        let limits = self.active_limits();
        let now = BootClock.now();
        if !limits.is_empty() {
            self.limits_announced_at.set(now);
        }
        // That there are none any more is told for a while: some VMs may hear of nothing else.
        let recently_ended = now.since(self.limits_announced_at.get()) < LIMITS_END_ANNOUNCE_PERIOD;
        if services.is_empty()
            && limits.is_empty()
            && !recently_ended
            && self.cluster.has_no_admissions()
        {
            return;
        }
        let sequence = self.admission_sequence.get() + 1;
        self.admission_sequence.set(sequence);
        let stamp = AnnouncementStamp { term, sequence };
        self.cluster.apply_admissions(AdmissionTable { stamp, services, limits });
    }

    /// The ranges whose owners are crowded, by service; services without any are left out.
    fn limit_services(&self) -> BTreeMap<String, Vec<AdmissionRange>> {
        let controller = self.controller.borrow();
        let Some(controller) = controller.as_ref() else { return BTreeMap::new() };
        let recent = self.recent_loads.borrow();
        let services = controller.map().services.iter();
        services
            .filter_map(|(service, ranges)| {
                let limited = self.limit_service(ranges, recent.get(service)?);
                (!limited.is_empty()).then(|| (service.clone(), limited))
            })
            .collect()
    }

    /// Ranges of one service whose owners are crowded, in the order of their keys.
    fn limit_service(&self, ranges: &[RangeRecord], load: &KeyLoad) -> Vec<AdmissionRange> {
        let mut owned: BTreeMap<&str, Vec<&RangeRecord>> = BTreeMap::new();
        for range in ranges {
            if let Some(owner) = &range.owner {
                owned.entry(&owner.id).or_default().push(range);
            }
        }
        let owners = owned.into_iter();
        let limited = owners.flat_map(|(owner, ranges)| self.limit_owner(owner, &ranges, load));
        let mut limited: Vec<AdmissionRange> = limited.collect();
        limited.sort_by(|a, b| a.min_fraction().total_cmp(&b.min_fraction()));
        limited.truncate(MAX_ANNOUNCED_RANGES);
        limited.sort_by_key(|range| range.first);
        limited
    }

    /// The ranges of an owner with the shares of their keys; none unless it is crowded.
    fn limit_owner(
        &self,
        owner: &str,
        ranges: &[&RangeRecord],
        load: &KeyLoad,
    ) -> Vec<AdmissionRange> {
        let targets = self.cluster.targets();
        let mut stats = self.target_stats.borrow_mut();
        let (Some(known), Some(target)) = (stats.get_mut(owner), targets.get(owner)) else {
            return Vec::new();
        };
        if self.count_vms() <= MAX_UNLIMITED_VMS_PER_SLOT * target.slots as usize {
            return Vec::new();
        }
        let counts = ranges.iter().flat_map(|range| load.counts(range.first, range.last));
        let demands: Vec<(u16, f64)> =
            counts.map(|(key, count)| (key, count / RECENT_LOAD_WINDOW_S)).collect();
        let demand = demands.iter().map(|(_, demand)| demand).sum();
        let previous_rate = known.admission.rate();
        known.admission.update(&known.report(target.slots, demand), BALANCE_INTERVAL);
        let rate = known.admission.rate();
        if previous_rate.is_some() != rate.is_some() {
            log_limit(owner, rate, demand, known);
        }
        let Some(rate) = rate else { return Vec::new() };
        limited_ranges(ranges, &allocate_rate(rate, &demands))
    }
}

/// An owner's ranges with the shares of their keys; those that may be sent everything are left out.
fn limited_ranges(ranges: &[&RangeRecord], fractions: &AdmissionFractions) -> Vec<AdmissionRange> {
    let hot_of = |range: &RangeRecord| {
        let inside = fractions.hot.iter().filter(|(key, _)| range.contains(*key));
        inside.map(|(key, fraction)| (*key, *fraction as f32)).collect()
    };
    let ranges = ranges.iter().map(|range| AdmissionRange {
        first: range.first,
        last: range.last,
        fraction: fractions.light as f32,
        hot: hot_of(range),
    });
    ranges.filter(|range| range.min_fraction() < 1.0).collect()
}

fn log_limit(owner: &str, rate: Option<f64>, demand: f64, stats: &TargetStats) {
    let rate = rate.map_or("none".to_owned(), |rate| format!("{rate:.1}"));
    let demand = format!("{demand:.1}");
    let baseline_latency = format!("{:.0}", stats.baseline_latency.millis());
    let pairs: [(&str, &dyn std::fmt::Display); 6] = [
        ("target", &owner),
        ("rate", &rate),
        ("demand", &demand),
        ("answered", &stats.counts.responses),
        ("lost", &stats.counts.lost),
        ("unhurried_ms", &baseline_latency),
    ];
    log_event(EventName::OwnerLimited, &pairs);
}
