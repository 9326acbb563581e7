//! HTTP/1.1 on blocking sockets: as much of it as the stand-ins need.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or a response: its first line, its headers and its whole body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Value of the first header with this name, which is given in lower case.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, rest: Vec::new() }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> Option<Self> {
        Some(Self::new(TcpStream::connect_timeout(&address, timeout).ok()?))
    }

    /// Reads one more message; `None` if the connection ends or `until` passes.
    pub fn read(&mut self, until: Option<Instant>) -> Option<Message> {
        let mut buffer = std::mem::take(&mut self.rest);
        let head_end = loop {
            if let Some(at) = find(&buffer, b"\r\n\r\n") {
                break at;
            }
            self.read_more(&mut buffer, until)?;
        };
        let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
        let mut lines = head.split("\r\n");
        let start = lines.next()?.to_owned();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let mut message = Message { start, headers, body: Vec::new() };
        let mut position = head_end + 4;
        if message.header("transfer-encoding").to_ascii_lowercase().contains("chunked") {
            loop {
                let line_end = loop {
                    if let Some(at) = find(&buffer[position..], b"\r\n") {
                        break position + at;
                    }
                    self.read_more(&mut buffer, until)?;
                };
                let line = String::from_utf8_lossy(&buffer[position..line_end]).into_owned();
                let size = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
                position = line_end + 2;
                while buffer.len() < position + size + 2 {
                    self.read_more(&mut buffer, until)?;
                }
                message.body.extend_from_slice(&buffer[position..position + size]);
                position += size + 2;
                if size == 0 {
                    break;
                }
            }
        } else {
            let length: usize = message.header("content-length").parse().unwrap_or(0);
            while buffer.len() < position + length {
                self.read_more(&mut buffer, until)?;
            }
            message.body = buffer[position..position + length].to_vec();
            position += length;
        }
        self.rest = buffer.split_off(position);
        Some(message)
    }

    fn read_more(&mut self, buffer: &mut Vec<u8>, until: Option<Instant>) -> Option<()> {
        let timeout = match until {
            Some(until) => Some(until.checked_duration_since(Instant::now())?),
            None => None,
        };
        let timeout = timeout.map(|left| left.max(Duration::from_millis(1)));
        self.stream.set_read_timeout(timeout).ok()?;
        let mut chunk = [0; 16 * 1024];
        match self.stream.read(&mut chunk) {
            Ok(0) => None,
            Ok(count) => {
                buffer.extend_from_slice(&chunk[..count]);
                Some(())
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => Some(()),
            Err(_) => None,
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

/// The bytes of a response.
pub fn response(status: u16, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        404 => "Not Found",
        409 => "Conflict",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        _ => "Status",
    };
    let mut text = format!("HTTP/1.1 {status} {reason}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    text.into_bytes()
}
