//! Loopback addresses for the processes of tests that run side by side.
//!
//! A port that is free now may be taken by another test before the process that it is meant for binds
//! it. So each test process claims blocks of ports, by keeping the first port of a block bound.

use std::io::{Error, ErrorKind};
use std::net::{SocketAddr, TcpListener};
use std::ops::Range;
use std::sync::{Mutex, PoisonError};

/// Ports above those of the system and below those of outgoing connections.
const PORTS: Range<u16> = 10_000..32_000;
/// Ports of a block, with the one that is kept bound.
const BLOCK_PORTS: u16 = 50;

/// The blocks of this process.
static PORT_BLOCKS: Mutex<PortBlocks> = Mutex::new(PortBlocks { claims: Vec::new(), free: 0..0 });

/// Blocks that a process has claimed.
struct PortBlocks {
    /// The first port of each block.
    claims: Vec<TcpListener>,
    /// Ports of the last block that were not returned yet.
    free: Range<u16>,
}

impl PortBlocks {
    /// Claims a block that no other process has; starts to look for it at `first`.
    fn claim(&mut self, first: u16) -> Result<(), Error> {
        let blocks = (PORTS.end - PORTS.start) / BLOCK_PORTS;
        for number in 0..blocks {
            let start = PORTS.start + (first % blocks + number) % blocks * BLOCK_PORTS;
            if let Ok(claim) = TcpListener::bind(loopback(start)) {
                self.claims.push(claim);
                self.free = start + 1..start + BLOCK_PORTS;
                return Ok(());
            }
        }
        Err(ErrorKind::AddrInUse.into())
    }
}

const fn loopback(port: u16) -> SocketAddr {
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), port)
}

/// Returns an unused loopback address that no earlier call of this process returned, and that no other
/// process gets while this one runs.
///
/// # Errors
/// [`ErrorKind::AddrInUse`] if all blocks are claimed.
pub fn free_address() -> Result<SocketAddr, Error> {
    let mut blocks = PORT_BLOCKS.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        for port in blocks.free.by_ref() {
            // A program that claims no blocks may use it.
            if TcpListener::bind(loopback(port)).is_ok() {
                return Ok(loopback(port));
            }
        }
        blocks.claim(std::process::id() as u16)?;
    }
}
