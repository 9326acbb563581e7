//! Effects of link faults on both ends of a connection.
#![allow(clippy::unwrap_used)]

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use nickellead_soak::{FaultLink, LinkFault, LinkHost};

/// Time after which a byte counts as held back.
const READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Starts a host with one link to a listener.
fn open() -> (LinkHost, FaultLink, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let host = LinkHost::start().unwrap();
    let link = host.open(listener.local_addr().unwrap()).unwrap();
    (host, link, listener)
}

/// Connects through the link; returns the connecting and the accepting end.
fn connect(link: &FaultLink, listener: &TcpListener) -> (TcpStream, TcpStream) {
    let client = TcpStream::connect(link.address).unwrap();
    let (server, _) = listener.accept().unwrap();
    for stream in [&client, &server] {
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    }
    (client, server)
}

/// Whether one byte arrives within [`READ_TIMEOUT`].
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
fn a_working_link_forwards_bytes_both_ways_and_the_end_of_the_stream() {
    let (_host, link, listener) = open();
    let (client, mut server) = connect(&link, &listener);
    assert!(arrives(&client, &server) && arrives(&server, &client));
    drop(client);
    assert_eq!(server.read(&mut [0]).unwrap_or(0), 0);
}

#[test]
fn a_one_way_cut_holds_bytes_back_until_it_ends() {
    let (_host, link, listener) = open();
    let (client, server) = connect(&link, &listener);
    link.set(LinkFault::CutToTarget);
    assert!(!arrives(&client, &server));
    assert!(arrives(&server, &client));
    link.set(LinkFault::None);
    (&server).read_exact(&mut [0]).unwrap();
    link.set(LinkFault::CutFromTarget);
    assert!(!arrives(&server, &client));
    assert!(arrives(&client, &server));
}

#[test]
fn a_silent_link_accepts_connections_and_forwards_nothing() {
    let (_host, link, listener) = open();
    link.set(LinkFault::Silent);
    let mut client = TcpStream::connect(link.address).unwrap();
    client.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    client.write_all(b"x").unwrap();
    assert!(client.read(&mut [0]).is_err());
    link.set(LinkFault::None);
    let (mut server, _) = listener.accept().unwrap();
    server.read_exact(&mut [0]).unwrap();
}

#[test]
fn a_reset_ends_open_connections_with_an_error() {
    let (_host, link, listener) = open();
    let (client, server) = connect(&link, &listener);
    assert!(arrives(&client, &server));
    link.set(LinkFault::Reset);
    let error = (&client).read(&mut [0]).unwrap_err();
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
}

#[test]
fn a_delayed_link_forwards_bytes_later() {
    let (_host, link, listener) = open();
    let (client, server) = connect(&link, &listener);
    link.set(LinkFault::Delay(120));
    let start = Instant::now();
    assert!(arrives(&client, &server));
    assert!(start.elapsed() >= Duration::from_millis(120));
}
