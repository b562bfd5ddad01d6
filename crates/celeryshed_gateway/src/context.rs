//! What every request handler shares.

use std::sync::Arc;

use celeryshed_base::ClockSource;
use celeryshed_dispatch::{EndpointTarget, RoutingSnapshot};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::dispatcher_task::DispatcherHandle;
use crate::names::HeaderNames;

/// How far the end of the process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeavingPhase {
    /// It goes on.
    Serving,
    /// Callers should connect elsewhere; requests are still taken.
    Leaving,
    /// A request would not end within the grace period, so it is refused.
    Refusing,
}

/// Shared by all requests.
#[derive(Debug)]
pub(crate) struct GatewayContext {
    pub(crate) clock: ClockSource,
    pub(crate) headers: HeaderNames,
    pub(crate) dispatcher: DispatcherHandle,
    pub(crate) snapshot: watch::Receiver<Option<Arc<RoutingSnapshot>>>,
    /// Whether the process is about to end.
    pub(crate) leaving: watch::Receiver<LeavingPhase>,
}

impl GatewayContext {
    /// When a request that has not begun at the endpoint is withdrawn from it.
    pub(crate) fn withdraw_at(&self, target: &EndpointTarget) -> Option<Instant> {
        target.start_deadline.map(|at| Instant::now() + (at - self.clock.now()))
    }
}
