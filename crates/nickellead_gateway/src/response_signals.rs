//! Signals that targets attach to responses: leaving, pause, rate limit and load.

use std::time::Duration;

use http::header::RETRY_AFTER;
use http::{HeaderMap, StatusCode};

use crate::{HeaderNames, LoadHeader, ReportedLoad};

/// Longest pause that a target can request; longer ones are capped so that sums of times stay in
/// range.
const MAX_PAUSE: Duration = Duration::from_secs(24 * 3_600);

/// The signals of one response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ResponseSignals {
    /// Whether the target is leaving.
    pub(crate) leaving: bool,
    /// How long this VM must not send requests to the target, if it requested a pause.
    pub(crate) pause: Option<Duration>,
    /// Whether the requested pause can't be parsed.
    pub(crate) unreadable_pause: bool,
    /// The rate limit that the target reports.
    pub(crate) limit: LimitSignal,
    /// The load that the target reports.
    pub(crate) load: LoadSignal,
}

/// The load that a response reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum LoadSignal {
    /// The response reports none.
    #[default]
    Absent,
    /// The report can't be parsed and is ignored.
    Unreadable,
    /// The load of the target when it responded.
    Reported(ReportedLoad),
}

/// The rate limit that a response reports, in requests a second from all VMs together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum LimitSignal {
    /// No response of the target was received.
    #[default]
    Absent,
    /// The response reports no limit, so there is none.
    Unlimited,
    /// The limit in requests a second.
    Limited(f64),
    /// The limit can't be parsed and is ignored.
    Unreadable,
}

impl ResponseSignals {
    /// Reads the signals from the head of a response.
    pub(crate) fn read(names: &HeaderNames, status: StatusCode, headers: &HeaderMap) -> Self {
        let retry_after =
            headers.get(RETRY_AFTER).filter(|_| status == StatusCode::SERVICE_UNAVAILABLE);
        let pause = retry_after.and_then(|value| parse_seconds(value.to_str().ok()?));
        let unreadable_pause = retry_after.is_some() && pause.is_none();
        Self {
            leaving: signals_leaving(names, headers),
            pause,
            unreadable_pause,
            limit: LimitSignal::read(names, headers),
            load: LoadSignal::read(names.load, headers),
        }
    }
}

impl LoadSignal {
    /// Several headers contradict each other, so they count as unreadable.
    fn read(header: LoadHeader, headers: &HeaderMap) -> Self {
        let mut values = headers.get_all(header.name).iter();
        let Some(value) = values.next() else { return Self::Absent };
        let load = (header.decode)(value.as_bytes()).filter(|_| values.next().is_none());
        load.map_or(Self::Unreadable, Self::Reported)
    }
}

impl LimitSignal {
    /// The reported limit, with an inner `None` for no limit; `None` if the signal must be ignored.
    pub(crate) fn reported(self) -> Option<Option<f64>> {
        match self {
            Self::Absent | Self::Unreadable => None,
            Self::Unlimited => Some(None),
            Self::Limited(rate) => Some(Some(rate)),
        }
    }

    fn read(names: &HeaderNames, headers: &HeaderMap) -> Self {
        let Some(value) = headers.get(names.limit) else { return Self::Unlimited };
        let rate = value.to_str().ok().and_then(parse_non_negative);
        rate.map_or(Self::Unreadable, Self::Limited)
    }
}

/// Whether the head of a response signals that its target is leaving.
#[must_use]
pub fn signals_leaving(names: &HeaderNames, headers: &HeaderMap) -> bool {
    headers.get(names.leaving).is_some_and(|value| value.as_bytes().trim_ascii() == b"1")
}

/// Parses a duration in seconds, optionally with a fraction; at most [`MAX_PAUSE`].
fn parse_seconds(text: &str) -> Option<Duration> {
    let seconds = parse_non_negative(text)?;
    Some(Duration::from_secs_f64(seconds.min(MAX_PAUSE.as_secs_f64())))
}

/// Parses a finite decimal number that is not negative.
fn parse_non_negative(text: &str) -> Option<f64> {
    let number: f64 = text.trim().parse().ok()?;
    (number.is_finite() && number >= 0.0).then_some(number)
}
