//! The project's gateways as separate processes, started as in the deploy file.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::http::Connection;

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

extern "C" {
    /// Of the C library, which the standard library links.
    fn prctl(option: i32, first: u64, second: u64, third: u64, fourth: u64) -> i32;
}

/// Ports of VMs: below those that the system gives to outgoing connections, so that no connection
/// takes a port before the VM listens on it.
const PORTS: std::ops::Range<u32> = 12_000..30_000;

/// A loopback address that is free, and that no earlier call returned.
pub fn free_address() -> SocketAddr {
    static CALLS: AtomicU32 = AtomicU32::new(0);
    loop {
        let number =
            std::process::id().wrapping_mul(97).wrapping_add(CALLS.fetch_add(1, Ordering::SeqCst));
        let port = PORTS.start + number % (PORTS.end - PORTS.start);
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) {
            return listener.local_addr().expect("its address");
        }
    }
}

/// Addresses of one VM.
#[derive(Clone)]
pub struct Vm {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub peers: SocketAddr,
    pub dispatch: SocketAddr,
    /// Where other VMs reach `peers` and `dispatch`.
    pub announced: (SocketAddr, SocketAddr),
    pub store: SocketAddr,
    /// Further members of the settings, each followed by a comma.
    pub more: String,
}

impl Vm {
    pub fn new(name: &str, zone: &str, store: SocketAddr) -> Self {
        let (peers, dispatch) = (free_address(), free_address());
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            callers: free_address(),
            readiness: free_address(),
            peers,
            dispatch,
            announced: (peers, dispatch),
            store,
            more: String::new(),
        }
    }

    /// The settings of `deploy/settings.json.tmpl`, filled as for a small deployment.
    fn settings(&self, zones: &[&str]) -> String {
        let regions: Vec<String> =
            zones.iter().map(|zone| format!(r#""{zone}":"noordkust""#)).collect();
        format!(
            r#"{{
  "vm": "{}", "zone": "{}",
  "callers_address": "{}", "readiness_address": "{}",
  "peers_address": "{}", "dispatch_address": "{}",
  "peers_announced": "{}", "dispatch_announced": "{}",
  "terms": ["base","drain","config","cost","retry","recover","own","platform"],
  "cpu_share": 0.2, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0,
  "store_address": "{}", {}
  "retry_ratio": 0.2, "retry_extra": 56, "ownership": {{"max_hold_s": 10}},
  "region": "noordkust", "zone_regions": {{{}}},
  "drain_s": 2, "grace_s": 6
}}
"#,
            self.name,
            self.zone,
            self.callers,
            self.readiness,
            self.peers,
            self.dispatch,
            self.announced.0,
            self.announced.1,
            self.store,
            self.more,
            regions.join(",")
        )
    }
}

/// A process that is killed when this is dropped, or when this process ends.
pub struct Gateway {
    pub vm: Vm,
    child: Child,
}

impl Gateway {
    pub fn start(program: &Path, folder: &Path, vm: &Vm, zones: &[&str]) -> std::io::Result<Self> {
        let settings = folder.join(format!("{}.json", vm.name));
        std::fs::write(&settings, vm.settings(zones))?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(folder.join(format!("{}.log", vm.name)))?;
        let mut command = Command::new(program);
        command
            .arg("gateway")
            .env("NICKELLEAD_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // SAFETY: `prctl` is async-signal-safe, and the closure does nothing else.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        let child = command.spawn()?;
        Ok(Self { vm: vm.clone(), child })
    }

    /// Resident bytes of the process; `None` once it has ended.
    pub fn memory(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
        Some(kilobytes * 1_024)
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
    }

    /// Waits until the VM calls itself ready.
    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if is_ready(self.vm.readiness) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn is_ready(address: SocketAddr) -> bool {
    let Some(mut connection) = Connection::open(address, Duration::from_millis(300)) else {
        return false;
    };
    connection.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
    let answer = connection.read(Some(Instant::now() + Duration::from_millis(500)));
    answer.is_some_and(|answer| answer.status() == 200)
}
