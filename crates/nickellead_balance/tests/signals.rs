//! Guards against sending to a target whose signals forbid it, and against withholding requests without
//! an active signal, whatever the order of overlapping responses.

use std::time::Duration;

use nickellead_balance::{ReportedLimit, TargetSignals};
use nickellead_core::Timestamp;
use quickcheck::{Arbitrary, Gen, quickcheck};

const LINGER: Duration = Duration::from_millis(1_000);

/// One event; events are some milliseconds apart.
#[derive(Clone, Copy, Debug)]
enum SignalStep {
    Leaves,
    Pauses(u16),
    Sends,
    /// The target restarts.
    NewInstance,
}

impl Arbitrary for SignalStep {
    fn arbitrary(random: &mut Gen) -> Self {
        match u8::arbitrary(random) % 10 {
            0 => Self::Leaves,
            1..=3 => Self::Pauses(u16::arbitrary(random) % 4_000),
            4 => Self::NewInstance,
            _ => Self::Sends,
        }
    }
}

/// Reference model that keeps every signal of the current instance, with its time.
#[derive(Default)]
struct SignalHistory {
    leaving: Vec<u64>,
    pauses: Vec<(u64, u64)>,
}

impl SignalHistory {
    fn allows(&self, now: u64) -> bool {
        let left = self.leaving.iter().any(|at| now - at >= LINGER.as_millis() as u64);
        let pauses = self.pauses.iter().any(|(at, duration)| now < at + duration);
        !left && !pauses
    }
}

quickcheck! {
    fn sends_are_allowed_as_by_all_signals_of_this_instance(steps: Vec<(u8, SignalStep)>) -> bool {
        let (mut signals, mut history) = (TargetSignals::default(), SignalHistory::default());
        let mut now = 1_000;
        steps.into_iter().all(|(gap, step)| {
            now += u64::from(gap) * 4;
            match step {
                SignalStep::Leaves => {
                    signals.observe_leaving(Timestamp(now));
                    history.leaving.push(now);
                }
                SignalStep::Pauses(duration) => {
                    signals.observe_pause(Duration::from_millis(duration.into()), Timestamp(now));
                    history.pauses.push((now, duration.into()));
                }
                SignalStep::NewInstance => (signals, history) = Default::default(),
                SignalStep::Sends => {}
            }
            signals.may_send(LINGER, Timestamp(now)) == history.allows(now)
        })
    }
}

#[test]
fn a_shorter_pause_does_not_end_a_longer_one() {
    let mut signals = TargetSignals::default();
    assert!(signals.observe_pause(Duration::from_secs(3), Timestamp(0)));
    assert!(!signals.observe_pause(Duration::from_millis(100), Timestamp(500)));
    assert!(!signals.may_send(LINGER, Timestamp(2_999)));
    assert!(signals.may_send(LINGER, Timestamp(3_000)));
}

#[test]
fn a_repeated_leaving_signal_extends_nothing() {
    let mut signals = TargetSignals::default();
    assert!(signals.observe_leaving(Timestamp(0)));
    assert!(!signals.observe_leaving(Timestamp(900)));
    assert!(signals.may_send(LINGER, Timestamp(999)));
    assert!(!signals.may_send(LINGER, Timestamp(1_000)));
}

/// One response of a target with or without a limit.
#[derive(Clone, Copy, Debug)]
struct LimitResponse {
    sent: u64,
    arrived: u64,
    limit: Option<f64>,
}

/// Responses in the order of their arrival; they can overtake each other.
fn limit_responses(
    steps: Vec<(u8, u8, u8)>,
    limit_at: impl Fn(u64) -> Option<f64>,
) -> Vec<LimitResponse> {
    let mut now = 1_000;
    let response = |(gap, service_time, transit): (u8, u8, u8)| {
        now += u64::from(gap);
        let made = now + u64::from(service_time);
        LimitResponse { sent: now, arrived: made + u64::from(transit), limit: limit_at(made) }
    };
    let mut responses: Vec<LimitResponse> = steps.into_iter().map(response).collect();
    responses.sort_by_key(|response| response.arrived);
    responses
}

quickcheck! {
    fn a_limit_stays_when_earlier_responses_arrive_later(
        steps: Vec<(u8, u8, u8)>, begins: u16, before: u8
    ) -> bool {
        let begins = 1_000 + u64::from(begins % 2_000);
        let before = (before > 100).then_some(f64::from(before));
        let at = |made| if made >= begins { Some(5.0) } else { before };
        let mut signals = TargetSignals::default();
        let mut is_limited = false;
        limit_responses(steps, at).into_iter().all(|response| {
            signals.observe_limit(response.limit, Timestamp(response.sent), Timestamp(response.arrived));
            is_limited |= response.limit == Some(5.0);
            !is_limited || signals.limit() == Some(5.0)
        })
    }

    fn a_limit_ends_with_the_first_response_to_a_request_sent_after_the_last_limit_arrived(
        steps: Vec<(u8, u8, u8)>, ends: u16
    ) -> bool {
        let ends = 1_000 + u64::from(ends % 2_000);
        let at = |made| (made < ends).then_some(5.0);
        let mut signals = TargetSignals::default();
        let responses = limit_responses(steps, at);
        let limited = responses.iter().filter(|response| response.limit.is_some());
        let last = limited.map(|response| response.arrived).max().unwrap_or_default();
        let mut ended = false;
        responses.into_iter().all(|response| {
            signals.observe_limit(response.limit, Timestamp(response.sent), Timestamp(response.arrived));
            ended |= response.sent > last;
            !ended || signals.limit().is_none()
        })
    }
}

#[test]
fn a_response_in_transit_when_the_limit_arrives_does_not_end_it() {
    let mut signals = TargetSignals::default();
    assert!(signals.observe_limit(Some(5.0), Timestamp(100), Timestamp(120)));
    assert!(!signals.observe_limit(None, Timestamp(110), Timestamp(130)));
    assert!(!signals.observe_limit(Some(9.0), Timestamp(120), Timestamp(140)));
    assert_eq!(signals.limit(), Some(5.0));
    assert!(
        signals.observe_limit(Some(4.0), Timestamp(90), Timestamp(150)),
        "a lower limit applies at once"
    );
    assert!(signals.observe_limit(None, Timestamp(151), Timestamp(160)));
    assert_eq!(signals.limit(), None);
}

#[test]
fn a_recent_observation_overrides_the_limit_that_the_mandate_holder_publishes() {
    let mut signals = TargetSignals::default();
    let reported = ReportedLimit::Limited(3.0);
    assert_eq!(signals.effective_limit(reported, Timestamp(9_000)), Some(3.0));
    signals.observe_limit(None, Timestamp(9_000), Timestamp(9_010));
    assert_eq!(signals.effective_limit(reported, Timestamp(9_100)), None);
    assert_eq!(signals.effective_limit(reported, Timestamp(20_000)), Some(3.0));
    signals.observe_limit(Some(7.0), Timestamp(20_000), Timestamp(20_010));
    assert_eq!(signals.effective_limit(ReportedLimit::Unlimited, Timestamp(20_100)), Some(7.0));
    assert_eq!(signals.effective_limit(ReportedLimit::Unlimited, Timestamp(30_000)), None);
    assert_eq!(signals.effective_limit(ReportedLimit::Unknown, Timestamp(30_000)), Some(7.0));
}
