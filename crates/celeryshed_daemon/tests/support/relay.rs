//! A TCP relay that cuts, stalls or delays a link.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// What the relay does with its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayMode {
    /// Passes bytes on.
    Pass,
    /// Holds bytes of each chunk back for this time.
    Delay(Duration),
    /// Keeps connections open and passes nothing on.
    Stall,
    /// Ends open connections and refuses new ones.
    Cut,
}

/// A relay on an address of its own; dropping it ends its connections.
pub struct Relay {
    /// The address that it listens on.
    pub address: SocketAddr,
    mode: watch::Sender<RelayMode>,
    held: Arc<AtomicU64>,
}

impl Relay {
    /// Relays connections from a new address to `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let address = super::free_address();
        let listener = TcpListener::bind(address).await.expect("the relay's address is free");
        let (mode, watch) = watch::channel(RelayMode::Pass);
        let held = Arc::default();
        tokio::spawn(accept(listener, target, watch, Arc::clone(&held)));
        Self { address, mode, held }
    }

    /// Parts of messages that a stall has held back so far.
    pub fn held(&self) -> u64 {
        self.held.load(Ordering::Relaxed)
    }

    /// Changes what happens to all connections, open ones included.
    pub fn set(&self, mode: RelayMode) {
        self.mode.send_replace(mode);
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    mut mode: watch::Receiver<RelayMode>,
    held: Arc<AtomicU64>,
) {
    let mut ended = mode.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closed(&mut ended) => return,
        };
        let Ok((near, _)) = accepted else {
            continue;
        };
        if *mode.borrow_and_update() != RelayMode::Cut {
            tokio::spawn(connect(near, target, mode.clone(), Arc::clone(&held)));
        }
    }
}

/// Ends with the relay itself.
async fn closed(mode: &mut watch::Receiver<RelayMode>) {
    while mode.changed().await.is_ok() {}
}

async fn connect(
    near: TcpStream,
    target: SocketAddr,
    mut mode: watch::Receiver<RelayMode>,
    held: Arc<AtomicU64>,
) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (mut near_read, mut near_write) = near.into_split();
    let (mut far_read, mut far_write) = far.into_split();
    let (up_mode, down_mode) = (mode.clone(), mode.clone());
    tokio::select! {
        () = async {
            tokio::join!(
                copy(&mut near_read, &mut far_write, up_mode, &held),
                copy(&mut far_read, &mut near_write, down_mode, &held),
            );
        } => {}
        _ = mode.wait_for(|mode| *mode == RelayMode::Cut) => {}
    }
}

async fn copy(
    source: &mut (impl AsyncReadExt + Unpin),
    sink: &mut (impl AsyncWriteExt + Unpin),
    mut mode: watch::Receiver<RelayMode>,
    held: &AtomicU64,
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let length = match source.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(length) => length,
        };
        let now = *mode.borrow_and_update();
        if let RelayMode::Delay(delay) = now {
            sleep(delay).await;
        }
        if now == RelayMode::Stall {
            held.fetch_add(1, Ordering::Relaxed);
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
