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
pub(crate) struct ResponseSignals {
    /// Whether the target leaves.
    pub(crate) leaving: bool,
    /// For how long it wants nothing from this VM.
    pub(crate) pause: Option<Duration>,
    /// Whether it named a time that can't be read.
    pub(crate) unreadable_pause: bool,
    /// What it says of the requests that it takes.
    pub(crate) limit: LimitSignal,
}

/// What an answer says of the requests a second that its target takes from all VMs together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum LimitSignal {
    /// Nothing that counts: no answer of the target came.
    #[default]
    Absent,
    /// There is no limit.
    Unlimited,
    /// So many.
    Limited(f64),
    /// A limit that can't be read, which says nothing.
    Unreadable,
}

impl ResponseSignals {
    /// Reads them from the head of an answer.
    pub(crate) fn read(names: &HeaderNames, status: StatusCode, headers: &HeaderMap) -> Self {
        let told = headers.get(RETRY_AFTER).filter(|_| status == StatusCode::SERVICE_UNAVAILABLE);
        let pause = told.and_then(|value| parse_seconds(value.to_str().ok()?));
        let unreadable = told.is_some() && pause.is_none();
        let limit = LimitSignal::read(names, headers);
        Self {
            leaving: signals_leaving(names, headers),
            pause,
            unreadable_pause: unreadable,
            limit,
        }
    }
}

impl LimitSignal {
    /// The limit that it names, or that there is none; nothing if it says nothing.
    pub(crate) fn reported(self) -> Option<Option<f64>> {
        match self {
            Self::Absent | Self::Unreadable => None,
            Self::Unlimited => Some(None),
            Self::Limited(rate) => Some(Some(rate)),
        }
    }

    fn read(names: &HeaderNames, headers: &HeaderMap) -> Self {
        let Some(value) = headers.get(names.limit) else { return Self::Unlimited };
        let rate = value.to_str().ok().and_then(parse_amount);
        rate.map_or(Self::Unreadable, Self::Limited)
    }
}

/// Whether the head of an answer says that its target leaves.
#[must_use]
pub fn signals_leaving(names: &HeaderNames, headers: &HeaderMap) -> bool {
    headers.get(names.leaving).is_some_and(|value| value.as_bytes().trim_ascii() == b"1")
}

/// A time in seconds, with a fraction or without; `None` when it is none.
fn parse_seconds(text: &str) -> Option<Duration> {
    let seconds = parse_amount(text)?;
    Some(Duration::from_secs_f64(seconds.min(PAUSE_MOST.as_secs_f64())))
}

/// A decimal number from 0 on; `None` when it is none.
fn parse_amount(text: &str) -> Option<f64> {
    let amount: f64 = text.trim().parse().ok()?;
    (amount.is_finite() && amount >= 0.0).then_some(amount)
}
