//! Addresses for the processes of a round.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

use crate::SoakError;

/// First port given out: the system keeps the ones below 1,024, and many programs settle soon above.
const PORT_FIRST: u32 = 10_000;
/// Ports given out: they end below the ones that outgoing connections take.
const PORT_COUNT: u32 = 20_000;
/// Ports between the starts of two processes with neighbouring ids, so that they try different ones.
const PROCESS_STEP: u32 = 211;

/// An address on the loopback that nobody listens on, given out once in this process.
///
/// Below the range that outgoing connections take their ports from.
///
/// # Errors
/// The system's refusal, after a whole round of ports.
pub fn free_address() -> Result<SocketAddr, SoakError> {
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    let start = std::process::id().wrapping_mul(PROCESS_STEP) % PORT_COUNT;
    let mut refused = None;
    for _ in 0..PORT_COUNT {
        let offset = (start + TAKEN.fetch_add(1, Ordering::Relaxed)) % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], (PORT_FIRST + offset) as u16));
        match TcpListener::bind(address) {
            Ok(_) => return Ok(address),
            Err(error) => refused = Some(error),
        }
    }
    let reason = refused.unwrap_or_else(|| std::io::ErrorKind::AddrInUse.into());
    Err(SoakError::System { what: "a port", reason })
}
