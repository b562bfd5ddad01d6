//! State that all request handlers share.

use std::collections::BTreeSet;
use std::sync::Arc;

use celeryshed_base::ClockSource;
use celeryshed_dispatch::{PartId, PromptPart, RoutingSnapshot};
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
    /// Parts of prompts whose requests are refused.
    pub(crate) blocked_parts: watch::Receiver<Arc<BTreeSet<PartId>>>,
    pub(crate) shutdown_phase: watch::Receiver<ShutdownPhase>,
    /// Memory for answers that are not complete, or not yet received by their callers.
    pub(crate) buffers: BufferBudget,
    /// Memory for the bodies of requests.
    pub(crate) bodies: BufferBudget,
}

impl GatewayContext {
    /// Whether one of the parts is blocked.
    pub(crate) fn has_blocked(&self, parts: &[PromptPart]) -> bool {
        let blocked = self.blocked_parts.borrow();
        !blocked.is_empty() && parts.iter().any(|part| blocked.contains(&part.id))
    }

    /// Waits until one of the parts gets blocked.
    pub(crate) async fn wait_blocked(&self, parts: &[PromptPart]) {
        let mut watch = self.blocked_parts.clone();
        let has_blocked =
            |blocked: &Arc<BTreeSet<PartId>>| parts.iter().any(|part| blocked.contains(&part.id));
        // The sender is dropped only when the process ends.
        if parts.is_empty() || watch.wait_for(has_blocked).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
