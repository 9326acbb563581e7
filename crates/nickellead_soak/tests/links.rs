//! What a link does to a connection, seen from both of its ends.
#![allow(clippy::unwrap_used)]

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use nickellead_soak::{FaultLink, LinkFault, LinkHost};

/// Longer than a healthy link takes, shorter than a test wants to wait.
const SILENCE: Duration = Duration::from_millis(300);

/// A host with one link, and what listens behind it.
fn open() -> (LinkHost, FaultLink, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let host = LinkHost::start().unwrap();
    let link = host.open(listener.local_addr().unwrap()).unwrap();
    (host, link, listener)
}

/// A connection over the link: the opener's end and the other one.
fn connect(link: &FaultLink, listener: &TcpListener) -> (TcpStream, TcpStream) {
    let opener = TcpStream::connect(link.address).unwrap();
    let (other, _) = listener.accept().unwrap();
    for stream in [&opener, &other] {
        stream.set_read_timeout(Some(SILENCE)).unwrap();
    }
    (opener, other)
}

/// Whether one byte arrives within the time that a healthy link needs.
fn arrives(mut from: &TcpStream, mut to: &TcpStream) -> bool {
    from.write_all(b"x").unwrap();
    match to.read_exact(&mut [0]) {
        Ok(()) => true,
        Err(error) => {
            assert!(matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut), "{error}");
            false
        }
    }
}

#[test]
fn a_healthy_link_carries_bytes_both_ways_and_the_end() {
    let (_host, link, listener) = open();
    let (opener, mut other) = connect(&link, &listener);
    assert!(arrives(&opener, &other) && arrives(&other, &opener));
    drop(opener);
    assert_eq!(other.read(&mut [0]).unwrap_or(0), 0);
}

#[test]
fn a_cut_of_one_way_holds_bytes_until_it_heals() {
    let (_host, link, listener) = open();
    let (opener, other) = connect(&link, &listener);
    link.set(LinkFault::CutForth);
    assert!(!arrives(&opener, &other));
    assert!(arrives(&other, &opener));
    link.set(LinkFault::None);
    (&other).read_exact(&mut [0]).unwrap();
    link.set(LinkFault::CutBack);
    assert!(!arrives(&other, &opener));
    assert!(arrives(&opener, &other));
}

#[test]
fn a_silent_link_takes_connections_and_answers_nothing() {
    let (_host, link, listener) = open();
    link.set(LinkFault::Silent);
    let mut opener = TcpStream::connect(link.address).unwrap();
    opener.set_read_timeout(Some(SILENCE)).unwrap();
    opener.write_all(b"x").unwrap();
    assert!(opener.read(&mut [0]).is_err());
    link.set(LinkFault::None);
    let (mut other, _) = listener.accept().unwrap();
    other.read_exact(&mut [0]).unwrap();
}

#[test]
fn a_reset_ends_open_connections_with_an_error() {
    let (_host, link, listener) = open();
    let (opener, other) = connect(&link, &listener);
    assert!(arrives(&opener, &other));
    link.set(LinkFault::Reset);
    let error = (&opener).read(&mut [0]).unwrap_err();
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
}

#[test]
fn a_slow_link_carries_bytes_later() {
    let (_host, link, listener) = open();
    let (opener, other) = connect(&link, &listener);
    link.set(LinkFault::Delay(120));
    let begun = Instant::now();
    assert!(arrives(&opener, &other));
    assert!(begun.elapsed() >= Duration::from_millis(120));
}
