//! `try`: a small deployment in one process, with faults, checked against the recorded effects.

use std::process::ExitCode;

use argh::FromArgs;
use log::LevelFilter;
use nickellead_trial::{TrialSettings, run_trial};

use super::{EXIT_USAGE, fail, print_line};
use crate::logging::{LogOutput, start_logging};

/// run a small deployment with stand-ins in one process and report the results
#[derive(FromArgs)]
#[argh(subcommand, name = "try")]
pub(super) struct TryCommand {
    /// duration of the load in seconds, from 3 to 600
    #[argh(option, default = "TrialSettings::default().seconds")]
    seconds: u64,
    /// print the report as JSON
    #[argh(switch)]
    json: bool,
    /// log level: off, error, warn, info or debug
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
