//! Log events and their format: one line of key=value pairs per event.

use std::fmt::Display;

use log::Level;

/// Number of answered requests per logged [`EventName::RequestAnswered`].
pub const REQUEST_ANSWERED_SAMPLE_INTERVAL: u64 = 64;

macro_rules! event_table {
    ($($kind:ident, $name:literal, $level:ident, [$($field:literal),*], $help:literal;)*) => {
        /// Event that a log line reports.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum EventName {
            $(#[doc = $help] $kind,)*
        }

        impl EventName {
            /// All events, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)*];

            /// Name of the event in the log.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$kind => $name,)* }
            }

            /// Fields that the lines of this event may have; each of them is optional.
            #[must_use]
            pub const fn fields(self) -> &'static [&'static str] {
                match self { $(Self::$kind => &[$($field),*],)* }
            }

            /// Description of the event for `docs/EVENTS.md`.
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
    NodeStopping, "node-stopping", Info, ["vm"], "the process is stopping and is no longer ready";
    NodeDrained, "node-drained", Info, ["vm", "requests_running", "answers_waiting", "requests_cut", "answers_cut"], "the VM stopped serving callers: requests and responses that were in flight, and those that the end of the grace time cuts off";
    NodeStopped, "node-stopped", Info, ["vm", "requests_finished", "mandate_settled"], "the process has stopped";
    SettingsReloaded, "settings-reloaded", Info, ["vm", "same", "needs_restart"], "the settings file was read again";
    SettingsRejected, "settings-rejected", Warn, ["reason"], "the settings file is invalid; the previous settings stay in effect";
    MandateTaken, "mandate-taken", Info, ["vm", "zone", "term"], "this VM took the mandate (leader lease)";
    MandateLost, "mandate-lost", Warn, ["vm", "renewals"], "another VM holds the mandate now";
    MandateHandedOver, "mandate-handed-over", Info, ["zone", "term", "done"], "this VM released the mandate when it stopped; if done is false, the mandate was not released and expires instead";
    CoordinatorLeading, "coordinator-leading", Info, ["vm", "zone", "term"], "this VM starts to decide about owners";
    CoordinatorSuperseded, "coordinator-superseded", Warn, ["zone", "term", "reason"], "another VM decides about owners now";
    CoordinatorDetached, "coordinator-detached", Warn, ["zone", "term"], "the platform does not respond; coordination continues without it";
    CoordinatorAttached, "coordinator-attached", Info, ["zone", "term"], "the platform responds again";
    TargetFenced, "target-fenced", Info, ["zone", "target"], "a target responded to the first contact";
    TargetLive, "target-live", Info, ["zone", "target"], "the session of a target is live";
    TargetRestarted, "target-restarted", Warn, ["zone", "target"], "a target returned as a new process";
    TargetLost, "target-lost", Warn, ["zone", "target", "shards"], "the lease of a target has certainly expired";
    TargetChanged, "target-changed", Info, ["target", "service", "state", "born", "cold_ms"], "the store reports that a target is listed, leaving or gone";
    TargetKept, "target-kept", Info, ["target", "service", "kept_ms"], "the entry of this target is gone from the store but may only have expired during an outage: the target stays listed for this time unless its entry returns";
    TargetUnreadable, "target-unreadable", Warn, ["target"], "the entry of this name cannot be read; it is ignored, and so is its previous content";
    TargetLeaving, "target-leaving", Info, ["target"], "a response reports that this target is leaving: it gets no new requests except, for a short time, those for keys that it owns";
    OwnerLeaving, "owner-leaving", Info, ["target", "told_on"], "the mandate holder learned from the response to an order, or from a VM that received such a response to a request, that a target is leaving: the target is to own no more keys";
    TargetPaused, "target-paused", Info, ["target", "pause_ms"], "a target refused a request and asked this VM to pause for this time; logged again only after the pause ends";
    TargetLimited, "target-limited", Info, ["target", "rate"], "responses of this target set a limit in requests per second from all VMs together, or no longer set one (none)";
    ZoneEvacuated, "zone-evacuated", Info, ["zone", "evacuated"], "this VM learned that an availability zone is to get no new requests, or gets them again";
    ZoneOutOfReach, "zone-out-of-reach", Warn, ["zone", "in_reach", "first_hand"], "tries to an availability zone fail, so that this VM sends only occasional requests there, or the zone is in reach again (in_reach=true); first_hand=false if reports of other VMs or their expiry were needed for the conclusion";
    VmCutOff, "vm-cut-off", Warn, ["cut_off", "refused", "silent"], "this VM could not connect to any of several targets, so that other VMs serve its requests, or it reaches targets again (cut_off=false); refused and silent are the targets of the last check that refused or did not respond";
    TargetsTold, "targets-told", Info, ["number", "ready", "draining", "gone"], "another VM sent this many changes of targets; the VM that watches the store logs target-changed for each";
    MovesStarted, "moves-started", Info, ["zone", "service", "shards"], "planned moves started";
    OwnersCommitted, "owners-committed", Info, ["zone", "service", "shards", "by_records"], "new owners are in effect";
    RangesWritten, "ranges-written", Info, ["revision", "edit", "fence", "late_orders"], "the map of ranges was written to the store";
    RangeMoved, "range-moved", Info, ["service", "first", "last", "to"], "a range moves to another target to balance load";
    OwnerLimited, "owner-limited", Info, ["target", "rate", "demand", "answered", "lost", "unhurried_ms"], "the rate at which all VMs together send requests to this owner of keys changed because its demand exceeds what it can serve in time; none means no limit";
    OrderFailed, "order-failed", Info, ["order", "outcome", "target", "first", "last", "fence"], "a target refused an order or did not respond";
    ConfigInForce, "config-in-force", Info, ["version", "revision"], "this VM received these declarations; routes-built follows when requests use them";
    NewsSource, "news-source", Info, ["source"], "where this VM gets its updates from: the store, another VM or none";
    NewsTaken, "news-taken", Info, ["source", "bytes", "waited_ms", "on_way_ms"], "another VM sent an update of this size; only responses of at least 16 KiB are logged";
    SourceLeft, "source-left", Info, ["source", "reason", "bytes", "waited_ms", "on_way_ms"], "this VM no longer requests updates from another VM; bytes and times are those of its last response, complete or not";
    NewsUnusable, "news-unusable", Warn, ["part", "reason"], "an update from another VM does not match the local state; this VM requests a full copy or switches to another source";
    DeclarationsUntold, "declarations-untold", Warn, ["version", "reason"], "the declarations cannot be sent to other VMs, which read them from the store instead";
    PartUntold, "part-untold", Warn, ["part", "reason"], "the full list of targets or ranges cannot be sent to other VMs, which read it from the store instead";
    RoutesBuilt, "routes-built", Info, ["version", "routes", "took_ms"], "a request thread has built its routing table and uses this version from now on";
    StoreLost, "store-lost", Warn, ["call", "reason"], "the store stopped responding to this VM: kind and error of the first failed call";
    StoreRegained, "store-regained", Info, [], "the store responds to this VM again";
    ListOutdated, "list-outdated", Warn, ["read", "known"], "the store's list of targets has an older revision than the known state and is ignored; logged again only after a list was accepted";
    StoreOlder, "store-older", Warn, ["era", "before", "reached"], "the store was restored from an older copy and its revisions restarted in this era; the state up to the revision reached is kept until it is updated";
    EraOdd, "era-odd", Warn, ["reason", "told", "known"], "a response of the store has no era or an unexpected one (missing, unreadable, fallen, jumped); no state is discarded because of it";
    RequestAnswered, "request-answered", Info, ["request", "route", "status", "after_ms", "version"], "a target's response was forwarded to the caller; one in 64 is logged, selected by request id";
    RequestRetried, "request-retried", Info, ["request", "target", "reason", "after_ms"], "an attempt at this target failed and another one may follow";
    RefusalUnmarked, "refusal-unmarked", Warn, ["request", "target", "status"], "a target responded with a status that tells callers that the request did not run, but without saying so itself; the request may have run";
    RequestRepeated, "request-repeated", Info, ["request", "cause", "sent"], "the retry budget paid for one more attempt after this many attempts that may have reached a target";
    TargetFell, "target-fell", Warn, ["target", "request", "mark", "evidence", "waited_ms", "ran_ms", "known_ms"], "a target fell while it had this request: the connection broke ran_ms after the request was sent, and after known_ms nobody listened (refused) or the entry was gone or another instance's (gone); waited_ms is the time from the request's arrival at this VM until it was sent, and the mark names all requests with the same content";
    RequestQuarantined, "request-quarantined", Warn, ["mark", "fallen", "left_ms"], "requests with this mark are refused for this time, because these targets (and how long ago) fell one after the other while they had one; any target's answer to such a request ends it";
    RequestFailed, "request-failed", Info, ["request", "route", "workspace", "error", "mark", "fallen", "after_ms", "caller_age_ms", "key", "owner", "fence", "version", "config_age_ms", "targets_age_ms", "ranges_age_ms", "keys_age_ms"], "the request ended without a response from a target; the ages are those of the state that the decision was based on, and keys_age_ms is the age of the knowledge of which keys of workspaces are valid";
    RequestForwarded, "request-forwarded", Info, ["request", "target", "waited_ms", "after_ms", "result"], "this VM, the dispatcher of the target, sent a request for another VM; logged for one in 64, selected by request id, and for each without a response";
    RequestReadLate, "request-read-late", Info, ["request", "from", "unread_ms"], "this VM read a request of a caller or of another VM this long after it had arrived: the VM stood still or has too little processor time; logged for one in 64 above 100 ms, selected by request id, and for each above 500 ms";
    RequestHandedOver, "request-handed-over", Info, ["request", "address", "result", "after_ms"], "this VM, which is cut off from all targets, passed a request on to the VM at this address; logged for one in 64, selected by request id, and for each without a response";
    RequestAssisted, "request-assisted", Info, ["request", "result", "after_ms"], "this VM served a request for another VM that is cut off from all targets; logged for one in 64, selected by request id, and for each without a response";
    DispatcherLost, "dispatcher-lost", Warn, ["address", "reason"], "the dispatcher at this address did not acknowledge a message: its stand-in is asked, or targets are used without it; logged again only after it answered";
    ThreadLate, "thread-late", Warn, ["thread", "late_ms"], "a due task of this thread waited this long for its turn: the thread was busy without a pause, or the VM was stopped; each thread is measured every 200 ms, and more than 100 ms are logged";
    StepLong, "step-long", Warn, ["step", "took_ms"], "a step of a thread took more than 50 ms without a pause: applying a new part of the cluster state (declarations, targets, evacuations, fleet, ranges, admissions, update) or deciding about ranges (owners, balance)";
    LinesDropped, "log-lines-dropped", Warn, ["count"], "the log output was too slow and lines were lost";
}

impl EventName {
    /// Finds an event by its name in the log.
    #[must_use]
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|event| event.as_str() == name)
    }
}

/// Logs an event with its fields.
pub fn log_event(name: EventName, pairs: &[(&str, &dyn Display)]) {
    log::log!(target: "nickellead", name.level(), "{}", event_line(name, pairs));
}

/// Formats an event as a single line, whatever its values contain.
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

/// Appends a value. Values that could be read as another field or line are quoted and escaped.
fn push_value(line: &mut String, value: &str) {
    let is_plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
    if value.chars().all(is_plain) {
        line.push_str(value);
    } else {
        line.push_str(&format!("{value:?}"));
    }
}

/// Content of `docs/EVENTS.md`, which documents all events.
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

/// Text before the table in [`events_page`].
const PAGE_HEAD: &str = "# Events in the log

Each event is one line, `event=NAME key=value ...`, with some of the fields named
here and no others. Names of times and ages end in `_ms`. An age counts from the last
update of that part of the VM's state. This page is generated by
`cargo run -p nickellead_event --example events_page > docs/EVENTS.md`.

| event | fields | meaning |
|---|---|---|
";
