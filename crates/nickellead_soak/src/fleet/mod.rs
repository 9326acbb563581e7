//! A fleet of real processes, connected by links with injectable faults.

mod declare;
mod faults;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use nickellead_standin::{CallerSettings, EffectRecord, LoadSettings, read_effects};

use crate::{FaultLink, LinkHost, SoakError, SoakProcess, free_address};

/// Number of concurrent callers of each operation.
const CALLERS_PER_OPERATION: u32 = 8;
/// Number of keys that the callers use.
const KEY_COUNT: u32 = 400;
/// Delay of a caller between a response and its next request.
const THINK_TIME: Duration = Duration::from_millis(8);

/// Number of zones, VMs and targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// Number of availability zones.
    pub zones: usize,
    /// Number of VMs in each zone.
    pub vms_per_zone: usize,
    /// Number of targets in each zone.
    pub targets_per_zone: usize,
}

impl FleetSize {
    /// Number of VMs in all zones.
    #[must_use]
    pub const fn vms(self) -> usize {
        self.zones * self.vms_per_zone
    }

    /// Number of targets in all zones.
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
    /// Whether the current process has received SIGTERM.
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

/// Platform, targets and VMs, each as a process.
pub struct SoakFleet {
    program: PathBuf,
    folder: PathBuf,
    size: FleetSize,
    platform_address: SocketAddr,
    vms: Vec<FleetVm>,
    targets: Vec<FleetTarget>,
    _platform: SoakProcess,
    links: LinkHost,
}

fn zone_name(number: usize) -> String {
    format!("zone-{number}")
}

/// Returns the platform's list of VMs, which gives each VM's peer address by its link.
fn vm_list(peers: &[FaultLink], size: FleetSize) -> String {
    let listed = peers.iter().enumerate().map(|(number, link)| {
        let (zone, address) = (zone_name(number % size.zones), link.address);
        format!(
            r#"{{"vm": "vm-{number}", "zone": "{zone}", "address": "{address}", "state": "live"}}"#
        )
    });
    let listed: Vec<String> = listed.collect();
    format!("[{}]", listed.join(","))
}

impl SoakFleet {
    /// Starts all processes, with files and logs in `folder`.
    ///
    /// # Errors
    /// A [`SoakError`]; processes that were started before the error are killed.
    pub fn start(program: &Path, folder: &Path, size: FleetSize) -> Result<Self, SoakError> {
        std::fs::create_dir_all(folder).map_err(SoakError::system("a folder"))?;
        let links = LinkHost::start()?;
        let platform_address = free_address()?;
        let addresses =
            (0..size.vms()).map(|_| Ok([free_address()?, free_address()?, free_address()?]));
        let addresses = addresses.collect::<Result<Vec<[SocketAddr; 3]>, SoakError>>()?;
        let peers = addresses.iter().map(|[_, _, peers]| links.open(*peers));
        let peers = peers.collect::<Result<Vec<FaultLink>, SoakError>>()?;
        let list = write_file(&folder.join("vms.json"), &vm_list(&peers, size))?;
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
            links,
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
            link: self.links.open(address)?,
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
        let platform = self.links.open(self.platform_address)?;
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

    /// Returns the settings of a load through all VMs for `duration`.
    #[must_use]
    pub fn load_settings(&self, duration: Duration, seed: u64) -> LoadSettings {
        let group = |operation: &str, method: &str, at_most_once| CallerSettings {
            service: "boards".to_owned(),
            operation: operation.to_owned(),
            method: method.to_owned(),
            at_most_once,
            callers: CALLERS_PER_OPERATION,
            keys: KEY_COUNT,
        };
        LoadSettings {
            entry_addresses: self.vms.iter().map(|vm| vm.callers).collect(),
            groups: vec![group("book", "POST", true), group("look", "GET", false)],
            duration,
            think_time: THINK_TIME,
            seed,
        }
    }

    /// Returns the recorded effects of all targets, including processes that were killed.
    ///
    /// # Errors
    /// [`SoakError::System`] if a file can't be read.
    pub fn effects(&self) -> Result<Vec<EffectRecord>, SoakError> {
        let mut effects = Vec::new();
        for target in &self.targets {
            effects.extend(read_effects(&target.effects).map_err(SoakError::system("a file"))?);
        }
        Ok(effects)
    }
}

/// Writes a file and returns its path as a command argument.
fn write_file(path: &Path, text: &str) -> Result<String, SoakError> {
    std::fs::write(path, text).map_err(SoakError::system("a file"))?;
    Ok(path.display().to_string())
}
