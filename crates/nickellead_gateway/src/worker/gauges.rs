//! Gauges of the request path.

use nickellead_time::BootClock;

use super::RequestWorker;

impl RequestWorker {
    /// Updates the gauges that are derived from the cached state.
    pub(crate) fn refresh_gauges(&self) {
        self.apply_reach_changes();
        let state = self.state.borrow();
        let metrics = &self.metrics;
        let opened = i64::try_from(state.registry.opened()).unwrap_or(i64::MAX);
        metrics.connections.set(opened);
        let signals = state.registry.count_signals(BootClock.now());
        metrics.leaving.set(signals.leaving);
        metrics.paused.set(signals.paused);
        metrics.limited.set(signals.limited);
        let out_of_reach = self.reachability.count_out_of_reach(BootClock.now());
        metrics.zones_out_of_reach.set(i64::try_from(out_of_reach).unwrap_or(i64::MAX));
        let response_age = BootClock.now().since(self.last_response.get());
        metrics.reach.response_age.set(response_age.as_secs_f64());
        metrics.reach.cut_off.set(i64::from(self.is_cut_off()));
        metrics.reach.known_vms.set(gauge_value(state.fleet.vms.len()));
        for (service, tokens) in self.retry_budget.borrow().tokens() {
            metrics.repeats.set_tokens(service, tokens);
        }
        metrics.held_bytes.set(gauge_value(self.memory.held()));
        metrics.held_bytes_limit.set(gauge_value(self.memory.bound().unwrap_or(0)));
        metrics.callers_cut.set(gauge_value(self.serve_state.stalled_connections()));
        metrics.connection_bytes.set(gauge_value(self.memory.held_by_connections()));
        metrics.heads_cut.set(gauge_value(self.serve_state.cut_heads()));
        metrics.crashes.set_marks(self.quarantine.counts());
        let version = state.version.unwrap_or_default();
        if let Some(dispatch) = &self.dispatch {
            dispatch.client.server().refresh_gauges();
        }
        metrics.config_version.set(i64::try_from(version).unwrap_or(i64::MAX));
        metrics.config_age.set(state.updated.declarations.elapsed().as_secs_f64());
        metrics.targets_age.set(state.updated.targets.elapsed().as_secs_f64());
        metrics.keys_age.set(self.keys_age(&state).as_secs_f64());
    }
}

/// A count as the value of a gauge.
pub(super) fn gauge_value(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
