//! The UDP socket for datagrams between entries and sidecars.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use celeryshed_observe::EventLine;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::decode::decode_peer_bytes;
use crate::messages::PeerMessage;

/// Size of the receive buffer; longer datagrams are truncated.
const MAX_DATAGRAM_BYTES: usize = 32 * 1024;
/// Delay after a failed receipt.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(1);

/// Sends and receives [`PeerMessage`]s; a lost message is not sent again, since later ones replace
/// its content.
#[derive(Debug)]
pub struct PeerSocket {
    socket: UdpSocket,
}

impl From<UdpSocket> for PeerSocket {
    fn from(socket: UdpSocket) -> Self {
        Self { socket }
    }
}

impl PeerSocket {
    /// Binds a UDP socket to `address`.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        Ok(Self { socket: UdpSocket::bind(address).await? })
    }

    /// The local address. If the socket was bound to port 0, it has the port chosen by the system.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends one message to several addresses; skips those that can't be parsed or reached.
    pub fn send(&self, message: &PeerMessage, targets: impl IntoIterator<Item = impl AsRef<str>>) {
        let bytes = match rmp_serde::to_vec(message) {
            Ok(bytes) => bytes,
            Err(error) => {
                EventLine::new("peer_message_failed").field("error", error).error();
                return;
            }
        };
        for target in targets {
            let Ok(address) = target.as_ref().parse::<SocketAddr>() else { continue };
            // A failed send drops the datagram, which the network may do at any time.
            let _ = self.socket.try_send_to(&bytes, address);
        }
    }

    /// Receives the next message; skips datagrams that can't be decoded.
    pub async fn receive(&self) -> (PeerMessage, SocketAddr) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, sender) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                // The system reports failures of earlier sends here, for instance to a closed port,
                // and shortages that may last.
                Err(_error) => {
                    metrics::counter!("celeryshed_receive_failures_total").increment(1);
                    sleep(RECEIVE_RETRY_DELAY).await;
                    continue;
                }
            };
            if let Ok(message) = decode_peer_bytes(&buffer[..length]) {
                return (message, sender);
            }
        }
    }
}
