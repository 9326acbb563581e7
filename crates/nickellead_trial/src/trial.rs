//! Runs a trial: start, load with faults, checks and report.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use nickellead_api::ObjectKind;
use nickellead_lease::PlacementObject;
use nickellead_platform::PlatformError;
use nickellead_standin::{CallerSettings, LoadReport, LoadSettings, evaluate_run, run_load};
use thiserror::Error;

use crate::deployment::TrialDeployment;
use crate::owner_monitor::OwnerMonitor;
use crate::report::TrialReport;
use crate::services::{SERVICES, TrialService};

/// Number of callers of each service.
const CALLERS_PER_SERVICE: u32 = 12;
/// Number of keys that callers of a service use.
const KEYS_PER_SERVICE: u32 = 2_000;
/// Delay of a caller between a response and its next request.
const THINK_TIME: Duration = Duration::from_millis(5);
/// Maximum time until every shard has an owner and every VM is ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Service and number of the target that crashes.
const CRASHED_TARGET: (&str, u16) = ("slots", 0);
/// Service and number of the target that is drained.
const DRAINED_TARGET: (&str, u16) = ("landings", 1);

/// Settings of a trial.
#[derive(Clone, Copy, Debug)]
pub struct TrialSettings {
    /// Duration of the load in seconds.
    pub seconds: u64,
    /// Seed of the callers' keys and operations.
    pub seed: u64,
}

impl Default for TrialSettings {
    fn default() -> Self {
        Self { seconds: 15, seed: 1 }
    }
}

/// Reasons why a trial could not run.
#[derive(Debug, Error)]
pub enum TrialError {
    /// A VM, a name or the load could not be set up.
    #[error("failed to start the trial: {0}")]
    Start(String),
    /// The operating system returned an error for a listener or a thread.
    #[error("operating system error: {0}")]
    System(#[from] std::io::Error),
    /// The platform did not accept a declaration.
    #[error("failed to write a declaration: {0}")]
    Declare(#[from] PlatformError),
    /// The deployment was not up in time: the timeout, and the shards that had an owner.
    #[error("deployment not up after {0:?}: {1} shards have an owner")]
    NotUp(Duration, usize),
}

/// Runs a trial; calls `progress` with a text at each step.
///
/// # Errors
/// A [`TrialError`] if the trial could not run. Violated guarantees are part of the
/// report instead.
pub fn run_trial(
    settings: TrialSettings,
    progress: &dyn Fn(&str),
) -> Result<TrialReport, TrialError> {
    let mut deployment = TrialDeployment::start()?;
    let runtime = actix_rt::Runtime::new()?;
    progress("started: platform, 66 targets, 9 VMs in 3 availability zones");
    runtime.block_on(deployment.declare())?;
    wait_until_up(&deployment)?;
    progress("up: every shard of 8 services has an owner, every VM is ready");
    let before = count_epochs(&deployment);
    let monitor = OwnerMonitor::start(running_targets(&deployment))?;
    let calls = platform_calls(&deployment);
    let report = run_load_with_faults(&mut deployment, settings, &runtime, progress)?;
    let platform_calls = platform_calls(&deployment) - calls;
    let owners_at_once = monitor.finish();
    let after = count_epochs(&deployment);
    let mut trial = summarize(&deployment, &report, after, before);
    trial.verdict.owners_at_once_max = trial.verdict.owners_at_once_max.max(owners_at_once);
    trial.seconds = settings.seconds;
    trial.platform_calls = platform_calls;
    progress("stopping");
    let vms = std::mem::take(&mut deployment.vms);
    let stops: Vec<_> = vms.into_iter().map(|vm| std::thread::spawn(move || vm.stop())).collect();
    for stop in stops {
        // A VM that exceeds its stop timeout logs that; the report does not depend on it.
        let _ = stop.join();
    }
    Ok(trial)
}

fn wait_until_up(deployment: &TrialDeployment) -> Result<(), TrialError> {
    let end = Instant::now() + START_TIMEOUT;
    while !deployment.is_ready() || deployment.owned_shards() < TrialDeployment::total_shards() {
        if Instant::now() > end {
            return Err(TrialError::NotUp(START_TIMEOUT, deployment.owned_shards()));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

fn running_targets(
    deployment: &TrialDeployment,
) -> Vec<(String, nickellead_standin::StandinTarget)> {
    let running = |target: &crate::deployment::TrialTarget| {
        let running = target.running.clone()?;
        Some((target.spec.service.to_string(), running))
    };
    deployment.targets.iter().filter_map(running).collect()
}

/// Sends the load; crashes a target after one third of it and drains another after two thirds.
fn run_load_with_faults(
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
    let crashed = target_index(deployment, CRASHED_TARGET);
    progress(&format!("crashing target {}-{}", CRASHED_TARGET.0, CRASHED_TARGET.1));
    if let Some(target) = deployment.targets[crashed].running.take() {
        target.crash();
    }
    std::thread::sleep(third);
    progress(&format!("draining target {}-{}", DRAINED_TARGET.0, DRAINED_TARGET.1));
    runtime.block_on(deployment.drain(target_index(deployment, DRAINED_TARGET)))?;
    match callers.join() {
        Ok(report) => Ok(report?),
        Err(_) => Err(TrialError::Start("the thread of the callers panicked".to_owned())),
    }
}

fn load_settings(deployment: &TrialDeployment, settings: TrialSettings) -> LoadSettings {
    let group = |service: &TrialService| CallerSettings {
        service: service.name.to_owned(),
        operation: service.operation.name.to_owned(),
        method: service.operation.method.to_owned(),
        at_most_once: service.operation.at_most_once,
        callers: CALLERS_PER_SERVICE,
        keys: KEYS_PER_SERVICE,
    };
    LoadSettings {
        entry_addresses: deployment.callers_addresses.clone(),
        groups: SERVICES.iter().map(group).collect(),
        duration: Duration::from_secs(settings.seconds),
        think_time: THINK_TIME,
        seed: settings.seed,
    }
}

fn target_index(deployment: &TrialDeployment, (service, number): (&str, u16)) -> usize {
    let target_name = format!("{service}-{number}");
    let mut targets = deployment.targets.iter();
    targets.position(|target| target.name.as_str() == target_name).unwrap_or(0)
}

fn platform_calls(deployment: &TrialDeployment) -> u64 {
    deployment.vms.iter().map(nickellead_run::NodeHandle::platform_calls).sum()
}

/// Sums the epochs of all shards, and counts the shards of the targets to crash and drain.
fn count_epochs(deployment: &TrialDeployment) -> (u64, u64) {
    let store = deployment.platform.store();
    let faulted_names =
        [CRASHED_TARGET, DRAINED_TARGET].map(|(service, number)| format!("{service}-{number}"));
    let (mut epochs, mut faulted_shards) = (0, 0);
    for object in store.list(ObjectKind::Placement) {
        let Ok(placement) = serde_json::from_value::<PlacementObject>(object.spec) else {
            continue;
        };
        for owner in &placement.owners {
            epochs += owner.1.0;
            let target = placement.targets.get((owner.0 as usize).wrapping_sub(1));
            let is_faulted = target
                .is_some_and(|target| faulted_names.iter().any(|name| name == target.as_str()));
            faulted_shards += u64::from(is_faulted);
        }
    }
    (epochs, faulted_shards)
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

/// Largest ratio of the maximum to the mean number of shards per target, over services and zones.
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
        let max = counts.iter().max().copied().unwrap_or(0) as f64;
        max * counts.len() as f64 / counts.iter().sum::<usize>().max(1) as f64
    };
    groups.values().map(ratio).fold(1.0, f64::max)
}
