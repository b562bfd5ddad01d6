//! A TCP relay that counts bytes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use celeryshed_base::common_derives;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use crate::fleet::{Result, start_error};

/// Bytes copied at a time.
const BUFFER_BYTES: usize = 16 * 1024;

common_derives! { value:
    /// Bytes that passed a relay.
    #[derive(Copy, Default)]
    pub struct RelayCount {
        /// From callers to the target.
        pub to_target: u64,
        /// From the target to callers.
        pub to_caller: u64,
        /// Connections.
        pub connections: u64,
    }
}

impl RelayCount {
    /// Bytes in both directions.
    pub fn total(&self) -> u64 {
        self.to_target + self.to_caller
    }

    /// What was added since `before`.
    #[must_use]
    pub fn since(&self, before: &Self) -> Self {
        Self {
            to_target: self.to_target - before.to_target,
            to_caller: self.to_caller - before.to_caller,
            connections: self.connections - before.connections,
        }
    }
}

#[derive(Debug, Default)]
struct RelayTotals {
    to_target: AtomicU64,
    to_caller: AtomicU64,
    connections: AtomicU64,
}

/// A running relay; dropping it closes its listener.
#[derive(Debug)]
pub struct ByteRelay {
    address: SocketAddr,
    totals: Arc<RelayTotals>,
    task: JoinHandle<()>,
}

impl ByteRelay {
    /// Relays connections on a free port of loopback to `target`.
    pub async fn launch(target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(start_error("a relay"))?;
        let address = listener.local_addr().map_err(start_error("a relay"))?;
        let totals = Arc::new(RelayTotals::default());
        let task = tokio::spawn(accept(listener, target, Arc::clone(&totals)));
        Ok(Self { address, totals, task })
    }

    /// Where callers connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What has passed so far.
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

async fn accept(listener: TcpListener, target: SocketAddr, totals: Arc<RelayTotals>) {
    while let Ok((caller, _)) = listener.accept().await {
        totals.connections.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(relay(caller, target, Arc::clone(&totals)));
    }
}

/// Copies until either side ends; a target that can't be reached closes the caller's connection.
async fn relay(caller: TcpStream, target: SocketAddr, totals: Arc<RelayTotals>) {
    let Ok(target) = TcpStream::connect(target).await else { return };
    // Small messages would otherwise wait for acknowledgements of earlier ones.
    let _ = (caller.set_nodelay(true), target.set_nodelay(true));
    let (from_caller, to_caller) = caller.into_split();
    let (from_target, to_target) = target.into_split();
    tokio::join!(
        copy(from_caller, to_target, &totals.to_target),
        copy(from_target, to_caller, &totals.to_caller),
    );
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, count: &AtomicU64) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        count.fetch_add(length as u64, Ordering::Relaxed);
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
    // Passes the end of the stream on; the other direction may still be open.
    let _ = to.shutdown().await;
}
