//! `gateway`: one VM on the users' platform.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use actix_rt::Runtime;
use actix_rt::signal::unix::{Signal, SignalKind, signal};
use argh::FromArgs;
use log::LevelFilter;
use nickellead_adapter::{HEADER_NAMES, ObjectStore, SETTINGS_VARIABLE, TargetOrders};
use nickellead_gateway::{GatewayHandle, GatewaySettings, start_gateway};
use nickellead_run::{EventName, log_event};

use super::{EXIT_USAGE, fail};
use crate::logging::{LogOutput, start_logging};

/// Between two looks at the settings file, which may change without a signal.
const SETTINGS_LOOK: Duration = Duration::from_secs(2);

/// run one gateway VM against the platform's store until SIGTERM or SIGINT
#[derive(FromArgs)]
#[argh(subcommand, name = "gateway")]
pub(super) struct GatewayCommand {
    /// settings, a JSON file; without it the platform's environment variable names the file
    #[argh(option)]
    settings: Option<PathBuf>,
    /// loudness of the log: error, warn, info or debug
    #[argh(option, default = "LevelFilter::Info")]
    log: LevelFilter,
}

/// The path of the settings: as given, or as the platform says.
fn settings_path(given: Option<PathBuf>) -> Result<PathBuf, String> {
    let named = || std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    given.or_else(named).ok_or_else(|| {
        format!("no settings: give --settings FILE or set {SETTINGS_VARIABLE} to its path")
    })
}

fn read_settings(path: &Path) -> Result<GatewaySettings, String> {
    let shown = path.display();
    let text = std::fs::read(path).map_err(|error| format!("{shown} can't be read: {error}"))?;
    GatewaySettings::read(&text).map_err(|error| format!("{shown}: {error}"))
}

/// The signals that a VM heeds: once they are listened for, none of them ends the process by itself.
struct ProcessSignals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl ProcessSignals {
    /// Listens for them; to be called inside the runtime.
    fn listen() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

/// Reads the settings again on SIGHUP or when the file changed, until SIGTERM or SIGINT.
async fn reload_until_stopped(
    mut signals: ProcessSignals,
    path: &Path,
    gateway: &mut GatewayHandle,
) {
    let changed = |path: &Path| std::fs::metadata(path).and_then(|data| data.modified()).ok();
    let mut known = changed(path);
    loop {
        let signalled = tokio::select! {
            _ = signals.terminate.recv() => return,
            _ = signals.interrupt.recv() => return,
            _ = signals.hangup.recv() => true,
            () = tokio::time::sleep(SETTINGS_LOOK) => false,
        };
        let now = changed(path);
        if !signalled && now == known {
            continue;
        }
        known = now;
        match read_settings(path) {
            Ok(settings) => gateway.reload(settings),
            Err(reason) => log_event(EventName::SettingsRejected, &[("reason", &reason)]),
        }
    }
}

/// The runtime of the signals, and the signals.
fn listen_for_signals() -> std::io::Result<(Runtime, ProcessSignals)> {
    let runtime = Runtime::new()?;
    let signals = runtime.block_on(async { ProcessSignals::listen() })?;
    Ok((runtime, signals))
}

impl GatewayCommand {
    pub(super) fn run(self) -> ExitCode {
        start_logging(self.log, LogOutput::Stdout);
        let read = settings_path(self.settings)
            .and_then(|path| read_settings(&path).map(|settings| (path, settings)));
        let (path, settings) = match read {
            Ok(read) => read,
            Err(message) => return fail(EXIT_USAGE, &message),
        };
        // Before the VM can be reached: a signal that nobody listens for ends the process, and with it the
        // requests that are under way.
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
