//! HTTP/1.1 as far as the cases need it, on blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// The head of a request or a response, and its body if it was kept.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line, split at blanks.
    pub line: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Bytes of the body, kept or not.
    pub length: usize,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.first().map_or("", String::as_str)
    }

    pub fn target(&self) -> &str {
        self.line.get(1).map_or("", String::as_str)
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.line.get(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads a message; `None` if the connection ends before it begins. Bodies longer than `keep` are not kept.
pub fn read_message(reader: &mut BufReader<TcpStream>, keep: usize) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message {
        line: line.split_whitespace().map(str::to_owned).collect(),
        ..Message::default()
    };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((key, value)) = line.split_once(':') {
            message.headers.push((key.trim().to_owned(), value.trim().to_owned()));
        }
    }
    if message.header("transfer-encoding").is_some() {
        loop {
            let mut size = String::new();
            reader.read_line(&mut size)?;
            let size = usize::from_str_radix(size.trim().split(';').next().unwrap_or(""), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            read_bytes(reader, size, keep, &mut message)?;
            let mut end = String::new();
            reader.read_line(&mut end)?;
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) =
        message.header("content-length").and_then(|value| value.parse().ok())
    {
        read_bytes(reader, length, keep, &mut message)?;
    }
    Ok(Some(message))
}

fn read_bytes(
    reader: &mut BufReader<TcpStream>,
    length: usize,
    keep: usize,
    message: &mut Message,
) -> io::Result<()> {
    let mut left = length;
    let mut chunk = vec![0; left.min(64 * 1024)];
    while left > 0 {
        let most = left.min(chunk.len());
        let read = reader.read(&mut chunk[..most])?;
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if message.body.len() + read <= keep {
            message.body.extend_from_slice(&chunk[..read]);
        }
        left -= read;
        message.length += read;
    }
    Ok(())
}

/// Writes a response with a body.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (key, value) in headers {
        head.push_str(&format!("{key}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut whole = head.into_bytes();
    whole.extend_from_slice(body);
    stream.write_all(&whole)
}

/// Accepts connections, each of which `serve` gets in a thread of its own.
pub fn accept_all(listener: TcpListener, serve: impl Fn(TcpStream) + Send + Sync + 'static) {
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let serve = Arc::clone(&serve);
            let _ = std::thread::Builder::new().stack_size(256 * 1024).spawn(move || serve(stream));
        }
    });
}

pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
