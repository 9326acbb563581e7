//! One round: a fleet, a load, a schedule of faults, and the verdict.

use std::collections::HashMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use nickellead_standin::{LoadReport, LoadSettings, Verdict, evaluate_run, run_load};

use crate::{Fault, FleetSize, ScheduledFault, SoakError, SoakFleet, draw_schedule};

/// Between two looks at what is due.
const LOOK: Duration = Duration::from_millis(20);
/// Between two looks at what targets recorded so far.
const CHECK: Duration = Duration::from_secs(1);
/// Length of a load that finds out whether all keys are served.
const PROBE: Duration = Duration::from_millis(700);
/// Calm after which every key must be served: lost leases, a successor and a restart fit well in it.
const RECOVERY_MOST: Duration = Duration::from_secs(30);

/// What a round is made of.
#[derive(Clone, Debug)]
pub struct RoundSettings {
    /// The program under test.
    pub program: PathBuf,
    /// Files and logs of the round.
    pub folder: PathBuf,
    /// How many of each there are.
    pub size: FleetSize,
    /// How long faults are played.
    pub length: Duration,
    /// Draws faults and keys.
    pub seed: u64,
}

/// What came of a round.
#[derive(Debug)]
pub struct RoundReport {
    /// What the records show.
    pub verdict: Verdict,
    /// Requests sent while faults were played.
    pub sent: u64,
    /// Whole answers among them.
    pub answered: u64,
    /// Answers that say "not run".
    pub refused: u64,
    /// Answers that say "unknown", and answers that never came whole.
    pub unknown: u64,
    /// How long it took in calm until every key was served; `None` when it did not come to that.
    pub recovery: Option<Duration>,
    /// Faults played.
    pub faults: usize,
}

impl RoundReport {
    /// Whether every promise held and every key was served again.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.verdict.has_no_violations() && self.recovery.is_some()
    }
}

/// Plays one round.
///
/// # Errors
/// A [`SoakError`] when the round could not be played; that is no verdict.
pub fn play_round(settings: &RoundSettings) -> Result<RoundReport, SoakError> {
    let mut fleet = SoakFleet::start(&settings.program, &settings.folder, settings.size)?;
    wait_until("the first declarations", || fleet.declare_all())?;
    let number = settings.seed.wrapping_mul(1_000);
    wait_served(&fleet, number).ok_or_else(|| not_reached("every key served at the start"))?;
    let load = start_load(fleet.load_settings(settings.length, number + 900));
    let faults = play_faults(&mut fleet, settings)?;
    let report = load.join().map_err(|_| not_reached("the load ended"))?;
    wait_until("all targets declared to stay", || fleet.declare_all())?;
    let recovery = wait_served(&fleet, number + 100);
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

/// The moment at which a fault begins or ends.
struct FaultEdge {
    at: Duration,
    fault: Fault,
    begins: bool,
}

/// Begins and ends of all faults, in order of time.
fn order_edges(schedule: &[ScheduledFault]) -> Vec<FaultEdge> {
    let both = |one: &ScheduledFault| {
        [(one.at, true), (one.until, false)].map(|(at, begins)| FaultEdge {
            at,
            fault: one.fault,
            begins,
        })
    };
    let mut edges: Vec<FaultEdge> = schedule.iter().flat_map(both).collect();
    edges.sort_by_key(|edge| edge.at);
    edges
}

/// Plays all faults, and looks meanwhile at what targets recorded; gives how many were played.
fn play_faults(fleet: &mut SoakFleet, settings: &RoundSettings) -> Result<usize, SoakError> {
    let schedule = draw_schedule(settings.seed, settings.size, settings.length);
    let start = Instant::now();
    let mut checked = start;
    let mut running: HashMap<String, usize> = HashMap::new();
    for edge in order_edges(&schedule) {
        while start.elapsed() < edge.at {
            std::thread::sleep(LOOK);
            if checked.elapsed() >= CHECK {
                checked = Instant::now();
                check_so_far(fleet)?;
            }
        }
        play_edge(fleet, &edge, running.entry(kind_of(edge.fault)).or_default())?;
    }
    Ok(schedule.len())
}

/// Begins or ends a fault; `running` counts those of its kind.
///
/// A fault that is played twice at once ends with its last end.
fn play_edge(
    fleet: &mut SoakFleet,
    edge: &FaultEdge,
    running: &mut usize,
) -> Result<(), SoakError> {
    if edge.begins {
        *running += 1;
        return fleet.begin(edge.fault);
    }
    *running -= 1;
    match *running {
        0 => fleet.end(edge.fault),
        _ => Ok(()),
    }
}

/// Faults of one kind at one place replace each other.
fn kind_of(fault: Fault) -> String {
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

/// Looks at effects while the round goes on: one owner at a time, nothing done twice.
fn check_so_far(fleet: &SoakFleet) -> Result<(), SoakError> {
    let verdict = evaluate_run(&fleet.effects()?, &LoadReport::default());
    match verdict.has_no_violations() {
        true => Ok(()),
        false => Err(not_reached(&format!("promises kept so far: {verdict:?}"))),
    }
}

/// Sends a load on a thread of its own.
fn start_load(settings: LoadSettings) -> std::thread::JoinHandle<LoadReport> {
    std::thread::spawn(move || match actix_rt::Runtime::new() {
        Ok(runtime) => runtime.block_on(run_load(settings)),
        // Nothing was sent then, which the report shows.
        Err(_) => LoadReport::default(),
    })
}

/// Sends short loads until one is answered whole; gives the time it took.
fn wait_served(fleet: &SoakFleet, number: u64) -> Option<Duration> {
    let start = Instant::now();
    for probe in 0.. {
        let begun = start.elapsed();
        let report = start_load(fleet.load_settings(PROBE, number + probe)).join().ok()?;
        if report.sent > 0 && report.answered == report.sent {
            return Some(begun);
        }
        if start.elapsed() >= RECOVERY_MOST {
            return None;
        }
    }
    None
}

/// Repeats a step until it succeeds, for half a minute at most.
fn wait_until(what: &str, step: impl Fn() -> Result<bool, SoakError>) -> Result<(), SoakError> {
    let end = Instant::now() + RECOVERY_MOST;
    while !step()? {
        if Instant::now() >= end {
            return Err(not_reached(what));
        }
        std::thread::sleep(LOOK * 10);
    }
    Ok(())
}
