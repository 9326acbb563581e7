//! The closed list of log events: one line of key=value pairs each.

use std::fmt::Display;

use log::Level;

/// What a log line is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventName {
    /// The process started.
    NodeStarted,
    /// The process is stopping.
    NodeStopping,
    /// The process has stopped.
    NodeStopped,
    /// This VM took the mandate.
    MandateTaken,
    /// This VM coordinates its zone.
    CoordinatorLeading,
    /// A higher term was seen.
    CoordinatorSuperseded,
    /// The platform is silent; coordination goes on without it.
    CoordinatorDetached,
    /// The platform answered again.
    CoordinatorAttached,
    /// The mandate was handed over.
    MandateHandedOver,
    /// A target answered a first contact.
    TargetFenced,
    /// A target's session is live.
    TargetLive,
    /// A target came back as another process.
    TargetRestarted,
    /// A target's lease has surely lapsed.
    TargetLost,
    /// Planned moves began.
    MovesStarted,
    /// New owners are in force.
    OwnersCommitted,
    /// New declarations arrived.
    ConfigInForce,
    /// A request got a target's answer; one in some is logged.
    RequestAnswered,
    /// A request ended without a target's answer.
    RequestFailed,
    /// A request was tried once more.
    RequestRetried,
    /// A target was listed, changed its state or is gone.
    TargetChanged,
    /// The store stopped answering.
    StoreLost,
    /// The store answers again.
    StoreRegained,
    /// This VM gets its news from elsewhere now.
    NewsSource,
    /// This VM gave the mandate up or lost it.
    MandateLost,
    /// The map of ranges was written.
    RangesWritten,
    /// A range goes to another owner.
    RangeMoved,
    /// An order to a target was refused or not answered.
    OrderFailed,
    /// The settings file was read again.
    SettingsReloaded,
    /// The settings file can't be used; the old settings stay in force.
    SettingsRejected,
}

impl EventName {
    /// The event's name in the log.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NodeStarted => "node-started",
            Self::NodeStopping => "node-stopping",
            Self::NodeStopped => "node-stopped",
            Self::MandateTaken => "mandate-taken",
            Self::CoordinatorLeading => "coordinator-leading",
            Self::CoordinatorSuperseded => "coordinator-superseded",
            Self::CoordinatorDetached => "coordinator-detached",
            Self::CoordinatorAttached => "coordinator-attached",
            Self::MandateHandedOver => "mandate-handed-over",
            Self::TargetFenced => "target-fenced",
            Self::TargetLive => "target-live",
            Self::TargetRestarted => "target-restarted",
            Self::TargetLost => "target-lost",
            Self::MovesStarted => "moves-started",
            Self::OwnersCommitted => "owners-committed",
            Self::ConfigInForce => "config-in-force",
            Self::RequestAnswered => "request-answered",
            Self::RequestFailed => "request-failed",
            Self::RequestRetried => "request-retried",
            Self::TargetChanged => "target-changed",
            Self::StoreLost => "store-lost",
            Self::StoreRegained => "store-regained",
            Self::NewsSource => "news-source",
            Self::MandateLost => "mandate-lost",
            Self::RangesWritten => "ranges-written",
            Self::RangeMoved => "range-moved",
            Self::OrderFailed => "order-failed",
            Self::SettingsReloaded => "settings-reloaded",
            Self::SettingsRejected => "settings-rejected",
        }
    }

    const fn level(self) -> Level {
        match self {
            Self::CoordinatorSuperseded
            | Self::CoordinatorDetached
            | Self::TargetRestarted
            | Self::TargetLost
            | Self::StoreLost
            | Self::MandateLost
            | Self::SettingsRejected => Level::Warn,
            _ => Level::Info,
        }
    }
}

/// Logs one event with its pairs.
pub fn log_event(name: EventName, pairs: &[(&str, &dyn Display)]) {
    log::log!(target: "nickellead", name.level(), "{}", event_line(name, pairs));
}

/// The text of one event: one line, whatever the values hold.
#[must_use]
pub fn event_line(name: EventName, pairs: &[(&str, &dyn Display)]) -> String {
    let mut line = format!("event={}", name.as_str());
    for (key, value) in pairs {
        line.push_str(&format!(" {key}="));
        push_value(&mut line, &value.to_string());
    }
    line
}

/// Appends a value; one that could pass for more than a value is quoted and escaped.
fn push_value(line: &mut String, value: &str) {
    let plain = |letter: char| !letter.is_whitespace() && !letter.is_control();
    if value.chars().all(|letter| plain(letter) && letter != '"' && letter != '=') {
        line.push_str(value);
    } else {
        line.push_str(&format!("{value:?}"));
    }
}
