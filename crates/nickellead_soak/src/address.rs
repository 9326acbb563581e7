//! Allocates loopback addresses for the processes of a round.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

use crate::SoakError;

/// First allocated port, above the system's ports and the common ones of applications.
const FIRST_PORT: u32 = 10_000;
/// Number of ports, which end below the range of outgoing connections.
const PORT_COUNT: u32 = 20_000;
/// Offset between the first ports of processes with adjacent ids, to avoid collisions.
const PORT_OFFSET_PER_PROCESS: u32 = 211;

/// Returns an unused loopback address, each at most once per process until the range wraps around.
///
/// Ports are below the range of outgoing connections.
///
/// # Errors
/// The error of the last attempt to bind, if no port of the range is free.
pub fn free_address() -> Result<SocketAddr, SoakError> {
    static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);
    let start = std::process::id().wrapping_mul(PORT_OFFSET_PER_PROCESS) % PORT_COUNT;
    let mut bind_error = None;
    for _ in 0..PORT_COUNT {
        let offset = (start + NEXT_OFFSET.fetch_add(1, Ordering::Relaxed)) % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], (FIRST_PORT + offset) as u16));
        match TcpListener::bind(address) {
            Ok(_) => return Ok(address),
            Err(error) => bind_error = Some(error),
        }
    }
    let reason = bind_error.unwrap_or_else(|| std::io::ErrorKind::AddrInUse.into());
    Err(SoakError::System { what: "a port", reason })
}
