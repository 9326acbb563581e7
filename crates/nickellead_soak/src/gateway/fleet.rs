//! Gateways as real processes, and the stand-ins that they use.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use nickellead_adapter_standin::{
    CallerSettings, CrashingLoad, RequestLedger, StandinStore, StandinTargets, TargetBehavior,
    TargetSettings, VmAddress,
};
use serde_json::json;
use tokio::sync::watch;

use super::disturbances::VmDisturbances;
use super::http_get::http_get;
use super::metrics::VmMetrics;
use super::processes::{DutyCycle, VmProcesses};
use super::round::GatewayRound;
use super::schedule::GatewayFault;
use super::site::GatewaySite;
use crate::{FaultLink, LinkFault, LinkHost, SoakError, free_address};

/// Time after which a VM that was told to stop is killed.
const GRACE: Duration = Duration::from_secs(6);
/// Longest time until all VMs are ready.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest time for each step of a readiness check.
const READY_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval between two looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long a store that cuts watches lets them wait, in milliseconds.
const WATCH_LIMITS_MS: std::ops::Range<u64> = 100..2_000;

/// The addresses of one VM.
struct VmPorts {
    callers: SocketAddr,
    readiness: SocketAddr,
    peers: SocketAddr,
    dispatch: SocketAddr,
}

/// Gateways and their stand-ins.
pub(super) struct GatewayFleet {
    pub(super) site: GatewaySite,
    pub(super) ledger: Arc<RequestLedger>,
    pub(super) targets: StandinTargets,
    /// How targets handle requests while no fault changes it.
    target_behavior: TargetBehavior,
    crashing: Option<CrashingLoad>,
    pub(super) store: StandinStore,
    ports: Vec<VmPorts>,
    links: BTreeMap<usize, FaultLink>,
    _link_host: LinkHost,
    processes: VmProcesses,
    load: watch::Sender<f64>,
    /// When VMs were killed.
    pub(super) kills: Vec<Duration>,
    pub(super) disturbances: VmDisturbances,
    /// Metrics of lives that have ended.
    ended_metrics: VmMetrics,
}

impl GatewayFleet {
    /// Starts the stand-ins and all VMs, and waits until each VM is ready.
    pub(super) fn start(round: &GatewayRound) -> Result<Self, SoakError> {
        let GatewayRound { program, folder, site, target_behavior, seed, .. } = round;
        let (site, target_behavior) = (*site, *target_behavior);
        std::fs::create_dir_all(folder).map_err(SoakError::system("a folder"))?;
        let mut rng = fastrand::Rng::with_seed(*seed);
        let ledger = Arc::new(RequestLedger::default());
        let (store, targets) = start_standins(site, target_behavior, &ledger, &mut rng)?;
        if let Some(limit) = watch_limit(*seed) {
            store.cut_watches_after(limit);
        }
        let ports = (0..site.vms).map(|_| VmPorts::allocate());
        let ports = ports.collect::<Result<Vec<VmPorts>, SoakError>>()?;
        let link_host = LinkHost::start()?;
        let links = site.linked_vms().map(|vm| Ok((vm, link_host.open(ports[vm].dispatch)?)));
        let links = links.collect::<Result<BTreeMap<usize, FaultLink>, SoakError>>()?;
        let files = (0..site.vms).map(|vm| {
            let text = settings(site, vm, &ports[vm], links.get(&vm), store.address);
            write_settings(folder, vm, &text)
        });
        let files = files.collect::<Result<Vec<_>, SoakError>>()?;
        let processes = VmProcesses::new(program.clone(), files, &mut rng)?;
        let fleet = Self {
            site,
            ledger,
            targets,
            target_behavior,
            crashing: round.crashing,
            store,
            ports,
            links,
            _link_host: link_host,
            processes,
            load: watch::channel(1.0).0,
            kills: Vec::new(),
            disturbances: VmDisturbances::default(),
            ended_metrics: VmMetrics::default(),
        };
        (0..site.vms).try_for_each(|vm| fleet.processes.start(vm))?;
        fleet.wait_ready()?;
        Ok(fleet)
    }

    fn wait_ready(&self) -> Result<(), SoakError> {
        let end = Instant::now() + START_TIMEOUT;
        let is_ready = |ports: &VmPorts| is_ready(ports.readiness);
        while !self.ports.iter().all(is_ready) {
            if Instant::now() >= end {
                return Err(SoakError::NotReached("all VMs ready".to_owned()));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// The settings of all callers, and the factor of their load.
    pub(super) fn callers(
        &self,
        duration: Duration,
        seed: u64,
    ) -> (CallerSettings, watch::Receiver<f64>) {
        let vms = self.ports.iter().enumerate().map(|(vm, ports)| VmAddress {
            zone: self.site.zone_of(vm),
            callers: ports.callers,
            readiness: ports.readiness,
        });
        let settings = CallerSettings {
            vms: vms.collect(),
            zones: self.site.zones().len(),
            services: self.site.services(),
            routes: self.site.routes(),
            loads: self.site.loads(),
            crashing: self.crashing,
            duration,
            seed,
        };
        (settings, self.load.subscribe())
    }

    /// Starves the small VMs, or ends it.
    pub(super) fn set_cycle(&self, cycle: Option<DutyCycle>) {
        let small = (0..self.site.vms).filter(|vm| !self.site.is_large(*vm));
        small.for_each(|vm| self.processes.set_cycle(vm, cycle));
    }

    /// Starts a fault.
    pub(super) fn start_fault(&mut self, fault: &GatewayFault) {
        match fault {
            GatewayFault::Kill(vms) => {
                self.keep_metrics(vms);
                vms.iter().for_each(|vm| self.processes.kill(*vm));
                self.kills.push(self.ledger.now());
            }
            GatewayFault::Restart(vms) => {
                self.keep_metrics(vms);
                vms.iter().for_each(|vm| self.processes.stop(*vm, GRACE));
            }
            GatewayFault::Pause(vms) => vms.iter().for_each(|vm| self.processes.pause(*vm)),
            GatewayFault::Reload(vms) => {
                vms.iter().for_each(|vm| self.processes.reload(*vm));
            }
            GatewayFault::Links(vms, fault) => {
                vms.iter().for_each(|vm| self.links[vm].set(*fault));
            }
            GatewayFault::Targets(targets, behavior) => {
                targets.iter().for_each(|target| self.targets.set_behavior(*target, *behavior));
            }
            GatewayFault::Replace(targets) => {
                targets.iter().for_each(|target| self.targets.replace(*target, &self.store));
            }
            GatewayFault::Store(fault) => self.store.set_fault(*fault),
            GatewayFault::Load(factor) => {
                self.load.send_replace(*factor);
            }
        }
    }

    /// Ends a fault.
    pub(super) fn end_fault(&mut self, fault: &GatewayFault) -> Result<(), SoakError> {
        match fault {
            GatewayFault::Kill(vms) => vms.iter().try_for_each(|vm| self.processes.start(*vm))?,
            GatewayFault::Restart(vms) => {
                for vm in vms {
                    if !self.processes.finish_stop(*vm) {
                        self.kills.push(self.ledger.now());
                    }
                    self.processes.start(*vm)?;
                }
            }
            GatewayFault::Pause(vms) => vms.iter().for_each(|vm| self.processes.end_pause(*vm)),
            GatewayFault::Reload(_) | GatewayFault::Replace(_) => {}
            GatewayFault::Links(vms, _) => {
                vms.iter().for_each(|vm| self.links[vm].set(LinkFault::None));
            }
            GatewayFault::Targets(targets, _) => {
                let usual = self.target_behavior;
                targets.iter().for_each(|target| self.targets.set_behavior(*target, usual));
            }
            GatewayFault::Store(_) => self.store.set_fault(Default::default()),
            GatewayFault::Load(_) => {
                self.load.send_replace(1.0);
            }
        }
        Ok(())
    }

    /// Adds the metrics of VMs whose lives end to those of earlier ones.
    fn keep_metrics(&mut self, vms: &[usize]) {
        let started = vms.iter().filter(|vm| self.processes.is_started(**vm));
        let addresses: Vec<_> = started.map(|vm| self.ports[*vm].readiness).collect();
        self.ended_metrics.add(&VmMetrics::read_all(&addresses));
    }

    /// How often the logs of all VMs contain `event`, by the word that follows it.
    pub(super) fn count_events(&self, event: &str) -> Result<HashMap<String, usize>, SoakError> {
        let mut counts = HashMap::new();
        for log in self.processes.logs() {
            let text = std::fs::read(log).map_err(SoakError::system("a log file"))?;
            let text = String::from_utf8_lossy(&text);
            for (_, rest) in text.lines().filter_map(|line| line.split_once(event)) {
                let word = rest.split(' ').next().unwrap_or_default();
                *counts.entry(word.to_owned()).or_default() += 1;
            }
        }
        Ok(counts)
    }

    /// The metrics of all VMs and of the lives that have ended.
    pub(super) fn metrics(&self) -> VmMetrics {
        let addresses: Vec<_> = self.ports.iter().map(|ports| ports.readiness).collect();
        let mut metrics = VmMetrics::read_all(&addresses);
        metrics.add(&self.ended_metrics);
        metrics
    }
}

impl VmPorts {
    fn allocate() -> Result<Self, SoakError> {
        Ok(Self {
            callers: free_address()?,
            readiness: free_address()?,
            peers: free_address()?,
            dispatch: free_address()?,
        })
    }
}

/// How long the store lets watches wait in the round of this seed; in every other one as long as they
/// ask.
fn watch_limit(seed: u64) -> Option<Duration> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let limit = Duration::from_millis(rng.u64(WATCH_LIMITS_MS));
    seed.is_multiple_of(2).then_some(limit)
}

/// Starts the store, with the declarations, and all targets, which are listed there.
fn start_standins(
    site: GatewaySite,
    behavior: TargetBehavior,
    ledger: &Arc<RequestLedger>,
    rng: &mut fastrand::Rng,
) -> Result<(StandinStore, StandinTargets), SoakError> {
    let store = StandinStore::start().map_err(SoakError::system("the store"))?;
    let (services, routes) = (site.services(), site.routes());
    store.put_declarations(1, &services, &routes);
    let (plans, zones) = (site.targets(), site.zones());
    let settings = TargetSettings { services, routes, plans, zones, behavior };
    let targets = StandinTargets::start(&store, ledger, &settings, rng);
    Ok((store, targets.map_err(SoakError::system("the targets"))?))
}

/// The settings file of a VM.
fn settings(
    site: GatewaySite,
    vm: usize,
    ports: &VmPorts,
    link: Option<&FaultLink>,
    store: SocketAddr,
) -> String {
    let is_large = site.is_large(vm);
    let budget = site.budget();
    let settings = json!({
        "vm": format!("vm-{vm}"),
        "zone": format!("zone-{}", site.zone_of(vm)),
        "callers_address": ports.callers,
        "readiness_address": ports.readiness,
        "peers_address": ports.peers,
        "dispatch_address": ports.dispatch,
        "dispatch_announced": link.map(|link| link.address),
        "dispatch_scope": "always",
        "cpu_share": if is_large { 0.5 } else { 0.1 },
        "memory_mb": if is_large { 512 } else { 160 },
        "max_fds": if is_large { 8_192 } else { 4_100 },
        "link_mbps": if is_large { 200 } else { 10 },
        "store_address": store,
        "retry_ratio": budget.ratio,
        "retry_extra": budget.extra,
        "ownership": {"max_hold_s": 10.0},
        "drain_s": 2.5,
        "grace_s": GRACE.as_secs_f64(),
    });
    settings.to_string()
}

fn write_settings(folder: &Path, vm: usize, text: &str) -> Result<(PathBuf, PathBuf), SoakError> {
    let path = folder.join(format!("vm-{vm}.json"));
    std::fs::write(&path, text).map_err(SoakError::system("a settings file"))?;
    Ok((path, folder.join(format!("vm-{vm}.log"))))
}

/// Whether a VM says that it is ready.
fn is_ready(address: SocketAddr) -> bool {
    let response = http_get(address, "/ready", READY_TIMEOUT);
    response.is_some_and(|text| text.contains(" 200 "))
}
