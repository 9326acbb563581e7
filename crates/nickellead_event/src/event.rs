//! The closed list of log events: one line of key=value pairs each.

use std::fmt::Display;

use log::Level;

/// One answered request in this many is logged: enough to compare with, and cheap.
pub const REQUEST_ANSWERED_SAMPLE_INTERVAL: u64 = 64;

macro_rules! event_table {
    ($($kind:ident, $name:literal, $level:ident, [$($field:literal),*], $help:literal;)*) => {
        /// What a log line is about.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum EventName {
            $(#[doc = $help] $kind,)*
        }

        impl EventName {
            /// Every event, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)*];

            /// The event's name in the log.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$kind => $name,)* }
            }

            /// The fields that its lines may have, in any choice.
            #[must_use]
            pub const fn fields(self) -> &'static [&'static str] {
                match self { $(Self::$kind => &[$($field),*],)* }
            }

            /// What it tells.
            #[must_use]
            pub const fn help(self) -> &'static str {
                match self { $(Self::$kind => $help,)* }
            }

            const fn level(self) -> Level {
                match self { $(Self::$kind => Level::$level,)* }
            }
        }
    };
}

event_table! {
    NodeStarted, "node-started", Info, ["vm", "zone", "incarnation"], "the process started";
    NodeStopping, "node-stopping", Info, ["vm"], "the process was told to stop and is no longer ready";
    NodeDrained, "node-drained", Info, ["vm", "requests_running", "answers_waiting", "requests_cut", "answers_cut"], "callers were served no more: what was under way then, and what is cut by the end of the grace time";
    NodeStopped, "node-stopped", Info, ["vm", "requests_finished", "mandate_settled"], "the process has stopped";
    SettingsReloaded, "settings-reloaded", Info, ["vm", "same", "needs_restart"], "the settings file was read again";
    SettingsRejected, "settings-rejected", Warn, ["reason"], "the settings file can't be used; the old settings stay in force";
    MandateTaken, "mandate-taken", Info, ["vm", "zone", "term"], "this VM took the mandate";
    MandateLost, "mandate-lost", Warn, ["vm", "renewals"], "another VM holds the mandate now";
    MandateHandedOver, "mandate-handed-over", Info, ["zone", "term", "done"], "this VM gave the mandate back";
    CoordinatorLeading, "coordinator-leading", Info, ["vm", "zone", "term"], "this VM decides about owners from now on";
    CoordinatorSuperseded, "coordinator-superseded", Warn, ["zone", "term", "reason"], "another VM decides about owners now";
    CoordinatorDetached, "coordinator-detached", Warn, ["zone", "term"], "the platform is silent; coordination goes on without it";
    CoordinatorAttached, "coordinator-attached", Info, ["zone", "term"], "the platform answered again";
    TargetFenced, "target-fenced", Info, ["zone", "target"], "a target answered a first contact";
    TargetLive, "target-live", Info, ["zone", "target"], "a target's session is live";
    TargetRestarted, "target-restarted", Warn, ["zone", "target"], "a target came back as another process";
    TargetLost, "target-lost", Warn, ["zone", "target", "shards"], "a target's lease has surely lapsed";
    TargetChanged, "target-changed", Info, ["target", "service", "state", "born", "cold_ms"], "a target is listed, leaves or is gone, as the store told this VM";
    TargetUnreadable, "target-unreadable", Warn, ["target"], "the entry of this name can't be read, so it names no target to use, whatever it named before";
    TargetLeaving, "target-leaving", Info, ["target"], "an answer said that this target leaves: it gets no new requests but those for keys that it owns, and these for a moment only";
    OwnerLeaving, "owner-leaving", Info, ["target", "told_on"], "the mandate's holder learned by the answer to an order, or by a VM whose request was answered so, that a target leaves: it is to own no keys";
    TargetPaused, "target-paused", Info, ["target", "pause_ms"], "a target turned a request away and wants nothing from this VM for so long; not logged again until that is over";
    TargetLimited, "target-limited", Info, ["target", "rate"], "answers of this target name the requests a second that it takes from all VMs together, or name none any more (none)";
    ZoneEvacuated, "zone-evacuated", Info, ["zone", "evacuated"], "an availability zone is to get no new requests, or takes them again, as known here from now on";
    TargetsTold, "targets-told", Info, ["number", "ready", "draining", "gone"], "another VM told so many changes of targets; the VM that follows the store has a target-changed line for each";
    MovesStarted, "moves-started", Info, ["zone", "service", "shards"], "planned moves began";
    OwnersCommitted, "owners-committed", Info, ["zone", "service", "shards", "by_records"], "new owners are in force";
    RangesWritten, "ranges-written", Info, ["revision", "edit", "fence", "late_orders"], "the map of ranges is in the store";
    RangeMoved, "range-moved", Info, ["service", "first", "last", "to"], "a range goes to another target to spread load";
    OwnerLimited, "owner-limited", Info, ["target", "rate", "demand", "answered", "lost", "unhurried_ms"], "all VMs together send this owner of keys so many requests a second from now on, or as many as they like (none): it was asked for more than it answers in time";
    OrderFailed, "order-failed", Info, ["order", "outcome", "target", "first", "last", "fence"], "a target refused an order or did not answer";
    ConfigInForce, "config-in-force", Info, ["version", "revision"], "these declarations are known here; routes-built tells when requests follow them";
    NewsSource, "news-source", Info, ["source"], "where this VM gets its news: the store, another VM or none";
    NewsTaken, "news-taken", Info, ["source", "bytes", "waited_ms", "on_way_ms"], "another VM told this much at once; only answers of 16 KiB and more are logged";
    SourceLeft, "source-left", Info, ["source", "reason", "bytes", "waited_ms", "on_way_ms"], "a VM is asked for news no more; bytes and times are of its last answer, whole or not";
    NewsUnusable, "news-unusable", Warn, ["part", "reason"], "what another VM told does not fit what is known here; the whole is asked for, or another source";
    DeclarationsUntold, "declarations-untold", Warn, ["version", "reason"], "declarations can't be told to other VMs, which read them from the store instead";
    PartUntold, "part-untold", Warn, ["part", "reason"], "all targets or all ranges can't be told to other VMs, which read them from the store instead";
    RoutesBuilt, "routes-built", Info, ["version", "routes", "took_ms"], "the request duty has built its table: requests are decided by this version from now on";
    StoreLost, "store-lost", Warn, ["reason"], "the store stopped answering this VM";
    StoreRegained, "store-regained", Info, [], "the store answers this VM again";
    ListOutdated, "list-outdated", Warn, ["read", "known"], "the store's list of targets is as of an older revision than what is known here, and is not taken over; not logged again until one is";
    StoreOlder, "store-older", Warn, ["era", "before", "reached"], "the store came back from an older copy: its revisions have begun anew in this era; what this VM knew up to the revision reached stays until it is told anew";
    EraOdd, "era-odd", Warn, ["reason", "told", "known"], "an answer of the store tells no era, or one that can't be (missing, unreadable, fallen, jumped); nothing is lost by it";
    RequestAnswered, "request-answered", Info, ["request", "route", "status", "after_ms", "version"], "a target's answer was passed on; one in 64 is logged, chosen by its id";
    RequestRetried, "request-retried", Info, ["request", "target", "reason", "after_ms"], "a try failed at this target and another one may follow";
    RequestFailed, "request-failed", Info, ["request", "route", "error", "after_ms", "caller_age_ms", "key", "owner", "fence", "version", "config_age_ms", "targets_age_ms", "ranges_age_ms"], "the request ended without a target's answer, decided by beliefs of these ages";
    LinesDropped, "log-lines-dropped", Warn, ["count"], "nobody read the log fast enough";
}

impl EventName {
    /// The event of this name.
    #[must_use]
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|event| event.as_str() == name)
    }
}

/// Logs one event with its pairs.
pub fn log_event(name: EventName, pairs: &[(&str, &dyn Display)]) {
    log::log!(target: "nickellead", name.level(), "{}", event_line(name, pairs));
}

/// The text of one event: one line, whatever the values hold.
#[must_use]
pub fn event_line(name: EventName, pairs: &[(&str, &dyn Display)]) -> String {
    debug_assert!(
        pairs.iter().all(|(key, _)| name.fields().contains(key)),
        "{} has a field that its row of the table does not name",
        name.as_str()
    );
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

/// The page that documents every event, as `docs/EVENTS.md` holds it.
#[must_use]
pub fn events_page() -> String {
    let mut page = String::from(PAGE_HEAD);
    for event in EventName::ALL {
        let fields = event.fields().join("`, `");
        let fields = if fields.is_empty() { String::new() } else { format!("`{fields}`") };
        page.push_str(&format!("| `{}` | {fields} | {} |\n", event.as_str(), event.help()));
    }
    page
}

/// What stands above the table of [`events_page`].
const PAGE_HEAD: &str = "# Events in the log

One line an event, `event=NAME key=value ...`; a line has some of the fields named
here and no others. Times end in `_ms`, ages count from when the belief was taken
over. This page is written by
`cargo run -p nickellead_event --example events_page > docs/EVENTS.md`.

| event | fields | what it tells |
|---|---|---|
";
