//! What the thin programs do alike when they start and end.

mod descriptors;
mod listen;
mod metrics_service;
mod resource_watch;
mod restart_delay;
mod role_runner;
mod signals;
mod task_group;

pub use descriptors::max_open_descriptors;
pub use listen::{ListenError, Result, SOCKETS_WAIT, listen_tcp, listen_udp, open_sockets};
pub use metrics_service::serve_metrics;
pub use resource_watch::{HolderFigure, MemoryUsage, ResourceWatch};
pub use restart_delay::RestartDelay;
pub use role_runner::{RoleRunner, RunnerError};
pub use signals::{ProcessSignals, RoleEnd};
pub use task_group::{
    CaughtPanic, EndedTask, TaskClass, TaskEnds, TaskGroup, TaskOutcome, catch_panic,
};
