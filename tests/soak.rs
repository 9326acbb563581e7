//! A short soak round with a fixed seed against the built program.
#![allow(clippy::unwrap_used)]

use std::path::PathBuf;
use std::time::Duration;

use nickellead_soak::{FleetSize, RoundSettings, run_round};

/// Long enough for several faults to overlap.
const FAULT_DURATION: Duration = Duration::from_secs(6);

/// Runs the round of one seed.
fn run_seed(seed: u64) {
    let folder = format!("soak-{}-{seed}", std::process::id());
    let settings = RoundSettings {
        program: PathBuf::from(env!("CARGO_BIN_EXE_nickellead")),
        folder: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(folder),
        size: FleetSize { zones: 2, vms_per_zone: 2, targets_per_zone: 3 },
        fault_duration: FAULT_DURATION,
        seed,
    };
    let report = run_round(&settings).unwrap();
    assert!(report.is_clean(), "seed {seed}: {report:?}; logs in {:?}", settings.folder);
    assert!(report.answered > 100, "{report:?}");
}

#[test]
fn a_short_round_of_faults_violates_no_guarantee() {
    run_seed(1);
}
