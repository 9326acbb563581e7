//! What changed around a request: the lines that bear on its targets, its VM or its owner.

use std::collections::BTreeSet;

use nickellead_event::EventName;

use crate::LogLine;

/// Most lines of context that are shown, the newest ones.
const CONTEXT_MOST: usize = 12;

/// The targets that the request was tried at, and the owner of its key.
pub(crate) fn involved_targets(own: &[LogLine]) -> BTreeSet<String> {
    let named = |line: &LogLine| {
        [line.field("target"), line.field("owner")].map(|name| name.map(str::to_owned))
    };
    own.iter().flat_map(named).flatten().collect()
}

/// Changes of belief that bear on the targets or on the VM that took the request.
pub(crate) fn find_context(
    near: &[&LogLine],
    targets: &BTreeSet<String>,
    vm: Option<&str>,
) -> Vec<LogLine> {
    let of_vm = |line: &LogLine| is_vm_change(line.event) && line.vm.as_deref() == vm;
    let bears = |line: &LogLine| {
        is_target_change(line, targets) || of_vm(line) || is_decider_change(line.event)
    };
    let bearing = near.iter().filter(|line| bears(line));
    let mut context: Vec<LogLine> = bearing.map(|line| (*line).clone()).collect();
    // Every VM notes the same change of a target: one line of each kind is enough.
    let mut seen = BTreeSet::new();
    context.retain(|line| {
        let place = line.text.find("event=").unwrap_or_default();
        is_decider_change(line.event) || of_vm(line) || seen.insert(line.text[place..].to_owned())
    });
    context.split_off(context.len().saturating_sub(CONTEXT_MOST))
}

/// Whether a line names one of the targets, and is not a mere try at it.
fn is_target_change(line: &LogLine, targets: &BTreeSet<String>) -> bool {
    let named = [line.field("target"), line.field("to")];
    line.event != EventName::RequestRetried
        && named.into_iter().flatten().any(|name| targets.contains(name))
}

/// Whether an event changes what its own VM knows or does.
const fn is_vm_change(event: EventName) -> bool {
    matches!(
        event,
        EventName::StoreLost
            | EventName::StoreRegained
            | EventName::StoreOlder
            | EventName::NewsSource
            | EventName::ConfigInForce
            | EventName::NodeStarted
            | EventName::NodeStopping
    )
}

/// Whether an event changes who decides about owners.
const fn is_decider_change(event: EventName) -> bool {
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
