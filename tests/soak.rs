//! A short seeded round of the soak against the program as it was just built.
#![allow(clippy::unwrap_used)]

use std::path::PathBuf;
use std::time::Duration;

use nickellead_soak::{FleetSize, RoundSettings, play_round};

/// Long enough for several faults to overlap, short enough for every landing.
const LENGTH: Duration = Duration::from_secs(6);

/// Plays the round of one seed.
fn play(seed: u64) {
    let folder = format!("soak-{}-{seed}", std::process::id());
    let settings = RoundSettings {
        program: PathBuf::from(env!("CARGO_BIN_EXE_nickellead")),
        folder: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(folder),
        size: FleetSize { zones: 2, vms_per_zone: 2, targets_per_zone: 3 },
        length: LENGTH,
        seed,
    };
    let report = play_round(&settings).unwrap();
    assert!(report.is_clean(), "seed {seed}: {report:?}; logs in {:?}", settings.folder);
    assert!(report.answered > 100, "{report:?}");
}

#[test]
fn a_short_round_of_faults_breaks_no_promise() {
    play(1);
}
