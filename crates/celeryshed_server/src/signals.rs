//! Handling of the signals that a process gets from its supervisor and the system.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Receives the signals that ask the process to stop.
pub struct TerminationSignal {
    terminate: Signal,
    interrupt: Signal,
}

impl TerminationSignal {
    /// Installs handlers for both signals. From then on a signal doesn't end the process by itself,
    /// so a second signal can't interrupt a drain.
    ///
    /// SIGHUP and SIGXFSZ, which the system sends when a file would exceed its largest size, have no
    /// effect from then on.
    pub fn install() -> std::io::Result<Self> {
        for kind in [SignalKind::hangup(), SignalKind::from_raw(libc::SIGXFSZ)] {
            // The handler stays after its receiver is gone.
            drop(signal(kind)?);
        }
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next of the two signals and returns its name.
    pub async fn wait(&mut self) -> &'static str {
        tokio::select! {
            _ = self.terminate.recv() => "SIGTERM",
            _ = self.interrupt.recv() => "SIGINT",
        }
    }
}
