//! The charts of this crate, embedded from `assets/charts/`.

use std::sync::LazyLock;

use nickellead_chart::{Chart, ChartError, chart_symbol};

chart_symbol! {
    /// Life of a coordinator's session with one target.
    SessionPhase {
        /// Not heard in this term; a predecessor may still extend it.
        New = "new",
        /// Heard in this term, so that no predecessor can extend it.
        Fenced = "fenced",
        /// Holds its standing grants and is being extended.
        Live = "live",
        /// Came back as another process; the former one's lease runs out first.
        Expiring = "lapsing",
        /// Surely holds no live lease.
        Lost = "lost",
    }
}

chart_symbol! {
    /// What happens to a session.
    SessionEvent {
        /// The target answered a first contact.
        ContactAnswered = "answered",
        /// The target took its list of standing grants.
        Synced = "synced",
        /// The target answered as another process.
        Restarted = "restarted",
        /// The lease has surely run out.
        Expired = "lapsed",
    }
}

chart_symbol! {
    /// Life of one shard's ownership.
    ShardPhase {
        /// Nobody owns it.
        Free = "free",
        /// The next owner is being written.
        Writing = "writing",
        /// The owner is written and is being told.
        Granting = "granting",
        /// The owner serves it.
        Serving = "serving",
        /// The owner was asked to give it up.
        Releasing = "releasing",
    }
}

chart_symbol! {
    /// What happens to a shard.
    ShardEvent {
        /// A next owner was chosen.
        Planned = "planned",
        /// The next owner is kept where it outlasts this coordinator.
        Written = "written",
        /// The owner took the grant.
        Granted = "granted",
        /// A planned move began.
        ReleaseRequested = "release_asked",
        /// The owner gave it up.
        Released = "released",
        /// The owner's lease has surely lapsed, or it does not hold the shard.
        OwnerLost = "owner_lost",
        /// The owner was found to hold it already.
        Adopted = "adopted",
        /// The chosen owner was lost before it was told.
        Aborted = "aborted",
    }
}

chart_symbol! {
    /// Life of a VM's part in the mandate.
    MandatePhase {
        /// Another VM coordinates, or nobody yet.
        Follower = "follower",
        /// Writes itself into the mandate.
        Acquiring = "taking",
        /// Holds the mandate and writes its term into the placements.
        Loading = "loading",
        /// Coordinates.
        Leading = "leading",
        /// Coordinates without the platform.
        Detached = "detached",
        /// Hands the mandate over.
        Stopping = "stopping",
        /// Takes no part any more.
        Stopped = "stopped",
    }
}

chart_symbol! {
    /// What happens to a VM's part in the mandate.
    MandateEvent {
        /// The rules allow to take the mandate.
        AcquisitionAllowed = "may_take",
        /// The mandate names this VM.
        Acquired = "taken",
        /// A higher term was seen.
        Superseded = "superseded",
        /// The term stands in all placements.
        Loaded = "loaded",
        /// The platform was silent for too long.
        PlatformTimedOut = "platform_silent",
        /// The platform answered again.
        PlatformRecovered = "platform_back",
        /// The process was asked to stop.
        StopRequested = "stop_asked",
        /// The mandate was written as given up.
        HandedOver = "handed_over",
    }
}

/// Every chart of this crate.
#[derive(Debug)]
pub struct LeaseCharts {
    /// Sessions.
    pub session: Chart<SessionPhase, SessionEvent>,
    /// Shards.
    pub shard: Chart<ShardPhase, ShardEvent>,
    /// Mandates.
    pub mandate: Chart<MandatePhase, MandateEvent>,
}

impl LeaseCharts {
    /// Reads and checks the embedded charts.
    ///
    /// # Errors
    /// Returns the first fault found in a chart.
    pub fn load() -> Result<Self, ChartError> {
        Ok(Self {
            session: Chart::load(include_str!("../../../assets/charts/session.json"))?,
            shard: Chart::load(include_str!("../../../assets/charts/shard.json"))?,
            mandate: Chart::load(include_str!("../../../assets/charts/mandate.json"))?,
        })
    }
}

/// The charts, loaded once.
///
/// # Panics
/// When an embedded chart is faulty; `nickellead check` and the tests load them
/// first, so a build that passed its tests does not get here.
#[must_use]
#[allow(clippy::expect_used)]
pub fn charts() -> &'static LeaseCharts {
    static CHARTS: LazyLock<LeaseCharts> =
        LazyLock::new(|| LeaseCharts::load().expect("embedded charts pass the tests"));
    &CHARTS
}
