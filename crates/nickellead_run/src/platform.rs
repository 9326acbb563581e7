//! Platform thread: calls for the coordination, declarations and the list of VMs.
//!
//! Only a VM that coordinates, or that has lost its coordinator, watches the
//! platform; the others get declarations from their coordinator.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use nickellead_api::{DeclaredConfig, DeclaredService, DeclaredTarget, ObjectKind, ResourceObject};
use nickellead_core::{Name, Version};
use nickellead_lease::{ZoneAction, ZoneEvent};
use nickellead_platform::{CallCounter, PlatformClient, PlatformError};
use tokio::sync::watch;

use crate::channel::{ChannelReceiver, ChannelSender, try_send};
use crate::coordination::CoordinationMessage;
use crate::peers::PeerMessage;

/// Time that one watch request waits for changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between two reads of the list of VMs.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between two reads while keys wait for a VM to leave the list.
const URGENT_VM_LIST_INTERVAL: Duration = Duration::from_millis(200);
/// Delay after a failed call.
const FAILURE_BACKOFF: Duration = Duration::from_millis(300);

/// Message to the platform thread.
#[derive(Debug)]
pub(crate) enum PlatformMessage {
    /// Read or write requested by the coordination.
    Call(Box<ZoneAction>),
    /// Sets how this VM watches the platform.
    SetWatchMode(WatchMode),
}

/// How a VM watches the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum WatchMode {
    /// The VM does not watch the platform; its coordinator sends declarations.
    #[default]
    Off,
    /// The VM watches declarations and polls the list of VMs.
    Normal,
    /// As `Normal`, with a shorter poll interval: keys wait for a VM to leave the list.
    Urgent,
}

/// Channels to the threads that receive state of the platform.
#[derive(Clone)]
pub(crate) struct PlatformChannels {
    pub(crate) coordination: ChannelSender<CoordinationMessage>,
    pub(crate) peers: ChannelSender<PeerMessage>,
}

/// Starts the platform thread.
///
/// # Errors
/// Returns the error of the operating system if the thread can't be started.
pub(crate) fn build(
    address: SocketAddr,
    zone: Name,
    counter: CallCounter,
    receiver: ChannelReceiver<PlatformMessage>,
    channels: PlatformChannels,
) -> std::io::Result<JoinHandle<()>> {
    std::thread::Builder::new().name("platform".to_owned()).spawn(move || {
        if let Ok(runtime) = actix_rt::Runtime::new() {
            runtime.block_on(run(address, zone, counter, receiver, channels));
        }
    })
}

async fn run(
    address: SocketAddr,
    zone: Name,
    counter: CallCounter,
    mut receiver: ChannelReceiver<PlatformMessage>,
    channels: PlatformChannels,
) {
    let client = Rc::new(PlatformClient::new(address, counter));
    let zone = Rc::new(zone);
    let (mode_sender, watch_mode) = watch::channel(WatchMode::Off);
    actix_rt::spawn(watch_config(Rc::clone(&client), watch_mode.clone(), channels.clone()));
    actix_rt::spawn(poll_vm_list(
        Rc::clone(&client),
        Rc::clone(&zone),
        watch_mode,
        channels.clone(),
    ));
    while let Some(message) = receiver.recv().await {
        match message {
            PlatformMessage::SetWatchMode(mode) => {
                mode_sender.send_replace(mode);
            }
            PlatformMessage::Call(action) => {
                let (client, zone) = (Rc::clone(&client), Rc::clone(&zone));
                let coordination = channels.coordination.clone();
                actix_rt::spawn(async move {
                    if let Some(event) = execute(&client, &zone, *action).await {
                        try_send(&coordination, CoordinationMessage::Event(event));
                    }
                });
            }
        }
    }
}

async fn execute(client: &PlatformClient, zone: &Name, action: ZoneAction) -> Option<ZoneEvent> {
    match action {
        ZoneAction::ReadMandate(id) => {
            let result = client.read(ObjectKind::Mandate, zone).await;
            Some(ZoneEvent::MandateRead(id, result))
        }
        ZoneAction::WriteMandate(id, expected, object) => {
            let result = client.write(ObjectKind::Mandate, zone, expected, &object).await;
            Some(ZoneEvent::MandateWritten(id, result))
        }
        ZoneAction::ReadPlacement(id, service, name) => {
            let result = client.read(ObjectKind::Placement, &placement_name(&name, zone)?).await;
            Some(ZoneEvent::PlacementRead(id, service, result))
        }
        ZoneAction::WritePlacement(id, service, name, expected, object) => {
            let name = placement_name(&name, zone)?;
            let result = client.write(ObjectKind::Placement, &name, expected, &object).await;
            Some(ZoneEvent::PlacementWritten(id, service, result))
        }
        _ => None,
    }
}

/// Name of the placement object of a service in a zone; `None` if that is not a valid name.
fn placement_name(service: &Name, zone: &Name) -> Option<Name> {
    Name::new(&format!("{service}.{zone}")).ok()
}

async fn watch_config(
    client: Rc<PlatformClient>,
    mut watch_mode: watch::Receiver<WatchMode>,
    channels: PlatformChannels,
) {
    let mut objects = ConfigObjects::default();
    loop {
        if watch_mode.wait_for(|mode| *mode != WatchMode::Off).await.is_err() {
            return;
        }
        match objects.refresh(&client).await {
            Ok(true) => publish_config(&objects, &channels),
            Ok(false) => {}
            Err(_) => tokio::time::sleep(FAILURE_BACKOFF).await,
        }
    }
}

fn publish_config(objects: &ConfigObjects, channels: &PlatformChannels) {
    let config = Arc::new(objects.to_config());
    let event = ZoneEvent::ConfigChanged(Arc::clone(&config));
    try_send(&channels.coordination, CoordinationMessage::Event(event));
    try_send(&channels.peers, PeerMessage::Config(config));
}

/// Declared objects, kept up to date by list and watch.
#[derive(Default)]
struct ConfigObjects {
    revision: Option<Version>,
    items: BTreeMap<(ObjectKind, Name), ResourceObject>,
}

impl ConfigObjects {
    /// Lists on the first call, then waits for changes; returns whether anything changed.
    async fn refresh(&mut self, client: &PlatformClient) -> Result<bool, PlatformError> {
        let Some(revision) = self.revision else {
            return self.list(client).await;
        };
        match client.watch(revision, WATCH_TIMEOUT).await {
            Ok(page) if page.revision < revision => {
                // A stale replica responded: keep the known objects.
                Ok(false)
            }
            Ok(page) => {
                self.revision = Some(page.revision);
                let changed = !page.events.is_empty();
                for event in page.events {
                    let key = (event.kind, event.name);
                    match event.object {
                        Some(object) => drop(self.items.insert(key, object)),
                        None => drop(self.items.remove(&key)),
                    }
                }
                Ok(changed)
            }
            Err(PlatformError::Compacted) => self.list(client).await,
            Err(error) => Err(error),
        }
    }

    async fn list(&mut self, client: &PlatformClient) -> Result<bool, PlatformError> {
        let list = client.list_declared().await?;
        if self.revision.is_some_and(|known| list.revision < known) {
            return Ok(false);
        }
        self.revision = Some(list.revision);
        let keyed = |item: ResourceObject| ((item.kind, item.name.clone()), item);
        self.items = list.items.into_iter().map(keyed).collect();
        Ok(true)
    }

    /// Converts the objects to declarations and skips unreadable ones.
    fn to_config(&self) -> DeclaredConfig {
        let revision = self.revision.unwrap_or_default();
        let mut config = DeclaredConfig { revision, ..DeclaredConfig::default() };
        for ((kind, name), object) in &self.items {
            let (name, version, spec) = (name.clone(), object.version, object.spec.clone());
            match kind {
                ObjectKind::Service => {
                    if let Ok(spec) = serde_json::from_value(spec) {
                        config.services.push(DeclaredService { name, version, spec });
                    }
                }
                ObjectKind::Target => {
                    if let Ok(spec) = serde_json::from_value(spec) {
                        config.targets.push(DeclaredTarget { name, version, spec });
                    }
                }
                ObjectKind::Mandate | ObjectKind::Placement => {}
            }
        }
        config
    }
}

async fn poll_vm_list(
    client: Rc<PlatformClient>,
    zone: Rc<Name>,
    mut watch_mode: watch::Receiver<WatchMode>,
    channels: PlatformChannels,
) {
    loop {
        if watch_mode.wait_for(|mode| *mode != WatchMode::Off).await.is_err() {
            return;
        }
        if let Ok(vms) = client.vms().await {
            let local = vms.iter().filter(|vm| vm.zone == *zone);
            let names = local.map(|vm| vm.vm.clone()).collect();
            let event = ZoneEvent::VmsListed(names);
            try_send(&channels.coordination, CoordinationMessage::Event(event));
            try_send(&channels.peers, PeerMessage::VmList(vms));
        }
        let interval = match *watch_mode.borrow_and_update() {
            WatchMode::Urgent => URGENT_VM_LIST_INTERVAL,
            WatchMode::Off | WatchMode::Normal => VM_LIST_INTERVAL,
        };
        // A change of the mode ends the delay early.
        let _ = tokio::time::timeout(interval, watch_mode.changed()).await;
    }
}
