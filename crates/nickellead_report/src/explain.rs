//! The story of one request, and why it ended as it did.

use std::fmt;

use nickellead_core::{ErrorKind, OutcomeClass};
use nickellead_event::{EventName, REQUEST_ANSWERED_SAMPLE_INTERVAL};

use crate::LogLine;
use crate::cause::{tell_crowd, tell_decider, tell_targets};
use crate::context::{find_context, involved_targets};

/// How long before a failure other events may have to do with it, in seconds: a lost target's keys
/// wait for its hold and a predecessor's grace, about nine seconds.
const BEFORE_S: f64 = 10.0;
/// How long after it, in seconds: a loss may be noticed later than by the requests it hits.
const AFTER_S: f64 = 1.0;

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
            "no line names this request: it was answered (one in {REQUEST_ANSWERED_SAMPLE_INTERVAL} answers is \
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

/// Tells what a target answered, if that was logged.
fn explain_answer(story: &mut RequestStory) {
    let last = story.lines.last();
    let Some(answered) = last.filter(|line| line.event == EventName::RequestAnswered) else {
        return;
    };
    let status = answered.field("status").unwrap_or("?");
    let after = answered.field("after_ms").unwrap_or("?");
    story.cause.push(format!("a target answered with status {status} after {after} ms"));
}

/// Tells what a failure means, what happened around it, and what caused it.
fn explain_failure(story: &mut RequestStory, failed: &LogLine, lines: &[LogLine]) {
    let code = failed.field("error").unwrap_or_default();
    let Some(kind) = ErrorKind::ALL.iter().copied().find(|kind| kind.response().code == code)
    else {
        story.missing.push(format!("the error {code:?} is not in this version's table"));
        return;
    };
    let outcome = match kind.response().outcome {
        OutcomeClass::NotRun => "it did not run",
        OutcomeClass::Unknown => "it may have run",
    };
    story.cause.push(format!("{code}: {} ({outcome})", kind.response().help));
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

impl fmt::Display for RequestStory {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (title, lines) in [("lines", &self.lines), ("around it", &self.context)] {
            if !lines.is_empty() {
                writeln!(out, "{title}:")?;
                lines.iter().try_for_each(|line| writeln!(out, "  {}", line.text))?;
            }
        }
        for (title, sentences) in [("cause", &self.cause), ("missing", &self.missing)] {
            sentences.iter().try_for_each(|sentence| writeln!(out, "{title}: {sentence}"))?;
        }
        Ok(())
    }
}
