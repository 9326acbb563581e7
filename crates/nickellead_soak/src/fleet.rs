//! A fleet of real processes, joined by links that can misbehave.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

use nickellead_standin::{CallerSettings, EffectRecord, LoadSettings, read_effects};
use rustix::process::Signal;

use crate::{Fault, FaultLink, LinkFault, LinkHost, SoakError, SoakProcess, free_address};

/// How long a planned stop may take: the program's own limit is shorter.
const STOP_MOST: Duration = Duration::from_secs(20);
/// How long a declaration may take to be accepted or refused.
const APPLY_MOST: Duration = Duration::from_secs(10);
/// How long an answer of the platform's stand-in may take.
const ADMIN_MOST: Duration = Duration::from_secs(5);
/// Shards of the one service.
const SHARDS: usize = 64;
/// Callers of each kind that send side by side.
const CALLERS: u32 = 8;
/// Keys that they name.
const KEYS: u32 = 400;
/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(8);

/// How many of each there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// Availability zones.
    pub zones: usize,
    /// VMs in each.
    pub vms_per_zone: usize,
    /// Targets in each.
    pub targets_per_zone: usize,
}

impl FleetSize {
    /// VMs in all.
    #[must_use]
    pub const fn vms(self) -> usize {
        self.zones * self.vms_per_zone
    }

    /// Targets in all.
    #[must_use]
    pub const fn targets(self) -> usize {
        self.zones * self.targets_per_zone
    }
}

struct FleetVm {
    callers: SocketAddr,
    operators: SocketAddr,
    settings: PathBuf,
    platform: FaultLink,
    peers: FaultLink,
    process: Option<SoakProcess>,
    /// Whether this life of the process was told to stop.
    stopping: bool,
}

struct FleetTarget {
    name: String,
    zone: String,
    address: SocketAddr,
    link: FaultLink,
    effects: PathBuf,
    process: Option<SoakProcess>,
}

/// Platform, targets and VMs, each a process of its own.
pub struct SoakFleet {
    program: PathBuf,
    folder: PathBuf,
    size: FleetSize,
    platform_address: SocketAddr,
    vms: Vec<FleetVm>,
    targets: Vec<FleetTarget>,
    _platform: SoakProcess,
    _links: LinkHost,
}

fn zone_name(number: usize) -> String {
    format!("zone-{number}")
}

impl SoakFleet {
    /// Starts every process; files and logs go to `folder`.
    ///
    /// # Errors
    /// A [`SoakError`]; what was started has ended then.
    pub fn start(program: &Path, folder: &Path, size: FleetSize) -> Result<Self, SoakError> {
        std::fs::create_dir_all(folder).map_err(SoakError::system("a folder"))?;
        let links = LinkHost::start()?;
        let platform_address = free_address()?;
        let addresses =
            (0..size.vms()).map(|_| Ok([free_address()?, free_address()?, free_address()?]));
        let addresses = addresses.collect::<Result<Vec<[SocketAddr; 3]>, SoakError>>()?;
        let peers = addresses.iter().map(|[_, _, peers]| links.open(*peers));
        let peers = peers.collect::<Result<Vec<FaultLink>, SoakError>>()?;
        let listed: Vec<String> = peers
            .iter()
            .enumerate()
            .map(|(number, link)| {
                let (zone, address) = (zone_name(number % size.zones), link.address);
                format!(
                    r#"{{"vm": "vm-{number}", "zone": "{zone}", "address": "{address}", "state": "live"}}"#
                )
            })
            .collect();
        let list = write_file(&folder.join("vms.json"), &format!("[{}]", listed.join(",")))?;
        let platform = SoakProcess::start(
            program,
            &["standin", "platform", "--listen", &platform_address.to_string(), "--vms", &list],
            &folder.join("platform.log"),
        )?;
        let mut fleet = Self {
            program: program.to_owned(),
            folder: folder.to_owned(),
            size,
            platform_address,
            vms: Vec::new(),
            targets: Vec::new(),
            _platform: platform,
            _links: links,
        };
        for number in 0..size.targets() {
            fleet.add_target(number)?;
        }
        for (number, (addresses, peers)) in addresses.into_iter().zip(peers).enumerate() {
            fleet.add_vm(number, addresses, peers)?;
        }
        Ok(fleet)
    }

    fn add_target(&mut self, number: usize) -> Result<(), SoakError> {
        let address = free_address()?;
        let name = format!("board-{number}");
        let effects = self.folder.join(format!("{name}.effects"));
        write_file(&effects, "")?;
        self.targets.push(FleetTarget {
            name,
            zone: zone_name(number % self.size.zones),
            address,
            link: self._links.open(address)?,
            effects,
            process: None,
        });
        self.start_target(number)
    }

    fn start_target(&mut self, number: usize) -> Result<(), SoakError> {
        let target = &mut self.targets[number];
        let (listen, effects) = (target.address.to_string(), target.effects.display().to_string());
        let arguments = [
            "standin",
            "target",
            "--name",
            &target.name,
            "--listen",
            &listen,
            "--service-us",
            "300",
            "--effects",
            &effects,
        ];
        let log = self.folder.join(format!("{}.log", target.name));
        target.process = Some(SoakProcess::start(&self.program, &arguments, &log)?);
        Ok(())
    }

    fn add_vm(
        &mut self,
        number: usize,
        [callers, operators, peers]: [SocketAddr; 3],
        link: FaultLink,
    ) -> Result<(), SoakError> {
        let platform = self._links.open(self.platform_address)?;
        let (zone, count) = (zone_name(number % self.size.zones), self.size.vms());
        let text = format!(
            r#"{{"vm": "vm-{number}", "zone": "{zone}", "callers_address": "{callers}",
                "operators_address": "{operators}", "peers_address": "{peers}",
                "platform_address": "{}", "limits": {{"vms": {count}}}, "stop_linger_ms": 300}}"#,
            platform.address
        );
        let settings = self.folder.join(format!("vm-{number}.json"));
        write_file(&settings, &text)?;
        self.vms.push(FleetVm {
            callers,
            operators,
            settings,
            platform,
            peers: link,
            process: None,
            stopping: false,
        });
        self.start_vm(number)
    }

    fn start_vm(&mut self, number: usize) -> Result<(), SoakError> {
        let vm = &mut self.vms[number];
        let settings = vm.settings.display().to_string();
        let log = self.folder.join(format!("vm-{number}.log"));
        let process = SoakProcess::start(&self.program, &["run", "--settings", &settings], &log)?;
        vm.process = Some(process);
        vm.stopping = false;
        Ok(())
    }

    /// Declares the service and all targets; tells whether a VM accepted it.
    ///
    /// # Errors
    /// The system's refusal of a file or process.
    pub fn declare_all(&self) -> Result<bool, SoakError> {
        let zones: Vec<String> =
            (0..self.size.zones).map(|zone| format!("{:?}", zone_name(zone))).collect();
        let service = format!(
            r#"{{"kind": "service", "name": "boards", "spec": {{"zones": [{}], "shards": {SHARDS},
                "key": {{"from": "path", "segment": 2}},
                "operations": [{{"name": "book", "method": "POST", "repeat": "once"}},
                               {{"name": "look", "method": "GET", "repeat": "repeatable"}}]}}}}"#,
            zones.join(",")
        );
        let targets = self.targets.iter().map(|target| declaration(target, "active"));
        let objects: Vec<String> = std::iter::once(service).chain(targets).collect();
        self.apply(&objects.join(","))
    }

    /// Declares a target's state; tells whether a VM accepted it.
    fn declare_target(&self, number: usize, state: &str) -> Result<bool, SoakError> {
        self.apply(&declaration(&self.targets[number], state))
    }

    fn apply(&self, objects: &str) -> Result<bool, SoakError> {
        let file = write_file(&self.folder.join("declared.json"), &format!("[{objects}]"))?;
        for vm in self.vms.iter().filter(|vm| vm.process.is_some()) {
            let operators = vm.operators.to_string();
            let arguments = ["apply", "--vm", &operators, "-f", &file];
            let log = self.folder.join("apply.log");
            let mut process = SoakProcess::start(&self.program, &arguments, &log)?;
            if process.wait_exit(APPLY_MOST) == Some(0) {
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// Begins a fault.
    ///
    /// # Errors
    /// The system's refusal of a file or process.
    pub fn begin(&mut self, fault: Fault) -> Result<(), SoakError> {
        match fault {
            Fault::KillVm(vm) => self.vms[vm].process = None,
            Fault::PauseVm(vm) => signal(self.vms[vm].process.as_ref(), Signal::STOP),
            Fault::StopVm(vm) => {
                signal(self.vms[vm].process.as_ref(), Signal::TERM);
                self.vms[vm].stopping = true;
            }
            Fault::KillTarget(target) => self.targets[target].process = None,
            Fault::PauseTarget(target) => {
                signal(self.targets[target].process.as_ref(), Signal::STOP)
            }
            Fault::PlatformLink(vm, fault) => self.vms[vm].platform.set(fault),
            Fault::PeerLink(vm, fault) => self.vms[vm].peers.set(fault),
            Fault::TargetLink(target, fault) => self.targets[target].link.set(fault),
            Fault::PlatformDown => self.set_platform(r#"{"down": true}"#)?,
            Fault::PlatformSlow(millis) => {
                self.set_platform(&format!(r#"{{"slow_ms": {millis}}}"#))?;
            }
            Fault::PlatformLoses(part) => {
                self.set_platform(&format!(r#"{{"lost_answers": {part}}}"#))?;
            }
            Fault::DrainTarget(target) => {
                // While the platform is away nobody accepts it, and nothing is disturbed.
                self.declare_target(target, "draining")?;
            }
        }
        Ok(())
    }

    /// Ends a fault.
    ///
    /// # Errors
    /// The system's refusal of a file or process, or a VM that did not stop as told.
    pub fn end(&mut self, fault: Fault) -> Result<(), SoakError> {
        match fault {
            Fault::KillVm(vm) => self.return_vm(vm)?,
            Fault::PauseVm(vm) => signal(self.vms[vm].process.as_ref(), Signal::CONT),
            Fault::StopVm(vm) => {
                self.finish_stop(vm)?;
                self.return_vm(vm)?;
            }
            Fault::KillTarget(target) if self.targets[target].process.is_none() => {
                self.start_target(target)?;
            }
            // Started again by the end of another fault.
            Fault::KillTarget(_) => {}
            Fault::PauseTarget(target) => {
                signal(self.targets[target].process.as_ref(), Signal::CONT)
            }
            Fault::PlatformLink(vm, _) => self.vms[vm].platform.set(LinkFault::None),
            Fault::PeerLink(vm, _) => self.vms[vm].peers.set(LinkFault::None),
            Fault::TargetLink(target, _) => self.targets[target].link.set(LinkFault::None),
            Fault::PlatformDown | Fault::PlatformSlow(_) | Fault::PlatformLoses(_) => {
                self.set_platform("{}")?;
            }
            Fault::DrainTarget(target) => {
                self.declare_target(target, "active")?;
            }
        }
        Ok(())
    }

    /// Waits for a VM that was told to stop; one that stood still meanwhile is woken.
    fn finish_stop(&mut self, number: usize) -> Result<(), SoakError> {
        if !self.vms[number].stopping {
            // Killed meanwhile by another fault, and started again.
            return Ok(());
        }
        let Some(mut process) = self.vms[number].process.take() else { return Ok(()) };
        process.signal(Signal::CONT);
        match process.wait_exit(STOP_MOST) {
            Some(_) => Ok(()),
            None => Err(SoakError::NotReached(format!("vm-{number} stopped as told"))),
        }
    }

    fn return_vm(&mut self, number: usize) -> Result<(), SoakError> {
        match self.vms[number].process {
            Some(_) => Ok(()),
            None => self.start_vm(number),
        }
    }

    /// Changes how the platform misbehaves.
    fn set_platform(&self, faults: &str) -> Result<(), SoakError> {
        let request = format!(
            "POST /admin/faults HTTP/1.1\r\nhost: soak\r\nconnection: close\r\n\
             content-length: {}\r\n\r\n{faults}",
            faults.len()
        );
        let answer = exchange(self.platform_address, &request);
        answer.map(drop).map_err(SoakError::system("a call of the platform's stand-in"))
    }

    /// A load through all VMs for a bounded time.
    #[must_use]
    pub fn load_settings(&self, length: Duration, seed: u64) -> LoadSettings {
        let group = |operation: &str, method: &str, once| CallerSettings {
            service: "boards".to_owned(),
            operation: operation.to_owned(),
            method: method.to_owned(),
            once,
            callers: CALLERS,
            keys: KEYS,
        };
        LoadSettings {
            entries: self.vms.iter().map(|vm| vm.callers).collect(),
            groups: vec![group("book", "POST", true), group("look", "GET", false)],
            length,
            pause: PAUSE,
            seed,
        }
    }

    /// Every effect that targets recorded, also in lives that were killed.
    ///
    /// # Errors
    /// The system's refusal of a file.
    pub fn effects(&self) -> Result<Vec<EffectRecord>, SoakError> {
        let mut effects = Vec::new();
        for target in &self.targets {
            effects.extend(read_effects(&target.effects).map_err(SoakError::system("a file"))?);
        }
        Ok(effects)
    }
}

fn declaration(target: &FleetTarget, state: &str) -> String {
    format!(
        r#"{{"kind": "target", "name": "{}", "spec": {{"service": "boards", "zone": "{}",
            "address": "{}", "slots": 4, "connections": 130, "state": "{state}"}}}}"#,
        target.name, target.zone, target.link.address
    )
}

fn signal(process: Option<&SoakProcess>, signal: Signal) {
    if let Some(process) = process {
        process.signal(signal);
    }
}

/// Writes a file; gives its path as an argument.
fn write_file(path: &Path, text: &str) -> Result<String, SoakError> {
    std::fs::write(path, text).map_err(SoakError::system("a file"))?;
    Ok(path.display().to_string())
}

/// One request on a connection of its own.
fn exchange(address: SocketAddr, request: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(ADMIN_MOST))?;
    stream.write_all(request.as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}
