#![allow(clippy::unwrap_used)]

use super::*;

const SECOND: Duration = Duration::from_secs(1);
const TENTH: Duration = Duration::from_millis(100);

#[test]
fn bytes_lay_unread_since_they_arrived() {
    let (clock, now, wall) = (ArrivalClock::default(), Instant::now(), SystemTime::now());
    assert_eq!(clock.unread_time(now, wall, wall - TENTH, Some(SECOND)), TENTH);
    assert_eq!(clock.unread_time(now, wall, wall, Some(SECOND)), Duration::ZERO);
    assert_eq!(clock.unread_time(now, wall, wall - TENTH, None), TENTH);
}

/// Guards callers against deadlines that are shortened because the wall clock was set.
#[test]
fn a_clock_that_was_set_takes_no_time_from_requests() {
    for (arrived, empty_for) in [(-10.0, SECOND), (5.0, SECOND), (-0.5, TENTH)] {
        let (clock, now, wall) = (ArrivalClock::default(), Instant::now(), SystemTime::now());
        let arrived = match arrived < 0.0 {
            true => wall - Duration::from_secs_f64(-arrived),
            false => wall + Duration::from_secs_f64(arrived),
        };
        assert_eq!(clock.unread_time(now, wall, arrived, Some(empty_for)), Duration::ZERO);
        let plausible = |now: Instant| clock.unread_time(now, wall, wall - TENTH, Some(SECOND));
        assert_eq!(plausible(now + SECOND), Duration::ZERO, "the clock may still be off");
        assert_eq!(plausible(now + CLOCK_SETTLE_TIME), TENTH);
    }
}

#[test]
fn the_clocks_may_differ_a_little() {
    let (clock, now, wall) = (ArrivalClock::default(), Instant::now(), SystemTime::now());
    let arrived = wall - TENTH - CLOCK_TOLERANCE;
    assert_eq!(clock.unread_time(now, wall, arrived, Some(TENTH)), TENTH);
    let arrived = wall + CLOCK_TOLERANCE;
    assert_eq!(clock.unread_time(now, wall, arrived, Some(SECOND)), Duration::ZERO);
    assert_eq!(clock.unread_time(now, wall, wall - TENTH, Some(SECOND)), TENTH);
}

#[test]
fn a_socket_tells_when_its_bytes_arrived() {
    use std::io::Write;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    note_arrivals(&listener);
    // The system begins a moment later.
    std::thread::sleep(TENTH);
    let mut caller = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    caller.write_all(b"request").unwrap();
    std::thread::sleep(TENTH);
    let (socket, _) = listener.accept().unwrap();
    let (mut buffer, mut control) = ([0; 64], control_buffer());
    for _ in 0..2 {
        let received = receive(&socket, &mut buffer, &mut control).unwrap();
        let unread = received.arrived.unwrap().elapsed().unwrap();
        assert_eq!(received.length, 7);
        assert!(unread >= TENTH && unread < SECOND, "{unread:?}");
        caller.write_all(b"another").unwrap();
        std::thread::sleep(TENTH);
    }
}
