//! `gateway`: one VM on the platform's store.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use actix_rt::Runtime;
use actix_rt::signal::unix::{Signal, SignalKind, signal};
use argh::FromArgs;
use log::LevelFilter;
use nickellead_adapter::{
    HEADER_NAMES, ObjectStore, SETTINGS_VARIABLE, TargetOrders, read_settings,
};
use nickellead_gateway::{GatewayHandle, GatewaySettings, start_gateway};
use nickellead_run::{EventName, log_event};

use super::{EXIT_USAGE, fail};
use crate::logging::{LogOutput, start_logging};

/// Interval between two checks whether the settings file changed.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// run one gateway VM against the platform's store until SIGTERM or SIGINT
#[derive(FromArgs)]
#[argh(subcommand, name = "gateway")]
pub(super) struct GatewayCommand {
    /// settings file in JSON; defaults to the file named by the platform's environment variable
    #[argh(option)]
    settings: Option<PathBuf>,
    /// log level: error, warn, info or debug
    #[argh(option, default = "LevelFilter::Info")]
    log: LevelFilter,
}

/// Path of the settings file: the given one, or else the value of [`SETTINGS_VARIABLE`].
fn settings_path(given: Option<PathBuf>) -> Result<PathBuf, String> {
    let from_environment = || std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    given.or_else(from_environment).ok_or_else(|| {
        format!("no settings: give --settings FILE or set {SETTINGS_VARIABLE} to its path")
    })
}

fn read_file(path: &Path) -> Result<GatewaySettings, String> {
    let display = path.display();
    let text = std::fs::read(path).map_err(|error| format!("failed to read {display}: {error}"))?;
    read_settings(&text).map_err(|error| format!("{display}: {error}"))
}

/// Signal streams of the process; they replace the default action of each signal.
struct ProcessSignals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl ProcessSignals {
    /// Registers the streams; requires a running runtime.
    fn listen() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

/// Reloads the settings on SIGHUP or when the file changes; returns on SIGTERM or SIGINT.
async fn reload_until_stopped(
    mut signals: ProcessSignals,
    path: &Path,
    gateway: &mut GatewayHandle,
) {
    let modified_at = |path: &Path| std::fs::metadata(path).and_then(|data| data.modified()).ok();
    let mut last_modified = modified_at(path);
    loop {
        let signalled = tokio::select! {
            _ = signals.terminate.recv() => return,
            _ = signals.interrupt.recv() => return,
            _ = signals.hangup.recv() => true,
            () = tokio::time::sleep(SETTINGS_CHECK_INTERVAL) => false,
        };
        let modified = modified_at(path);
        if !signalled && modified == last_modified {
            continue;
        }
        last_modified = modified;
        match read_file(path) {
            Ok(settings) => gateway.reload(settings),
            Err(reason) => log_event(EventName::SettingsRejected, &[("reason", &reason)]),
        }
    }
}

/// Creates a runtime and registers the signal streams on it.
fn listen_for_signals() -> std::io::Result<(Runtime, ProcessSignals)> {
    let runtime = Runtime::new()?;
    let signals = runtime.block_on(async { ProcessSignals::listen() })?;
    Ok((runtime, signals))
}

impl GatewayCommand {
    pub(super) fn run(self) -> ExitCode {
        start_logging(self.log, LogOutput::Stdout);
        let read = settings_path(self.settings)
            .and_then(|path| read_file(&path).map(|settings| (path, settings)));
        let (path, settings) = match read {
            Ok(read) => read,
            Err(message) => return fail(EXIT_USAGE, &message),
        };
        // Registers signals before the VM accepts requests: the default action of a signal would end the
        // process and its requests in flight.
        let (runtime, signals) = match listen_for_signals() {
            Ok(listening) => listening,
            Err(error) => return fail(1, &error),
        };
        let store_address = settings.store_address;
        let ports = move || (ObjectStore::new(store_address), TargetOrders::default());
        let mut gateway = match start_gateway(settings, HEADER_NAMES, ports) {
            Ok(gateway) => gateway,
            Err(error) => return fail(EXIT_USAGE, &error),
        };
        runtime.block_on(reload_until_stopped(signals, &path, &mut gateway));
        if gateway.stop() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
    }
}
