//! `standin`: stand-ins for platform, targets and callers as separate processes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use nickellead_core::Name;
use nickellead_standin::{
    CallerSettings, LoadSettings, PlatformSettings, SharedState, StandinPlatform, StandinTarget,
    TargetSettings, run_load,
};

use super::run::wait_for_signal;
use super::{EXIT_USAGE, fail};

/// run a stand-in for the platform, a target or callers
#[derive(FromArgs)]
#[argh(subcommand, name = "standin")]
pub(super) struct StandinCommand {
    #[argh(subcommand)]
    kind: StandinKind,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum StandinKind {
    Platform(PlatformCommand),
    Target(TargetCommand),
    Load(LoadCommand),
}

/// serve the platform's object API from memory
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformCommand {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// list of VMs, a JSON file
    #[argh(option)]
    vms: PathBuf,
}

/// run one target that checks grants
#[derive(FromArgs)]
#[argh(subcommand, name = "target")]
struct TargetCommand {
    /// name of the declared target
    #[argh(option)]
    name: String,
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// number of requests to run concurrently
    #[argh(option, default = "4")]
    slots: u16,
    /// number of requests that may wait for a slot
    #[argh(option, default = "64")]
    queue: u16,
    /// service time of a request, in microseconds
    #[argh(option, default = "1000")]
    service_us: u64,
    /// file to append every effect to
    #[argh(option)]
    effects: Option<PathBuf>,
}

/// send a load for a limited time and print the results as JSON
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
struct LoadCommand {
    /// callers' address of an entry VM; repeatable
    #[argh(option)]
    entry: Vec<SocketAddr>,
    /// name of the service
    #[argh(option)]
    service: String,
    /// name of the operation
    #[argh(option)]
    operation: String,
    /// HTTP method
    #[argh(option, default = "String::from(\"GET\")")]
    method: String,
    /// number the operations, so that repeated ones can be detected
    #[argh(switch)]
    once: bool,
    /// number of concurrent callers
    #[argh(option, default = "8")]
    callers: u32,
    /// number of keys
    #[argh(option, default = "1000")]
    keys: u32,
    /// duration in seconds; at most 600
    #[argh(option, default = "5")]
    seconds: u64,
    /// think time of a caller between two requests, in milliseconds
    #[argh(option, default = "5")]
    pause_ms: u64,
}

impl StandinCommand {
    pub(super) fn run(self) -> ExitCode {
        let outcome = match self.kind {
            StandinKind::Platform(command) => command.run(),
            StandinKind::Target(command) => command.run(),
            StandinKind::Load(command) => command.run(),
        };
        match outcome {
            Ok(()) => ExitCode::SUCCESS,
            Err(message) => fail(EXIT_USAGE, &message),
        }
    }
}

impl PlatformCommand {
    fn run(self) -> Result<(), String> {
        let text = std::fs::read(&self.vms).map_err(|error| format!("--vms: {error}"))?;
        let vms = nickellead_api::read_json(&text).map_err(|error| format!("--vms: {error}"))?;
        let settings = PlatformSettings { address: self.listen, vms };
        let _platform = StandinPlatform::start(settings).map_err(|error| error.to_string())?;
        announce(self.listen);
        wait_for_signal().map_err(|error| error.to_string())
    }
}

/// Prints to standard error that a stand-in accepts connections.
fn announce(address: SocketAddr) {
    eprintln!("event=standin-started address={address}");
}

impl TargetCommand {
    fn run(self) -> Result<(), String> {
        let settings = TargetSettings {
            name: Name::new(&self.name).map_err(|error| format!("--name {error}"))?,
            address: self.listen,
            slots: self.slots,
            queue_capacity: self.queue,
            service_time_us: self.service_us,
        };
        let shared = match &self.effects {
            Some(path) => SharedState::with_effect_log(path).map_err(|error| error.to_string())?,
            None => SharedState::default(),
        };
        let target = StandinTarget::start(settings, shared);
        let _target = target.map_err(|error| error.to_string())?;
        announce(self.listen);
        wait_for_signal().map_err(|error| error.to_string())
    }
}

impl LoadCommand {
    fn run(self) -> Result<(), String> {
        if self.seconds > 600 {
            return Err("--seconds must be at most 600".to_owned());
        }
        let group = CallerSettings {
            service: self.service,
            operation: self.operation,
            method: self.method,
            at_most_once: self.once,
            callers: self.callers,
            keys: self.keys,
        };
        let settings = LoadSettings {
            entry_addresses: self.entry,
            groups: vec![group],
            duration: Duration::from_secs(self.seconds),
            think_time: Duration::from_millis(self.pause_ms),
            seed: 1,
        };
        let runtime = actix_rt::Runtime::new().map_err(|error| error.to_string())?;
        let mut report = runtime.block_on(run_load(settings));
        report.done.clear();
        report.not_run.clear();
        let text = serde_json::to_string(&report).map_err(|error| error.to_string())?;
        super::print_line(&text);
        Ok(())
    }
}
