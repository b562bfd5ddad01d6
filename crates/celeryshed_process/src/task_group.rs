//! The long-running tasks of a role.

use std::panic::AssertUnwindSafe;
use std::time::Duration;

use celeryshed_observe::EventLine;
use futures::FutureExt;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

use crate::restart_delay::RestartDelay;

/// Delays before an auxiliary task is started again.
const AUXILIARY_DELAY: RestartDelay =
    RestartDelay::new(Duration::from_millis(200), Duration::from_secs(60));

/// What the role loses with a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskClass {
    /// The role can't go on without it.
    Essential,
    /// The role can't go on if it panics; it returns when its work is done.
    Finite,
    /// The role goes on without it, and it is started again.
    Auxiliary,
}

impl TaskClass {
    /// The class as written to logs.
    ///
    /// ```
    /// assert_eq!(celeryshed_process::TaskClass::Essential.name(), "essential");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::Essential => "essential",
            Self::Finite => "finite",
            Self::Auxiliary => "auxiliary",
        }
    }
}

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskOutcome {
    /// It returned.
    Returned,
    /// It panicked.
    Panicked,
}

impl TaskOutcome {
    /// The outcome as written to logs and metrics.
    ///
    /// ```
    /// assert_eq!(celeryshed_process::TaskOutcome::Panicked.name(), "panicked");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::Returned => "returned",
            Self::Panicked => "panicked",
        }
    }
}

/// A task without which the role can't go on, and which has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedTask {
    /// Name of the task.
    pub name: &'static str,
    /// How it ended.
    pub outcome: TaskOutcome,
}

/// A future that panicked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a panic ended it")]
pub struct CaughtPanic;

/// Runs a future whose panic must not end the task around it.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// use celeryshed_process::{CaughtPanic, catch_panic};
/// assert_eq!(catch_panic(async { 7 }).await, Ok(7));
/// assert_eq!(catch_panic(async { panic!("no room") }).await, Err::<(), _>(CaughtPanic));
/// # }
/// ```
pub async fn catch_panic<F: Future>(future: F) -> Result<F::Output, CaughtPanic> {
    AssertUnwindSafe(future).catch_unwind().await.map_err(|_panic| CaughtPanic)
}

/// Starts the long-running tasks of a role, and notices when one ends. Clones start tasks of the same
/// role.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// use celeryshed_process::{TaskClass, TaskGroup, TaskOutcome};
/// let (tasks, mut ends) = TaskGroup::new();
/// tasks.start("peers", TaskClass::Essential, async { panic!("no room") });
/// let ended = ends.next().await;
/// assert_eq!((ended.name, ended.outcome), ("peers", TaskOutcome::Panicked));
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct TaskGroup {
    ended: mpsc::UnboundedSender<EndedTask>,
}

/// Receives the ends of the tasks without which a role can't go on.
#[derive(Debug)]
pub struct TaskEnds {
    ended: mpsc::UnboundedReceiver<EndedTask>,
    /// Keeps the channel open.
    _group: TaskGroup,
}

impl TaskGroup {
    /// A group without tasks.
    ///
    /// ```
    /// let (tasks, ends) = celeryshed_process::TaskGroup::new();
    /// # drop((tasks, ends));
    /// ```
    pub fn new() -> (Self, TaskEnds) {
        let (sender, ended) = mpsc::unbounded_channel();
        let group = Self { ended: sender };
        (group.clone(), TaskEnds { ended, _group: group })
    }

    /// Starts a task that runs as long as the role, or, with [`TaskClass::Finite`], until its work is
    /// done. It is not started again by itself, whatever its class.
    pub fn start<F>(&self, name: &'static str, class: TaskClass, task: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let group = self.clone();
        tokio::spawn(async move {
            let outcome = run_task(task).await;
            group.record_end(name, class, outcome);
        });
    }

    /// Starts a task that the role can do without. It is started again, after an exponential delay,
    /// each time that it ends.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread", start_paused = true)]
    /// # async fn main() {
    /// use std::sync::Arc;
    /// use std::time::Duration;
    /// use celeryshed_process::TaskGroup;
    /// use tokio::sync::Semaphore;
    /// let (tasks, _ends) = TaskGroup::new();
    /// let starts = Arc::new(Semaphore::new(0));
    /// let counted = starts.clone();
    /// tasks.start_auxiliary("metrics", move || {
    ///     counted.add_permits(1);
    ///     async {}
    /// });
    /// tokio::time::sleep(Duration::from_secs(1)).await;
    /// assert_eq!(starts.available_permits(), 3);
    /// # }
    /// ```
    pub fn start_auxiliary<F, T>(&self, name: &'static str, start: F)
    where
        F: Fn() -> T + Send + Sync + 'static,
        T: Future<Output = ()> + Send + 'static,
    {
        let group = self.clone();
        tokio::spawn(async move {
            let mut delay = AUXILIARY_DELAY;
            loop {
                let started_at = Instant::now();
                let outcome = run_task(async { start().await }).await;
                group.record_end(name, TaskClass::Auxiliary, outcome);
                sleep(delay.next_after(started_at.elapsed())).await;
            }
        });
    }

    fn record_end(&self, name: &'static str, class: TaskClass, outcome: TaskOutcome) {
        if (class, outcome) == (TaskClass::Finite, TaskOutcome::Returned) {
            return;
        }
        metrics::counter!(
            "celeryshed_tasks_ended_total", "task" => name, "outcome" => outcome.name()
        )
        .increment(1);
        EventLine::new("task_ended")
            .field("task", name)
            .field("class", class.name())
            .field("outcome", outcome.name())
            .error();
        match class {
            TaskClass::Essential | TaskClass::Finite => {
                // Fails if the role has ended itself.
                let _ = self.ended.send(EndedTask { name, outcome });
            }
            TaskClass::Auxiliary => {}
        }
    }
}

impl TaskEnds {
    /// Waits until a task ends without which the role can't go on.
    pub async fn next(&mut self) -> EndedTask {
        match self.ended.recv().await {
            Some(ended) => ended,
            // Can't happen: this holds a sender itself.
            None => std::future::pending().await,
        }
    }
}

async fn run_task(task: impl Future<Output = ()>) -> TaskOutcome {
    match catch_panic(task).await {
        Ok(()) => TaskOutcome::Returned,
        Err(CaughtPanic) => TaskOutcome::Panicked,
    }
}
