//! Selects the targets that may own ranges, with the capacity of each.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use nickellead_core::Timestamp;
use nickellead_range::{KeyLoad, OwnerCandidate, OwnerPicker};
use nickellead_time::BootClock;

use super::ControlLoop;
use crate::listed_targets::ListedTargets;
use crate::{Declarations, OrderPort, Revision, ServiceRule, StorePort, TargetEntry, TargetState};

/// The targets of a new service count as complete when their number has not changed for this long.
const ARRIVAL_WINDOW: Duration = Duration::from_millis(1_200);
/// Minimum number of samples from which a target's latency is known.
const MIN_LATENCY_SAMPLES: u32 = 8;
/// Cold targets own no keys while at least this fraction of a service's targets is warm. A cold
/// target serves only a fraction of a warm one's requests and fails under a hot key.
const MIN_WARM_FRACTION: f64 = 0.5;
/// Targets that serve nobody own no keys while at least this fraction of a service's targets
/// serves. Moving the keys of more targets would overload the rest.
const MIN_SERVING_FRACTION: f64 = 0.5;
/// Maximum factor by which a target counts as faster or slower than the mean.
const MAX_SPEED_FACTOR: f64 = 3.0;

/// What the targets that may own ranges are derived from, beside loads and times.
pub(super) struct CandidateSources {
    targets: ListedTargets,
    declarations: Option<Arc<Declarations>>,
    evacuations: Revision,
}

impl<S: StorePort, O: OrderPort> ControlLoop<S, O> {
    fn candidate_sources(&self) -> CandidateSources {
        CandidateSources {
            targets: self.cluster.targets(),
            declarations: self.cluster.declarations(),
            evacuations: self.cluster.evacuations().revision,
        }
    }

    /// Whether the controller's candidates would be the same now, but for loads and times.
    pub(super) fn are_candidates_current(&self) -> bool {
        let controller = self.controller.borrow();
        let replaced =
            controller.as_ref().is_some_and(|controller| !controller.has_unreplaced_owners());
        let known = self.candidate_sources.borrow();
        let Some(known) = known.as_ref().filter(|_| replaced) else { return false };
        let newest = self.candidate_sources();
        let same_declarations = match (&known.declarations, &newest.declarations) {
            (Some(known), Some(newest)) => Arc::ptr_eq(known, newest),
            (known, newest) => known.is_none() && newest.is_none(),
        };
        same_declarations
            && known.targets.is_copy_of(&newest.targets)
            && known.evacuations == newest.evacuations
    }

    /// The targets that may own ranges, by service.
    pub(super) fn candidates(&self) -> Vec<(String, Vec<OwnerCandidate>)> {
        let targets = self.cluster.targets();
        let Some(declared) = self.cluster.declarations() else {
            return Vec::new();
        };
        self.zones.borrow_mut().update(&self.cluster.evacuations().value, BootClock.now());
        let sharded = declared.services.iter().filter(|(_, rule)| rule.sharded);
        let latencies_ms = match self.policy.measured_speeds.is_on() {
            true => self.known_latencies_ms(),
            false => HashMap::new(),
        };
        sharded
            .map(|(service, rule)| {
                let usable = self.usable_owners(service, rule, &targets);
                (service.clone(), self.owner_candidates(&usable, &latencies_ms))
            })
            .collect()
    }

    /// The targets of a service that may own ranges: neither leaving nor in an evacuated zone. Cold
    /// and paused ones are included only while too few others are available.
    fn usable_owners<'a>(
        &self,
        service: &str,
        rule: &ServiceRule,
        targets: &'a ListedTargets,
    ) -> Vec<&'a TargetEntry> {
        let zones = self.zones.borrow();
        let leaving = self.leaving.borrow();
        let now = BootClock.now();
        let is_available = |target: &&TargetEntry| {
            let ready = target.service == service && target.state == TargetState::Ready;
            let is_leaving = !leaving.is_empty() && leaving.contains(&target.instance());
            ready && !is_leaving && !zones.is_evacuated(&target.zone)
        };
        let available: Vec<&TargetEntry> = targets.entries().filter(is_available).collect();
        let available = self.without_paused(available, now);
        let Some(cold) = self.cold_settings.and(rule.cold) else { return available };
        let is_warm = |target: &TargetEntry| {
            let returned = zones.returned_at(&target.zone);
            let recently_returned = returned.is_some_and(|since| now.since(since) < cold.duration);
            !recently_returned && self.cluster.cold_left(target).is_zero()
        };
        filter_unless_too_few(available, MIN_WARM_FRACTION, is_warm)
    }

    /// Leaves out targets that serve nobody, unless too few would remain.
    fn without_paused<'a>(
        &self,
        available: Vec<&'a TargetEntry>,
        now: Timestamp,
    ) -> Vec<&'a TargetEntry> {
        if !self.policy.pause_moves.is_on() {
            return available;
        }
        let stats = self.target_stats.borrow();
        let serves =
            |target: &TargetEntry| stats.get(&target.id).is_none_or(|stats| !stats.is_paused(now));
        filter_unless_too_few(available, MIN_SERVING_FRACTION, serves)
    }

    /// Baseline latency by target, in milliseconds, of those with enough samples.
    fn known_latencies_ms(&self) -> HashMap<String, f64> {
        let stats = self.target_stats.borrow();
        let known = stats
            .iter()
            .filter(|(_, stats)| stats.baseline_latency.samples() >= MIN_LATENCY_SAMPLES);
        known.map(|(target, stats)| (target.clone(), stats.baseline_latency.millis())).collect()
    }

    /// These targets as owners, with the capacity of each.
    fn owner_candidates(
        &self,
        usable: &[&TargetEntry],
        latencies_ms: &HashMap<String, f64>,
    ) -> Vec<OwnerCandidate> {
        let known: Vec<f64> =
            usable.iter().filter_map(|target| latencies_ms.get(&target.id).copied()).collect();
        let mean = known.iter().sum::<f64>() / known.len().max(1) as f64;
        // Targets of unknown latency count as mean.
        let factor = |target: &TargetEntry| match latencies_ms.get(&target.id) {
            Some(millis) if mean > 0.0 => speed_factor(mean, *millis),
            _ => 1.0,
        };
        let candidate = |target: &&TargetEntry| {
            let instance = target.instance();
            let max_load = self.max_load(&instance);
            let capacity = f64::from(target.slots.get()) * factor(target);
            OwnerCandidate { target: instance, capacity, max_load }
        };
        usable.iter().map(candidate).collect()
    }

    /// Passes the candidates to the controller, which assigns the ranges of new services to them.
    pub(super) fn update_candidates(&self) {
        self.candidate_sources.replace(Some(self.candidate_sources()));
        let candidates = self.candidates();
        let loads = self.loads.borrow();
        let mut controller = self.controller.borrow_mut();
        let Some(controller) = controller.as_mut() else { return };
        let empty = KeyLoad::default();
        let now = BootClock.now();
        for (service, candidates) in candidates {
            let is_new = !controller.map().services.contains_key(&service);
            if is_new && !self.is_arrival_complete(&service, candidates.len(), now) {
                self.candidate_sources.replace(None);
                continue;
            }
            let load = loads.get(&service).unwrap_or(&empty);
            let mut picker = None;
            controller.set_candidates(&service, &candidates, |ranges, first, last| {
                let new_picker = || OwnerPicker::new(ranges, &candidates, load);
                picker.get_or_insert_with(new_picker).pick(first, last)
            });
        }
    }

    /// Whether the number of a new service's targets has been stable long enough to assign its
    /// keys.
    fn is_arrival_complete(&self, service: &str, count: usize, now: Timestamp) -> bool {
        let mut arrivals = self.arrivals.borrow_mut();
        let entry = arrivals.entry(service.to_owned()).or_insert((count, now));
        if entry.0 != count {
            *entry = (count, now);
        }
        now.since(entry.1) >= ARRIVAL_WINDOW
    }
}

/// The targets that match, or all if those are less than `min_fraction` of them.
fn filter_unless_too_few(
    targets: Vec<&TargetEntry>,
    min_fraction: f64,
    wanted: impl Fn(&TargetEntry) -> bool,
) -> Vec<&TargetEntry> {
    let chosen: Vec<&TargetEntry> =
        targets.iter().copied().filter(|target| wanted(target)).collect();
    let enough = chosen.len() as f64 >= targets.len() as f64 * min_fraction;
    if enough { chosen } else { targets }
}

/// How many times faster than the mean a target of this latency is.
fn speed_factor(mean: f64, millis: f64) -> f64 {
    (mean / millis.max(1.0)).clamp(1.0 / MAX_SPEED_FACTOR, MAX_SPEED_FACTOR)
}
