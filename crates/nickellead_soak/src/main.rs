//! Plays rounds with seeds in a row and prints a line for each.
#![allow(clippy::print_stdout, reason = "the lines are the program's result")]

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use nickellead_soak::{FleetSize, RoundReport, RoundSettings, SoakError, play_round};

/// Exit code when a round could not be played.
const EXIT_NOT_PLAYED: u8 = 2;

/// play rounds of random faults against real processes, and judge the promises
#[derive(FromArgs)]
struct SoakArguments {
    /// how many seeds (default 50)
    #[argh(option, default = "50")]
    seeds: u64,
    /// the first seed (default: drawn)
    #[argh(option)]
    first_seed: Option<u64>,
    /// availability zones (default 2)
    #[argh(option, default = "2")]
    zones: usize,
    /// VMs in each zone (default 3)
    #[argh(option, default = "3")]
    vms: usize,
    /// targets in each zone (default 4)
    #[argh(option, default = "4")]
    targets: usize,
    /// seconds of faults in a round (default 15)
    #[argh(option, default = "15")]
    seconds: u64,
    /// the program under test (default: beside this one)
    #[argh(option)]
    program: Option<PathBuf>,
    /// folder for files and logs (default: a new one in the system's folder for such)
    #[argh(option)]
    folder: Option<PathBuf>,
}

fn main() -> ExitCode {
    let arguments: SoakArguments = argh::from_env();
    let beside = || Some(std::env::current_exe().ok()?.parent()?.join("nickellead"));
    let Some(program) = arguments.program.clone().or_else(beside) else {
        println!("no program: give --program PATH");
        return ExitCode::from(EXIT_NOT_PLAYED);
    };
    let scratch = || std::env::temp_dir().join(format!("nickellead-soak-{}", std::process::id()));
    let folder = arguments.folder.clone().unwrap_or_else(scratch);
    // Seeds stay short, so that a failed one is easily typed again.
    let first = arguments.first_seed.unwrap_or_else(|| fastrand::u64(1_000..1_000_000));
    let size = FleetSize {
        zones: arguments.zones.max(1),
        vms_per_zone: arguments.vms.max(1),
        targets_per_zone: arguments.targets.max(1),
    };
    let (mut broken, mut not_played) = (0, 0);
    for seed in first..first.saturating_add(arguments.seeds) {
        let folder = folder.join(seed.to_string());
        let length = Duration::from_secs(arguments.seconds);
        let settings = RoundSettings { program: program.clone(), folder, size, length, seed };
        let result = play_round(&settings);
        print_round(seed, &result);
        match result {
            Ok(report) if report.is_clean() => {
                // Only findings keep their logs; a folder that stays does no harm.
                let _ = std::fs::remove_dir_all(&settings.folder);
            }
            Ok(_) => broken += 1,
            Err(_) => not_played += 1,
        }
    }
    println!(
        "seeds={} broken={broken} not_played={not_played} logs={}",
        arguments.seeds,
        folder.display()
    );
    match (broken, not_played) {
        (0, 0) => ExitCode::SUCCESS,
        (0, _) => ExitCode::from(EXIT_NOT_PLAYED),
        _ => ExitCode::FAILURE,
    }
}

fn print_round(seed: u64, result: &Result<RoundReport, SoakError>) {
    match result {
        Ok(report) => println!(
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
        ),
        Err(error) => println!("seed={seed} finding={error:?}"),
    }
}
