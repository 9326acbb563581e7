//! The era of the store, as reported by its responses.
//!
//! The store's era increases when it is restored from an older copy. Responses may be reordered or
//! carry an invalid era; these are counted and logged, but do not change the known era.

use std::cell::Cell;
use std::time::{Duration, Instant};

use nickellead_event::{EventName, log_event};

use crate::StoreEra;

/// Largest increase of the era that is accepted.
///
/// After a bogus high value, all later valid ones would appear to decrease.
const MAX_INCREASE: u64 = 1_000;

/// Why the era of a response is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InvalidEra {
    /// The response has none, although earlier ones had.
    Missing,
    /// It is not an unsigned integer.
    Unreadable,
    /// It is lower than the era that was known when the call was sent.
    Decreased,
    /// It increased by more than one.
    Jumped,
}

impl InvalidEra {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Missing => "missing",
            Self::Unreadable => "unreadable",
            Self::Decreased => "fallen",
            Self::Jumped => "jumped",
        }
    }
}

/// Tracks the newest era of the store from the responses to one VM.
#[derive(Debug, Default)]
pub struct EraMonitor {
    era: Cell<StoreEra>,
    /// When the era last increased; `None` while only one was reported.
    increased_at: Cell<Option<Instant>>,
    /// Whether any response reported an era.
    is_known: Cell<bool>,
    invalid_count: Cell<u64>,
}

impl EraMonitor {
    /// The newest era; 0 before one is reported.
    #[must_use]
    pub fn era(&self) -> StoreEra {
        self.era.get()
    }

    /// Number of responses with an invalid era.
    #[must_use]
    pub fn invalid_count(&self) -> u64 {
        self.invalid_count.get()
    }

    /// Whether the era increased within this time.
    #[must_use]
    pub fn increased_within(&self, time: Duration) -> bool {
        self.increased_at.get().is_some_and(|risen| risen.elapsed() < time)
    }

    /// Observes the era header of a response and returns the era that the response belongs to.
    ///
    /// `sent_in` is the era that was known when the call was sent.
    pub fn observe(&self, header: Option<&[u8]>, sent_in: StoreEra) -> StoreEra {
        let Some(header) = header else {
            if self.is_known.get() {
                self.count(InvalidEra::Missing, sent_in);
            }
            return sent_in;
        };
        let Some(reported) = parse_era(header) else {
            self.count(InvalidEra::Unreadable, sent_in);
            return sent_in;
        };
        let known = self.era.get();
        if reported < sent_in {
            self.count(InvalidEra::Decreased, reported);
            return sent_in;
        }
        if reported <= known {
            return reported;
        }
        if self.is_known.replace(true) {
            if reported.0 - known.0 > 1 {
                self.count(InvalidEra::Jumped, reported);
            }
            if reported.0 - known.0 > MAX_INCREASE {
                return sent_in;
            }
            self.increased_at.set(Some(Instant::now()));
        }
        self.era.set(reported);
        reported
    }

    fn count(&self, reason: InvalidEra, reported: StoreEra) {
        self.invalid_count.set(self.invalid_count.get() + 1);
        let pairs: [(&str, &dyn std::fmt::Display); 3] =
            [("reason", &reason.as_str()), ("told", &reported), ("known", &self.era.get())];
        log_event(EventName::EraOdd, &pairs);
    }
}

fn parse_era(header: &[u8]) -> Option<StoreEra> {
    std::str::from_utf8(header).ok()?.trim().parse().ok().map(StoreEra)
}
