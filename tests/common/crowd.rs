//! Callers that don't keep to the rules of HTTP or to the limits, many at a time.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long one write may take, so that a caller whose bytes are not read gives up sending.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// How a body is sent.
#[derive(Clone, Copy, Debug)]
pub enum Framing {
    /// With its length in the head.
    Announced,
    /// In chunks of this many bytes.
    Chunks(usize),
}

/// A body that a caller sends.
#[derive(Clone, Copy, Debug)]
pub struct CrowdBody {
    pub framing: Framing,
    /// The length of the body, of which the last byte is not sent.
    pub length: usize,
}

/// Connects, with a limit on the time of each write.
pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_write_timeout(Some(WRITE_TIMEOUT)).unwrap();
    stream
}

/// The head of a request with a body, up to the headers that frame it.
fn request_head(path: &str, id: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: {}\r\nnickellead-request-id: {id}\r\n",
        nickellead_adapter_standin::HOST
    )
}

/// Sends a request whose body stops short of its end. Returns the open connection, whether or not the
/// other side has taken all bytes.
pub fn send_short_of_end(address: SocketAddr, path: &str, id: &str, body: CrowdBody) -> TcpStream {
    let mut stream = connect(address);
    let head = request_head(path, id);
    // The other side may refuse the request and close the connection at any time.
    let _ = match body.framing {
        Framing::Announced => send_announced(&mut stream, &head, body.length),
        Framing::Chunks(size) => send_chunks(&mut stream, &head, body.length, size),
    };
    stream
}

fn send_announced(stream: &mut TcpStream, head: &str, length: usize) -> std::io::Result<()> {
    write!(stream, "{head}content-length: {length}\r\n\r\n")?;
    let part = vec![b'x'; 1 << 20];
    let mut left = length - 1;
    while left > 0 {
        let size = left.min(part.len());
        stream.write_all(&part[..size])?;
        left -= size;
    }
    Ok(())
}

fn send_chunks(
    stream: &mut TcpStream,
    head: &str,
    length: usize,
    size: usize,
) -> std::io::Result<()> {
    write!(stream, "{head}transfer-encoding: chunked\r\n\r\n")?;
    let mut chunk = format!("{size:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + size, b'x');
    chunk.extend_from_slice(b"\r\n");
    // Many small chunks are sent with one write.
    let chunks_per_write = ((1 << 16) / chunk.len()).max(1);
    let block = chunk.repeat(chunks_per_write);
    for _ in 0..(length - 1).div_ceil(size * chunks_per_write) {
        stream.write_all(&block)?;
    }
    Ok(())
}

/// Has each caller of a crowd connect and send at the same time; returns what they keep open.
pub fn gather<T: Send>(size: usize, caller: impl Fn(usize) -> T + Sync) -> Vec<T> {
    let caller = &caller;
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..size).map(|number| scope.spawn(move || caller(number))).collect();
        callers.into_iter().map(|caller| caller.join().unwrap()).collect()
    })
}

/// Sends a request with a whole chunked body; returns the response.
pub fn send_chunked(address: SocketAddr, path: &str, length: usize, size: usize) -> String {
    let mut stream = connect(address);
    stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    let sent = send_chunks(&mut stream, &request_head(path, "whole"), length + 1, size)
        .and_then(|()| stream.write_all(b"0\r\n\r\n"));
    let response = super::read_response(&mut stream);
    if response.is_empty() { format!("no response; sent: {sent:?}") } else { response }
}
