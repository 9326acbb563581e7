//! Loopback addresses for the processes of a round.

use std::net::SocketAddr;

use crate::SoakError;

/// Returns an unused loopback address, each at most once per process.
///
/// # Errors
/// [`SoakError::System`] if no port is left.
pub fn free_address() -> Result<SocketAddr, SoakError> {
    nickellead_ports::free_address().map_err(SoakError::system("a port"))
}
