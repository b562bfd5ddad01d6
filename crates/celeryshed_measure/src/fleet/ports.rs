//! Choice of free loopback ports.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use tokio::net::TcpSocket;

use super::error::{Result, start_error};

/// Free loopback ports that are kept for the listeners of a fleet.
///
/// Each port is held by a socket that is bound and doesn't listen. The system gives such a port to no
/// other socket that asks for any port, nor to an outgoing connection; a listener with `SO_REUSEADDR`,
/// as servers set it, can share it.
pub(super) struct PortReservation {
    sockets: Vec<TcpSocket>,
}

impl PortReservation {
    /// Reserves `count` different ports.
    pub(super) fn reserve(count: usize) -> Result<Self> {
        let sockets: io::Result<_> = (0..count).map(|_| reserve_port()).collect();
        Ok(Self { sockets: sockets.map_err(start_error("a free port"))? })
    }

    /// The reserved addresses.
    pub(super) fn addresses(&self) -> Result<Vec<SocketAddr>> {
        let addresses: io::Result<_> = self.sockets.iter().map(TcpSocket::local_addr).collect();
        addresses.map_err(start_error("a free port"))
    }
}

fn reserve_port() -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
    Ok(socket)
}

#[cfg(test)]
mod tests;
