//! How old a VM's knowledge of the declarations can be at most.

use std::time::Duration;

use bincode::{Decode, Encode};
use nickellead_core::Timestamp;

/// How long after a restore of the store no state is confirmed: the restored copy may lack changes
/// that operators then write again.
pub const RESTORE_GRACE: Duration = Duration::from_secs(2);
/// Resolution of a [`Timestamp`].
const CLOCK_RESOLUTION: Duration = Duration::from_millis(1);

/// Evidence that a state of the declarations was the newest one of the store at some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateConfirmation<S> {
    /// The confirmed state.
    pub state: S,
    /// A time on this VM's clock at which the state was the newest one, such as the start of a read
    /// of the store that returned it.
    pub at: Timestamp,
}

impl<S> StateConfirmation<S> {
    /// The form in which a VM sends the confirmation at `now`, in response to a request that arrived
    /// at `arrived_at`.
    #[must_use]
    pub fn relay(self, arrived_at: Timestamp, now: Timestamp) -> RelayedConfirmation<S> {
        // Times are rounded, and the age must not become too short.
        let age = now.since(self.at) + CLOCK_RESOLUTION;
        RelayedConfirmation { state: self.state, age, held: now.since(arrived_at) }
    }
}

/// A confirmation in a response of another VM, whose clock is not comparable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RelayedConfirmation<S> {
    state: S,
    /// Time since the state was the newest one, when the response was sent.
    age: Duration,
    /// Time between the arrival of the request and the response.
    held: Duration,
}

impl<S> RelayedConfirmation<S> {
    /// The confirmation on the clock of the VM that sent the request at `sent_at`.
    ///
    /// The request arrived after `sent_at`, so the time of the confirmation is never too late,
    /// however long the response took.
    #[must_use]
    pub fn receive(self, sent_at: Timestamp) -> StateConfirmation<S> {
        let at = (sent_at + self.held).checked_sub(self.age).unwrap_or_default();
        StateConfirmation { state: self.state, at }
    }
}

/// Age of the active declarations: the time before which they contain all changes.
///
/// Without evidence the age grows, whatever else a VM hears: a watch without events, a connection
/// that is open and a response that does not confirm the active state prove nothing.
#[derive(Clone, Copy, Debug)]
pub struct DeclarationsFreshness<S> {
    active: Option<S>,
    /// The active declarations contain every change that the store acknowledged before this.
    complete_until: Option<Timestamp>,
    /// The latest confirmation of a state that is not active yet.
    pending: Option<StateConfirmation<S>>,
    /// Until when no state is confirmed, because the store was restored.
    unproven_until: Timestamp,
}

impl<S> Default for DeclarationsFreshness<S> {
    fn default() -> Self {
        Self { active: None, complete_until: None, pending: None, unproven_until: Timestamp::ZERO }
    }
}

impl<S: Copy + PartialEq> DeclarationsFreshness<S> {
    /// Applies a confirmation; one of a state that is not active counts once it becomes active.
    pub fn confirm(&mut self, confirmation: StateConfirmation<S>) {
        if confirmation.at < self.unproven_until {
            return;
        }
        if self.active == Some(confirmation.state) {
            self.complete_until = self.complete_until.max(Some(confirmation.at));
        } else if self.pending.is_none_or(|pending| pending.at <= confirmation.at) {
            self.pending = Some(confirmation);
        }
    }

    /// Records that a newer state is active. It contains all changes that the one before contained.
    pub fn activate(&mut self, state: S) {
        self.active = Some(state);
        if let Some(pending) = self.pending.take_if(|pending| pending.state == state) {
            self.complete_until = self.complete_until.max(Some(pending.at));
        }
    }

    /// Records that the store was found restored from an older copy at `now`.
    pub fn record_restore(&mut self, now: Timestamp) {
        self.unproven_until = now + RESTORE_GRACE;
    }

    /// The latest confirmation of the active state; `None` without any.
    #[must_use]
    pub fn confirmation(&self) -> Option<StateConfirmation<S>> {
        Some(StateConfirmation { state: self.active?, at: self.complete_until? })
    }

    /// Whether the active declarations contain every change that the store acknowledged more than
    /// `max_age` ago.
    #[must_use]
    pub fn is_within(&self, max_age: Duration, now: Timestamp) -> bool {
        self.complete_until.is_some_and(|until| now.since(until) <= max_age)
    }
}
