//! Requesters.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::http::{Message, connect, read_message};

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new request id.
pub fn next_id(prefix: &str) -> String {
    format!("{prefix}{:08x}", NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

/// What a requester sends.
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub host: &'a str,
    pub id: &'a str,
    pub deadline: Duration,
    /// Bytes of the body.
    pub body: usize,
}

/// What a requester saw.
#[derive(Debug)]
pub enum Seen {
    Answer(Message),
    /// The connection was closed or reset without an answer.
    Closed(String),
    /// Nothing came by the deadline.
    Silence,
    /// No connection came up.
    NoConnection,
}

impl Seen {
    pub fn text(&self) -> String {
        match self {
            Seen::Answer(answer) => format!("answer {}", answer.status()),
            Seen::Closed(why) => format!("closed without an answer ({why})"),
            Seen::Silence => "no answer by the deadline".to_owned(),
            Seen::NoConnection => "no connection".to_owned(),
        }
    }
}

/// A connection that a requester keeps.
pub struct Connection(BufReader<TcpStream>);

impl Connection {
    pub fn open(address: SocketAddr) -> Option<Self> {
        connect(address, Duration::from_secs(1)).ok().map(|stream| Self(BufReader::new(stream)))
    }

    /// Sends a request and waits for the answer until its deadline.
    pub fn send(&mut self, request: &Request<'_>) -> Seen {
        let started = Instant::now();
        let Request { method, path, host, id, deadline, body } = request;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nNickellead-Request-Id: {id}\r\nNickellead-Deadline-Ms: {}\r\nContent-Length: {body}\r\n\r\n",
            deadline.as_millis()
        );
        let _ = self.0.get_ref().set_write_timeout(Some(*deadline));
        if let Err(error) = self.0.get_mut().write_all(head.as_bytes()) {
            return Seen::Closed(error.kind().to_string());
        }
        let chunk = vec![b'x'; 64 * 1024];
        let mut sent = 0;
        while sent < *body {
            let length = chunk.len().min(body - sent);
            // An early answer is read below.
            if self.0.get_mut().write_all(&chunk[..length]).is_err() {
                break;
            }
            sent += length;
        }
        let left = deadline.saturating_sub(started.elapsed()).max(Duration::from_millis(1));
        let _ = self.0.get_ref().set_read_timeout(Some(left));
        match read_message(&mut self.0, 64 * 1024) {
            Ok(Some(answer)) => Seen::Answer(answer),
            Ok(None) => Seen::Closed("end of the connection".to_owned()),
            Err(error)
                if matches!(
                    error.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) =>
            {
                Seen::Silence
            }
            Err(error) => Seen::Closed(error.kind().to_string()),
        }
    }
}
