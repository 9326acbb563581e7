//! Checks who may send a request, and where it may be served.

use std::rc::Rc;
use std::time::Duration;

use nickellead_core::ErrorKind;
use nickellead_time::BootClock;

use super::{AttemptState, RequestWorker, WorkerState};
use crate::RouteRule;
use crate::authentication::Credential;
use crate::exchange::SendPermission;
use crate::incoming::IncomingRequest;
use crate::regions::is_region_allowed;
use crate::workspace_table::WorkspaceEntry;

impl RequestWorker {
    /// Finds the workspace of a request; `None` if it needs none and its key names none.
    ///
    /// # Errors
    /// Why the request may not be served by this VM.
    pub(super) fn identify(
        &self,
        route: &RouteRule,
        credential: Credential,
    ) -> Result<Option<Rc<WorkspaceEntry>>, ErrorKind> {
        let workspace = self.find_workspace(route, credential)?;
        check_region(route, workspace.as_deref(), self.regions.of_vm())?;
        Ok(workspace)
    }

    /// Checks again, when a request is about to be sent to a target in `zone`, that it may be
    /// served: keys may have been taken away while it waited.
    ///
    /// # Errors
    /// Why the request may not be sent.
    pub(super) fn permit_sending(
        &self,
        incoming: &IncomingRequest,
        zone: &str,
    ) -> Result<SendPermission, ErrorKind> {
        let route = &incoming.route.rule;
        let workspace = self.identify(route, incoming.credential)?;
        check_region(route, workspace.as_deref(), self.regions.of_zone(zone))?;
        Ok(SendPermission {
            workspace: workspace.map(|workspace| workspace.header.clone()),
            hides_key: self.state.borrow().workspaces.is_some(),
        })
    }

    /// Takes a token of the workspace's quota, unless the request has a usable one.
    ///
    /// # Errors
    /// Why the request is refused.
    pub(super) async fn ensure_token(
        &self,
        incoming: &IncomingRequest,
        attempts: &mut AttemptState,
    ) -> Result<(), ErrorKind> {
        let Some(workspace) = &incoming.workspace else { return Ok(()) };
        if attempts.token.is_some_and(|token| token.is_usable(BootClock.now())) {
            return Ok(());
        }
        self.give_back_token(incoming, attempts);
        let taken = self.quotas.take(workspace).await;
        attempts.token = Some(taken.map_err(|refusal| {
            incoming.quota_retry_after.set(refusal.retry_after);
            refusal.kind
        })?);
        Ok(())
    }

    /// Gives back the token of an attempt that was not sent, if there is one.
    pub(super) fn give_back_token(&self, incoming: &IncomingRequest, attempts: &mut AttemptState) {
        if let (Some(workspace), Some(token)) = (&incoming.workspace, attempts.token.take()) {
            self.quotas.give_back(workspace, token);
        }
    }

    /// Whether a request may be served by a target in `zone`.
    pub(super) fn allows_zone(&self, incoming: &IncomingRequest, zone: &str) -> bool {
        let (route, workspace) = (&incoming.route.rule, incoming.workspace.as_deref());
        let is_unrestricted = route.regions.is_none()
            && workspace.is_none_or(|workspace| workspace.rule.regions.is_none());
        // This runs for every target, and most requests may be served anywhere.
        is_unrestricted || check_region(route, workspace, self.regions.of_zone(zone)).is_ok()
    }

    fn find_workspace(
        &self,
        route: &RouteRule,
        credential: Credential,
    ) -> Result<Option<Rc<WorkspaceEntry>>, ErrorKind> {
        let state = self.state.borrow();
        let Some(workspaces) = &state.workspaces else { return Ok(None) };
        let Credential::Key(key) = credential else {
            return if route.public { Ok(None) } else { Err(ErrorKind::Unauthenticated) };
        };
        let outdated = self.has_outdated_keys(&state);
        match workspaces.find(&key).filter(|_| !outdated) {
            Some(workspace) => Ok(Some(Rc::clone(workspace))),
            None if route.public => Ok(None),
            // The key may have been added since.
            None if outdated => Err(ErrorKind::KeysOutdated),
            None => Err(ErrorKind::Unauthenticated),
        }
    }

    /// Whether keys may have been taken away that this VM had to refuse by now.
    fn has_outdated_keys(&self, state: &WorkerState) -> bool {
        let now = BootClock.now();
        self.max_key_age.is_some_and(|max_age| !state.freshness.is_within(max_age, now))
    }

    /// Whether this VM can serve requests with keys, or requests need none.
    pub(crate) fn can_check_keys(&self) -> bool {
        let state = self.state.borrow();
        state.workspaces.is_none() || !self.has_outdated_keys(&state)
    }

    /// Age of the knowledge of which keys are valid; zero if requests need none.
    pub(super) fn keys_age(&self, state: &WorkerState) -> Duration {
        let confirmation = state.freshness.confirmation().filter(|_| state.workspaces.is_some());
        confirmation.map(|known| BootClock.now().since(known.at)).unwrap_or_default()
    }
}

/// Checks that route and workspace allow a region.
fn check_region(
    route: &RouteRule,
    workspace: Option<&WorkspaceEntry>,
    region: Option<&str>,
) -> Result<(), ErrorKind> {
    let by_workspace = workspace.and_then(|workspace| workspace.rule.regions.as_deref());
    let allowed = is_region_allowed(route.regions.as_deref(), region)
        && is_region_allowed(by_workspace, region);
    if allowed { Ok(()) } else { Err(ErrorKind::RegionNotAllowed) }
}
