//! Who may own ranges: the targets that stay, with what each can take.

use std::collections::HashMap;
use std::time::Duration;

use nickellead_core::Timestamp;
use nickellead_range::{KeyLoad, OwnerCandidate};
use nickellead_time::BootClock;

use super::ControlLoop;
use crate::{OrderPort, ServiceRule, StorePort, TargetEntry, TargetList, TargetState};

/// Targets of a new service are taken to be complete when none came for this long.
const ARRIVAL_WINDOW: Duration = Duration::from_millis(1_200);
/// Answers from which a target's speed is known: fewer may all have been long or short by chance.
const MIN_LATENCY_SAMPLES: u32 = 8;
/// Cold targets own no keys while at least this part of a service is warm: a cold one bears a request in
/// five or so of what a warm one does, and falls over for a hot key.
const MIN_WARM_FRACTION: f64 = 0.5;
/// Targets that serve nobody for a while own no keys while at least this part of a service serves: the keys
/// of more would overrun the others, and their pauses would go round.
const MIN_SERVING_FRACTION: f64 = 0.5;
/// No target counts as more than this many times faster or slower than the usual one.
const MAX_SPEED_FACTOR: f64 = 3.0;

impl<S: StorePort, O: OrderPort> ControlLoop<S, O> {
    /// Who may own ranges now, by service.
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

    /// The targets of a service that may own ranges: those that stay, by their entries and by their own
    /// word, outside evacuated zones; those that are cold or serve nobody only while too few others are there.
    fn usable_owners<'a>(
        &self,
        service: &str,
        rule: &ServiceRule,
        targets: &'a TargetList,
    ) -> Vec<&'a TargetEntry> {
        let zones = self.zones.borrow();
        let leaving = self.leaving.borrow();
        let now = BootClock.now();
        let is_available = |target: &&TargetEntry| {
            let ready = target.service == service && target.state == TargetState::Ready;
            let is_leaving = !leaving.is_empty() && leaving.contains(&target.instance());
            ready && !is_leaving && !zones.is_evacuated(&target.zone)
        };
        let available: Vec<&TargetEntry> = targets.values().filter(is_available).collect();
        let available = self.without_paused(available, now);
        let Some(cold) = self.cold_settings.and(rule.cold) else { return available };
        let is_warm = |target: &TargetEntry| {
            let returned = zones.returned_at(&target.zone);
            let recently_returned = returned.is_some_and(|since| now.since(since) < cold.duration);
            !recently_returned && self.cluster.cold_left(target).is_zero()
        };
        filter_unless_too_few(available, MIN_WARM_FRACTION, is_warm)
    }

    /// Leaves out targets that serve nobody for a while, unless they are many.
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
            |target: &TargetEntry| stats.get(&target.id).is_none_or(|one| !one.is_paused(now));
        filter_unless_too_few(available, MIN_SERVING_FRACTION, serves)
    }

    /// Time of an unhurried answer by target, in milliseconds, of those that have shown it.
    fn known_latencies_ms(&self) -> HashMap<String, f64> {
        let stats = self.target_stats.borrow();
        let known =
            stats.iter().filter(|(_, one)| one.baseline_latency.samples() >= MIN_LATENCY_SAMPLES);
        known.map(|(target, one)| (target.clone(), one.baseline_latency.millis())).collect()
    }

    /// These targets as owners, with what each can take.
    fn owner_candidates(
        &self,
        usable: &[&TargetEntry],
        latencies_ms: &HashMap<String, f64>,
    ) -> Vec<OwnerCandidate> {
        let known: Vec<f64> =
            usable.iter().filter_map(|target| latencies_ms.get(&target.id).copied()).collect();
        let mean = known.iter().sum::<f64>() / known.len().max(1) as f64;
        // Unknown targets count as ordinary.
        let factor = |target: &TargetEntry| match latencies_ms.get(&target.id) {
            Some(millis) if mean > 0.0 => speed_factor(mean, *millis),
            _ => 1.0,
        };
        let candidate = |target: &&TargetEntry| {
            let instance = target.instance();
            let max_load = self.max_load(&instance);
            let capacity = f64::from(target.slots.max(1)) * factor(target);
            OwnerCandidate { target: instance, capacity, max_load }
        };
        usable.iter().map(candidate).collect()
    }

    /// Tells the keeper who may own ranges now; it divides new services by it.
    pub(super) fn update_candidates(&self) {
        let candidates = self.candidates();
        let loads = self.loads.borrow();
        let mut controller = self.controller.borrow_mut();
        let Some(controller) = controller.as_mut() else { return };
        let empty = KeyLoad::default();
        let now = BootClock.now();
        for (service, candidates) in candidates {
            let is_new = !controller.map().services.contains_key(&service);
            if is_new && !self.is_arrival_complete(&service, candidates.len(), now) {
                continue;
            }
            let load = loads.get(&service).unwrap_or(&empty);
            controller.set_candidates(&service, &candidates, |ranges, _, _| {
                nickellead_range::least_loaded_owner(ranges, &candidates, load)
            });
        }
    }

    /// Whether the number of a new service's targets has stood long enough to divide its keys.
    fn is_arrival_complete(&self, service: &str, count: usize, now: Timestamp) -> bool {
        let mut arrivals = self.arrivals.borrow_mut();
        let entry = arrivals.entry(service.to_owned()).or_insert((count, now));
        if entry.0 != count {
            *entry = (count, now);
        }
        now.since(entry.1) >= ARRIVAL_WINDOW
    }
}

/// Those of the targets that are wanted, or all when those are less than this part of them.
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

/// How many times faster than usual a target is that takes `millis`.
fn speed_factor(mean: f64, millis: f64) -> f64 {
    (mean / millis.max(1.0)).clamp(1.0 / MAX_SPEED_FACTOR, MAX_SPEED_FACTOR)
}
