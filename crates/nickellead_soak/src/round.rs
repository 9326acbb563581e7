//! One round: starts a fleet, sends a load, injects faults and checks the records.

use std::collections::HashMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use nickellead_standin::{LoadReport, LoadSettings, Verdict, evaluate_run, run_load};

use crate::{Fault, FleetSize, ScheduledFault, SoakError, SoakFleet, random_schedule};

/// Time between two checks for faults that are due.
const FAULT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two checks of the effects recorded so far.
const EFFECT_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Duration of a load that checks whether all keys are served.
const PROBE_DURATION: Duration = Duration::from_millis(700);
/// Maximum time after the last fault until every key must be served: exceeds the sum of a lost lease, a
/// succession of coordinators and a restart.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);

/// Settings of a round.
#[derive(Clone, Debug)]
pub struct RoundSettings {
    /// Path of the program under test.
    pub program: PathBuf,
    /// Folder for files and logs.
    pub folder: PathBuf,
    /// Number of zones, VMs and targets.
    pub size: FleetSize,
    /// Duration of load and faults.
    pub fault_duration: Duration,
    /// Seed of the faults and keys.
    pub seed: u64,
}

/// Results of a round.
#[derive(Debug)]
pub struct RoundReport {
    /// Violations found in the records of callers and targets.
    pub verdict: Verdict,
    /// Requests sent while faults were injected.
    pub sent: u64,
    /// Requests with a complete response.
    pub answered: u64,
    /// Requests whose response says "not run".
    pub refused: u64,
    /// Requests whose response says "unknown" or is incomplete.
    pub unknown: u64,
    /// Time from the end of the faults until every key was served; `None` on timeout.
    pub recovery: Option<Duration>,
    /// Number of injected faults.
    pub faults: usize,
}

impl RoundReport {
    /// Whether every guarantee held and every key was served again.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.verdict.has_no_violations() && self.recovery.is_some()
    }
}

/// Runs one round.
///
/// # Errors
/// A [`SoakError`] if the round could not run or the fleet did not reach an expected state in time.
pub fn run_round(settings: &RoundSettings) -> Result<RoundReport, SoakError> {
    let mut fleet = SoakFleet::start(&settings.program, &settings.folder, settings.size)?;
    wait_until("first declarations accepted", || fleet.declare_all())?;
    let first_load_seed = settings.seed.wrapping_mul(1_000);
    wait_until_served(&fleet, first_load_seed)
        .ok_or_else(|| not_reached("every key served before the faults"))?;
    let load = start_load(fleet.load_settings(settings.fault_duration, first_load_seed + 900));
    let faults = inject_faults(&mut fleet, settings)?;
    let report = load.join().map_err(|_| not_reached("load finished"))?;
    wait_until("all targets declared active", || fleet.declare_all())?;
    let recovery = wait_until_served(&fleet, first_load_seed + 100);
    let verdict = evaluate_run(&fleet.effects()?, &report);
    Ok(RoundReport {
        verdict,
        sent: report.sent,
        answered: report.answered,
        refused: report.refused,
        unknown: report.unknown,
        recovery,
        faults,
    })
}

fn not_reached(what: &str) -> SoakError {
    SoakError::NotReached(what.to_owned())
}

/// Start or end of a fault.
struct FaultEdge {
    at: Duration,
    fault: Fault,
    is_start: bool,
}

/// Returns the starts and ends of all faults, sorted by time.
fn order_edges(schedule: &[ScheduledFault]) -> Vec<FaultEdge> {
    let edges_of = |scheduled: &ScheduledFault| {
        [(scheduled.start, true), (scheduled.end, false)].map(|(at, is_start)| FaultEdge {
            at,
            fault: scheduled.fault,
            is_start,
        })
    };
    let mut edges: Vec<FaultEdge> = schedule.iter().flat_map(edges_of).collect();
    edges.sort_by_key(|edge| edge.at);
    edges
}

/// Injects all faults and periodically checks the recorded effects; returns the number of faults.
fn inject_faults(fleet: &mut SoakFleet, settings: &RoundSettings) -> Result<usize, SoakError> {
    let schedule = random_schedule(settings.seed, settings.size, settings.fault_duration);
    let start = Instant::now();
    let mut last_check = start;
    let mut running: HashMap<String, usize> = HashMap::new();
    for edge in order_edges(&schedule) {
        while start.elapsed() < edge.at {
            std::thread::sleep(FAULT_POLL_INTERVAL);
            if last_check.elapsed() >= EFFECT_CHECK_INTERVAL {
                last_check = Instant::now();
                check_effects(fleet)?;
            }
        }
        apply_edge(fleet, &edge, running.entry(fault_kind(edge.fault)).or_default())?;
    }
    Ok(schedule.len())
}

/// Starts or ends a fault; `running` is the number of active faults of its kind.
///
/// Overlapping faults of one kind end together with the last of them.
fn apply_edge(
    fleet: &mut SoakFleet,
    edge: &FaultEdge,
    running: &mut usize,
) -> Result<(), SoakError> {
    if edge.is_start {
        *running += 1;
        return fleet.start_fault(edge.fault);
    }
    *running -= 1;
    match *running {
        0 => fleet.end_fault(edge.fault),
        _ => Ok(()),
    }
}

/// Returns a key that is equal for faults that replace each other.
fn fault_kind(fault: Fault) -> String {
    match fault {
        Fault::PlatformDown | Fault::PlatformSlow(_) | Fault::PlatformLoses(_) => {
            "platform".to_owned()
        }
        Fault::PlatformLink(vm, _) => format!("platform-link-{vm}"),
        Fault::TargetLink(target, _) => format!("target-link-{target}"),
        Fault::PeerLink(vm, _) => format!("peer-link-{vm}"),
        other => format!("{other:?}"),
    }
}

/// Checks the effects recorded so far: one owner at a time, no operation repeated.
fn check_effects(fleet: &SoakFleet) -> Result<(), SoakError> {
    let verdict = evaluate_run(&fleet.effects()?, &LoadReport::default());
    match verdict.has_no_violations() {
        true => Ok(()),
        false => Err(not_reached(&format!("guarantees held so far: {verdict:?}"))),
    }
}

/// Sends a load on a new thread.
fn start_load(settings: LoadSettings) -> std::thread::JoinHandle<LoadReport> {
    std::thread::spawn(move || match actix_rt::Runtime::new() {
        Ok(runtime) => runtime.block_on(run_load(settings)),
        // The empty report shows that nothing was sent.
        Err(_) => LoadReport::default(),
    })
}

/// Sends short loads until one is answered completely; returns the time before that load.
fn wait_until_served(fleet: &SoakFleet, first_load_seed: u64) -> Option<Duration> {
    let start = Instant::now();
    for probe in 0.. {
        let probe_start = start.elapsed();
        let report =
            start_load(fleet.load_settings(PROBE_DURATION, first_load_seed + probe)).join().ok()?;
        if report.sent > 0 && report.answered == report.sent {
            return Some(probe_start);
        }
        if start.elapsed() >= RECOVERY_TIMEOUT {
            return None;
        }
    }
    None
}

/// Repeats a step until it succeeds or [`RECOVERY_TIMEOUT`] expires.
fn wait_until(what: &str, step: impl Fn() -> Result<bool, SoakError>) -> Result<(), SoakError> {
    let end = Instant::now() + RECOVERY_TIMEOUT;
    while !step()? {
        if Instant::now() >= end {
            return Err(not_reached(what));
        }
        std::thread::sleep(FAULT_POLL_INTERVAL * 10);
    }
    Ok(())
}
