//! State that all request handlers share.

use std::sync::Arc;

use celeryshed_base::ClockSource;
use celeryshed_dispatch::RoutingSnapshot;
use tokio::sync::watch;

use crate::dispatcher_task::DispatcherHandle;
use crate::names::HeaderNames;
use crate::request::BufferBudget;

/// Phase of the shutdown after SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ShutdownPhase {
    /// No shutdown is in progress.
    Serving,
    /// Requests are still accepted, but their answers close the connection so that callers connect
    /// to another entry.
    Draining,
    /// New requests are refused, because they might not end within the grace period.
    Refusing,
}

/// State that all request handlers share.
#[derive(Debug)]
pub(crate) struct GatewayContext {
    pub(crate) clock: ClockSource,
    pub(crate) headers: HeaderNames,
    pub(crate) dispatcher: DispatcherHandle,
    pub(crate) snapshot: watch::Receiver<Option<Arc<RoutingSnapshot>>>,
    pub(crate) shutdown_phase: watch::Receiver<ShutdownPhase>,
    /// Memory for answers that are not complete.
    pub(crate) buffers: BufferBudget,
}
