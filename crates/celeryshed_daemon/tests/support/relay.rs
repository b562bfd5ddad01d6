//! A TCP relay that can cut, stall or delay connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// Receive buffer of each connection; small, so that a stalled sender soon blocks.
const RECEIVE_BYTES: u32 = 32 * 1024;

/// Largest number of connections that wait to be accepted.
const BACKLOG: u32 = 128;

/// What the relay does with its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayMode {
    /// Forwards bytes.
    Pass,
    /// Forwards the bytes of each read after this time.
    Delay(Duration),
    /// Keeps connections open and forwards nothing.
    Stall,
    /// Closes open connections, and new ones once accepted.
    Cut,
}

/// A relay with its own address; dropping the relay closes its connections.
pub struct Relay {
    /// Address that the relay listens on.
    pub address: SocketAddr,
    mode: watch::Sender<RelayMode>,
    held_reads: Arc<AtomicU64>,
}

impl Relay {
    /// Starts a relay that forwards connections to `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let address = super::free_address();
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(RECEIVE_BYTES).expect("a small receive buffer");
        socket.bind(address).expect("the relay's address is free");
        let listener = socket.listen(BACKLOG).expect("a listener");
        let (mode, watch) = watch::channel(RelayMode::Pass);
        let held_reads = Arc::default();
        tokio::spawn(accept(listener, target, watch, Arc::clone(&held_reads)));
        Self { address, mode, held_reads }
    }

    /// Number of reads whose bytes a stall has held back so far.
    pub fn held_reads(&self) -> u64 {
        self.held_reads.load(Ordering::Relaxed)
    }

    /// Sets the mode of all connections, including open ones.
    pub fn set(&self, mode: RelayMode) {
        self.mode.send_replace(mode);
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    mut mode: watch::Receiver<RelayMode>,
    held_reads: Arc<AtomicU64>,
) {
    let mut dropped_mode = mode.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = relay_dropped(&mut dropped_mode) => return,
        };
        let Ok((client, _)) = accepted else {
            continue;
        };
        if *mode.borrow_and_update() != RelayMode::Cut {
            tokio::spawn(forward(client, target, mode.clone(), Arc::clone(&held_reads)));
        }
    }
}

/// Returns when the relay is dropped.
async fn relay_dropped(mode: &mut watch::Receiver<RelayMode>) {
    while mode.changed().await.is_ok() {}
}

async fn forward(
    client: TcpStream,
    target: SocketAddr,
    mut mode: watch::Receiver<RelayMode>,
    held_reads: Arc<AtomicU64>,
) {
    let Ok(server) = connect_target(target).await else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (mut client_read, mut client_write) = client.into_split();
    let (mut server_read, mut server_write) = server.into_split();
    let (up_mode, down_mode) = (mode.clone(), mode.clone());
    tokio::select! {
        () = async {
            tokio::join!(
                copy(&mut client_read, &mut server_write, up_mode, &held_reads),
                copy(&mut server_read, &mut client_write, down_mode, &held_reads),
            );
        } => {}
        _ = mode.wait_for(|mode| *mode == RelayMode::Cut) => {}
    }
}

async fn connect_target(target: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(RECEIVE_BYTES)?;
    socket.connect(target).await
}

async fn copy(
    source: &mut (impl AsyncReadExt + Unpin),
    sink: &mut (impl AsyncWriteExt + Unpin),
    mut mode: watch::Receiver<RelayMode>,
    held_reads: &AtomicU64,
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let length = match source.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(length) => length,
        };
        let current_mode = *mode.borrow_and_update();
        if let RelayMode::Delay(delay) = current_mode {
            sleep(delay).await;
        }
        if current_mode == RelayMode::Stall {
            held_reads.fetch_add(1, Ordering::Relaxed);
        }
        if mode.wait_for(|mode| *mode != RelayMode::Stall).await.is_err() {
            return;
        }
        if sink.write_all(&buffer[..length]).await.is_err() {
            break;
        }
    }
    let _ = sink.shutdown().await;
}
