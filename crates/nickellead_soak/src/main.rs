//! Runs rounds with consecutive seeds and prints one line per round.
#![allow(clippy::print_stdout, reason = "the printed lines are the output of the program")]

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use nickellead_adapter_standin::{CrashingLoad, HandedTime, OddAnswer, TargetBehavior};
use nickellead_soak::{
    FleetSize, GatewayReport, GatewayRound, GatewaySite, RoundFaults, RoundReport, RoundSettings,
    SoakError, run_gateway_round, run_round,
};

/// Range of the fraction of requests that targets refuse with --surplus.
const REFUSED: std::ops::Range<f64> = 0.05..0.5;
/// Range of the fraction of responses that they send twice, or in an unusual way with --odd.
const REPEATED: std::ops::Range<f64> = 0.05..0.5;
/// Interval between two tries of one request that makes targets fall.
const CRASHING_INTERVAL: Duration = Duration::from_millis(900);
/// Exit code if a round could not run.
const EXIT_NOT_RUN: u8 = 2;

/// run rounds of random faults against real processes and check the guarantees
#[derive(FromArgs)]
struct SoakArguments {
    /// number of seeds (default 50)
    #[argh(option, default = "50")]
    seeds: u64,
    /// first seed (default: random)
    #[argh(option)]
    first_seed: Option<u64>,
    /// number of availability zones (default 2)
    #[argh(option, default = "2")]
    zones: usize,
    /// number of VMs in each zone (default 3)
    #[argh(option, default = "3")]
    vms: usize,
    /// number of targets in each zone (default 4)
    #[argh(option, default = "4")]
    targets: usize,
    /// duration of the faults of a round in seconds (default 15)
    #[argh(option, default = "15")]
    seconds: u64,
    /// play gateways instead, this many of them, on the stand-ins of the users' platform
    #[argh(option)]
    gateways: Option<usize>,
    /// with --gateways: part of the full load (default 1)
    #[argh(option, default = "1.0")]
    load: f64,
    /// with --gateways: targets refuse some requests and send some responses twice; the seed tells how many
    #[argh(switch)]
    surplus: bool,
    /// with --gateways: all targets send unusual responses of one kind; the seed tells which and how many
    #[argh(switch)]
    odd: bool,
    /// with --gateways: this many requests make the targets fall that run them, and come again and again
    /// (default 0)
    #[argh(option, default = "0")]
    crashing: usize,
    /// with --gateways: inject no faults; small VMs are starved as the seed tells
    #[argh(switch)]
    no_faults: bool,
    /// keep the logs of clean rounds too
    #[argh(switch)]
    keep: bool,
    /// path of the program under test (default: nickellead in the folder of this program)
    #[argh(option)]
    program: Option<PathBuf>,
    /// folder for files and logs (default: a new folder in the system's temporary folder)
    #[argh(option)]
    folder: Option<PathBuf>,
}

fn main() -> ExitCode {
    let arguments: SoakArguments = argh::from_env();
    let sibling_program = || Some(std::env::current_exe().ok()?.parent()?.join("nickellead"));
    let Some(program) = arguments.program.clone().or_else(sibling_program) else {
        println!("program under test not found: set --program PATH");
        return ExitCode::from(EXIT_NOT_RUN);
    };
    let temporary_folder =
        || std::env::temp_dir().join(format!("nickellead-soak-{}", std::process::id()));
    let folder = arguments.folder.clone().unwrap_or_else(temporary_folder);
    // Short seeds are easy to type when a failed round is repeated.
    let first = arguments.first_seed.unwrap_or_else(|| fastrand::u64(1_000..1_000_000));
    let (mut broken, mut not_played) = (0, 0);
    for seed in first..first.saturating_add(arguments.seeds) {
        let folder = folder.join(seed.to_string());
        let is_clean = match arguments.gateways {
            Some(vms) => play_gateways(&arguments, &program, &folder, seed, vms),
            None => play_vms(&arguments, &program, &folder, seed),
        };
        match is_clean {
            Ok(true) if arguments.keep => {}
            Ok(true) => {
                // Only failed rounds keep their logs; a leftover folder is harmless.
                let _ = std::fs::remove_dir_all(&folder);
            }
            Ok(false) => broken += 1,
            Err(error) => {
                println!("seed={seed} finding={error:?}");
                not_played += 1;
            }
        }
    }
    println!(
        "seeds={} broken={broken} not_played={not_played} logs={}",
        arguments.seeds,
        folder.display()
    );
    match (broken, not_played) {
        (0, 0) => ExitCode::SUCCESS,
        (0, _) => ExitCode::from(EXIT_NOT_RUN),
        _ => ExitCode::FAILURE,
    }
}

/// Plays one round of VMs; returns whether it was clean.
fn play_vms(
    arguments: &SoakArguments,
    program: &Path,
    folder: &Path,
    seed: u64,
) -> Result<bool, SoakError> {
    let size = FleetSize {
        zones: arguments.zones.max(1),
        vms_per_zone: arguments.vms.max(1),
        targets_per_zone: arguments.targets.max(1),
    };
    let settings = RoundSettings {
        program: program.to_owned(),
        folder: folder.to_owned(),
        size,
        fault_duration: Duration::from_secs(arguments.seconds),
        seed,
    };
    let report = run_round(&settings)?;
    print_round(seed, &report);
    Ok(report.is_clean())
}

/// How targets handle requests while no fault changes it.
fn target_behavior(arguments: &SoakArguments, seed: u64) -> TargetBehavior {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut fraction = |range: std::ops::Range<f64>| {
        let fraction = range.start + (range.end - range.start) * rng.f64();
        // As many digits as are printed.
        (fraction * 1_000.0).round() / 1_000.0
    };
    let (refused, repeated) = (fraction(REFUSED), fraction(REPEATED));
    if arguments.odd {
        return TargetBehavior::Odd {
            refused,
            answer: OddAnswer::random(&mut rng),
            fraction: repeated,
        };
    }
    match arguments.surplus {
        true => TargetBehavior::RespondTwice { refused, repeated },
        false => TargetBehavior::Serve,
    }
}

/// Plays one round of gateways; returns whether it was clean.
fn play_gateways(
    arguments: &SoakArguments,
    program: &Path,
    folder: &Path,
    seed: u64,
    vms: usize,
) -> Result<bool, SoakError> {
    let round = GatewayRound {
        program: program.to_owned(),
        folder: folder.to_owned(),
        site: GatewaySite { vms: vms.max(1), load: arguments.load },
        target_behavior: target_behavior(arguments, seed),
        crashing: (arguments.crashing > 0)
            .then_some(CrashingLoad { requests: arguments.crashing, interval: CRASHING_INTERVAL }),
        fault_duration: Duration::from_secs(arguments.seconds),
        seed,
        faults: if arguments.no_faults { RoundFaults::None } else { RoundFaults::Seeded },
    };
    let report = run_gateway_round(&round)?;
    print_gateways(seed, round.target_behavior, &report);
    let repeated: Vec<String> =
        report.repeated.iter().map(|(at, id)| format!("{} {id}", at.as_millis())).collect();
    // The list only helps to trace a failed round.
    let _ = std::fs::write(folder.join("repeated"), repeated.join("\n"));
    let _ = std::fs::write(folder.join("unpaid"), format!("{:#?}", report.unpaid));
    let odd_answers: Vec<String> =
        report.odd_answers.iter().map(|(id, answer)| format!("{id} {answer:?}")).collect();
    let _ = std::fs::write(folder.join("odd"), odd_answers.join("\n"));
    let _ = std::fs::write(folder.join("noted"), format!("{:#?}", report.handed_time.noted));
    let load = &report.load;
    let broken = format!("{:#?}\n{:#?}", load.broken_promises, load.run_twice);
    let _ = std::fs::write(folder.join("broken"), broken);
    let _ = std::fs::write(folder.join("schedule"), format!("{:#?}", report.schedule));
    Ok(report.is_clean())
}

fn print_round(seed: u64, report: &RoundReport) {
    println!(
        "seed={seed} clean={} faults={} sent={} answered={} refused={} unknown={} \
         recovery_ms={} {:?}",
        report.is_clean(),
        report.faults,
        report.sent,
        report.answered,
        report.refused,
        report.unknown,
        report.recovery.map_or(-1, |time| time.as_millis() as i64),
        report.verdict
    );
}

fn print_handed_time(label: &str, handed: &HandedTime) {
    println!(
        "  time handed on, {label}: exceeded={} arrivals={} overlong={} {:?} late_repeats={} overlong_repeats={}",
        handed.is_exceeded(),
        handed.arrivals,
        handed.overlong(),
        handed.overlong_by_route(),
        handed.late_repeats(),
        handed.overlong_repeats(),
    );
}

fn print_gateways(seed: u64, behavior: TargetBehavior, report: &GatewayReport) {
    let load = &report.load;
    println!(
        "seed={seed} clean={} targets={behavior:?} faults={} cycle={:?} sent={} served={} tries={} \
         statuses={:?} broken_promises={} run_twice={} run_again={} surplus={} odd={} endless={} most_bytes={}",
        report.is_clean(),
        report.schedule.faults.len(),
        report.schedule.cycle.map(|cycle| cycle.period),
        load.sent(),
        load.served(),
        load.tries,
        load.statuses,
        load.broken_promises.len(),
        load.run_twice.len(),
        load.run_again,
        report.surplus_responses,
        report.odd_answers.len(),
        report.endless_responses.len(),
        report.endless_responses.iter().max().unwrap_or(&0),
    );
    for (route, tally) in &load.routes {
        println!("  {route} sent={} served={}", tally.sent, tally.served);
    }
    for one in &report.repeats {
        println!(
            "  {} sent={} repeats={} worst={}/{:.0}",
            one.service, one.sent, one.repeats, one.worst, one.allowed
        );
    }
    println!("  {:?} {:?}", report.widespread_work, report.lateness);
    print_handed_time("all", &report.handed_time);
    print_handed_time("in touch", &report.handed_in_touch);
    println!("  {} watches cut by the store", report.cut_watches);
    for (path, request) in report.crashing.iter() {
        println!(
            "  {path} arrivals={} falls={} late={}",
            request.arrivals.len(),
            request.falls.len(),
            request.late_arrivals(|_, _| true)
        );
    }
    println!(
        "  crashing requests late: {} exceeded={}",
        report.most_late_crashing, report.crashing_exceeded
    );
    let sum = |name: &str| report.metrics.sum(name);
    let before_kill = report.unpaid.iter().filter(|arrival| arrival.before_kill).count();
    let errors: Vec<_> = report.metrics.labels("nickellead_errors_total").collect();
    println!("  errors of VMs: {errors:?}");
    let causes: Vec<_> = report.metrics.labels("nickellead_repeats_total").collect();
    println!(
        "  unpaid={} before_kill={} paid={} retries={} unacknowledged={} forwarded={} handed_over={} assisted={} \
         {causes:?}",
        report.unpaid.len() - before_kill,
        before_kill,
        sum("nickellead_repeats_total"),
        sum("nickellead_retries_total"),
        sum("nickellead_dispatch_unacknowledged_total"),
        sum("nickellead_dispatch_forwarded_total"),
        sum("nickellead_requests_handed_over_total"),
        sum("nickellead_requests_assisted_total"),
    );
}
