//! Gateways under test: an in-memory store and targets on loopback sockets.
#![allow(dead_code, clippy::unwrap_used, clippy::panic)]

pub mod crashing_target;
pub mod cut_fleet;
pub mod dispatch_fleet;
pub mod endless_target;
pub mod link;
pub mod ownership;
pub mod seeds;
pub mod store;
pub mod target;
pub mod target_link;

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use nickellead_gateway::{
    Declarations, DispatchScope, GatewayHandle, GatewaySettings, HeaderNames, LoadHeader,
    OwnershipSettings, PolicySettings, QuotaSettings, RepeatClass, ReportedLoad, RouteRule,
    ServiceRule, SharedRoute, SlotCount, TargetEntry, TargetState, WeightedService, start_gateway,
};

use link::PacedLink;
use store::{MemoryOrders, MemoryStore};
use target::{TestTarget, header};

/// Number in the id of the next request that a test sends.
static NEXT_REQUEST_ID: AtomicU64 = AtomicU64::new(1);

/// Header names that the gateways under test use.
pub const NAMES: HeaderNames = HeaderNames {
    request_id: "x-request-id",
    deadline_ms: "x-deadline-ms",
    shard_key: "x-key",
    workspace: "x-workspace",
    expected_target: "x-target",
    answering_target: "x-answers",
    target_proof: "x-proof",
    not_run: "x-not-run",
    leaving: "x-leaving",
    limit: "x-limit",
    load: LoadHeader { name: "x-load", decode: decode_load },
};

/// Decodes `RUNNING,WAITING,SLOTS`.
fn decode_load(value: &[u8]) -> Option<ReportedLoad> {
    let figures = std::str::from_utf8(value).ok()?.split(',').map(|figure| figure.parse().ok());
    let figures = figures.collect::<Option<Vec<u32>>>()?;
    let [running, waiting, slots] = figures[..] else { return None };
    Some(ReportedLoad { running, waiting, slots, slowness: 1.0 })
}

/// A free loopback address that no other test gets.
pub fn free_address() -> SocketAddr {
    nickellead_ports::free_address().unwrap()
}

/// A route with the prefix `/NAME/` to one service.
pub fn route(name: &str, service: &str, repeat: RepeatClass) -> RouteRule {
    RouteRule {
        name: name.to_owned(),
        host: "board.example".to_owned(),
        path_prefix: format!("/{name}/"),
        repeat,
        timeout: Duration::from_secs(2),
        latency_target: Duration::from_millis(500),
        priority: 1,
        attempts: 2,
        split: vec![WeightedService { service: service.to_owned(), weight: 1.0 }],
        public: false,
        regions: None,
        large_responses: false,
    }
}

/// Declarations with a safe route `/read/` and an unsafe route `/write/` to the service `plain`,
/// and a safe route `/key/` to the sharded service `keyed`.
pub fn declarations(version: u64) -> Declarations {
    let rule = |is_sharded| ServiceRule { connections: 100, sharded: is_sharded, cold: None };
    let services =
        BTreeMap::from([("plain".to_owned(), rule(false)), ("keyed".to_owned(), rule(true))]);
    let routes = vec![
        route("read", "plain", RepeatClass::Safe),
        route("write", "plain", RepeatClass::Unsafe),
        route("key", "keyed", RepeatClass::Safe),
    ];
    let routes = routes.into_iter().map(SharedRoute::from).collect();
    Declarations { version, routes, services, ..Declarations::default() }
}

/// [`declarations`] with a safe route `/files/` to the service `plain`, whose responses are large.
pub fn declarations_with_large_responses(version: u64) -> Declarations {
    let files = RouteRule { large_responses: true, ..route("files", "plain", RepeatClass::Safe) };
    let mut declarations = declarations(version);
    declarations.routes.push(SharedRoute::from(files));
    declarations
}

/// The entry of a ready target in `zone-a`.
pub fn entry(id: &str, service: &str, address: SocketAddr) -> TargetEntry {
    TargetEntry {
        id: id.to_owned(),
        born: None,
        service: service.to_owned(),
        address,
        zone: "zone-a".to_owned(),
        slots: SlotCount::new(4).unwrap(),
        state: TargetState::Ready,
        cold_left: Duration::ZERO,
    }
}

pub struct TestGateway {
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub metrics: SocketAddr,
    pub handle: Option<GatewayHandle>,
}

impl TestGateway {
    /// Starts a gateway without waiting until it has read the store.
    pub fn start(name: &str, store: &MemoryStore) -> Self {
        Self::start_as(name, store, |_| {})
    }

    /// Starts a gateway with the default settings changed by `edit`.
    pub fn start_as(
        name: &str,
        store: &MemoryStore,
        edit: impl FnOnce(&mut GatewaySettings),
    ) -> Self {
        let metrics = free_address();
        let mut settings = GatewaySettings {
            vm: name.to_owned(),
            zone: "zone-a".to_owned(),
            callers_address: free_address(),
            readiness_address: free_address(),
            metrics_address: Some(metrics),
            peers_address: free_address(),
            peers_announced: None,
            dispatch_address: None,
            dispatch_announced: None,
            dispatch_scope: DispatchScope::default(),
            cpu_share: 1.0,
            link_mbps: None,
            store_address: free_address(),
            grace_s: 2.0,
            connections: Some(100),
            memory_mb: None,
            max_fds: None,
            retry_burst: 5.0,
            retry_ratio: 0.2,
            retry_extra: None,
            cold: None,
            evacuation_s: None,
            drain_s: 2.0,
            revocation_s: None,
            quota: QuotaSettings::default(),
            region: None,
            zone_regions: BTreeMap::new(),
            ownership: OwnershipSettings::default(),
            policy: PolicySettings::default(),
        };
        edit(&mut settings);
        let (callers, readiness) = (settings.callers_address, settings.readiness_address);
        let store = store.for_vm(name);
        let orders = MemoryOrders::new(&store);
        let handle = start_gateway(settings, NAMES, move || (store, orders)).unwrap();
        Self { callers, readiness, metrics, handle: Some(handle) }
    }

    /// Starts a gateway whose peers connect over a link that is paced at `rate` bytes a second and
    /// can be cut.
    pub fn start_linked(name: &str, store: &MemoryStore, rate: f64) -> (Self, PacedLink) {
        let mut link = None;
        let gateway = Self::start_as(name, store, |settings| {
            let opened = PacedLink::open(settings.peers_address, rate);
            settings.peers_announced = Some(opened.address);
            link = Some(opened);
        });
        (gateway, link.unwrap())
    }

    /// Waits until the readiness endpoint responds with 200.
    pub fn wait_ready(&self) {
        wait_until("the gateway is ready", || {
            exchange(self.readiness, "GET /ready HTTP/1.1\r\nhost: a\r\n\r\n")
                .starts_with("HTTP/1.1 200")
        });
    }

    /// The text of the metrics.
    pub fn metrics_text(&self) -> String {
        exchange(self.metrics, "GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n")
    }

    /// Value of the metric with this name and these labels, if there is one.
    pub fn find_metric(&self, name: &str) -> Option<f64> {
        let text = self.metrics_text();
        let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        value.map(|value| value.parse().unwrap())
    }

    /// Value of the metric with this name and these labels; 0 without one.
    pub fn metric(&self, name: &str) -> f64 {
        self.find_metric(name).unwrap_or_default()
    }

    /// Whether the metrics report exactly this version of the declarations.
    pub fn is_version_active(&self, version: u64) -> bool {
        self.find_metric("nickellead_config_version") == Some(version as f64)
    }

    /// The version of the declarations that the metrics report; 0 without declarations.
    pub fn active_version(&self) -> u64 {
        self.metric("nickellead_config_version") as u64
    }

    /// Runs [`TestGateway::send`] on a new thread.
    pub fn send_in_background(
        &self,
        method: &'static str,
        path: &'static str,
    ) -> JoinHandle<String> {
        let client = Self { handle: None, ..*self };
        std::thread::spawn(move || client.send(method, path, ""))
    }

    /// Sends a request with an id of its own and a deadline of one second; returns head and body of the
    /// response.
    pub fn send(&self, method: &str, path: &str, extra_headers: &str) -> String {
        let id = format!("r{}", NEXT_REQUEST_ID.fetch_add(1, Ordering::Relaxed));
        let response = exchange(
            self.callers,
            &format!(
                "{method} {path} HTTP/1.1\r\nhost: board.example\r\nx-request-id: {id}\r\n\
                 x-deadline-ms: 1000\r\nconnection: close\r\n{extra_headers}\r\n"
            ),
        );
        let returned_id = header(&response, "x-request-id");
        assert!(returned_id.is_none_or(|returned| returned == id), "{id}: {response}");
        response
    }
}

/// Sends a raw request on a new connection and returns the response.
pub fn exchange(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    read_response(&mut stream)
}

/// Reads one response; ends at its `content-length`, at the end of the connection or at a read
/// error.
pub fn read_response(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    let mut buffer = [0; 4_096];
    loop {
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse().unwrap())
            });
            if length.is_some_and(|length: usize| body.len() >= length) {
                return text;
            }
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return text,
            Ok(read) => text.push_str(&String::from_utf8_lossy(&buffer[..read])),
        }
    }
}

/// A listener with a full backlog, and the connections that fill it.
pub fn full_listener() -> (socket2::Socket, SocketAddr, Vec<TcpStream>) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&any.into()).unwrap();
    socket.listen(0).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    let filler = || TcpStream::connect_timeout(&address, Duration::from_millis(100)).ok();
    let fillers = (0..4).filter_map(|_| filler()).collect();
    (socket, address, fillers)
}

/// Polls until `condition` holds; panics after ten seconds.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(10);
    while !condition() {
        assert!(Instant::now() < end, "timed out after 10 s waiting until {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Two ready gateways: the mandate holder, which watches the store, and a VM that subscribes to it.
pub fn start_pair(store: &MemoryStore) -> [TestGateway; 2] {
    let holder = TestGateway::start("vm-0", store);
    wait_until("the first VM holds the mandate", || {
        store.mandate_holder().as_deref() == Some("vm-0")
    });
    let subscriber = TestGateway::start("vm-1", store);
    let gateways = [holder, subscriber];
    gateways.iter().for_each(TestGateway::wait_ready);
    gateways
}

/// A ready gateway that routes the service `plain` to these targets; requests sent so far are
/// cleared.
pub fn gateway_with_targets(name: &str, targets: &[&TestTarget]) -> (TestGateway, MemoryStore) {
    let store = MemoryStore::default();
    for target in targets {
        store.list(entry(&target.id, "plain", target.address));
    }
    store.declare(declarations(1));
    let gateway = TestGateway::start(name, &store);
    gateway.wait_ready();
    wait_until("the gateway knows the targets", || {
        !gateway.send("GET", "/read/probe", "").contains("no-target")
    });
    targets.iter().for_each(|target| target.clear_requests());
    (gateway, store)
}
