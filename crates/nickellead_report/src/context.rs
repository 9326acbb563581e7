//! Selects log lines near a request that concern its targets, its VM or the mandate (leader lease).

use std::collections::BTreeSet;

use nickellead_event::EventName;

use crate::LogLine;

/// Maximum number of context lines; the newest ones are kept.
const MAX_CONTEXT_LINES: usize = 12;

/// Returns the targets of the request's attempts and the owner of its key.
pub(crate) fn involved_targets(own: &[LogLine]) -> BTreeSet<String> {
    let names = |line: &LogLine| {
        [line.field("target"), line.field("owner")].map(|name| name.map(str::to_owned))
    };
    own.iter().flat_map(names).flatten().collect()
}

/// Returns the state changes that concern the targets, the VM that took the request or the mandate.
pub(crate) fn find_context(
    nearby: &[&LogLine],
    targets: &BTreeSet<String>,
    vm: Option<&str>,
) -> Vec<LogLine> {
    let is_own_vm_change = |line: &LogLine| is_vm_change(line.event) && line.vm.as_deref() == vm;
    let is_relevant = |line: &LogLine| {
        is_target_change(line, targets) || is_own_vm_change(line) || is_mandate_change(line.event)
    };
    let relevant = nearby.iter().filter(|line| is_relevant(line));
    let mut context: Vec<LogLine> = relevant.map(|line| (*line).clone()).collect();
    // Every VM logs the same change of a target; keep one line of each kind.
    let mut seen = BTreeSet::new();
    context.retain(|line| {
        let event_start = line.text.find("event=").unwrap_or_default();
        is_mandate_change(line.event)
            || is_own_vm_change(line)
            || seen.insert(line.text[event_start..].to_owned())
    });
    context.split_off(context.len().saturating_sub(MAX_CONTEXT_LINES))
}

/// Whether a line concerns one of the targets and is not an attempt at it.
fn is_target_change(line: &LogLine, targets: &BTreeSet<String>) -> bool {
    let names = [line.field("target"), line.field("to")];
    line.event != EventName::RequestRetried
        && names.into_iter().flatten().any(|name| targets.contains(name))
}

/// Whether an event changes the state of the VM that logs it.
const fn is_vm_change(event: EventName) -> bool {
    matches!(
        event,
        EventName::StoreLost
            | EventName::StoreRegained
            | EventName::StoreOlder
            | EventName::ZoneOutOfReach
            | EventName::VmCutOff
            | EventName::NewsSource
            | EventName::ConfigInForce
            | EventName::NodeStarted
            | EventName::NodeStopping
    )
}

/// Whether an event changes which VM holds the mandate or coordinates.
const fn is_mandate_change(event: EventName) -> bool {
    matches!(
        event,
        EventName::MandateTaken
            | EventName::MandateLost
            | EventName::MandateHandedOver
            | EventName::CoordinatorLeading
            | EventName::CoordinatorSuperseded
            | EventName::CoordinatorDetached
    )
}
