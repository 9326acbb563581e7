//! Small requests to VMs, on a thread that may block.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Requests a path; `None` if the VM gives no complete response, with `timeout` for each of its steps.
pub(super) fn http_get(address: SocketAddr, path: &str, timeout: Duration) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nhost: vm\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    Some(text)
}
