//! Three VMs that dispatch, each behind a link that tests cut or delay.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};

use nickellead_gateway::{DispatchScope, GatewaySettings, RepeatClass, SharedRoute};

use super::link::PacedLink;
use super::store::MemoryStore;
use super::target::TestTarget;
use super::{TestGateway, declarations, entry, exchange, free_address, route, wait_until};

const VMS: usize = 3;
/// A link that does not limit anything.
const FAST_LINK: f64 = 1e9;
/// Counter of permits that were granted at once.
pub const GRANTED: &str = "nickellead_dispatch_granted_total";
/// Counter of requests that dispatchers sent.
pub const FORWARDED: &str = "nickellead_dispatch_forwarded_total";

/// Gateways that dispatch, each behind a link that can be cut or delayed.
pub struct DispatchFleet {
    pub gateways: Vec<TestGateway>,
    pub links: Vec<PacedLink>,
    path: &'static str,
    /// Counter of the requests that a VM dispatches.
    metric: &'static str,
}

impl DispatchFleet {
    /// Starts the gateways and waits until they serve `path` through a dispatcher.
    pub fn start(
        name: &str,
        store: &MemoryStore,
        path: &'static str,
        metric: &'static str,
    ) -> Self {
        Self::start_with(name, store, path, metric, |_| {})
    }

    /// Starts gateways whose settings are changed by `edit`.
    pub fn start_with(
        name: &str,
        store: &MemoryStore,
        path: &'static str,
        metric: &'static str,
        edit: impl Fn(&mut GatewaySettings),
    ) -> Self {
        let mut links = Vec::new();
        let mut start = |number: usize| {
            TestGateway::start_as(&format!("{name}-{number}"), store, |settings| {
                let address = free_address();
                let link = PacedLink::open(address, FAST_LINK);
                settings.dispatch_address = Some(address);
                settings.dispatch_announced = Some(link.address);
                settings.dispatch_scope = DispatchScope::Always;
                links.push(link);
                edit(settings);
            })
        };
        let gateways: Vec<TestGateway> = (0..VMS).map(&mut start).collect();
        gateways.iter().for_each(TestGateway::wait_ready);
        let fleet = Self { gateways, links, path, metric };
        for gateway in &fleet.gateways {
            wait_until("the VM uses the dispatcher", || {
                let before = fleet.count(metric);
                let response = gateway.send("GET", path, "x-key: 7\r\n");
                response.contains(" 200 ") && fleet.count(metric) > before
            });
        }
        fleet
    }

    /// Sum of a counter over all VMs.
    pub fn count(&self, metric: &str) -> u64 {
        self.gateways.iter().map(|gateway| gateway.metric(metric) as u64).sum()
    }

    /// The metrics of all VMs that count errors.
    pub fn errors(&self) -> Vec<String> {
        let texts = self.gateways.iter().map(|gateway| gateway.metrics_text());
        let lines = texts.flat_map(|text| text.lines().map(str::to_owned).collect::<Vec<_>>());
        lines.filter(|line| line.starts_with("nickellead_errors_total")).collect()
    }

    /// Index of the VM that dispatches the only group.
    pub fn dispatcher(&self) -> usize {
        let counts = || -> Vec<u64> {
            let counts = self.gateways.iter();
            counts.map(|gateway| gateway.metric(self.metric) as u64).collect()
        };
        let before = counts();
        self.gateways[0].send("GET", self.path, "x-key: 7\r\n");
        let after = counts();
        (0..VMS).find(|index| after[*index] > before[*index]).unwrap()
    }

    /// Runs `callers` concurrent callers, one after the other at each VM; returns the number of
    /// responses by status.
    pub fn send_all(&self, callers: usize, path: &str, requests: usize) -> BTreeMap<String, usize> {
        let next_id = AtomicUsize::new(0);
        std::thread::scope(|scope| {
            let call = |caller: usize| {
                let gateway = &self.gateways[caller % self.gateways.len()];
                let next_id = &next_id;
                scope.spawn(move || {
                    let send = |_| {
                        let id = next_id.fetch_add(1, Ordering::Relaxed);
                        send_as(gateway.callers, path, &format!("all-{id}"))
                    };
                    (0..requests).map(send).collect::<Vec<_>>()
                })
            };
            let callers: Vec<_> = (0..callers).map(call).collect();
            let mut counts = BTreeMap::new();
            for status in callers.into_iter().flat_map(|caller| caller.join().unwrap()) {
                *counts.entry(status).or_default() += 1;
            }
            counts
        })
    }
}

/// Sends a request with this id for key 7; returns the status.
fn send_as(callers: SocketAddr, path: &str, id: &str) -> String {
    let response = exchange(
        callers,
        &format!(
            "GET {path} HTTP/1.1\r\nhost: board.example\r\nx-request-id: {id}\r\nx-key: 7\r\n\
             x-deadline-ms: 1000\r\nconnection: close\r\n\r\n"
        ),
    );
    response.split(' ').nth(1).unwrap_or("none").to_owned()
}

/// A store with one target of a service, and the routes of [`declarations`] beside an unsafe route
/// `/seat/` to the service `keyed`.
pub fn store_with(service: &str, target: &TestTarget) -> MemoryStore {
    let store = MemoryStore::default();
    store.list(entry(&target.id, service, target.address));
    let mut declarations = declarations(1);
    declarations.routes.push(SharedRoute::from(route("seat", "keyed", RepeatClass::Unsafe)));
    store.declare(declarations);
    store
}
