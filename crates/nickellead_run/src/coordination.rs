//! Coordination thread: runs the zone's state machine and dispatches its actions.

use std::thread::JoinHandle;

use nickellead_core::{Name, Term, Version};
use nickellead_lease::{
    CoordinatorSettings, MandatePhase, RecordBatch, RecordResponse, TargetStatus, VmIncarnation,
    ZoneAction, ZoneCoordinator, ZoneDelta, ZoneEvent, ZoneNotice,
};
use nickellead_time::BootClock;
use tokio::sync::oneshot;

use crate::channel::{ChannelReceiver, ChannelSender, try_send};
use crate::orders::OrderMessage;
use crate::peers::PeerMessage;
use crate::platform::{PlatformMessage, WatchMode};
use nickellead_event::{EventName, log_event};

/// Message to the coordination thread.
#[derive(Debug)]
pub(crate) enum CoordinationMessage {
    /// An event for the state machine.
    Event(ZoneEvent),
    /// Batch of owner records of a detached coordinator, and where to send the response.
    Record(RecordBatch, oneshot::Sender<RecordResponse>),
    /// Request of a successor to step down; the response is the highest known term.
    StepDown(Term, oneshot::Sender<Term>),
    /// Status request of an operator.
    Status(oneshot::Sender<CoordinationStatus>),
}

/// State of the coordination that the operators' API shows.
#[derive(Clone, Debug)]
pub(crate) struct CoordinationStatus {
    pub(crate) phase: MandatePhase,
    pub(crate) term: Term,
    pub(crate) published: (Term, Version),
    pub(crate) targets: Vec<TargetStatus>,
    pub(crate) standbys: Vec<Name>,
}

/// Channels from the coordination to the other threads.
pub(crate) struct CoordinationChannels {
    pub(crate) platform: ChannelSender<PlatformMessage>,
    pub(crate) peers: ChannelSender<PeerMessage>,
    pub(crate) orders: ChannelSender<OrderMessage>,
}

struct Coordination {
    coordinator: ZoneCoordinator,
    channels: CoordinationChannels,
    zone: Name,
    /// Term and version of the last delta sent to the peers thread.
    published: Option<(Term, Version)>,
    announced_leading: Option<bool>,
    standbys: Vec<VmIncarnation>,
    watch_mode: Option<WatchMode>,
}

/// Starts the coordination thread.
///
/// # Errors
/// Returns the error of the operating system if the thread can't be started.
pub(crate) fn build(
    settings: CoordinatorSettings,
    receiver: ChannelReceiver<CoordinationMessage>,
    channels: CoordinationChannels,
) -> std::io::Result<JoinHandle<()>> {
    let zone = settings.zone.clone();
    let coordinator = ZoneCoordinator::new(settings, BootClock.now());
    let coordination = Coordination {
        coordinator,
        channels,
        zone,
        published: None,
        announced_leading: None,
        standbys: Vec::new(),
        watch_mode: None,
    };
    std::thread::Builder::new()
        .name("coordination".to_owned())
        .spawn(move || run(coordination, receiver))
}

fn run(mut coordination: Coordination, mut receiver: ChannelReceiver<CoordinationMessage>) {
    while let Some(message) = receiver.blocking_recv() {
        coordination.handle(message);
        coordination.publish();
        if coordination.coordinator.phase() == MandatePhase::Stopped {
            return;
        }
    }
}

impl Coordination {
    fn handle(&mut self, message: CoordinationMessage) {
        match message {
            CoordinationMessage::Event(event) => {
                let actions = self.step(event);
                actions.into_iter().for_each(|action| self.execute(action));
            }
            CoordinationMessage::Record(batch, responder) => {
                for action in self.step(ZoneEvent::RecordBatchReceived(batch)) {
                    if let ZoneAction::SendRecordResponse(response) = action {
                        // The requester may have dropped its receiver.
                        let _ = responder.send(response);
                        break;
                    }
                    self.execute(action);
                }
            }
            CoordinationMessage::StepDown(term, responder) => {
                self.step(ZoneEvent::StepDownRequested(term)).into_iter().for_each(|action| {
                    if !matches!(action, ZoneAction::ConfirmStepDown(_)) {
                        self.execute(action);
                    }
                });
                let _ = responder.send(self.coordinator.term());
            }
            CoordinationMessage::Status(responder) => {
                let _ = responder.send(self.status());
            }
        }
    }

    fn step(&mut self, event: ZoneEvent) -> Vec<ZoneAction> {
        self.coordinator.handle(event, BootClock.now())
    }

    fn execute(&self, action: ZoneAction) {
        match action {
            ZoneAction::SendOrder(order) => {
                try_send(&self.channels.orders, OrderMessage::Send(Box::new(order)));
            }
            ZoneAction::SendRecordBatch(vm, batch) => {
                try_send(&self.channels.peers, PeerMessage::SendRecordBatch(vm, batch));
            }
            ZoneAction::RequestStepDown(vm, term) => {
                try_send(&self.channels.peers, PeerMessage::RequestStepDown(vm, term));
            }
            ZoneAction::Notify(notice) => self.log(&notice),
            ZoneAction::SendRecordResponse(_) | ZoneAction::ConfirmStepDown(_) => {}
            call @ (ZoneAction::ReadMandate(..)
            | ZoneAction::WriteMandate(..)
            | ZoneAction::ReadPlacement(..)
            | ZoneAction::WritePlacement(..)) => {
                try_send(&self.channels.platform, PlatformMessage::Call(Box::new(call)));
            }
        }
    }

    /// Sends changes of owners, standbys, leadership and watch mode to the other threads.
    fn publish(&mut self) {
        let is_leading = self.coordinator.publishes();
        let coordinator_lost = self.coordinator.has_lost_coordinator(BootClock.now());
        if self.announced_leading.replace(is_leading) != Some(is_leading) {
            try_send(
                &self.channels.peers,
                PeerMessage::Leading(self.coordinator.term(), is_leading),
            );
        }
        let mandate = self.coordinator.mandate();
        let standbys = mandate.map_or(&[][..], |mandate| &mandate.standbys);
        if is_leading && self.standbys != standbys {
            self.standbys = standbys.to_vec();
            try_send(&self.channels.peers, PeerMessage::Standbys(self.standbys.clone()));
        }
        let watch_mode = if self.coordinator.awaits_predecessor_stop() {
            WatchMode::Urgent
        } else if self.coordinator.coordinates() || coordinator_lost {
            WatchMode::Normal
        } else {
            WatchMode::Off
        };
        if self.watch_mode.replace(watch_mode) != Some(watch_mode) {
            try_send(&self.channels.platform, PlatformMessage::SetWatchMode(watch_mode));
        }
        if is_leading && self.published != Some(self.coordinator.published_version()) {
            let delta: ZoneDelta = self.coordinator.delta(self.published);
            self.published = Some((delta.term, delta.version));
            try_send(&self.channels.peers, PeerMessage::Publish(Box::new(delta)));
        }
    }

    fn status(&self) -> CoordinationStatus {
        let mandate = self.coordinator.mandate();
        let standbys = mandate.into_iter().flat_map(|mandate| &mandate.standbys);
        CoordinationStatus {
            phase: self.coordinator.phase(),
            term: self.coordinator.term(),
            published: self.coordinator.published_version(),
            targets: self.coordinator.target_statuses(),
            standbys: standbys.map(|standby| standby.vm.clone()).collect(),
        }
    }

    fn log(&self, notice: &ZoneNotice) {
        let zone = &self.zone;
        match notice {
            ZoneNotice::MandateAcquired(term) => {
                log_event(EventName::MandateTaken, &[("zone", zone), ("term", term)]);
            }
            ZoneNotice::Leading(term) => {
                log_event(EventName::CoordinatorLeading, &[("zone", zone), ("term", term)]);
            }
            ZoneNotice::Superseded(term) => {
                log_event(EventName::CoordinatorSuperseded, &[("zone", zone), ("term", term)]);
            }
            ZoneNotice::Detached(term) => {
                log_event(EventName::CoordinatorDetached, &[("zone", zone), ("term", term)]);
            }
            ZoneNotice::Attached(term) => {
                log_event(EventName::CoordinatorAttached, &[("zone", zone), ("term", term)]);
            }
            ZoneNotice::HandedOver(term) => {
                log_event(EventName::MandateHandedOver, &[("zone", zone), ("term", term)]);
            }
            ZoneNotice::TargetFenced(name) => {
                log_event(EventName::TargetFenced, &[("zone", zone), ("target", name)]);
            }
            ZoneNotice::TargetLive(name) => {
                log_event(EventName::TargetLive, &[("zone", zone), ("target", name)]);
            }
            ZoneNotice::TargetRestarted(name) => {
                log_event(EventName::TargetRestarted, &[("zone", zone), ("target", name)]);
            }
            ZoneNotice::TargetLost(name, shards) => {
                let pairs: [(&str, &dyn std::fmt::Display); 3] =
                    [("zone", zone), ("target", name), ("shards", shards)];
                log_event(EventName::TargetLost, &pairs);
            }
            ZoneNotice::MovesStarted(service, shards) => {
                let pairs: [(&str, &dyn std::fmt::Display); 3] =
                    [("zone", zone), ("service", service), ("shards", shards)];
                log_event(EventName::MovesStarted, &pairs);
            }
            ZoneNotice::OwnersCommitted(service, shards, by_records) => {
                let pairs: [(&str, &dyn std::fmt::Display); 4] = [
                    ("zone", zone),
                    ("service", service),
                    ("shards", shards),
                    ("by_records", by_records),
                ];
                log_event(EventName::OwnersCommitted, &pairs);
            }
        }
    }
}
