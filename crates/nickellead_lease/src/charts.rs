//! State charts of sessions, shards and the mandate, embedded from `assets/charts/`.

use std::sync::LazyLock;

use nickellead_chart::{Chart, ChartError, chart_symbol};

chart_symbol! {
    /// State of a coordinator's session with one target.
    SessionPhase {
        /// The target has not replied in this term; a predecessor may still extend its lease.
        New = "new",
        /// The target has replied in this term, so no predecessor can extend its lease.
        Fenced = "fenced",
        /// The target has its standing grants, and orders extend its lease.
        Live = "live",
        /// The target restarted; the lease of the earlier process must expire first.
        Expiring = "lapsing",
        /// The target holds no lease.
        Lost = "lost",
    }
}

chart_symbol! {
    /// Event of a session.
    SessionEvent {
        /// The target replied to a first contact.
        ContactAnswered = "answered",
        /// The target applied its list of standing grants.
        Synced = "synced",
        /// The target replied with another incarnation.
        Restarted = "restarted",
        /// The upper bound of the lease has passed.
        Expired = "lapsed",
    }
}

chart_symbol! {
    /// State of one shard's ownership.
    ShardPhase {
        /// The shard has no owner.
        Free = "free",
        /// The next owner is being persisted.
        Writing = "writing",
        /// The owner is persisted; its grant is being sent.
        Granting = "granting",
        /// The owner serves the shard.
        Serving = "serving",
        /// The owner has been ordered to release the shard.
        Releasing = "releasing",
    }
}

chart_symbol! {
    /// Event of a shard.
    ShardEvent {
        /// A next owner was chosen.
        Planned = "planned",
        /// The next owner is persisted in the platform or at every standby.
        Written = "written",
        /// The owner accepted the grant.
        Granted = "granted",
        /// A planned move began.
        ReleaseRequested = "release_asked",
        /// The owner released the shard.
        Released = "released",
        /// The owner's lease has expired, or the owner does not hold the shard.
        OwnerLost = "owner_lost",
        /// The shard already has an owner, by the loaded placement or the target's grants.
        Adopted = "adopted",
        /// The chosen owner was lost before it received the grant.
        Aborted = "aborted",
    }
}

chart_symbol! {
    /// Role of a VM with respect to the zone's mandate (leader lease).
    MandatePhase {
        /// The VM does not hold the mandate.
        Follower = "follower",
        /// The VM is writing itself into the mandate.
        Acquiring = "taking",
        /// The VM holds the mandate and is writing its term into the placements.
        Loading = "loading",
        /// The VM coordinates the zone.
        Leading = "leading",
        /// The VM coordinates the zone while the platform is unavailable.
        Detached = "detached",
        /// The VM is releasing the mandate.
        Stopping = "stopping",
        /// The VM has left the coordination for good.
        Stopped = "stopped",
    }
}

chart_symbol! {
    /// Event of a VM's role.
    MandateEvent {
        /// The VM may acquire the mandate.
        AcquisitionAllowed = "may_take",
        /// The mandate names this VM as its holder.
        Acquired = "taken",
        /// The VM has seen a higher term.
        Superseded = "superseded",
        /// All placements carry this VM's term.
        Loaded = "loaded",
        /// No renewal has succeeded within the detach timeout.
        PlatformTimedOut = "platform_silent",
        /// A renewal succeeded after the detach timeout.
        PlatformRecovered = "platform_back",
        /// The process is shutting down.
        StopRequested = "stop_asked",
        /// The mandate is written as released.
        HandedOver = "handed_over",
    }
}

/// The state charts that sessions, shards and the mandate follow.
#[derive(Debug)]
pub struct LeaseCharts {
    /// Chart of a coordinator's session with one target.
    pub session: Chart<SessionPhase, SessionEvent>,
    /// Chart of one shard's ownership.
    pub shard: Chart<ShardPhase, ShardEvent>,
    /// Chart of a VM's role with respect to the mandate.
    pub mandate: Chart<MandatePhase, MandateEvent>,
}

impl LeaseCharts {
    /// Parses and validates the embedded charts.
    ///
    /// # Errors
    /// Returns the first error found in a chart.
    pub fn load() -> Result<Self, ChartError> {
        Ok(Self {
            session: Chart::load(include_str!("../../../assets/charts/session.json"))?,
            shard: Chart::load(include_str!("../../../assets/charts/shard.json"))?,
            mandate: Chart::load(include_str!("../../../assets/charts/mandate.json"))?,
        })
    }
}

/// Returns the charts, which are parsed on first use.
///
/// # Panics
/// Panics if an embedded chart is invalid. The tests and `nickellead check` detect that first.
#[must_use]
#[allow(clippy::expect_used)]
pub fn charts() -> &'static LeaseCharts {
    static CHARTS: LazyLock<LeaseCharts> =
        LazyLock::new(|| LeaseCharts::load().expect("embedded charts pass the tests"));
    &CHARTS
}
