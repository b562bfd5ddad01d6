//! Runs a role, and starts it again when it has ended by itself.

use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::{Duration, Instant};

use celeryshed_base::ClockSource;
use celeryshed_observe::EventLine;
use tokio::runtime::{Builder, Runtime};
use tokio::time::sleep;

use crate::restart_delay::RestartDelay;
use crate::signals::{ProcessSignals, RoleEnd};

/// Delays before a role is started again.
const ROLE_DELAY: RestartDelay =
    RestartDelay::new(Duration::from_millis(100), Duration::from_secs(10));

/// Why no role can be run.
#[derive(Debug, thiserror::Error)]
pub enum RunnerError {
    /// The runtime can't be started.
    #[error("the runtime can't be started: {0}")]
    Runtime(io::Error),
    /// A signal handler can't be installed.
    #[error("signals can't be received: {0}")]
    Signals(io::Error),
}

/// Result of the start of a runner.
type Result<T> = std::result::Result<T, RunnerError>;

/// Why a role is started again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RestartCause {
    /// One of its tasks has ended.
    TaskEnded,
    /// It has panicked itself.
    RolePanicked,
    /// The system has refused its runtime.
    RuntimeRefused,
}

impl RestartCause {
    /// The cause as written to logs and metrics.
    fn name(self) -> &'static str {
        match self {
            Self::TaskEnded => "task_ended",
            Self::RolePanicked => "role_panicked",
            Self::RuntimeRefused => "runtime_refused",
        }
    }
}

/// Runs a role until SIGTERM. A role that ends by itself is started again in the same process.
#[derive(Debug)]
pub struct RoleRunner {
    /// Receives signals while no role runs.
    runtime: Runtime,
    signals: ProcessSignals,
    clock: ClockSource,
}

impl RoleRunner {
    /// Installs the signal handlers; from then on no signal that is sent is lost. A program calls this
    /// first, as [`Self::clock`] counts from here.
    pub fn start() -> Result<Self> {
        let clock = ClockSource::start();
        let runtime = role_runtime().map_err(RunnerError::Runtime)?;
        let signals = {
            let _context = runtime.enter();
            ProcessSignals::install().map_err(RunnerError::Signals)?
        };
        Ok(Self { runtime, signals, clock })
    }

    /// The clock of the process. It also counts the time before a call of the role, and goes on when
    /// the role is called again.
    ///
    /// ```
    /// use celeryshed_process::RoleRunner;
    /// let clock = RoleRunner::start().unwrap().clock();
    /// assert!(clock.now() <= clock.now());
    /// ```
    pub fn clock(&self) -> ClockSource {
        self.clock
    }

    /// Calls `role` until SIGTERM has ended it, or it returns an error. After an end by itself or a
    /// panic, it is called again after an exponential delay.
    ///
    /// Each call has a runtime of its own. With it, all tasks and sockets of the call are gone before
    /// the next one.
    ///
    /// ```
    /// use celeryshed_process::{RoleEnd, RoleRunner};
    /// let mut calls = 0;
    /// let ended = RoleRunner::start().unwrap().run(async |_signals| {
    ///     calls += 1;
    ///     Ok::<_, ()>(if calls < 3 { RoleEnd::TaskEnded } else { RoleEnd::Terminated })
    /// });
    /// assert_eq!((ended, calls), (Ok(()), 3));
    /// ```
    pub fn run<E>(
        mut self,
        mut role: impl AsyncFnMut(&mut ProcessSignals) -> std::result::Result<RoleEnd, E>,
    ) -> std::result::Result<(), E> {
        let mut delay = ROLE_DELAY;
        loop {
            let started_at = Instant::now();
            let signals = &mut self.signals;
            let call = || role_runtime().map(|runtime| runtime.block_on(role(signals)));
            let cause = match catch_unwind(AssertUnwindSafe(call)) {
                Ok(Ok(Ok(RoleEnd::Terminated))) => return Ok(()),
                Ok(Ok(Ok(RoleEnd::SocketsTaken))) => continue,
                Ok(Ok(Ok(RoleEnd::TaskEnded))) => RestartCause::TaskEnded,
                Ok(Ok(Err(error))) => return Err(error),
                Ok(Err(_refused)) => RestartCause::RuntimeRefused,
                Err(_panic) => RestartCause::RolePanicked,
            };
            // Processes that ended at the same record don't start anew at the same moment.
            let pause =
                delay.next_after(started_at.elapsed()).mul_f64(rand::random_range(0.5..1.0));
            metrics::counter!("celeryshed_role_restarts_total", "cause" => cause.name())
                .increment(1);
            EventLine::new("role_restarting")
                .field("cause", cause.name())
                .field("delay_ms", pause.as_millis())
                .error();
            let paused = self.runtime.block_on(self.signals.start_step(async {
                sleep(pause).await;
            }));
            if paused.is_none() {
                return Ok(());
            }
        }
    }
}

fn role_runtime() -> io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}
