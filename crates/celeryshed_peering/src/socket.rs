//! The UDP socket for datagrams between entries and sidecars.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use celeryshed_base::{ClockSource, MonoTime};
use celeryshed_observe::EventLine;
use tokio::net::UdpSocket;
use tokio::task::coop::consume_budget;
use tokio::time::{sleep, timeout};

use crate::decode::decode_peer_bytes;
use crate::messages::PeerMessage;

/// Size of the receive buffer; longer datagrams are truncated.
const MAX_DATAGRAM_BYTES: usize = 32 * 1024;
/// Delay after a failed receipt.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(1);

/// Longest time between two checks for waiting datagrams.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Sends and receives [`PeerMessage`]s; a lost message is not sent again, since later ones replace
/// its content.
#[derive(Debug)]
pub struct PeerSocket {
    socket: UdpSocket,
}

/// A message with the time before which it can't have arrived.
#[derive(Debug)]
pub struct ReceivedMessage {
    /// The message.
    pub message: PeerMessage,
    /// Address of its sender.
    pub sender: SocketAddr,
    /// Earliest time at which it may have arrived at the socket.
    pub arrived_after: MonoTime,
}

/// Receives the messages of a [`PeerSocket`] and limits the time for which they waited there, for
/// instance while the process was paused.
#[derive(Debug)]
pub struct MessageReader<'s> {
    socket: &'s PeerSocket,
    clock: ClockSource,
    /// When the socket was last found empty.
    checked_at: MonoTime,
    /// When the socket was found empty before that. The latest check may have missed a datagram that
    /// the runtime had not seen yet.
    empty_at: MonoTime,
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

    /// Receives messages with the time for which they may have waited.
    ///
    /// ```
    /// use celeryshed_base::{AvailabilityZone, ClockSource};
    /// use celeryshed_peering::{ControlPosition, EntryHeartbeat, PeerMessage, PeerSocket};
    /// use std::time::Duration;
    /// let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    /// runtime.block_on(async {
    ///     let clock = ClockSource::start();
    ///     let socket = PeerSocket::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    ///     let address = socket.address().unwrap().to_string();
    ///     let zone = AvailabilityZone::try_from("north-a").unwrap();
    ///     let position = ControlPosition::default();
    ///     let heartbeat = EntryHeartbeat { entry: address.clone(), zone, position, lifetime_ms: 1000 };
    ///     // The runtime has to find the new socket writable first.
    ///     tokio::time::sleep(Duration::from_millis(1)).await;
    ///     socket.send(&PeerMessage::Hello(heartbeat), [address]);
    ///     let received = socket.reader(clock).receive().await;
    ///     assert!(received.arrived_after <= clock.now());
    /// });
    /// ```
    pub fn reader(&self, clock: ClockSource) -> MessageReader<'_> {
        let started_at = MonoTime::ZERO;
        MessageReader { socket: self, clock, checked_at: started_at, empty_at: started_at }
    }
}

impl MessageReader<'_> {
    /// Receives the next message; skips datagrams that can't be decoded.
    pub async fn receive(&mut self) -> ReceivedMessage {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let socket = &self.socket.socket;
        loop {
            consume_budget().await;
            match socket.try_recv_from(&mut buffer) {
                Ok((length, sender)) => {
                    if let Ok(message) = decode_peer_bytes(&buffer[..length]) {
                        return ReceivedMessage { message, sender, arrived_after: self.empty_at };
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.empty_at = self.checked_at;
                    self.checked_at = self.clock.now();
                    // The next attempt shows whether there is anything to read.
                    let _ = timeout(CHECK_INTERVAL, socket.readable()).await;
                }
                Err(_error) => {
                    metrics::counter!("celeryshed_receive_failures_total").increment(1);
                    sleep(RECEIVE_RETRY_DELAY).await;
                }
            }
        }
    }
}
