//! The story of one request, and why it ended as it did.

use std::collections::BTreeSet;
use std::fmt;

use nickellead_core::{ErrorKind, OutcomeClass};
use nickellead_event::{ANSWERED_SAMPLE, EventName};

use crate::LogLine;

/// How long before a failure other events may have to do with it, in seconds: a lost target's keys
/// wait for its hold and a predecessor's grace, about nine seconds.
const BEFORE_S: f64 = 10.0;
/// How long after it, in seconds: a loss may be noticed later than by the requests it hits.
const AFTER_S: f64 = 1.0;
/// Most lines of context that are shown, the newest ones.
const CONTEXT_MOST: usize = 12;
/// Other failures of the same kind from which one target or route is said to be the cause.
const MANY: usize = 3;

/// What logs tell of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestStory {
    /// Its own lines, in order of time.
    pub lines: Vec<LogLine>,
    /// What changed around its targets and its VM shortly before it ended.
    pub context: Vec<LogLine>,
    /// Why it ended as it did, in sentences.
    pub cause: Vec<String>,
    /// What the logs do not tell.
    pub missing: Vec<String>,
}

/// Joins what the logs of all VMs say of one request.
#[must_use]
pub fn explain_request(id: &str, lines: &[LogLine]) -> RequestStory {
    let own: Vec<LogLine> =
        lines.iter().filter(|line| line.field("request") == Some(id)).cloned().collect();
    let mut story = RequestStory {
        context: Vec::new(),
        cause: Vec::new(),
        missing: find_gaps(&own, lines),
        lines: own,
    };
    let failed = story.lines.iter().rfind(|line| line.event == EventName::RequestFailed).cloned();
    match failed {
        Some(failed) => explain_failure(&mut story, &failed, lines),
        None => explain_answer(&mut story),
    }
    story
}

/// What is missing to tell the whole story.
fn find_gaps(own: &[LogLine], lines: &[LogLine]) -> Vec<String> {
    let mut missing = Vec::new();
    if own.is_empty() {
        missing.push(format!(
            "no line names this request: it was answered (one in {ANSWERED_SAMPLE} answers is \
             logged), or the log of the VM that took it is not here"
        ));
    }
    let dropped: u64 = lines
        .iter()
        .filter(|line| line.event == EventName::LinesDropped)
        .filter_map(|line| line.field("count")?.parse::<u64>().ok())
        .sum();
    if dropped > 0 {
        missing.push(format!("{dropped} lines were dropped because nobody read the logs"));
    }
    missing
}

fn explain_answer(story: &mut RequestStory) {
    let last = story.lines.last();
    let Some(answered) = last.filter(|line| line.event == EventName::RequestAnswered) else {
        return;
    };
    let status = answered.field("status").unwrap_or("?");
    let after = answered.field("after_ms").unwrap_or("?");
    story.cause.push(format!("a target answered with status {status} after {after} ms"));
}

fn explain_failure(story: &mut RequestStory, failed: &LogLine, lines: &[LogLine]) {
    let code = failed.field("error").unwrap_or_default();
    let Some(kind) = ErrorKind::ALL.iter().copied().find(|kind| kind.answer().code == code) else {
        story.missing.push(format!("the error {code:?} is not in this version's table"));
        return;
    };
    let outcome = match kind.answer().outcome {
        OutcomeClass::NotRun => "it did not run",
        OutcomeClass::Unknown => "it may have run",
    };
    story.cause.push(format!("{code}: {} ({outcome})", kind.answer().help));
    let near: Vec<&LogLine> = lines
        .iter()
        .filter(|line| (failed.at - BEFORE_S..=failed.at + AFTER_S).contains(&line.at))
        .collect();
    let targets = involved_targets(&story.lines);
    story.context = find_context(&near, &targets, failed.vm.as_deref());
    story.cause.extend(tell_targets(&story.lines, &targets, &near));
    if failed.field("key").is_some() {
        // Only owners of keys depend on who decides.
        story.cause.extend(tell_decider(&story.context));
    }
    story.cause.extend(tell_crowd(failed, &near));
}

/// The targets that the request was tried at, and the owner of its key.
fn involved_targets(own: &[LogLine]) -> BTreeSet<String> {
    let named = |line: &LogLine| {
        [line.field("target"), line.field("owner")].map(|name| name.map(str::to_owned))
    };
    own.iter().flat_map(named).flatten().collect()
}

/// Changes of belief that bear on the targets or on the VM that took the request.
fn find_context(near: &[&LogLine], targets: &BTreeSet<String>, vm: Option<&str>) -> Vec<LogLine> {
    let of_target = |line: &LogLine| {
        let named = [line.field("target"), line.field("to")];
        named.into_iter().flatten().any(|name| targets.contains(name))
            && line.event != EventName::RequestRetried
    };
    let of_vm = |line: &LogLine| {
        let own = matches!(
            line.event,
            EventName::StoreLost
                | EventName::StoreRegained
                | EventName::NewsSource
                | EventName::ConfigInForce
                | EventName::NodeStarted
                | EventName::NodeStopping
        );
        own && line.vm.as_deref() == vm
    };
    let decides = |line: &LogLine| {
        matches!(
            line.event,
            EventName::MandateTaken
                | EventName::MandateLost
                | EventName::MandateHandedOver
                | EventName::CoordinatorLeading
                | EventName::CoordinatorSuperseded
                | EventName::CoordinatorDetached
        )
    };
    let bears = |line: &&&LogLine| of_target(line) || of_vm(line) || decides(line);
    let mut context: Vec<LogLine> = near.iter().filter(bears).map(|line| (*line).clone()).collect();
    // Every VM notes the same change of a target: one line of each kind is enough.
    let mut seen = BTreeSet::new();
    context.retain(|line| {
        let place = line.text.find("event=").unwrap_or_default();
        decides(line) || of_vm(line) || seen.insert(line.text[place..].to_owned())
    });
    context.split_off(context.len().saturating_sub(CONTEXT_MOST))
}

/// What happened to each target involved.
fn tell_targets(own: &[LogLine], targets: &BTreeSet<String>, near: &[&LogLine]) -> Vec<String> {
    let mut told = Vec::new();
    for target in targets {
        let of_target = |line: &&&LogLine| line.field("target") == Some(target);
        let tried = own.iter().filter(|line| line.field("target") == Some(target));
        for line in tried {
            let reason = line.field("reason").unwrap_or("?");
            let after = line.field("after_ms").unwrap_or("?");
            told.push(format!("the try at {target} ended after {after} ms: {reason}"));
        }
        let leaves = |line: &&&LogLine| {
            line.event == EventName::TargetChanged && line.field("state") != Some("ready")
        };
        let left = near.iter().filter(of_target).find(leaves);
        if let Some(line) = left {
            let state = line.field("state").unwrap_or("?");
            told.push(format!("{target} was {state} from {:.3} s on", line.at));
        }
        let orders =
            near.iter().filter(of_target).filter(|line| line.event == EventName::OrderFailed);
        let orders = orders.count();
        if orders > 0 {
            told.push(format!("{orders} orders to {target} failed around that time"));
        }
        let others = near.iter().filter(of_target).filter(|line| {
            line.event == EventName::RequestRetried
                && line.field("request") != own[0].field("request")
        });
        let others = others.count();
        if others >= MANY {
            told.push(format!("{others} other requests failed at {target}: look at the target"));
        }
    }
    told
}

/// Whether another VM had just begun to decide about owners.
fn tell_decider(context: &[LogLine]) -> Option<String> {
    let taken = context.iter().rfind(|line| line.event == EventName::MandateTaken)?;
    let vm = taken.field("vm").or(taken.vm.as_deref()).unwrap_or("another VM");
    Some(format!(
        "{vm} took the mandate at {:.3} s: what it did not know had to settle first",
        taken.at
    ))
}

/// Whether many requests of the route ended the same way.
fn tell_crowd(failed: &LogLine, near: &[&LogLine]) -> Option<String> {
    let alike = |line: &&&LogLine| {
        line.event == EventName::RequestFailed
            && line.field("error") == failed.field("error")
            && line.field("route") == failed.field("route")
    };
    let others = near.iter().filter(alike).count().saturating_sub(1);
    let route = failed.field("route")?;
    (others >= MANY).then(|| format!("{others} other requests of {route} ended the same way"))
}

impl fmt::Display for RequestStory {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shown = |line: &LogLine| format!("  {}", line.text);
        for (title, lines) in [("lines", &self.lines), ("around it", &self.context)] {
            if !lines.is_empty() {
                writeln!(out, "{title}:")?;
                lines.iter().try_for_each(|line| writeln!(out, "{}", shown(line)))?;
            }
        }
        for (title, sentences) in [("cause", &self.cause), ("missing", &self.missing)] {
            sentences.iter().try_for_each(|sentence| writeln!(out, "{title}: {sentence}"))?;
        }
        Ok(())
    }
}
