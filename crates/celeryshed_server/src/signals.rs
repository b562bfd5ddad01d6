//! SIGTERM and SIGINT.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Waits for a signal to end the process.
pub struct TerminationSignal {
    terminate: Signal,
    interrupt: Signal,
}

impl TerminationSignal {
    /// Takes over both signals; from then on they no longer end the process by themselves, so a
    /// second one doesn't shorten a drain.
    pub fn install() -> std::io::Result<Self> {
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
