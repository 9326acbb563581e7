//! Random faults of gateways; the same seed gives the same schedule.

use std::time::Duration;

use nickellead_adapter_standin::{OddAnswer, StoreFault, TargetBehavior};

use super::processes::DutyCycle;
use super::site::GatewaySite;
use crate::LinkFault;

/// Range of the time between the starts of two faults: shorter than most faults, so that they overlap.
const START_GAP_MS: std::ops::Range<u64> = 200..2_500;
/// Range of fault durations.
const FAULT_DURATION_MS: std::ops::Range<u64> = 300..6_000;
/// Time between the kills of a series: both fall into one window of the budget.
const SERIES_GAP_MS: std::ops::Range<u64> = 2_500..7_000;
/// A tenth of a core in short periods, and in long ones.
const SHORT_CYCLE: DutyCycle =
    DutyCycle { running: Duration::from_millis(10), period: Duration::from_millis(100) };
const LONG_CYCLE: DutyCycle =
    DutyCycle { running: Duration::from_millis(50), period: Duration::from_millis(500) };

/// A fault and what it affects.
#[derive(Clone, Debug, PartialEq)]
pub enum GatewayFault {
    /// VMs are killed and restarted at the end.
    Kill(Vec<usize>),
    /// VMs are stopped by SIGTERM in turn, and restarted as they end.
    Restart(Vec<usize>),
    /// VMs stand still.
    Pause(Vec<usize>),
    /// VMs read their settings again.
    Reload(Vec<usize>),
    /// The links over which VMs send each other requests.
    Links(Vec<usize>, LinkFault),
    /// Targets behave in another way.
    Targets(Vec<usize>, TargetBehavior),
    /// Targets end, and others of the next service start at their addresses at once.
    Replace(Vec<usize>),
    /// The store.
    Store(StoreFault),
    /// Callers send this many times as much.
    Load(f64),
}

/// A fault with its start and end.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledGatewayFault {
    /// Start, relative to the start of the faults.
    pub start: Duration,
    /// End, relative to the start of the faults.
    pub end: Duration,
    /// Fault to inject.
    pub fault: GatewayFault,
}

/// The faults of one round.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySchedule {
    /// How each small VM is starved throughout the round; `None` if none is.
    pub cycle: Option<DutyCycle>,
    /// In the order of their starts.
    pub faults: Vec<ScheduledGatewayFault>,
}

/// Generates the faults of one round, all of which end within `duration`. Of faults that overlap at the
/// same VM, target or store, the first one that ends also ends the other, except for pauses.
#[must_use]
pub fn gateway_schedule(
    seed: u64,
    site: GatewaySite,
    targets: usize,
    duration: Duration,
) -> GatewaySchedule {
    let mut rng = fastrand::Rng::with_seed(seed);
    let cycle = [Some(SHORT_CYCLE), Some(LONG_CYCLE), None][rng.usize(..3)];
    let total_ms = duration.as_millis() as u64;
    let mut faults = Vec::new();
    let mut start_ms = rng.u64(START_GAP_MS);
    while start_ms + FAULT_DURATION_MS.start < total_ms {
        let fault = random_fault(&mut rng, site, targets);
        let mut add = |start_ms: u64, length_ms: u64| {
            let end_ms = (start_ms + length_ms).min(total_ms);
            let (start, end) = (Duration::from_millis(start_ms), Duration::from_millis(end_ms));
            if start < end {
                faults.push(ScheduledGatewayFault { start, end, fault: fault.clone() });
            }
        };
        let length_ms = rng.u64(FAULT_DURATION_MS);
        match &fault {
            // The same VMs are killed twice within one window.
            GatewayFault::Kill(_) => {
                let gap_ms = rng.u64(SERIES_GAP_MS);
                let down_ms = length_ms.min(gap_ms / 2);
                add(start_ms, down_ms);
                add(start_ms + gap_ms, down_ms);
            }
            _ => add(start_ms, length_ms),
        }
        start_ms += rng.u64(START_GAP_MS);
    }
    faults.sort_by_key(|fault| fault.start);
    GatewaySchedule { cycle, faults }
}

/// A random part of `all`, at least one.
fn random_part(
    rng: &mut fastrand::Rng,
    all: impl Iterator<Item = usize>,
    fraction: f64,
) -> Vec<usize> {
    let mut part: Vec<usize> = all.collect();
    rng.shuffle(&mut part);
    part.truncate(((part.len() as f64 * fraction) as usize).max(1));
    part
}

fn random_fault(rng: &mut fastrand::Rng, site: GatewaySite, targets: usize) -> GatewayFault {
    let share = 0.1 + 0.5 * rng.f64();
    match rng.u8(..11) {
        0 => GatewayFault::Kill(random_part(rng, 0..site.vms, share)),
        1 => GatewayFault::Restart(random_part(rng, 0..site.vms, 0.5 * share)),
        2 | 3 => GatewayFault::Pause(random_part(rng, 0..site.vms, share)),
        4 => GatewayFault::Reload(random_part(rng, 0..site.vms, share)),
        5 => {
            let fault = random_link_fault(rng);
            GatewayFault::Links(random_part(rng, site.linked_vms(), share), fault)
        }
        6 | 7 => {
            let behavior = random_behavior(rng);
            GatewayFault::Targets(random_part(rng, 0..targets, share), behavior)
        }
        8 => GatewayFault::Store(random_store_fault(rng)),
        9 => GatewayFault::Replace(random_part(rng, 0..targets, 0.4 * share)),
        _ => GatewayFault::Load(1.7),
    }
}

fn random_link_fault(rng: &mut fastrand::Rng) -> LinkFault {
    match rng.u8(..4) {
        0 | 1 => LinkFault::Delay(rng.u64(20..400)),
        2 => LinkFault::Reset,
        _ => LinkFault::Silent,
    }
}

fn random_behavior(rng: &mut fastrand::Rng) -> TargetBehavior {
    match rng.u8(..16) {
        0 => TargetBehavior::Shed,
        1 => TargetBehavior::Close,
        2 => TargetBehavior::LoseResponses(0.05 + 0.3 * rng.f64()),
        3 => TargetBehavior::Slow(2.0 + 4.0 * rng.f64()),
        4 => TargetBehavior::Fail(0.45),
        5 => TargetBehavior::Silent,
        6 => TargetBehavior::Reset,
        7 => TargetBehavior::ResetWhenFull,
        _ => TargetBehavior::Odd {
            refused: 0.5 * rng.f64(),
            answer: OddAnswer::random(rng),
            fraction: 0.05 + 0.45 * rng.f64(),
        },
    }
}

fn random_store_fault(rng: &mut fastrand::Rng) -> StoreFault {
    match rng.u8(..3) {
        0 => StoreFault::Down,
        1 => StoreFault::Silent,
        _ => StoreFault::Slow(Duration::from_millis(rng.u64(20..300))),
    }
}
