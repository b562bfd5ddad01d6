//! Handling of SIGTERM, SIGHUP and SIGXFSZ.

use celeryshed_observe::EventLine;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Result of the installation of a handler.
type Result<T> = std::io::Result<T>;

/// Why a role no longer runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoleEnd {
    /// SIGTERM has ended it.
    Terminated,
    /// Its sockets couldn't be opened for [`SOCKETS_WAIT`](crate::SOCKETS_WAIT). Its settings may have
    /// changed since they were read.
    SocketsTaken,
    /// A task has ended without which it can't go on.
    TaskEnded,
}

/// Receives the signals that a supervisor sends.
#[derive(Debug)]
pub struct ProcessSignals {
    terminate: Signal,
    reload: Signal,
}

impl ProcessSignals {
    /// Installs the handlers. From then on none of the signals ends the process by itself, and SIGTERM
    /// and SIGHUP are kept until they are waited for. SIGXFSZ, which the system sends when a file would
    /// exceed its largest size, has no effect, so that the write that caused it fails with an error.
    ///
    /// Must be called in the context of a runtime.
    ///
    /// ```
    /// use celeryshed_process::ProcessSignals;
    /// let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    /// let _context = runtime.enter();
    /// assert!(ProcessSignals::install().is_ok());
    /// ```
    pub fn install() -> Result<Self> {
        // The handler stays after its receiver is gone. Without it, only a full log ends the process.
        let _ = signal(SignalKind::from_raw(libc::SIGXFSZ));
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            reload: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM. SIGHUP only logs an event, since settings are not read again.
    pub async fn terminated(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.reload.recv() => EventLine::new("reloaded").field("outcome", "unchanged").info(),
            }
        }
    }

    /// Waits for a step of the start; `None` if SIGTERM came first.
    ///
    /// ```
    /// # tokio_test();
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn tokio_test() {
    /// use celeryshed_process::ProcessSignals;
    /// let mut signals = ProcessSignals::install().unwrap();
    /// assert_eq!(signals.start_step(async { 7 }).await, Some(7));
    /// # }
    /// ```
    pub async fn start_step<F: Future>(&mut self, step: F) -> Option<F::Output> {
        tokio::select! {
            output = step => Some(output),
            () = self.terminated() => {
                EventLine::new("stopped").field("phase", "starting").info();
                None
            }
        }
    }
}
