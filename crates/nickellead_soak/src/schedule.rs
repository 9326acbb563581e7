//! Faults drawn from a seed: the same seed gives the same schedule.

use std::time::Duration;

use crate::{FleetSize, LinkFault};

/// Longest pause between the starts of two faults: shorter than most faults, so that they overlap.
const GAP_MOST_MS: u64 = 1_400;
/// Shortest and longest fault: from less than a heartbeat to well beyond a lease.
const LENGTH_MS: std::ops::Range<u64> = 150..6_000;
/// Longest delay of a link: beyond the time in which an order must be answered.
const DELAY_MOST_MS: u64 = 600;

/// One thing that goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A VM is killed, and started again at the end.
    KillVm(usize),
    /// A VM stands still.
    PauseVm(usize),
    /// A VM is told to stop, and started again at the end.
    StopVm(usize),
    /// A target is killed, and started again at the end.
    KillTarget(usize),
    /// A target stands still.
    PauseTarget(usize),
    /// The link from one VM to the platform.
    PlatformLink(usize, LinkFault),
    /// The link from all VMs to one target.
    TargetLink(usize, LinkFault),
    /// The link from other VMs to one VM.
    PeerLink(usize, LinkFault),
    /// The platform refuses every call.
    PlatformDown,
    /// Every call of the platform takes this long, in milliseconds.
    PlatformSlow(u64),
    /// Of 1,000 writes so many take effect and lose their answers.
    PlatformLoses(u32),
    /// A target is declared to leave, and to stay at the end.
    DrainTarget(usize),
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledFault {
    /// When it begins, from the start of the load.
    pub at: Duration,
    /// When it is over.
    pub until: Duration,
    /// What goes wrong.
    pub fault: Fault,
}

/// Draws the faults of one round; all are over by `length`.
#[must_use]
pub fn draw_schedule(seed: u64, size: FleetSize, length: Duration) -> Vec<ScheduledFault> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let end = length.as_millis() as u64;
    let mut schedule = Vec::new();
    let mut at = rng.u64(100..GAP_MOST_MS);
    while at + LENGTH_MS.start < end {
        let until = (at + rng.u64(LENGTH_MS)).min(end);
        let fault = draw_fault(&mut rng, size);
        let (from, to) = (Duration::from_millis(at), Duration::from_millis(until));
        schedule.push(ScheduledFault { at: from, until: to, fault });
        at += rng.u64(50..GAP_MOST_MS);
    }
    schedule
}

fn draw_fault(rng: &mut fastrand::Rng, size: FleetSize) -> Fault {
    let vm = rng.usize(..size.vms());
    let target = rng.usize(..size.targets());
    match rng.u8(..12) {
        0 => Fault::KillVm(vm),
        1 => Fault::PauseVm(vm),
        2 => Fault::StopVm(vm),
        3 => Fault::KillTarget(target),
        4 => Fault::PauseTarget(target),
        5 => Fault::PlatformLink(vm, draw_link_fault(rng)),
        6 => Fault::TargetLink(target, draw_link_fault(rng)),
        7 => Fault::PeerLink(vm, draw_link_fault(rng)),
        8 => Fault::PlatformDown,
        9 => Fault::PlatformSlow(rng.u64(20..1_500)),
        10 => Fault::PlatformLoses(rng.u32(100..900)),
        _ => Fault::DrainTarget(target),
    }
}

fn draw_link_fault(rng: &mut fastrand::Rng) -> LinkFault {
    match rng.u8(..5) {
        0 => LinkFault::Delay(rng.u64(5..DELAY_MOST_MS)),
        1 => LinkFault::Reset,
        2 => LinkFault::CutForth,
        3 => LinkFault::CutBack,
        _ => LinkFault::Silent,
    }
}
