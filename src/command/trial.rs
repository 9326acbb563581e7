//! `try`: both trades in one process, disturbed, judged and reported.

use std::process::ExitCode;

use argh::FromArgs;
use log::LevelFilter;
use nickellead_trial::{TrialSettings, run_trial};

use super::{EXIT_USAGE, fail, print_line};
use crate::logging::{LogOutput, start_logging};

/// run a small deployment of both trades on stand-ins and report what it showed
#[derive(FromArgs)]
#[argh(subcommand, name = "try")]
pub(super) struct TryCommand {
    /// length of the load in seconds, from 3 to 600
    #[argh(option, default = "TrialSettings::default().seconds")]
    seconds: u64,
    /// print the report as JSON
    #[argh(switch)]
    json: bool,
    /// loudness of the log: off, error, warn, info or debug
    #[argh(option, default = "LevelFilter::Off")]
    log: LevelFilter,
}

impl TryCommand {
    pub(super) fn run(self) -> ExitCode {
        if !(3..=600).contains(&self.seconds) {
            return fail(EXIT_USAGE, &"--seconds must be from 3 to 600");
        }
        start_logging(self.log, LogOutput::Stderr);
        let settings = TrialSettings { seconds: self.seconds, ..TrialSettings::default() };
        let report = match run_trial(settings, &|text| eprintln!("{text}")) {
            Ok(report) => report,
            Err(error) => return fail(1, &error),
        };
        if self.json {
            print_line(&serde_json::to_string(&report).unwrap_or_default());
        } else {
            print_line(&report.to_string());
        }
        if report.is_clean() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
    }
}
