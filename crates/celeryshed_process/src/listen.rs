//! Opening of the sockets at which a process listens.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use celeryshed_observe::EventLine;
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::time::{Instant, sleep};

/// Delay after the first failed attempt to open the sockets; doubles up to [`MAX_RETRY_DELAY`].
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest delay between two attempts.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Least time between two log lines of the same wait.
const LOG_INTERVAL: Duration = Duration::from_secs(5);
/// How long a role waits for its sockets before its settings are read again.
pub const SOCKETS_WAIT: Duration = Duration::from_secs(5);
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// A socket that can't be opened.
#[derive(Debug, thiserror::Error)]
#[error("{purpose} can't listen at {address}: {source}")]
pub struct ListenError {
    /// What the socket is for, such as "the peer socket".
    pub purpose: &'static str,
    /// Address from the settings.
    pub address: SocketAddr,
    /// Error of the operating system.
    pub source: io::Error,
}

/// Result of opening a socket.
pub type Result<T> = std::result::Result<T, ListenError>;

impl ListenError {
    /// Whether the cause is expected to pass by itself: another socket holds the address, the
    /// address isn't assigned yet, or the system is short of descriptors or memory.
    ///
    /// ```
    /// use celeryshed_process::ListenError;
    /// let address = "127.0.0.1:80".parse().unwrap();
    /// let error = |kind: std::io::ErrorKind| ListenError {
    ///     purpose: "the callers' service", address, source: kind.into(),
    /// };
    /// assert!(error(std::io::ErrorKind::AddrInUse).is_temporary());
    /// assert!(!error(std::io::ErrorKind::PermissionDenied).is_temporary());
    /// ```
    pub fn is_temporary(&self) -> bool {
        match self.source.kind() {
            io::ErrorKind::AddrInUse
            | io::ErrorKind::AddrNotAvailable
            | io::ErrorKind::OutOfMemory => true,
            _ => matches!(
                self.source.raw_os_error(),
                Some(libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM)
            ),
        }
    }
}

/// Opens a TCP socket that listens at `address`.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// let free = "127.0.0.1:0".parse().unwrap();
/// let listener = celeryshed_process::listen_tcp("the readiness service", free).unwrap();
/// let taken = listener.local_addr().unwrap();
/// assert!(celeryshed_process::listen_tcp("the readiness service", taken).is_err());
/// # }
/// ```
pub fn listen_tcp(purpose: &'static str, address: SocketAddr) -> Result<TcpListener> {
    let listen = || {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        // Otherwise closed connections of the former process would hold the port.
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    listen().map_err(|source| ListenError { purpose, address, source })
}

/// Opens a UDP socket at `address`.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// let free = "127.0.0.1:0".parse().unwrap();
/// assert!(celeryshed_process::listen_udp("the peer socket", free).is_ok());
/// # }
/// ```
pub fn listen_udp(purpose: &'static str, address: SocketAddr) -> Result<UdpSocket> {
    let listen = || {
        let socket = std::net::UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        UdpSocket::from_std(socket)
    };
    listen().map_err(|source| ListenError { purpose, address, source })
}

/// Calls `open` until it opens its sockets, after an exponential delay while the error is temporary.
///
/// `open` opens all of them or none, so that nobody connects to a process that is still waiting.
///
/// ```
/// use celeryshed_process::{listen_tcp, open_sockets};
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// let address = "127.0.0.1:0".parse().unwrap();
/// assert!(open_sockets(|| listen_tcp("the readiness service", address)).await.is_ok());
/// # }
/// ```
pub async fn open_sockets<S>(open: impl Fn() -> Result<S>) -> Result<S> {
    let mut delay = MIN_RETRY_DELAY;
    let mut logged_at: Option<Instant> = None;
    loop {
        let error = match open() {
            Ok(sockets) => return Ok(sockets),
            Err(error) if !error.is_temporary() => return Err(error),
            Err(error) => error,
        };
        metrics::counter!("celeryshed_listen_failures_total", "purpose" => error.purpose)
            .increment(1);
        if logged_at.is_none_or(|logged_at| logged_at.elapsed() >= LOG_INTERVAL) {
            logged_at = Some(Instant::now());
            EventLine::new("listen_waiting")
                .field("purpose", error.purpose)
                .field("address", error.address)
                .field("error", error.source)
                .warn();
        }
        sleep(delay).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}
