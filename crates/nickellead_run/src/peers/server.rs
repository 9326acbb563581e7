//! Request handlers for other VMs.

use std::rc::Rc;
use std::time::Duration;

use nickellead_lease::{VmIncarnation, ZoneEvent};
use nickellead_peer::{FollowRequest, PeerHandler, PeerReply, PeerRequest};
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::state::PeerState;
use crate::channel::try_send;
use crate::coordination::CoordinationMessage;

/// Maximum time that a follow request is held open without a change.
const MAX_LONG_POLL_TIMEOUT: Duration = Duration::from_secs(1);

pub(super) fn handler(state: Rc<PeerState>) -> PeerHandler {
    Rc::new(move |request, _| {
        let state = Rc::clone(&state);
        Box::pin(async move { respond(&state, request).await })
    })
}

async fn respond(state: &PeerState, request: PeerRequest) -> PeerReply {
    match request {
        PeerRequest::Follow(request) => respond_to_follow(state, &request).await,
        PeerRequest::Record(batch) => {
            let (sender, receiver) = oneshot::channel();
            try_send(state.coordination(), CoordinationMessage::Record(batch, sender));
            receiver.await.map_or(PeerReply::Refused, PeerReply::Record)
        }
        PeerRequest::StepDown(term) => {
            let (sender, receiver) = oneshot::channel();
            try_send(state.coordination(), CoordinationMessage::StepDown(term, sender));
            receiver.await.map_or(PeerReply::Refused, PeerReply::SteppedDown)
        }
    }
}

async fn respond_to_follow(state: &PeerState, request: &FollowRequest) -> PeerReply {
    if request.from.zone == state.own.zone {
        let vm =
            VmIncarnation { vm: request.from.vm.clone(), incarnation: request.from.incarnation };
        try_send(state.coordination(), CoordinationMessage::Event(ZoneEvent::PeerSeen(vm)));
    }
    let mut changes = state.subscribe();
    let wait_limit = Duration::from_millis(u64::from(request.wait_ms)).min(MAX_LONG_POLL_TIMEOUT);
    let wait_for_changes = async {
        // Only a coordinator delays the response until a change: other VMs have none to send.
        while state.is_leading() {
            changes.mark_unchanged();
            let reply = state.follow_reply(request);
            if !reply.zones.is_empty() || reply.config.is_some() || changes.changed().await.is_err()
            {
                return;
            }
        }
    };
    // On a timeout the response contains no changes.
    let _ = timeout(wait_limit, wait_for_changes).await;
    PeerReply::Follow(Box::new(state.follow_reply(request)))
}
