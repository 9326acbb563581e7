//! Two VMs with links to all targets and to each other, which tests cut.

use nickellead_gateway::GatewaySettings;

use super::link::PacedLink;
use super::store::MemoryStore;
use super::target::{Behavior, TestTarget};
use super::target_link::{CutManner, TargetLink};
use super::{TestGateway, declarations, entry, exchange, free_address, wait_until};

/// A link that does not limit anything.
const FAST_LINK: f64 = 1e9;
/// The kinds of requests: safe, at most once, and for the owner of a key.
pub const REQUESTS: [(&str, &str); 3] =
    [("GET", "/read/a"), ("POST", "/write/a"), ("GET", "/key/a")];

/// Id of the requests that wait until a VM serves.
pub const WARM_UP_ID: &str = "warm";

/// A VM and the way to its dispatch address.
pub struct LinkedVm {
    pub gateway: TestGateway,
    pub link: PacedLink,
}

impl LinkedVm {
    fn start(name: &str, store: &MemoryStore, edit: impl Fn(&mut GatewaySettings)) -> Self {
        let address = free_address();
        let link = PacedLink::open(address, FAST_LINK);
        let gateway = TestGateway::start_as(name, store, |settings| {
            settings.dispatch_address = Some(address);
            settings.dispatch_announced = Some(link.address);
            edit(settings);
        });
        Self { gateway, link }
    }
}

/// Two VMs, one target of each service, and a link to each target; the first VM holds the mandate.
/// A cut concerns the connections of the first VM.
pub struct CutFleet {
    pub store: MemoryStore,
    pub targets: Vec<TestTarget>,
    pub links: Vec<TargetLink>,
    pub cut_off: LinkedVm,
    pub connected: LinkedVm,
}

impl CutFleet {
    pub fn start(name: &str) -> Self {
        Self::start_with(name, |_| {})
    }

    /// Starts VMs whose settings are changed by `edit`.
    pub fn start_with(name: &str, edit: impl Fn(&mut GatewaySettings)) -> Self {
        let store = MemoryStore::default();
        let start = |service: &str| {
            let target = TestTarget::start(&format!("{service}-1"), Behavior::Serve);
            let link = TargetLink::open(target.address);
            store.list(entry(&target.id, service, link.address));
            (target, link)
        };
        let (targets, links) = ["plain", "keyed"].into_iter().map(start).unzip();
        store.declare(declarations(1));
        let cut_off = LinkedVm::start(&format!("{name}-cut-off"), &store, &edit);
        wait_until("the first VM holds the mandate", || {
            store.mandate_holder() == Some(format!("{name}-cut-off"))
        });
        let connected = LinkedVm::start(&format!("{name}-connected"), &store, &edit);
        let fleet = Self { store, targets, links, cut_off, connected };
        fleet.warm_up();
        fleet
    }

    /// Opens connections of both VMs to all targets, and marks those of the first one.
    fn warm_up(&self) {
        for gateway in self.gateways() {
            gateway.wait_ready();
            wait_until("both VMs are known", || gateway.metric("nickellead_known_vms") == 2.0);
        }
        self.wait_until_served(&self.cut_off.gateway);
        self.links.iter().for_each(TargetLink::mark);
        self.wait_until_served(&self.connected.gateway);
        self.targets.iter().for_each(TestTarget::clear_requests);
    }

    /// Both VMs, the one that cuts concern first.
    pub fn gateways(&self) -> [&TestGateway; 2] {
        [&self.cut_off.gateway, &self.connected.gateway]
    }

    /// Waits until a VM serves requests of all kinds.
    pub fn wait_until_served(&self, gateway: &TestGateway) {
        for (method, path) in REQUESTS {
            wait_until("requests are served", || {
                send_as(gateway, method, path, WARM_UP_ID).contains(" 200 ")
            });
        }
    }

    pub fn cut(&self, manner: CutManner) {
        self.links.iter().for_each(|link| link.cut(manner));
    }

    /// Cuts both VMs off.
    pub fn cut_both(&self, manner: CutManner) {
        self.links.iter().for_each(TargetLink::mark);
        self.cut(manner);
    }

    pub fn heal(&self) {
        self.links.iter().for_each(TargetLink::heal);
    }
}

/// Sends a request for key 7 with this id and a deadline of one second.
pub fn send_as(gateway: &TestGateway, method: &str, path: &str, id: &str) -> String {
    exchange(
        gateway.callers,
        &format!(
            "{method} {path} HTTP/1.1\r\nhost: board.example\r\nx-request-id: {id}\r\nx-key: 7\r\n\
             x-deadline-ms: 1000\r\nconnection: close\r\n\r\n"
        ),
    )
}
