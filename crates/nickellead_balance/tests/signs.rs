//! Pattern: a target that leaves, or is overrun, says so on answers to many requests that overlap, while
//! other requests are chosen for it and sent. Whatever the order, nothing is sent after the bound, and
//! nothing is withheld from a target that told nothing that still counts.

use std::time::Duration;

use nickellead_balance::{ReportedLimit, TargetSignals};
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
        let (mut signs, mut said) = (TargetSignals::default(), SaidWords::default());
        let mut now = 1_000;
        steps.into_iter().all(|(pause, step)| {
            now += u64::from(pause) * 4;
            match step {
                SignStep::Leaves => {
                    signs.observe_leaving(Timestamp(now));
                    said.leaving.push(now);
                }
                SignStep::Pauses(length) => {
                    signs.observe_pause(Duration::from_millis(length.into()), Timestamp(now));
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
    let mut signs = TargetSignals::default();
    assert!(signs.observe_pause(Duration::from_secs(3), Timestamp(0)));
    assert!(!signs.observe_pause(Duration::from_millis(100), Timestamp(500)));
    assert!(!signs.may_send(STAY, Timestamp(2_999)));
    assert!(signs.may_send(STAY, Timestamp(3_000)));
}

#[test]
fn a_second_word_of_leaving_puts_nothing_off() {
    let mut signs = TargetSignals::default();
    assert!(signs.observe_leaving(Timestamp(0)));
    assert!(!signs.observe_leaving(Timestamp(900)));
    assert!(signs.may_send(STAY, Timestamp(999)));
    assert!(!signs.may_send(STAY, Timestamp(1_000)));
}

/// One answer of a target that names a limit from one moment on, or until then.
#[derive(Clone, Copy, Debug)]
struct LimitAnswer {
    sent: u64,
    came: u64,
    limit: Option<f64>,
}

/// Answers in the order in which they come; they overtake each other.
fn limit_answers(
    steps: Vec<(u8, u8, u8)>,
    limit_at: impl Fn(u64) -> Option<f64>,
) -> Vec<LimitAnswer> {
    let mut now = 1_000;
    let answer = |(pause, work, way): (u8, u8, u8)| {
        now += u64::from(pause);
        let made = now + u64::from(work);
        LimitAnswer { sent: now, came: made + u64::from(way), limit: limit_at(made) }
    };
    let mut answers: Vec<LimitAnswer> = steps.into_iter().map(answer).collect();
    answers.sort_by_key(|answer| answer.came);
    answers
}

quickcheck! {
    fn a_limit_that_was_heard_stays_whatever_answers_from_before_come_later(
        steps: Vec<(u8, u8, u8)>, begins: u16, before: u8
    ) -> bool {
        let begins = 1_000 + u64::from(begins % 2_000);
        let before = (before > 100).then_some(f64::from(before));
        let at = |made| if made >= begins { Some(5.0) } else { before };
        let mut signs = TargetSignals::default();
        let mut heard = false;
        limit_answers(steps, at).into_iter().all(|answer| {
            signs.observe_limit(answer.limit, Timestamp(answer.sent), Timestamp(answer.came));
            heard |= answer.limit == Some(5.0);
            !heard || signs.limit() == Some(5.0)
        })
    }

    fn a_limit_ends_with_the_first_answer_to_a_request_that_was_sent_after_the_last_that_named_it(
        steps: Vec<(u8, u8, u8)>, ends: u16
    ) -> bool {
        let ends = 1_000 + u64::from(ends % 2_000);
        let at = |made| (made < ends).then_some(5.0);
        let mut signs = TargetSignals::default();
        let answers = limit_answers(steps, at);
        let named = answers.iter().filter(|answer| answer.limit.is_some());
        let last = named.map(|answer| answer.came).max().unwrap_or_default();
        let mut ended = false;
        answers.into_iter().all(|answer| {
            signs.observe_limit(answer.limit, Timestamp(answer.sent), Timestamp(answer.came));
            ended |= answer.sent > last;
            !ended || signs.limit().is_none()
        })
    }
}

#[test]
fn an_answer_that_was_under_way_when_the_limit_came_does_not_end_it() {
    let mut signs = TargetSignals::default();
    assert!(signs.observe_limit(Some(5.0), Timestamp(100), Timestamp(120)));
    assert!(!signs.observe_limit(None, Timestamp(110), Timestamp(130)));
    assert!(!signs.observe_limit(Some(9.0), Timestamp(120), Timestamp(140)));
    assert_eq!(signs.limit(), Some(5.0));
    assert!(signs.observe_limit(Some(4.0), Timestamp(90), Timestamp(150)), "less counts at once");
    assert!(signs.observe_limit(None, Timestamp(151), Timestamp(160)));
    assert_eq!(signs.limit(), None);
}

#[test]
fn what_a_vm_heard_itself_goes_before_the_holders_word_until_the_holder_can_know_it() {
    let mut signs = TargetSignals::default();
    let told = ReportedLimit::Limited(3.0);
    assert_eq!(signs.effective_limit(told, Timestamp(9_000)), Some(3.0));
    signs.observe_limit(None, Timestamp(9_000), Timestamp(9_010));
    assert_eq!(signs.effective_limit(told, Timestamp(9_100)), None);
    assert_eq!(signs.effective_limit(told, Timestamp(20_000)), Some(3.0));
    signs.observe_limit(Some(7.0), Timestamp(20_000), Timestamp(20_010));
    assert_eq!(signs.effective_limit(ReportedLimit::Unlimited, Timestamp(20_100)), Some(7.0));
    assert_eq!(signs.effective_limit(ReportedLimit::Unlimited, Timestamp(30_000)), None);
    assert_eq!(signs.effective_limit(ReportedLimit::Unknown, Timestamp(30_000)), Some(7.0));
}
