//! In which era the store is, by what its answers say.
//!
//! Answers may cross, and their word may be none: what is odd is counted and logged, and loses nothing.

use std::cell::Cell;
use std::time::{Duration, Instant};

use nickellead_event::{EventName, log_event};

use crate::StoreEra;

/// Eras rise by one; a rise by more than this is no rise, or one odd word would make all later ones fall.
const RISE_MOST: u64 = 1_000;

/// What was odd about an answer's word of the era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InvalidEra {
    /// There is none, and there was one before.
    Missing,
    /// It is no whole number.
    Unreadable,
    /// It is lower than one that was known before the call was made.
    Decreased,
    /// It rose by more than one.
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

/// The newest era of the store, as one VM's answers tell it.
#[derive(Debug, Default)]
pub struct EraMonitor {
    era: Cell<StoreEra>,
    /// When the era last rose; `None` before a second one was told.
    increased_at: Cell<Option<Instant>>,
    /// Whether any answer told an era.
    is_known: Cell<bool>,
    invalid_count: Cell<u64>,
}

impl EraMonitor {
    /// The newest era; 0 before one is told.
    #[must_use]
    pub fn era(&self) -> StoreEra {
        self.era.get()
    }

    /// Answers whose word of the era was odd.
    #[must_use]
    pub fn invalid_count(&self) -> u64 {
        self.invalid_count.get()
    }

    /// Whether the era rose less than this time ago.
    #[must_use]
    pub fn increased_within(&self, time: Duration) -> bool {
        self.increased_at.get().is_some_and(|risen| risen.elapsed() < time)
    }

    /// Takes in the word of an answer to a call that was made in the era `sent_in`, as far as was known
    /// then; gives the era of what the answer says.
    pub fn observe(&self, word: Option<&[u8]>, sent_in: StoreEra) -> StoreEra {
        let Some(word) = word else {
            if self.is_known.get() {
                self.count(InvalidEra::Missing, sent_in);
            }
            return sent_in;
        };
        let Some(told) = read_era(word) else {
            self.count(InvalidEra::Unreadable, sent_in);
            return sent_in;
        };
        let known = self.era.get();
        if told < sent_in {
            self.count(InvalidEra::Decreased, told);
            return sent_in;
        }
        if told <= known {
            return told;
        }
        if self.is_known.replace(true) {
            if told.0 - known.0 > 1 {
                self.count(InvalidEra::Jumped, told);
            }
            if told.0 - known.0 > RISE_MOST {
                return sent_in;
            }
            self.increased_at.set(Some(Instant::now()));
        }
        self.era.set(told);
        told
    }

    fn count(&self, odd: InvalidEra, told: StoreEra) {
        self.invalid_count.set(self.invalid_count.get() + 1);
        let pairs: [(&str, &dyn std::fmt::Display); 3] =
            [("reason", &odd.as_str()), ("told", &told), ("known", &self.era.get())];
        log_event(EventName::EraOdd, &pairs);
    }
}

fn read_era(word: &[u8]) -> Option<StoreEra> {
    std::str::from_utf8(word).ok()?.trim().parse().ok().map(StoreEra)
}
