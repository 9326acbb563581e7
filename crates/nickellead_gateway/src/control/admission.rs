//! Statistics that all VMs report about targets, and the limits of overloaded owners.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use nickellead_balance::BaselineLatency;
use nickellead_core::Timestamp;
use nickellead_event::{EventName, log_event};
use nickellead_limit::{AdmissionFractions, OwnerAdmission, OwnerReport, allocate_rate};
use nickellead_range::{KeyLoad, RangeRecord};
use nickellead_time::BootClock;

use super::ControlLoop;
use super::fleet::FleetReporter;
use super::loads::RECENT_LOAD_WINDOW_S;
use super::ranges::BALANCE_INTERVAL;
use crate::admission::{AdmissionRange, AdmissionTable};
use crate::fleet::{AnnouncementStamp, MandateTerm};
use crate::load_counter::{ResponseCounts, VmId};
use crate::{OrderPort, StorePort};

/// Weight of a response in a target's baseline latency, relative to the weight that a VM gives to
/// the responses that it receives itself. All VMs together receive many more.
const RESPONSE_WEIGHT_FACTOR: f64 = 0.2;
/// Maximum number of samples for which the mean of a report counts.
const MAX_SAMPLES_PER_MEAN: u32 = 8;
/// Up to this many VMs per slot, an overloaded owner gets no limit that all VMs share: one request
/// of each VM then makes a short queue, which the VMs' own limits and queues bound. Shared limits showed
/// no gain on 12 VMs and six slots.
const MAX_UNLIMITED_VMS_PER_SLOT: usize = 3;
/// A VM that has not reported for this long takes no requests.
const REPORTER_TTL: Duration = Duration::from_millis(2_500);
/// A target that serves nobody and requests a pause owns no keys for this many of its pauses. It
/// often requests another one, and the keys would have to move again.
const OWNERSHIP_SUSPENSION_PAUSES: u32 = 2;
/// How long it is announced that no target reports a limit any more.
const LIMITS_END_ANNOUNCE_PERIOD: Duration = Duration::from_secs(5);
/// Maximum number of announced ranges of overloaded owners, which bounds the size of the
/// announcement.
const MAX_ANNOUNCED_RANGES: usize = 256;

/// Statistics about one instance of a target, from all VMs.
#[derive(Clone, Copy)]
pub(super) struct TargetStats {
    /// Start time of the instance.
    born: Option<u64>,
    pub(super) baseline_latency: BaselineLatency,
    /// Mean latency target of its requests, in milliseconds; 0 before the first response.
    latency_target_ms: f64,
    /// Counts since the last check.
    counts: ResponseCounts,
    admission: OwnerAdmission,
    /// Until when the target owns no keys because of the pauses that it requested.
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

    /// Whether it requested pauses and serves nobody now. A target that serves some requests is
    /// overloaded, and moves for load relieve it.
    pub(super) fn is_paused(&self, now: Timestamp) -> bool {
        now < self.paused_until && self.counts.responses == 0
    }

    /// The report of the last period for an owner with these slots and this demand, in requests per
    /// second.
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
    /// Records the outcomes of requests since the last check.
    pub(super) fn record_responses(&self, mut responses: HashMap<String, ResponseCounts>) {
        let listed = self.cluster.targets();
        let now = BootClock.now();
        let mut stats = self.target_stats.borrow_mut();
        let born = |target: &String| listed.get(target).map(|entry| entry.born);
        // Statistics of one instance say nothing about the next one.
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

    /// Records which VMs reported load.
    pub(super) fn record_reporters(&self, vms: BTreeMap<VmId, Option<SocketAddr>>) {
        let now = BootClock.now();
        let mut reporters = self.reporters.borrow_mut();
        let reported = vms
            .into_iter()
            .map(|(vm, dispatch_address)| (vm, FleetReporter { seen: now, dispatch_address }));
        reporters.extend(reported);
        reporters.retain(|_, reporter| now.since(reporter.seen) < REPORTER_TTL);
    }

    /// Number of VMs that take requests. This one does not report to itself.
    pub(super) fn count_vms(&self) -> usize {
        self.reporters.borrow().len() + 1
    }

    /// Computes the limits of overloaded owners, and announces them with the limits that targets
    /// report.
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
        // The end of all limits is announced for a while, because some VMs may miss the first
        // announcement.
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

    /// The ranges of overloaded owners by service; services without any are left out.
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

    /// The ranges of one service with overloaded owners, in the order of their keys. Keeps the most
    /// restricted ones if there are too many.
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

    /// The ranges of an owner with the admitted fractions of their keys; none unless it is
    /// overloaded.
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
        if self.count_vms() <= MAX_UNLIMITED_VMS_PER_SLOT * target.slots.get() as usize {
            return Vec::new();
        }
        let counts = ranges.iter().flat_map(|range| load.counts(range.first, range.last));
        let demands: Vec<(u16, f64)> =
            counts.map(|(key, count)| (key, count / RECENT_LOAD_WINDOW_S)).collect();
        let demand = demands.iter().map(|(_, demand)| demand).sum();
        let previous_rate = known.admission.rate();
        known.admission.update(&known.report(target.slots.get(), demand), BALANCE_INTERVAL);
        let rate = known.admission.rate();
        if previous_rate.is_some() != rate.is_some() {
            log_limit(owner, rate, demand, known);
        }
        let Some(rate) = rate else { return Vec::new() };
        limited_ranges(ranges, &allocate_rate(rate, &demands))
    }
}

/// An owner's ranges with the admitted fractions of their keys, without those that are fully
/// admitted.
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
