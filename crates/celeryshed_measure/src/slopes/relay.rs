//! A TCP relay that counts bytes and connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use celeryshed_base::common_derives;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use crate::fleet::{Result, start_error};

/// Size of the copy buffer, one per direction of a connection.
const BUFFER_BYTES: usize = 16 * 1024;

common_derives! { value:
    /// Bytes and connections that passed through a relay.
    #[derive(Copy, Default)]
    pub struct RelayCount {
        /// Bytes from callers to the target.
        pub to_target: u64,
        /// Bytes from the target to callers.
        pub to_caller: u64,
        /// Accepted connections, including those that never reached the target.
        pub connections: u64,
    }
}

impl RelayCount {
    /// Bytes in both directions.
    pub fn total(&self) -> u64 {
        self.to_target + self.to_caller
    }

    /// The increase since `before`, an earlier count of the same relay.
    #[must_use]
    pub fn since(&self, before: &Self) -> Self {
        Self {
            to_target: self.to_target - before.to_target,
            to_caller: self.to_caller - before.to_caller,
            connections: self.connections - before.connections,
        }
    }
}

/// Running totals, shared by all connections of a relay.
#[derive(Debug, Default)]
struct RelayTotals {
    to_target: AtomicU64,
    to_caller: AtomicU64,
    connections: AtomicU64,
}

/// A running relay; dropping it closes the listener but not its open connections.
#[derive(Debug)]
pub struct ByteRelay {
    address: SocketAddr,
    totals: Arc<RelayTotals>,
    task: JoinHandle<()>,
}

impl ByteRelay {
    /// Listens on a free loopback port and forwards each connection to `target`.
    pub async fn launch(target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(start_error("a relay"))?;
        let address = listener.local_addr().map_err(start_error("a relay"))?;
        let totals = Arc::new(RelayTotals::default());
        let task = tokio::spawn(accept_connections(listener, target, Arc::clone(&totals)));
        Ok(Self { address, totals, task })
    }

    /// Address to which callers connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes and connections since the start.
    pub fn count(&self) -> RelayCount {
        RelayCount {
            to_target: self.totals.to_target.load(Ordering::Relaxed),
            to_caller: self.totals.to_caller.load(Ordering::Relaxed),
            connections: self.totals.connections.load(Ordering::Relaxed),
        }
    }
}

impl Drop for ByteRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_connections(listener: TcpListener, target: SocketAddr, totals: Arc<RelayTotals>) {
    while let Ok((caller, _)) = listener.accept().await {
        totals.connections.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(relay_connection(caller, target, Arc::clone(&totals)));
    }
}

/// Copies both directions until both have ended.
///
/// Closes the caller's connection when the target can't be reached.
async fn relay_connection(caller: TcpStream, target: SocketAddr, totals: Arc<RelayTotals>) {
    let Ok(target) = TcpStream::connect(target).await else { return };
    // Disables Nagle's algorithm, which delays small messages until earlier ones are acknowledged.
    let _ = (caller.set_nodelay(true), target.set_nodelay(true));
    let (from_caller, to_caller) = caller.into_split();
    let (from_target, to_target) = target.into_split();
    tokio::join!(
        copy_bytes(from_caller, to_target, &totals.to_target),
        copy_bytes(from_target, to_caller, &totals.to_caller),
    );
}

async fn copy_bytes(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, count: &AtomicU64) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        count.fetch_add(length as u64, Ordering::Relaxed);
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
    // Forwards the end of the stream; the other direction may still be open.
    let _ = to.shutdown().await;
}
