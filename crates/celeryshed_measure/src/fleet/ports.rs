//! Choice of free loopback ports.

use std::net::{SocketAddr, TcpListener};

use super::error::{Result, start_error};

/// Addresses on `count` different free ports.
///
/// All listeners stay open until the last port is chosen, so that no port is chosen twice.
pub(super) fn free_addresses(count: usize) -> Result<Vec<SocketAddr>> {
    let mut listeners = Vec::with_capacity(count);
    for _ in 0..count {
        listeners.push(TcpListener::bind("127.0.0.1:0").map_err(start_error("a free port"))?);
    }
    let addresses = listeners.iter().map(TcpListener::local_addr);
    addresses.collect::<std::io::Result<_>>().map_err(start_error("a free port"))
}
