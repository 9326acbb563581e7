//! Malformed, truncated and stalled responses of the platform are errors.
#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

use nickellead_api::ObjectKind;
use nickellead_core::{Name, Version};
use nickellead_lease::{MandateObject, ReadOutcome, WriteOutcome};
use nickellead_platform::{CallCounter, PlatformClient, PlatformError};

/// Starts a platform that responds to each request with the given bytes.
fn raw_platform(response: &'static [u8], keep_open: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut open: Vec<TcpStream> = Vec::new();
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut bytes = [0; 4_096];
            let _ = stream.read(&mut bytes);
            let _ = stream.write_all(response);
            if keep_open {
                open.push(stream);
            }
        }
    });
    address
}

type Outcomes = (ReadOutcome<MandateObject>, WriteOutcome, Result<(), PlatformError>);

fn call_platform(address: SocketAddr) -> Outcomes {
    actix_rt::Runtime::new().unwrap().block_on(async move {
        let client = PlatformClient::new(address, CallCounter::default());
        let name = Name::new("zone-a").unwrap();
        let read = client.read(ObjectKind::Mandate, &name).await;
        let write = client.write(ObjectKind::Mandate, &name, Version(1), &"x").await;
        (read, write, client.list_declared().await.map(drop))
    })
}

#[test]
fn malformed_responses_are_failures() {
    let cases: [(&[u8], bool); 6] = [
        (b"\x00\xffgarbage\r\n\r\n", false),
        (b"", false),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n{\"a\":", false),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{", false),
        (b"HTTP/1.1 500 Oh\r\ncontent-length: 0\r\n\r\n", false),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{", true),
    ];
    for (response, keep_open) in cases {
        let shown = String::from_utf8_lossy(response);
        let (read, write, list) = call_platform(raw_platform(response, keep_open));
        assert_eq!(read, ReadOutcome::Failed, "{shown}");
        assert_eq!(write, WriteOutcome::Failed, "{shown}");
        assert!(list.is_err(), "{shown}");
    }
}

#[test]
fn an_unreachable_platform_is_a_failure_and_not_an_absent_object() {
    let unused = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let (read, write, _) = call_platform(unused);
    assert_eq!((read, write), (ReadOutcome::Failed, WriteOutcome::Failed));
}
