//! A requester on one kept connection.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::record::Record;
use crate::target::CALLER_ZONE;

/// Bytes that are written at a time if the rate is limited.
const PIECE: usize = 64 * 1024;

static NUMBER: AtomicU64 = AtomicU64::new(1);

/// A request id that was not used before.
pub fn new_id(prefix: &str) -> String {
    format!("{prefix}{:08x}", NUMBER.fetch_add(1, Ordering::SeqCst))
}

pub struct Caller {
    pub address: SocketAddr,
    pub zone: String,
    pub record: Record,
    /// Bytes a second of its bodies; `None` for no limit.
    pub rate: Option<usize>,
    connection: Option<Connection>,
}

pub struct Sent {
    pub id: String,
    /// Whether an earlier request used the connection.
    pub kept: bool,
    pub answer: Option<Message>,
}

impl Caller {
    pub fn new(address: SocketAddr, zone: &str, record: &Record) -> Self {
        Self {
            address,
            zone: zone.to_owned(),
            record: record.clone(),
            rate: None,
            connection: None,
        }
    }

    /// Sends one request and waits for its answer until the deadline.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        host: &str,
        key: Option<u16>,
        deadline: Duration,
    ) -> Sent {
        let body = if method == "GET" { &b""[..] } else { &b"the body"[..] };
        self.send_body(method, path, host, key, deadline, body)
    }

    /// Sends one request with this body.
    pub fn send_body(
        &mut self,
        method: &str,
        path: &str,
        host: &str,
        key: Option<u16>,
        deadline: Duration,
        body: &[u8],
    ) -> Sent {
        let id = new_id("r");
        let key_header =
            key.map_or(String::new(), |key| format!("Nickellead-Shard-Key: {key}\r\n"));
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nNickellead-Request-Id: {id}\r\n\
             Nickellead-Deadline-Ms: {}\r\n{key_header}{CALLER_ZONE}: {}\r\nContent-Length: {}\r\n\r\n",
            deadline.as_millis(),
            self.zone,
            body.len()
        );
        let until = Instant::now() + deadline;
        let kept = self.connection.is_some();
        let mut connection = self
            .connection
            .take()
            .or_else(|| Connection::open(self.address, Duration::from_secs(1)));
        let mut answer = None;
        if let Some(open) = connection.as_mut() {
            if open.write(text.as_bytes()) && self.write_body(open, body) {
                answer = open.read(Some(until));
            }
        }
        let status = answer.as_ref().map_or("no answer".to_owned(), |one| one.status().to_string());
        let key_text = key.map_or(String::new(), |key| format!(" key {key}"));
        self.record.note(format!("caller {} sent {id}{key_text}, got {status}", self.zone));
        let keeps = answer
            .as_ref()
            .is_some_and(|one| !one.header("connection").to_ascii_lowercase().contains("close"));
        if keeps {
            self.connection = connection;
        }
        Sent { id, kept, answer }
    }

    /// Writes a body, in pieces if its rate is limited.
    fn write_body(&self, connection: &mut Connection, body: &[u8]) -> bool {
        let Some(rate) = self.rate else { return connection.write(body) };
        let began = Instant::now();
        let mut sent = 0;
        for piece in body.chunks(PIECE) {
            if !connection.write(piece) {
                return false;
            }
            sent += piece.len();
            let due = Duration::from_secs_f64(sent as f64 / rate as f64);
            std::thread::sleep(due.saturating_sub(began.elapsed()));
        }
        true
    }
}
