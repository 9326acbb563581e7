//! Gateways as the platform starts them: processes with a settings file each.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::{connect, read_message};

/// What the settings tell of a machine and its deployment.
#[derive(Clone, Copy)]
pub struct Sheet {
    contracts: &'static str,
    memory_mb: u64,
    max_fds: u64,
    link_mbps: u64,
    retry_extra: u64,
    drain_s: f64,
}

/// A machine of ngipin-sked.
pub const SMALL: Sheet = Sheet {
    contracts: r#""base","drain","config","cost","retry","recover","own","platform""#,
    memory_mb: 260,
    max_fds: 4_100,
    link_mbps: 1_000,
    retry_extra: 62,
    drain_s: 2.0,
};

/// A machine of ttb-tarifas-grown.
pub const GROWN: Sheet = Sheet {
    contracts: r#""base","drain","config","cost","retry","recover","health","pool","own","platform""#,
    memory_mb: 512,
    max_fds: 8_192,
    link_mbps: 200,
    retry_extra: 164,
    drain_s: 2.5,
};

/// One machine of the class `front` with its process.
pub struct Gateway {
    pub name: String,
    pub ip: String,
    ports: Ports,
    zone: String,
    sheet: Sheet,
    folder: PathBuf,
    child: Option<Child>,
}

/// Ports, which are alike on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    front: u16,
    ready: u16,
    first: u16,
    last: u16,
}

impl Ports {
    /// Free ports of this machine.
    pub fn free() -> std::io::Result<Self> {
        let open = || TcpListener::bind("127.0.0.1:0");
        let listeners = [open()?, open()?, open()?, open()?];
        let port = |index: usize| listeners[index].local_addr().map(|address| address.port());
        Ok(Self { front: port(0)?, ready: port(1)?, first: port(2)?, last: port(3)? })
    }
}

impl Gateway {
    pub fn new(
        name: &str,
        zone: &str,
        ip: &str,
        ports: Ports,
        sheet: Sheet,
        folder: &std::path::Path,
    ) -> Self {
        Self {
            name: name.to_owned(),
            ip: ip.to_owned(),
            ports,
            zone: zone.to_owned(),
            sheet,
            folder: folder.to_owned(),
            child: None,
        }
    }

    pub fn front(&self) -> SocketAddr {
        format!("{}:{}", self.ip, self.ports.front).parse().unwrap()
    }

    fn ready_address(&self) -> SocketAddr {
        format!("{}:{}", self.ip, self.ports.ready).parse().unwrap()
    }

    fn settings_path(&self) -> PathBuf {
        self.folder.join(format!("{}.json", self.name))
    }

    /// Writes the settings file, as the template of the deploy file lays it out.
    pub fn write_settings(&self, store: SocketAddr) -> std::io::Result<()> {
        let Self { name, ip, ports, zone, sheet, .. } = self;
        let Sheet { contracts, memory_mb, max_fds, link_mbps, retry_extra, drain_s } = sheet;
        let text = format!(
            r#"{{
  "vm": "{name}",
  "zone": "{zone}",
  "callers_address": "{ip}:{}",
  "readiness_address": "{ip}:{}",
  "metrics_address": "{ip}:9464",
  "peers_address": "{ip}:{}",
  "dispatch_address": "{ip}:{}",
  "terms": [{contracts}],
  "cpu_share": 0.5,
  "memory_mb": {memory_mb},
  "max_fds": {max_fds},
  "link_mbps": {link_mbps},
  "store_address": "{store}",
  "retry_ratio": 0.2,
  "retry_extra": {retry_extra},
  "ownership": {{"max_hold_s": 10}},
  "region": "coast",
  "zone_regions": {{"zone-a":"coast","zone-b":"coast"}},
  "drain_s": {drain_s},
  "grace_s": 6
}}
"#,
            ports.front, ports.ready, ports.first, ports.last
        );
        // Replaced as a whole, so that nobody reads a part of it.
        let part = self.settings_path().with_extension("part");
        std::fs::write(&part, text)?;
        std::fs::rename(part, self.settings_path())
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.name)))?;
        let mut command = Command::new("target/release/nickellead");
        command
            .arg("gateway")
            .env_clear()
            .env("NICKELLEAD_BOOT", self.settings_path())
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        self.child = Some(command.spawn()?);
        Ok(())
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal of this name to the process.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([format!("-{name}"), self.pid().to_string()]).status();
    }

    pub fn kill(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.child = None;
    }

    /// Whether the machine answers the platform's question with 200.
    pub fn is_ready(&self) -> bool {
        let ask = || -> std::io::Result<bool> {
            let mut stream = connect(self.ready_address(), Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_millis(1_000)))?;
            use std::io::Write;
            stream
                .write_all(b"GET /ready HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n")?;
            let answer = read_message(&mut std::io::BufReader::new(stream), 1_024)?;
            Ok(answer.is_some_and(|answer| answer.status() == 200))
        };
        ask().unwrap_or(false)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all machines are ready; `false` after `limit`.
pub fn wait_ready(gateways: &[Gateway], limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if gateways.iter().all(Gateway::is_ready) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}
