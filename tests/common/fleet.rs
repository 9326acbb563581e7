//! A deployment of processes into which tests inject faults.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use nickellead_standin::{
    CallerSettings, EffectRecord, LoadReport, LoadSettings, Verdict, evaluate_run, read_effects,
    run_load,
};

use super::{Process, free_address, request, run, write_file};

/// Seed of the next load, so that operation ids differ between loads.
static NEXT_LOAD_SEED: AtomicU64 = AtomicU64::new(1);

/// Size and settings of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetSpec {
    /// Unique prefix of file names, so that fleets of one process do not share files.
    pub label: &'static str,
    pub zones: usize,
    pub vms_per_zone: usize,
    pub targets_per_zone: usize,
    pub shards: u32,
    pub service_us: u32,
    /// Number of request workers per VM.
    pub workers: u16,
    /// Memory of each VM; `None` for that of this machine.
    pub memory_mb: Option<u64>,
    /// Most bytes of a request's body.
    pub body_limit: usize,
}

impl Default for FleetSpec {
    fn default() -> Self {
        Self {
            label: "fleet",
            zones: 1,
            vms_per_zone: 3,
            targets_per_zone: 3,
            shards: 64,
            service_us: 300,
            workers: 1,
            memory_mb: None,
            body_limit: 64 * 1024,
        }
    }
}

pub struct FleetVm {
    pub name: String,
    pub zone: String,
    pub process: Option<Process>,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
    settings: PathBuf,
}

pub struct FleetTarget {
    pub name: String,
    pub zone: String,
    pub address: SocketAddr,
    pub process: Option<Process>,
    effects: PathBuf,
}

pub struct Fleet {
    pub spec: FleetSpec,
    pub platform_address: SocketAddr,
    pub vms: Vec<FleetVm>,
    pub targets: Vec<FleetTarget>,
    platform: Process,
}

fn zone_name(number: usize) -> String {
    format!("zone-{}", char::from(b'a' + number as u8))
}

impl Fleet {
    /// Starts all processes and waits until every target serves.
    pub fn start(spec: FleetSpec) -> Self {
        let platform_address = free_address();
        let addresses: Vec<[SocketAddr; 3]> = (0..spec.zones * spec.vms_per_zone)
            .map(|_| [free_address(), free_address(), free_address()])
            .collect();
        let listed: Vec<String> = addresses
            .iter()
            .enumerate()
            .map(|(number, [_, _, peers])| {
                let zone = zone_name(number % spec.zones);
                format!(r#"{{"vm": "vm-{number}", "zone": "{zone}", "address": "{peers}", "state": "live"}}"#)
            })
            .collect();
        let vms =
            write_file(&format!("{}-vms.json", spec.label), &format!("[{}]", listed.join(",")));
        let listen = platform_address.to_string();
        let mut platform = Process::start(&[
            "standin",
            "platform",
            "--listen",
            &listen,
            "--vms",
            vms.to_str().unwrap(),
        ]);
        platform.wait_for(&["standin-started"]);
        let mut fleet =
            Self { spec, platform_address, vms: Vec::new(), targets: Vec::new(), platform };
        for number in 0..spec.zones * spec.targets_per_zone {
            fleet.add_target(number);
        }
        for (number, addresses) in addresses.iter().enumerate() {
            fleet.add_vm(number, *addresses);
        }
        fleet.declare();
        fleet
    }

    fn add_target(&mut self, number: usize) {
        let name = format!("board-{number}");
        let effects = write_file(&format!("{}-{name}.effects", self.spec.label), "");
        self.targets.push(FleetTarget {
            name,
            zone: zone_name(number % self.spec.zones),
            address: free_address(),
            process: None,
            effects,
        });
        self.start_target(number);
    }

    /// Starts a new process of a target, which owns no shards.
    pub fn start_target(&mut self, number: usize) {
        let target = &mut self.targets[number];
        let mut process = Process::start(&[
            "standin",
            "target",
            "--name",
            &target.name,
            "--listen",
            &target.address.to_string(),
            "--service-us",
            &self.spec.service_us.to_string(),
            "--effects",
            target.effects.to_str().unwrap(),
        ]);
        process.wait_for(&["standin-started"]);
        target.process = Some(process);
    }

    fn add_vm(&mut self, number: usize, [callers, operators, peers]: [SocketAddr; 3]) {
        let (name, zone) = (format!("vm-{number}"), zone_name(number % self.spec.zones));
        let (platform, count) = (self.platform_address, self.spec.zones * self.spec.vms_per_zone);
        let settings = format!(
            r#"{{"vm": "{name}", "zone": "{zone}", "callers_address": "{callers}",
                "operators_address": "{operators}", "peers_address": "{peers}",
                "platform_address": "{platform}", "limits": {{"vms": {count}}},
                "stop_linger_ms": 300, "workers": {}{}}}"#,
            self.spec.workers,
            self.spec.memory_mb.map(|mb| format!(r#", "memory_mb": {mb}"#)).unwrap_or_default()
        );
        let settings = write_file(&format!("{}-{name}.json", self.spec.label), &settings);
        self.vms.push(FleetVm { name, zone, process: None, callers, operators, peers, settings });
        self.start_vm(number);
    }

    /// Starts a new process of a VM, without any state.
    pub fn start_vm(&mut self, number: usize) {
        let vm = &mut self.vms[number];
        let mut process = Process::start(&["run", "--settings", vm.settings.to_str().unwrap()]);
        process.wait_for(&["node-started"]);
        vm.process = Some(process);
    }

    fn declare(&mut self) {
        let zones: Vec<String> =
            (0..self.spec.zones).map(|zone| format!("{:?}", zone_name(zone))).collect();
        let mut objects = vec![format!(
            r#"{{"kind": "service", "name": "boards", "spec": {{"zones": [{}], "shards": {},
                "body_limit": {},
                "key": {{"from": "path", "segment": 2}},
                "operations": [{{"name": "book", "method": "POST", "repeat": "once"}},
                               {{"name": "look", "method": "GET", "repeat": "repeatable"}}]}}}}"#,
            zones.join(","),
            self.spec.shards,
            self.spec.body_limit
        )];
        for number in 0..self.targets.len() {
            objects.push(self.declaration(number, "active"));
        }
        self.apply(&format!("[{}]", objects.join(",")));
        for zone in 0..self.spec.zones {
            self.wait_for_zone(zone);
        }
    }

    fn declaration(&self, number: usize, state: &str) -> String {
        let target = &self.targets[number];
        format!(
            r#"{{"kind": "target", "name": "{}", "spec": {{"service": "boards", "zone": "{}",
                "address": "{}", "slots": 4, "connections": 130, "state": "{state}"}}}}"#,
            target.name, target.zone, target.address
        )
    }

    /// Declares the state of a target through the operators' API.
    pub fn declare_target(&self, number: usize, state: &str) {
        self.apply(&self.declaration(number, state));
    }

    /// Applies declarations through the operators' API.
    pub fn apply(&self, objects: &str) {
        let file = write_file(&format!("{}-declared.json", self.spec.label), objects);
        let operators = self.vms[0].operators.to_string();
        let (code, _, errors) = run(&["apply", "--vm", &operators, "-f", file.to_str().unwrap()]);
        assert_eq!(code, Some(0), "{errors}");
    }

    /// Waits until the coordinator of a zone reports every target live and every shard owned.
    pub fn wait_for_zone(&self, zone: usize) {
        let zone = zone_name(zone);
        let shards = self.spec.shards as usize / self.spec.zones;
        let live =
            self.targets.iter().filter(|target| target.zone == zone && target.process.is_some());
        let live = live.count();
        self.wait_until("every target live and every shard owned", |fleet| {
            let Some(vm) = fleet.coordinator(&zone) else { return false };
            let status = request(fleet.vms[vm].operators, "GET", "/v1/status");
            let owned: usize = status
                .split("\"shards\":")
                .skip(1)
                .filter_map(|rest| rest.split(['}', ',']).next()?.parse::<usize>().ok())
                .sum();
            status.matches("\"phase\":\"live\"").count() == live && owned.abs_diff(shards) <= 1
        });
        self.wait_for_vms(&zone);
    }

    /// Waits until every VM of a zone is ready and the mandate (leader lease) names its standbys.
    fn wait_for_vms(&self, zone: &str) {
        let is_running = |vm: &&FleetVm| vm.zone == zone && vm.process.is_some();
        let running = self.vms.iter().filter(is_running).count();
        self.wait_until("every VM ready and the standbys named", |fleet| {
            let ready = |vm: &FleetVm| request(vm.operators, "GET", "/readyz").contains(" 200 ");
            let all_ready = fleet.vms.iter().filter(is_running).all(ready);
            let Some(leader) = fleet.coordinator(zone) else { return false };
            let status = request(fleet.vms[leader].operators, "GET", "/v1/status");
            let standbys =
                status.split("\"standbys\":[").nth(1).and_then(|rest| rest.split(']').next());
            let named = standbys.map_or(0, |names| names.matches("vm-").count());
            all_ready && named == (running - 1).min(2)
        });
    }

    /// Returns the platform's list of all VMs.
    pub fn vm_list(&self) -> String {
        self.vm_list_where(|_| true)
    }

    /// Returns the platform's list without one VM.
    pub fn vm_list_without(&self, excluded: usize) -> String {
        self.vm_list_where(|number| number != excluded)
    }

    fn vm_list_where(&self, is_listed: impl Fn(usize) -> bool) -> String {
        let numbered = self.vms.iter().enumerate().filter(|(number, _)| is_listed(*number));
        let line = |(_, vm): (usize, &FleetVm)| {
            format!(
                r#"{{"vm": "{}", "zone": "{}", "address": "{}", "state": "live"}}"#,
                vm.name, vm.zone, vm.peers
            )
        };
        format!("[{}]", numbered.map(line).collect::<Vec<_>>().join(","))
    }

    /// Replaces the platform's list of VMs.
    pub fn set_vm_list(&self, list: &str) {
        self.post_admin("vms", list);
    }

    /// Replaces the faults of the platform's stand-in.
    pub fn set_platform_faults(&self, faults: &str) {
        self.post_admin("faults", faults);
    }

    fn post_admin(&self, what: &str, body: &str) {
        let length = body.len();
        let response = super::exchange(
            self.platform_address,
            &format!(
                "POST /admin/{what} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\
                 content-length: {length}\r\n\r\n{body}"
            ),
        );
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }

    /// Returns the highest version of any declared object.
    pub fn platform_revision(&self) -> u64 {
        let list = request(self.platform_address, "GET", "/v1/objects");
        let versions = list.split("\"version\":").skip(1);
        versions.filter_map(|rest| rest.split([',', '}']).next()?.parse().ok()).max().unwrap()
    }

    /// Polls a condition until it holds; panics after 30 s.
    pub fn wait_until(&self, what: &str, holds: impl Fn(&Self) -> bool) {
        let deadline = std::time::Instant::now() + Duration::from_secs(30);
        while !holds(self) {
            assert!(std::time::Instant::now() < deadline, "not reached in time: {what}");
            std::thread::yield_now();
        }
    }

    /// Returns the VM that reports itself as coordinator of a zone.
    pub fn coordinator(&self, zone: &str) -> Option<usize> {
        let is_running = |vm: &FleetVm| vm.zone == zone && vm.process.is_some();
        (0..self.vms.len()).filter(|number| is_running(&self.vms[*number])).find(|number| {
            let status = request(self.vms[*number].operators, "GET", "/v1/status");
            status.contains(r#""phase":"leading""#) || status.contains(r#""phase":"detached""#)
        })
    }

    /// Kills the process of a target.
    pub fn kill_target(&mut self, number: usize) {
        self.targets[number].process = None;
    }

    /// Kills the process of a VM.
    pub fn kill_vm(&mut self, number: usize) {
        self.vms[number].process = None;
    }

    pub fn signal_target(&self, number: usize, signal: &str) {
        self.targets[number].process.as_ref().unwrap().signal(signal);
    }

    pub fn signal_platform(&self, signal: &str) {
        self.platform.signal(signal);
    }

    pub fn signal_vm(&self, number: usize, signal: &str) {
        self.vms[number].process.as_ref().unwrap().signal(signal);
    }

    /// Starts callers that send `book` and `look` operations through these VMs for a bounded time.
    pub fn load(&self, seconds: u64, vms: &[usize]) -> JoinHandle<LoadReport> {
        let entry_addresses = vms.iter().map(|vm| self.vms[*vm].callers).collect();
        let group = |operation: &str, method: &str, at_most_once: bool| CallerSettings {
            service: "boards".to_owned(),
            operation: operation.to_owned(),
            method: method.to_owned(),
            at_most_once,
            callers: 8,
            keys: 400,
        };
        let settings = LoadSettings {
            entry_addresses,
            groups: vec![group("book", "POST", true), group("look", "GET", false)],
            duration: Duration::from_secs(seconds),
            think_time: Duration::from_millis(4),
            seed: NEXT_LOAD_SEED.fetch_add(1, Ordering::Relaxed),
        };
        std::thread::spawn(move || actix_rt::Runtime::new().unwrap().block_on(run_load(settings)))
    }

    /// Returns the recorded effects of all targets, including killed ones.
    pub fn effects(&self) -> Vec<EffectRecord> {
        let read = |target: &FleetTarget| read_effects(&target.effects).unwrap();
        self.targets.iter().flat_map(read).collect()
    }

    /// Returns a key that a target owns now: requests keys until the target records an effect.
    pub fn find_key_of(&self, number: usize) -> String {
        let path = &self.targets[number].effects;
        let mut before = read_effects(path).unwrap().len();
        for key in (0..4_000).map(|key| format!("probe-{key}")) {
            request(self.vms[0].callers, "GET", &format!("/boards/look/{key}"));
            let after = read_effects(path).unwrap().len();
            if after > before {
                return key;
            }
            before = after;
        }
        panic!("{} owns none of the keys", self.targets[number].name);
    }

    /// Waits until a target has recorded an effect.
    pub fn wait_for_effects(&self, number: usize) {
        let path = &self.targets[number].effects;
        self.wait_until("the target runs requests", |_| !read_effects(path).unwrap().is_empty());
    }

    /// Returns the number of shards with effects under more than one epoch.
    pub fn moved_shards(&self) -> usize {
        let mut epochs: BTreeMap<u32, BTreeSet<u64>> = BTreeMap::new();
        for effect in self.effects() {
            epochs.entry(effect.shard).or_default().insert(effect.epoch);
        }
        epochs.values().filter(|epochs| epochs.len() > 1).count()
    }

    /// Checks a load against the targets' records; panics on a violated guarantee.
    pub fn check_guarantees(&self, report: &LoadReport) -> Verdict {
        let verdict = evaluate_run(&self.effects(), report);
        assert!(verdict.has_no_violations(), "{verdict:?}; callers saw {:?}", report.errors);
        verdict
    }
}

/// Parses the number that follows a word in a text.
pub fn number_after(text: &str, word: &str) -> Option<u64> {
    let rest = text.split(word).nth(1)?;
    rest.split(|character: char| !character.is_ascii_digit()).next()?.parse().ok()
}
