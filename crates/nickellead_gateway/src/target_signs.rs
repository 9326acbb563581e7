//! Reading what targets tell of themselves on their answers, beside the answers.

use std::time::Duration;

use http::header::RETRY_AFTER;
use http::{HeaderMap, StatusCode};

use crate::HeaderNames;

/// Longest pause that a target can ask for: a longer one counts as this one.
///
/// It keeps sums of times in range; a life of a target rarely lasts as long.
const PAUSE_MOST: Duration = Duration::from_secs(24 * 3_600);

/// What one answer tells of its target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct AnswerSigns {
    /// Whether the target leaves.
    pub(crate) leaving: bool,
    /// For how long it wants nothing from this VM.
    pub(crate) pause: Option<Duration>,
    /// Whether it named a time that can't be read.
    pub(crate) unreadable: bool,
}

impl AnswerSigns {
    /// Reads them from the head of an answer.
    pub(crate) fn read(names: &HeaderNames, status: StatusCode, headers: &HeaderMap) -> Self {
        let told = headers.get(RETRY_AFTER).filter(|_| status == StatusCode::SERVICE_UNAVAILABLE);
        let pause = told.and_then(|value| parse_seconds(value.to_str().ok()?));
        let unreadable = told.is_some() && pause.is_none();
        Self { leaving: says_leaving(names, headers), pause, unreadable }
    }
}

/// Whether the head of an answer says that its target leaves.
#[must_use]
pub fn says_leaving(names: &HeaderNames, headers: &HeaderMap) -> bool {
    headers.get(names.leaving).is_some_and(|value| value.as_bytes().trim_ascii() == b"1")
}

/// A time in seconds, with a fraction or without; `None` when it is none.
fn parse_seconds(text: &str) -> Option<Duration> {
    let seconds: f64 = text.trim().parse().ok()?;
    let sound = seconds.is_finite() && seconds >= 0.0;
    sound.then(|| Duration::from_secs_f64(seconds.min(PAUSE_MOST.as_secs_f64())))
}
