#![allow(clippy::unwrap_used)]

use super::*;

const MILLISECOND: i64 = 1_000;

/// A call of one process, which its clock says was sent at `millis`.
fn sent(millis: i64) -> SendTime {
    SendTime { clock: 7, micros: millis * MILLISECOND }
}

fn after(delays: &CallDelays, millis: u64) -> Instant {
    delays.started + Duration::from_millis(millis)
}

fn delay_ms(delays: &CallDelays, sent_ms: i64, arrived_ms: u64) -> u128 {
    delays.delay(sent(sent_ms), after(delays, arrived_ms)).as_millis()
}

#[test]
fn a_call_is_late_by_how_much_slower_it_was_than_the_fastest_one() {
    let delays = CallDelays::new();
    // The other clock is 5 s ahead.
    assert_eq!(delay_ms(&delays, 5_000, 20), 0, "nothing is known yet");
    assert_eq!(delay_ms(&delays, 5_100, 110), 0, "faster than the first one");
    assert_eq!(delay_ms(&delays, 5_200, 660), 450);
    assert_eq!(delay_ms(&delays, 5_300, 320), 10);
}

#[test]
fn calls_of_other_processes_are_judged_by_their_own_clocks() {
    let delays = CallDelays::new();
    assert_eq!(delay_ms(&delays, 0, 10), 0);
    let other = SendTime { clock: 8, micros: 90_000 * MILLISECOND };
    assert_eq!(delays.delay(other, after(&delays, 20)), Duration::ZERO);
    assert_eq!(delay_ms(&delays, 100, 310), 200);
}

/// Guards requests against deadlines that shrink as two clocks drift apart.
#[test]
fn clocks_that_drift_apart_make_no_call_late() {
    let delays = CallDelays::new();
    let mut most = 0;
    for second in 0..1_000 {
        // One clock in 10,000 faster: 100 ms over the whole time.
        let arrived_ms = second * 1_000 + second / 10;
        most = most.max(delay_ms(&delays, i64::try_from(second).unwrap() * 1_000, arrived_ms));
    }
    assert!(most <= 10, "{most} ms");
}

#[test]
fn a_link_that_became_slower_for_good_makes_calls_late_for_two_windows() {
    let delays = CallDelays::new();
    assert_eq!(delay_ms(&delays, 0, 0), 0);
    assert_eq!(delay_ms(&delays, 1_000, 1_100), 100);
    let window_ms = u64::try_from(WINDOW.as_millis()).unwrap();
    for number in 1..=3 {
        let arrived_ms = number * window_ms + 100;
        delay_ms(&delays, i64::try_from(number * window_ms).unwrap(), arrived_ms);
    }
    assert_eq!(delay_ms(&delays, i64::try_from(3 * window_ms).unwrap(), 3 * window_ms + 100), 0);
}

#[test]
fn headers_tell_when_a_call_was_sent() {
    let mut headers = HeaderMap::new();
    assert_eq!(SendTime::read(&headers), None);
    stamp_call(&mut headers, Instant::now());
    let first = SendTime::read(&headers).unwrap();
    stamp_call(&mut headers, Instant::now());
    let second = SendTime::read(&headers).unwrap();
    assert!(first.clock == second.clock && first.micros <= second.micros);
    headers.insert(SENT_HEADER, HeaderValue::from_static("soon"));
    assert_eq!(SendTime::read(&headers), None);
}
