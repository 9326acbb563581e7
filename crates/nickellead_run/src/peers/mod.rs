//! Peers thread: follows coordinators, serves followers and updates the workers.

mod follow;
mod server;
mod state;

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use nickellead_api::DeclaredConfig;
use nickellead_core::{Term, ZoneKey};
use nickellead_lease::{RecordBatch, VmIncarnation, ZoneDelta, ZoneEvent};
use nickellead_peer::{PEER_PATH, PeerClient, PeerReply, PeerRequest, PeerVm, serve_peers};
use nickellead_platform::ListedVm;
use nickellead_route::ZoneSummary;
use tokio::sync::oneshot;

use crate::channel::{ChannelReceiver, ChannelSender, try_send};
use crate::coordination::CoordinationMessage;
use crate::orders::OrderMessage;
use crate::readiness::Readiness;
use crate::requests::WorkerMessage;
use state::PeerState;

/// Timeout of a single request to another VM.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Message to the peers thread.
#[derive(Debug)]
pub(crate) enum PeerMessage {
    /// New owners in this VM's zone.
    Publish(Box<ZoneDelta>),
    /// Whether this VM coordinates its zone, and in which term.
    Leading(Term, bool),
    /// The standbys that the mandate names.
    Standbys(Vec<VmIncarnation>),
    /// New declarations from the platform.
    Config(Arc<DeclaredConfig>),
    /// The platform's list of VMs.
    VmList(Vec<ListedVm>),
    /// Request of an operator for the owners in every zone.
    Summarize(oneshot::Sender<BTreeMap<ZoneKey, ZoneSummary>>),
    /// Owner records for a standby to store.
    SendRecordBatch(VmIncarnation, RecordBatch),
    /// Request to the previous coordinator to step down.
    RequestStepDown(VmIncarnation, Term),
}

/// Channels from the peers thread to the other threads.
pub(crate) struct PeerChannels {
    pub(crate) coordination: ChannelSender<CoordinationMessage>,
    pub(crate) orders: ChannelSender<OrderMessage>,
    pub(crate) workers: Vec<ChannelSender<WorkerMessage>>,
    pub(crate) readiness: Arc<Readiness>,
}

/// Starts the peers thread.
///
/// # Errors
/// Returns the error of the operating system if the thread can't be started.
pub(crate) fn build(
    own: PeerVm,
    listener: TcpListener,
    known: Vec<PeerVm>,
    receiver: ChannelReceiver<PeerMessage>,
    channels: PeerChannels,
) -> std::io::Result<JoinHandle<()>> {
    std::thread::Builder::new().name("peers".to_owned()).spawn(move || {
        if let Ok(runtime) = actix_rt::Runtime::new() {
            runtime.block_on(run(own, listener, known, receiver, channels));
        }
    })
}

async fn run(
    own: PeerVm,
    listener: TcpListener,
    known: Vec<PeerVm>,
    mut receiver: ChannelReceiver<PeerMessage>,
    channels: PeerChannels,
) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        return;
    };
    let state = Rc::new(PeerState::new(own, known, channels));
    actix_rt::spawn(serve_peers(listener, PEER_PATH, server::handler(Rc::clone(&state))));
    actix_rt::spawn(follow::follow_own_zone(Rc::clone(&state)));
    actix_rt::spawn(follow::follow_other_zones(Rc::clone(&state)));
    while let Some(message) = receiver.recv().await {
        handle(&state, message);
    }
}

fn handle(state: &Rc<PeerState>, message: PeerMessage) {
    match message {
        PeerMessage::Publish(delta) => {
            state.apply_delta(&delta);
        }
        PeerMessage::Leading(term, is_leading) => state.set_leading(term, is_leading),
        PeerMessage::Standbys(standbys) => state.set_standbys(standbys),
        PeerMessage::Config(config) => state.apply_config(config),
        PeerMessage::VmList(vms) => state.apply_vm_list(vms),
        PeerMessage::Summarize(responder) => {
            // The operators' thread may have stopped waiting.
            let _ = responder.send(state.summaries());
        }
        PeerMessage::SendRecordBatch(vm, batch) => send(state, &vm, PeerRequest::Record(batch)),
        PeerMessage::RequestStepDown(vm, term) => send(state, &vm, PeerRequest::StepDown(term)),
    }
}

/// Sends a request to one VM and forwards the response to the coordination.
fn send(state: &Rc<PeerState>, vm: &VmIncarnation, request: PeerRequest) {
    let Some(address) = state.address_of(&vm.vm) else {
        return;
    };
    let coordination = state.coordination().clone();
    actix_rt::spawn(async move {
        let mut client = PeerClient::new(address, PEER_PATH);
        let event = match client.call(&request, REQUEST_TIMEOUT).await {
            Ok(PeerReply::Record(response)) => ZoneEvent::RecordResponseReceived(response),
            Ok(PeerReply::SteppedDown(term)) => ZoneEvent::StepDownConfirmed(term),
            // A later tick sends the request again.
            _ => return,
        };
        try_send(&coordination, CoordinationMessage::Event(event));
    });
}
