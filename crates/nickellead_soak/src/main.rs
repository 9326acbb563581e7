//! Runs rounds with consecutive seeds and prints one line per round.
#![allow(clippy::print_stdout, reason = "the printed lines are the output of the program")]

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use nickellead_soak::{FleetSize, RoundReport, RoundSettings, SoakError, run_round};

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
    let size = FleetSize {
        zones: arguments.zones.max(1),
        vms_per_zone: arguments.vms.max(1),
        targets_per_zone: arguments.targets.max(1),
    };
    let (mut broken, mut not_played) = (0, 0);
    for seed in first..first.saturating_add(arguments.seeds) {
        let folder = folder.join(seed.to_string());
        let fault_duration = Duration::from_secs(arguments.seconds);
        let settings =
            RoundSettings { program: program.clone(), folder, size, fault_duration, seed };
        let result = run_round(&settings);
        print_round(seed, &result);
        match result {
            Ok(report) if report.is_clean() => {
                // Only failed rounds keep their logs; a leftover folder is harmless.
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
        (0, _) => ExitCode::from(EXIT_NOT_RUN),
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
