//! Answering other VMs.

use std::rc::Rc;
use std::time::Duration;

use nickellead_lease::{VmIncarnation, ZoneEvent};
use nickellead_peer::{FollowRequest, PeerHandler, PeerReply, PeerRequest};
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::hub::PeerHub;
use crate::channel::try_send;
use crate::coordination::CoordinationMessage;

/// Longest time an answer is held back while there is nothing to tell.
const WAIT_MAX: Duration = Duration::from_secs(1);

pub(super) fn handler(hub: Rc<PeerHub>) -> PeerHandler {
    Rc::new(move |request, _| {
        let hub = Rc::clone(&hub);
        Box::pin(async move { answer(&hub, request).await })
    })
}

async fn answer(hub: &PeerHub, request: PeerRequest) -> PeerReply {
    match request {
        PeerRequest::Follow(request) => answer_follow(hub, &request).await,
        PeerRequest::Record(batch) => {
            let (sender, receiver) = oneshot::channel();
            try_send(hub.coordination(), CoordinationMessage::Record(batch, sender));
            receiver.await.map_or(PeerReply::Refused, PeerReply::Record)
        }
        PeerRequest::StepDown(term) => {
            let (sender, receiver) = oneshot::channel();
            try_send(hub.coordination(), CoordinationMessage::StepDown(term, sender));
            receiver.await.map_or(PeerReply::Refused, PeerReply::SteppedDown)
        }
    }
}

async fn answer_follow(hub: &PeerHub, request: &FollowRequest) -> PeerReply {
    if request.from.zone == hub.own.zone {
        let vm =
            VmIncarnation { vm: request.from.vm.clone(), incarnation: request.from.incarnation };
        try_send(hub.coordination(), CoordinationMessage::Event(ZoneEvent::PeerSeen(vm)));
    }
    let mut changes = hub.subscribe();
    let wait = Duration::from_millis(u64::from(request.wait_ms)).min(WAIT_MAX);
    let waiting = async {
        // Only a coordinator holds an answer back: another VM has nothing more to say.
        while hub.leads() {
            changes.mark_unchanged();
            let reply = hub.follow_reply(request);
            if !reply.zones.is_empty() || reply.config.is_some() || changes.changed().await.is_err()
            {
                return;
            }
        }
    };
    // Running out of time means there was nothing to tell.
    let _ = timeout(wait, waiting).await;
    PeerReply::Follow(Box::new(hub.follow_reply(request)))
}
