//! Random fault schedules; the same seed gives the same schedule.

use std::time::Duration;

use crate::{FleetSize, LinkFault};

/// Maximum time between the starts of two faults: shorter than most faults, so that they overlap.
const MAX_START_GAP_MS: u64 = 1_400;
/// Range of fault durations: from less than a heartbeat interval to more than a lease.
const FAULT_DURATION_MS: std::ops::Range<u64> = 150..6_000;
/// Maximum delay of a link: longer than the timeout of orders.
const MAX_LINK_DELAY_MS: u64 = 600;

/// A fault and what it affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A VM is killed and restarted at the end.
    KillVm(usize),
    /// A VM is paused by SIGSTOP.
    PauseVm(usize),
    /// A VM is stopped by SIGTERM and restarted at the end.
    StopVm(usize),
    /// A target is killed and restarted at the end.
    KillTarget(usize),
    /// A target is paused by SIGSTOP.
    PauseTarget(usize),
    /// Fault of the link from one VM to the platform.
    PlatformLink(usize, LinkFault),
    /// Fault of the link from all VMs to one target.
    TargetLink(usize, LinkFault),
    /// Fault of the link from other VMs to one VM.
    PeerLink(usize, LinkFault),
    /// The platform rejects every call.
    PlatformDown,
    /// Every platform call takes this many milliseconds.
    PlatformSlow(u64),
    /// Number of writes per 1,000 that take effect but whose responses are lost.
    PlatformLoses(u32),
    /// A target is declared draining, and active at the end.
    DrainTarget(usize),
}

/// A fault with its start and end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledFault {
    /// Start, relative to the start of the load.
    pub start: Duration,
    /// End, relative to the start of the load.
    pub end: Duration,
    /// Fault to inject.
    pub fault: Fault,
}

/// Generates the faults of one round, all of which end within `duration`.
#[must_use]
pub fn random_schedule(seed: u64, size: FleetSize, duration: Duration) -> Vec<ScheduledFault> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let total_ms = duration.as_millis() as u64;
    let mut schedule = Vec::new();
    let mut start_ms = rng.u64(100..MAX_START_GAP_MS);
    while start_ms + FAULT_DURATION_MS.start < total_ms {
        let end_ms = (start_ms + rng.u64(FAULT_DURATION_MS)).min(total_ms);
        let fault = random_fault(&mut rng, size);
        let (start_time, end_time) =
            (Duration::from_millis(start_ms), Duration::from_millis(end_ms));
        schedule.push(ScheduledFault { start: start_time, end: end_time, fault });
        start_ms += rng.u64(50..MAX_START_GAP_MS);
    }
    schedule
}

fn random_fault(rng: &mut fastrand::Rng, size: FleetSize) -> Fault {
    let vm = rng.usize(..size.vms());
    let target = rng.usize(..size.targets());
    match rng.u8(..12) {
        0 => Fault::KillVm(vm),
        1 => Fault::PauseVm(vm),
        2 => Fault::StopVm(vm),
        3 => Fault::KillTarget(target),
        4 => Fault::PauseTarget(target),
        5 => Fault::PlatformLink(vm, random_link_fault(rng)),
        6 => Fault::TargetLink(target, random_link_fault(rng)),
        7 => Fault::PeerLink(vm, random_link_fault(rng)),
        8 => Fault::PlatformDown,
        9 => Fault::PlatformSlow(rng.u64(20..1_500)),
        10 => Fault::PlatformLoses(rng.u32(100..900)),
        _ => Fault::DrainTarget(target),
    }
}

fn random_link_fault(rng: &mut fastrand::Rng) -> LinkFault {
    match rng.u8(..5) {
        0 => LinkFault::Delay(rng.u64(5..MAX_LINK_DELAY_MS)),
        1 => LinkFault::Reset,
        2 => LinkFault::CutToTarget,
        3 => LinkFault::CutFromTarget,
        _ => LinkFault::Silent,
    }
}
