//! `run` and `check`: one entry VM.

use std::path::PathBuf;
use std::process::ExitCode;

use actix_rt::signal::unix::{SignalKind, signal};
use argh::FromArgs;
use log::LevelFilter;
use nickellead_run::{NodeSettings, start_node};

use super::{EXIT_USAGE, fail};
use crate::logging::{LogOutput, start_logging};

/// run one entry VM until SIGTERM or SIGINT
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
pub(super) struct RunCommand {
    /// settings file in JSON
    #[argh(option)]
    settings: PathBuf,
    /// log level: error, warn, info or debug
    #[argh(option, default = "LevelFilter::Info")]
    log: LevelFilter,
}

/// validate a settings file without starting a VM
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(super) struct CheckCommand {
    /// settings file in JSON
    #[argh(option)]
    settings: PathBuf,
}

fn read_settings(path: &PathBuf) -> Result<NodeSettings, String> {
    let display = path.display();
    let text = std::fs::read(path).map_err(|error| format!("failed to read {display}: {error}"))?;
    NodeSettings::read(&text).map_err(|error| format!("{display}: {error}"))
}

impl CheckCommand {
    pub(super) fn run(self) -> ExitCode {
        match read_settings(&self.settings) {
            Ok(settings) => {
                eprintln!("settings of VM {} are fine", settings.vm);
                ExitCode::SUCCESS
            }
            Err(message) => fail(EXIT_USAGE, &message),
        }
    }
}

impl RunCommand {
    pub(super) fn run(self) -> ExitCode {
        let settings = match read_settings(&self.settings) {
            Ok(settings) => settings,
            Err(message) => return fail(EXIT_USAGE, &message),
        };
        start_logging(self.log, LogOutput::Stderr);
        let node = match start_node(settings) {
            Ok(node) => node,
            Err(error) => return fail(EXIT_USAGE, &error),
        };
        if let Err(error) = wait_for_signal() {
            return fail(1, &error);
        }
        if node.stop() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
    }
}

/// Blocks until SIGTERM or SIGINT.
pub(super) fn wait_for_signal() -> std::io::Result<()> {
    actix_rt::Runtime::new()?.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        Ok(())
    })
}
