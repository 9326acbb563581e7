//! The course of a trial.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use nickellead_api::ObjectKind;
use nickellead_lease::PlacementObject;
use nickellead_platform::PlatformError;
use nickellead_standin::{CallerSettings, LoadReport, LoadSettings, evaluate_run, run_load};
use thiserror::Error;

use crate::deployment::TrialDeployment;
use crate::report::TrialReport;
use crate::trades::{SERVICES, TradeService};
use crate::watch::OwnerWatch;

/// Callers of each service.
const CALLERS: u32 = 12;
/// Keys that callers of a service name.
const KEYS: u32 = 2_000;
/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(5);
/// How long everything may take to come up.
const START_LIMIT: Duration = Duration::from_secs(20);
/// The target that is lost, by its place among those of its service.
const LOST: (&str, u16) = ("slots", 0);
/// The target that is drained.
const DRAINED: (&str, u16) = ("landings", 1);

/// What a trial is to do.
#[derive(Clone, Copy, Debug)]
pub struct TrialSettings {
    /// Length of the load in seconds.
    pub seconds: u64,
    /// Seed of keys and order.
    pub seed: u64,
}

impl Default for TrialSettings {
    fn default() -> Self {
        Self { seconds: 15, seed: 1 }
    }
}

/// Why a trial could not be run.
#[derive(Debug, Error)]
pub enum TrialError {
    /// A part could not be started.
    #[error("a part can't be started: {0}")]
    Start(String),
    /// The system refused a listener or a thread.
    #[error("the system refuses: {0}")]
    System(#[from] std::io::Error),
    /// A declaration could not be written.
    #[error("a declaration can't be written: {0}")]
    Declare(#[from] PlatformError),
    /// Not every shard got an owner.
    #[error("after {0:?} only {1} shards have an owner")]
    NotUp(Duration, usize),
}

/// Runs a trial; `progress` is told what happens.
///
/// # Errors
/// A [`TrialError`] when the trial itself could not be run; broken promises
/// stand in the report.
pub fn run_trial(
    settings: TrialSettings,
    progress: &dyn Fn(&str),
) -> Result<TrialReport, TrialError> {
    let mut deployment = TrialDeployment::start()?;
    let runtime = actix_rt::Runtime::new()?;
    progress("started: platform, 66 targets, 9 entry VMs in 3 availability zones");
    runtime.block_on(deployment.declare())?;
    wait_until_up(&deployment)?;
    progress("up: every shard of 8 services has an owner, every VM is ready");
    let before = count_epochs(&deployment);
    let watch = OwnerWatch::start(watched(&deployment))?;
    let calls = platform_calls(&deployment);
    let report = disturb(&mut deployment, settings, &runtime, progress)?;
    let platform_calls = platform_calls(&deployment) - calls;
    let owners_at_once = watch.finish();
    let after = count_epochs(&deployment);
    let mut trial = summarize(&deployment, &report, after, before);
    trial.verdict.owners_at_once_max = trial.verdict.owners_at_once_max.max(owners_at_once);
    trial.seconds = settings.seconds;
    trial.platform_calls = platform_calls;
    progress("stopping");
    let vms = std::mem::take(&mut deployment.vms);
    let stops: Vec<_> = vms.into_iter().map(|vm| std::thread::spawn(move || vm.stop())).collect();
    for stop in stops {
        // A stop that took too long was logged; the report does not hang on it.
        let _ = stop.join();
    }
    Ok(trial)
}

fn wait_until_up(deployment: &TrialDeployment) -> Result<(), TrialError> {
    let end = Instant::now() + START_LIMIT;
    while !deployment.is_ready() || deployment.owned_shards() < TrialDeployment::shards() {
        if Instant::now() > end {
            return Err(TrialError::NotUp(START_LIMIT, deployment.owned_shards()));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

fn watched(deployment: &TrialDeployment) -> Vec<(String, nickellead_standin::StandinTarget)> {
    let running = |target: &crate::deployment::TrialTarget| {
        let running = target.running.clone()?;
        Some((target.spec.service.to_string(), running))
    };
    deployment.targets.iter().filter_map(running).collect()
}

/// Sends the load; a third in a target is lost, two thirds in another is drained.
fn disturb(
    deployment: &mut TrialDeployment,
    settings: TrialSettings,
    runtime: &actix_rt::Runtime,
    progress: &dyn Fn(&str),
) -> Result<LoadReport, TrialError> {
    let load = load_settings(deployment, settings);
    let callers = std::thread::Builder::new()
        .name("callers".to_owned())
        .spawn(move || actix_rt::Runtime::new().map(|runtime| runtime.block_on(run_load(load))))?;
    let third = Duration::from_secs(settings.seconds) / 3;
    std::thread::sleep(third);
    let lost = place_of(deployment, LOST);
    progress(&format!("losing target {}-{}", LOST.0, LOST.1));
    if let Some(target) = deployment.targets[lost].running.take() {
        target.crash();
    }
    std::thread::sleep(third);
    progress(&format!("draining target {}-{}", DRAINED.0, DRAINED.1));
    runtime.block_on(deployment.drain(place_of(deployment, DRAINED)))?;
    match callers.join() {
        Ok(report) => Ok(report?),
        Err(_) => Err(TrialError::Start("the callers broke off".to_owned())),
    }
}

fn load_settings(deployment: &TrialDeployment, settings: TrialSettings) -> LoadSettings {
    let group = |service: &TradeService| CallerSettings {
        service: service.name.to_owned(),
        operation: service.operation.name.to_owned(),
        method: service.operation.method.to_owned(),
        at_most_once: service.operation.once,
        callers: CALLERS,
        keys: KEYS,
    };
    LoadSettings {
        entry_addresses: deployment.callers.clone(),
        groups: SERVICES.iter().map(group).collect(),
        duration: Duration::from_secs(settings.seconds),
        think_time: PAUSE,
        seed: settings.seed,
    }
}

fn place_of(deployment: &TrialDeployment, (service, number): (&str, u16)) -> usize {
    let wanted = format!("{service}-{number}");
    let mut targets = deployment.targets.iter();
    targets.position(|target| target.name.as_str() == wanted).unwrap_or(0)
}

fn platform_calls(deployment: &TrialDeployment) -> u64 {
    deployment.vms.iter().map(nickellead_run::NodeHandle::platform_calls).sum()
}

/// All epochs ever granted, and the shards of the targets that will be disturbed.
fn count_epochs(deployment: &TrialDeployment) -> (u64, u64) {
    let store = deployment.platform.store();
    let disturbed = [LOST, DRAINED].map(|(service, number)| format!("{service}-{number}"));
    let (mut epochs, mut least) = (0, 0);
    for object in store.list(ObjectKind::Placement) {
        let Ok(placement) = serde_json::from_value::<PlacementObject>(object.spec) else {
            continue;
        };
        for owner in &placement.owners {
            epochs += owner.1.0;
            let target = placement.targets.get((owner.0 as usize).wrapping_sub(1));
            let hit =
                target.is_some_and(|target| disturbed.iter().any(|name| name == target.as_str()));
            least += u64::from(hit);
        }
    }
    (epochs, least)
}

fn summarize(
    deployment: &TrialDeployment,
    load: &LoadReport,
    after: (u64, u64),
    before: (u64, u64),
) -> TrialReport {
    let mut unavailable = load.unavailable_ms.clone();
    unavailable.sort_unstable();
    let p99 = (unavailable.len() * 99).div_ceil(100).saturating_sub(1);
    let moves = after.0.saturating_sub(before.0);
    TrialReport {
        verdict: evaluate_run(&deployment.shared.effects(), load),
        answered: load.answered,
        refused: load.refused,
        unknown: load.unknown,
        errors: load.errors.clone().into_iter().collect::<BTreeMap<_, _>>(),
        unavailable_ms_p99: unavailable.get(p99).copied().unwrap_or(0),
        unavailable_ms_max: unavailable.last().copied().unwrap_or(0),
        latency_us: load.latency_us,
        imbalance: imbalance(deployment),
        churn: moves as f64 / before.1.max(1) as f64,
        moves,
        ..TrialReport::default()
    }
}

/// Largest over services and zones of: most shards of a target, over the mean.
fn imbalance(deployment: &TrialDeployment) -> f64 {
    let mut groups: BTreeMap<(&str, &str), Vec<usize>> = BTreeMap::new();
    for target in &deployment.targets {
        let owned = target.running.as_ref().map_or(0, |target| target.owned_shards().len());
        if owned > 0 {
            let group = (target.spec.service.as_str(), target.spec.zone.as_str());
            groups.entry(group).or_default().push(owned);
        }
    }
    let ratio = |counts: &Vec<usize>| {
        let most = counts.iter().max().copied().unwrap_or(0) as f64;
        most * counts.len() as f64 / counts.iter().sum::<usize>().max(1) as f64
    };
    groups.values().map(ratio).fold(1.0, f64::max)
}
