//! A gateway process on a machine with little memory, with stand-ins of its platform.

use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use nickellead_adapter_standin::{
    DeclaredRoute, DeclaredService, HOST, RequestLedger, StandinStore, StandinTargets,
    TargetBehavior, TargetPlan, TargetSettings,
};

use super::{exchange, free_address, process_limits, spawn, write_file};

/// Timeout of the route for uploads.
const UPLOAD_TIMEOUT: Duration = Duration::from_secs(20);
/// How long an ordinary caller retries.
const RETRY_TIME: Duration = Duration::from_secs(60);
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Memory and limits of a [`SmallVm`].
#[derive(Clone, Copy, Debug)]
pub struct VmSpec {
    /// Unique part of the settings file's name.
    pub label: &'static str,
    pub memory_mb: u64,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
}

/// A gateway process with its store and its targets, which run in the test's process.
pub struct SmallVm {
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    spec: VmSpec,
    child: Child,
    descriptors_at_start: usize,
    _targets: StandinTargets,
    _store: StandinStore,
}

fn route(name: &'static str, safe: bool, deadline: Duration) -> DeclaredRoute {
    DeclaredRoute {
        name,
        service: 0,
        safe,
        attempts: 2,
        priority: 0,
        work: Duration::from_millis(2),
        latency_target: deadline / 2,
        deadline,
        keeps_connections: false,
    }
}

impl SmallVm {
    /// Starts everything and waits until the gateway is ready.
    pub fn start(spec: VmSpec) -> Self {
        let store = StandinStore::start().unwrap();
        let services = vec![DeclaredService { name: "status", sharded: false, connections: 100 }];
        let routes = vec![
            route("look", true, Duration::from_secs(2)),
            route("upload", false, UPLOAD_TIMEOUT),
        ];
        store.put_declarations_with_body_limit(1, &services, &routes, spec.body_bytes);
        let settings = TargetSettings {
            services,
            routes,
            plans: vec![TargetPlan { service: 0, count: 4 }],
            zones: vec!["zone-0".to_owned()],
            behavior: TargetBehavior::Serve,
        };
        let ledger = Arc::new(RequestLedger::default());
        let mut rng = fastrand::Rng::with_seed(1);
        let targets = StandinTargets::start(&store, &ledger, &settings, &mut rng).unwrap();
        let (callers, readiness, peers) = (free_address(), free_address(), free_address());
        let text = format!(
            r#"{{"vm": "vm-0", "zone": "zone-0", "callers_address": "{callers}",
                "readiness_address": "{readiness}", "peers_address": "{peers}",
                "store_address": "{}", "grace_s": 2, "memory_mb": {}, "max_fds": 4100}}"#,
            store.address, spec.memory_mb
        );
        let file = write_file(&format!("{}-vm.json", spec.label), &text);
        let mut command = Command::new(env!("CARGO_BIN_EXE_nickellead"));
        command.args(["gateway", "--settings"]).arg(file);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::inherit());
        let child = spawn(&mut command);
        let mut vm = Self {
            callers,
            readiness,
            spec,
            child,
            descriptors_at_start: 0,
            _targets: targets,
            _store: store,
        };
        let until = Instant::now() + RETRY_TIME;
        while !vm.is_ready() {
            assert!(Instant::now() < until, "the gateway is not ready");
            std::thread::sleep(RETRY_INTERVAL);
        }
        vm.assert_serves("at first");
        vm.descriptors_at_start = process_limits::descriptors(vm.child.id());
        vm
    }

    fn is_ready(&self) -> bool {
        std::net::TcpStream::connect(self.readiness).is_ok()
            && exchange(
                self.readiness,
                "GET /ready HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
            )
            .contains(" 200 ")
    }

    /// Asserts that the gateway runs within the memory of its machine, and that its descriptors are
    /// those of this many connections of callers and to targets.
    pub fn assert_within_limits(&mut self, connections: usize) {
        assert!(self.child.try_wait().unwrap().is_none(), "the gateway has ended");
        let most_descriptors = self.descriptors_at_start + connections;
        let VmSpec { label, memory_mb, .. } = self.spec;
        process_limits::assert_within(label, self.child.id(), memory_mb, most_descriptors);
    }

    /// Asserts that an ordinary request is served; its caller retries like any other.
    pub fn assert_serves(&self, when: &str) {
        self.assert_served("GET", "/look/a", 0, when);
    }

    /// Asserts that a request with the largest legal body is served.
    pub fn assert_serves_largest(&self, when: &str) {
        self.assert_served("POST", "/upload/a", self.spec.body_bytes, when);
    }

    fn assert_served(&self, method: &str, path: &str, length: usize, when: &str) {
        let id = fastrand::u64(..);
        let body = "x".repeat(length);
        let request = format!(
            "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nnickellead-request-id: {id:x}\r\n\
             content-length: {length}\r\nconnection: close\r\n\r\n{body}"
        );
        assert_served(self.callers, request.as_bytes(), when);
    }
}

/// Asserts that a request is served by one of many tries, each on a connection of its own.
pub fn assert_served(callers: SocketAddr, request: &[u8], when: &str) {
    let until = Instant::now() + RETRY_TIME;
    loop {
        let response = try_exchange(callers, request);
        if response.starts_with("HTTP/1.1 200") {
            return;
        }
        let length = request.len();
        assert!(Instant::now() < until, "{when}, {length} bytes were not served: {response}");
        std::thread::sleep(RETRY_INTERVAL);
    }
}

/// Like [`exchange`], but a request that is not read completely is no error.
fn try_exchange(address: SocketAddr, request: &[u8]) -> String {
    use std::io::{Read, Write};
    let Ok(mut stream) = std::net::TcpStream::connect(address) else { return String::new() };
    stream.set_read_timeout(Some(UPLOAD_TIMEOUT)).unwrap();
    let _ = stream.write_all(request);
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

impl Drop for SmallVm {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
