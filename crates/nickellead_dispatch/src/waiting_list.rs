//! Requests that wait for a permit, and their order.

use nickellead_core::Timestamp;

use crate::{DispatchRequest, TargetKey, TicketId};

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingRequest {
    /// Names it; later requests have higher numbers.
    pub(crate) ticket: TicketId,
    /// The request.
    pub(crate) request: DispatchRequest,
    /// When its response has to arrive: when it is due, or for a caller who returned to a promised
    /// place too late for that, when the caller leaves.
    pub(crate) limit: Timestamp,
    /// Requests for the same owner and key that go before it, running ones included.
    share: u32,
}

impl WaitingRequest {
    /// Creates the entry of a request.
    pub(crate) fn new(ticket: TicketId, request: DispatchRequest, limit: Timestamp) -> Self {
        Self { ticket, request, limit, share: 0 }
    }

    fn order(&self) -> (u8, u32, Timestamp, TicketId) {
        (self.request.rank, self.share, self.request.due, self.ticket)
    }

    fn order_in_key(&self) -> (u8, Timestamp, TicketId) {
        (self.request.rank, self.request.due, self.ticket)
    }

    fn owned_key(&self) -> Option<OwnedKey> {
        OwnedKey::of(&self.request)
    }
}

/// A key at its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OwnedKey {
    /// The owner.
    pub(crate) owner: TargetKey,
    /// The key.
    pub(crate) key: u16,
}

impl OwnedKey {
    /// The key of a request; `None` for a request without owner or key.
    pub(crate) fn of(request: &DispatchRequest) -> Option<Self> {
        Some(Self { owner: request.owner?, key: request.key? })
    }
}

/// All waiting requests of a group.
#[derive(Debug, Default)]
pub(crate) struct WaitingList {
    entries: Vec<WaitingRequest>,
}

impl WaitingList {
    /// Number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// When the first caller leaves.
    pub(crate) fn first_deadline(&self) -> Option<Timestamp> {
        self.entries.iter().map(|entry| entry.request.deadline).min()
    }

    /// Adds a request.
    pub(crate) fn push(&mut self, entry: WaitingRequest) {
        self.entries.push(entry);
    }

    /// Removes a request.
    pub(crate) fn remove(&mut self, ticket: TicketId) {
        self.entries.retain(|entry| entry.ticket != ticket);
    }

    /// Takes all requests in their order; `running` counts the running requests for a key.
    pub(crate) fn take_ordered(
        &mut self,
        running: impl Fn(OwnedKey) -> u32,
    ) -> Vec<WaitingRequest> {
        let mut entries = std::mem::take(&mut self.entries);
        entries.sort_unstable_by_key(WaitingRequest::order_in_key);
        for index in 0..entries.len() {
            entries[index].share = share(&entries[index], &entries[..index], &running);
        }
        entries.sort_unstable_by_key(WaitingRequest::order);
        entries
    }

    /// Puts the requests back that still wait.
    pub(crate) fn restore(&mut self, entries: Vec<WaitingRequest>) {
        self.entries = entries;
    }

    /// Number of requests that go before a new one, as selected by `competes`.
    pub(crate) fn ahead_of(
        &self,
        new: &WaitingRequest,
        running: impl Fn(OwnedKey) -> u32,
        competes: impl Fn(&DispatchRequest) -> bool,
    ) -> usize {
        let mut new = *new;
        new.share = share(&new, &self.entries, &running);
        let goes_before = |entry: &&WaitingRequest| entry.order() < new.order();
        let ahead = self.entries.iter().filter(|entry| competes(&entry.request));
        ahead.filter(goes_before).count()
    }
}

/// Number of requests for the same key that run, or that go before `entry` among `others`.
fn share(
    entry: &WaitingRequest,
    others: &[WaitingRequest],
    running: impl Fn(OwnedKey) -> u32,
) -> u32 {
    let Some(key) = entry.owned_key() else { return 0 };
    let goes_before = |other: &&WaitingRequest| {
        other.owned_key() == Some(key) && other.order_in_key() < entry.order_in_key()
    };
    running(key) + others.iter().filter(goes_before).count() as u32
}
