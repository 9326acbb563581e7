//! Pattern: a target that leaves, or is overrun, says so on answers to many requests that overlap, while
//! other requests are chosen for it and sent. Whatever the order, nothing is sent after the bound, and
//! nothing is withheld from a target that told nothing that still counts.

use std::time::Duration;

use nickellead_balance::TargetSigns;
use nickellead_core::Timestamp;
use quickcheck::{Arbitrary, Gen, quickcheck};

const STAY: Duration = Duration::from_millis(1_000);

/// One thing that happens, some milliseconds after the one before.
#[derive(Clone, Copy, Debug)]
enum SignStep {
    Leaves,
    Pauses(u16),
    Sends,
    /// The target starts again.
    NewLife,
}

impl Arbitrary for SignStep {
    fn arbitrary(random: &mut Gen) -> Self {
        match u8::arbitrary(random) % 10 {
            0 => Self::Leaves,
            1..=3 => Self::Pauses(u16::arbitrary(random) % 4_000),
            4 => Self::NewLife,
            _ => Self::Sends,
        }
    }
}

/// Every word that the present life of a target has said, kept as it came.
#[derive(Default)]
struct SaidWords {
    leaving: Vec<u64>,
    pauses: Vec<(u64, u64)>,
}

impl SaidWords {
    fn allows(&self, now: u64) -> bool {
        let left = self.leaving.iter().any(|said| now - said >= STAY.as_millis() as u64);
        let pauses = self.pauses.iter().any(|(said, length)| now < said + length);
        !left && !pauses
    }
}

quickcheck! {
    fn sends_are_as_all_words_of_this_life_allow(steps: Vec<(u8, SignStep)>) -> bool {
        let (mut signs, mut said) = (TargetSigns::default(), SaidWords::default());
        let mut now = 1_000;
        steps.into_iter().all(|(pause, step)| {
            now += u64::from(pause) * 4;
            match step {
                SignStep::Leaves => {
                    signs.note_leaving(Timestamp(now));
                    said.leaving.push(now);
                }
                SignStep::Pauses(length) => {
                    signs.note_pause(Duration::from_millis(length.into()), Timestamp(now));
                    said.pauses.push((now, length.into()));
                }
                SignStep::NewLife => (signs, said) = Default::default(),
                SignStep::Sends => {}
            }
            signs.may_send(STAY, Timestamp(now)) == said.allows(now)
        })
    }
}

#[test]
fn a_shorter_pause_does_not_end_a_longer_one() {
    let mut signs = TargetSigns::default();
    assert!(signs.note_pause(Duration::from_secs(3), Timestamp(0)));
    assert!(!signs.note_pause(Duration::from_millis(100), Timestamp(500)));
    assert!(!signs.may_send(STAY, Timestamp(2_999)));
    assert!(signs.may_send(STAY, Timestamp(3_000)));
}

#[test]
fn a_second_word_of_leaving_puts_nothing_off() {
    let mut signs = TargetSigns::default();
    assert!(signs.note_leaving(Timestamp(0)));
    assert!(!signs.note_leaving(Timestamp(900)));
    assert!(signs.may_send(STAY, Timestamp(999)));
    assert!(!signs.may_send(STAY, Timestamp(1_000)));
}
