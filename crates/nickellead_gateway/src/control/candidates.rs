//! Who may own ranges: the targets that stay, with what each can take.

use std::collections::HashMap;
use std::time::Duration;

use nickellead_core::Timestamp;
use nickellead_range::{KeyLoad, OwnerCandidate};
use nickellead_time::BootClock;

use super::ControlDuty;
use crate::{OrderPort, ServiceRule, StorePort, TargetEntry, TargetList, TargetState};

/// Targets of a new service are taken to be complete when none came for this long.
const ARRIVAL_TIME: Duration = Duration::from_millis(1_200);
/// Answers from which a target's speed is known: fewer may all have been long or short by chance.
const SPEED_ANSWERS: u32 = 8;
/// Cold targets own no keys while at least this part of a service is warm: a cold one bears a request in
/// five or so of what a warm one does, and falls over for a hot key.
const WARM_PART_LEAST: f64 = 0.5;
/// Targets that serve nobody for a while own no keys while at least this part of a service serves: the keys
/// of more would overrun the others, and their pauses would go round.
const SERVING_PART_LEAST: f64 = 0.5;
/// No target counts as more than this many times faster or slower than the usual one.
const SPEED_FACTOR_MOST: f64 = 3.0;

impl<S: StorePort, O: OrderPort> ControlDuty<S, O> {
    /// Who may own ranges now, by service.
    pub(super) fn candidates(&self) -> Vec<(String, Vec<OwnerCandidate>)> {
        let targets = self.book.targets();
        let Some(declared) = self.book.declarations() else {
            return Vec::new();
        };
        self.zones.borrow_mut().update(&self.book.evacuations().value, BootClock.now());
        let divided = declared.services.iter().filter(|(_, rule)| rule.sharded);
        let speeds = match self.policy.measured_speeds.is_on() {
            true => self.known_speeds(),
            false => HashMap::new(),
        };
        divided
            .map(|(service, rule)| {
                let usable = self.usable_owners(service, rule, &targets);
                (service.clone(), self.owner_candidates(&usable, &speeds))
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
        let is_open = |target: &&TargetEntry| {
            let ready = target.service == service && target.state == TargetState::Ready;
            let leaves = !leaving.is_empty() && leaving.contains(&target.instance());
            ready && !leaves && !zones.is_evacuated(&target.zone)
        };
        let open: Vec<&TargetEntry> = targets.values().filter(is_open).collect();
        let open = self.without_paused(open, now);
        let Some(cold) = self.cold.and(rule.cold) else { return open };
        let is_warm = |target: &TargetEntry| {
            let returned = zones.returned_at(&target.zone);
            let turned = returned.is_some_and(|since| now.since(since) < cold.duration);
            !turned && self.book.cold_left(target).is_zero()
        };
        unless_too_few(open, WARM_PART_LEAST, is_warm)
    }

    /// Leaves out targets that serve nobody for a while, unless they are many.
    fn without_paused<'a>(
        &self,
        open: Vec<&'a TargetEntry>,
        now: Timestamp,
    ) -> Vec<&'a TargetEntry> {
        if !self.policy.pause_moves.is_on() {
            return open;
        }
        let figures = self.figures.borrow();
        let serves =
            |target: &TargetEntry| figures.get(&target.id).is_none_or(|one| !one.is_paused(now));
        unless_too_few(open, SERVING_PART_LEAST, serves)
    }

    /// Time of an unhurried answer by target, in milliseconds, of those that have shown it.
    fn known_speeds(&self) -> HashMap<String, f64> {
        let figures = self.figures.borrow();
        let known = figures.iter().filter(|(_, one)| one.unhurried.samples() >= SPEED_ANSWERS);
        known.map(|(target, one)| (target.clone(), one.unhurried.millis())).collect()
    }

    /// These targets as owners, with what each can take.
    fn owner_candidates(
        &self,
        usable: &[&TargetEntry],
        speeds: &HashMap<String, f64>,
    ) -> Vec<OwnerCandidate> {
        let known: Vec<f64> =
            usable.iter().filter_map(|target| speeds.get(&target.id).copied()).collect();
        let usual = known.iter().sum::<f64>() / known.len().max(1) as f64;
        // Unknown targets count as ordinary.
        let factor = |target: &TargetEntry| match speeds.get(&target.id) {
            Some(millis) if usual > 0.0 => speed_factor(usual, *millis),
            _ => 1.0,
        };
        let candidate = |target: &&TargetEntry| {
            let holder = target.instance();
            let most = self.borne_load(&holder);
            let capacity = f64::from(target.slots.max(1)) * factor(target);
            OwnerCandidate { target: holder, capacity, max_load: most }
        };
        usable.iter().map(candidate).collect()
    }

    /// Tells the keeper who may own ranges now; it divides new services by it.
    pub(super) fn update_candidates(&self) {
        let candidates = self.candidates();
        let loads = self.loads.borrow();
        let mut keeper = self.keeper.borrow_mut();
        let Some(keeper) = keeper.as_mut() else { return };
        let empty = KeyLoad::default();
        let now = BootClock.now();
        for (service, candidates) in candidates {
            let fresh = !keeper.map().services.contains_key(&service);
            if fresh && !self.have_arrived(&service, candidates.len(), now) {
                continue;
            }
            let load = loads.get(&service).unwrap_or(&empty);
            keeper.set_candidates(&service, &candidates, |ranges, _, _| {
                nickellead_range::least_loaded_owner(ranges, &candidates, load)
            });
        }
    }

    /// Whether the number of a new service's targets has stood long enough to divide its keys.
    fn have_arrived(&self, service: &str, count: usize, now: Timestamp) -> bool {
        let mut arrivals = self.arrivals.borrow_mut();
        let entry = arrivals.entry(service.to_owned()).or_insert((count, now));
        if entry.0 != count {
            *entry = (count, now);
        }
        now.since(entry.1) >= ARRIVAL_TIME
    }
}

/// Those of the targets that are wanted, or all when those are less than this part of them.
fn unless_too_few(
    targets: Vec<&TargetEntry>,
    least: f64,
    wanted: impl Fn(&TargetEntry) -> bool,
) -> Vec<&TargetEntry> {
    let chosen: Vec<&TargetEntry> =
        targets.iter().copied().filter(|target| wanted(target)).collect();
    let enough = chosen.len() as f64 >= targets.len() as f64 * least;
    if enough { chosen } else { targets }
}

/// How many times faster than usual a target is that takes `millis`.
fn speed_factor(usual: f64, millis: f64) -> f64 {
    (usual / millis.max(1.0)).clamp(1.0 / SPEED_FACTOR_MOST, SPEED_FACTOR_MOST)
}
