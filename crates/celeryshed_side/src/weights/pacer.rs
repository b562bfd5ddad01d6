//! The task that owns the link's budget.

use std::time::Duration;

use celeryshed_base::{ByteCount, ClockSource};
use celeryshed_core::distribution::LinkBudget;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

enum PaceMessage {
    Reserve(ByteCount, oneshot::Sender<Duration>),
    Live(ByteCount),
}

/// Paces distribution traffic, up and down, to what live requests leave of the link.
#[derive(Clone, Debug)]
pub struct LinkPacer {
    messages: mpsc::UnboundedSender<PaceMessage>,
}

impl LinkPacer {
    /// Starts the task.
    pub fn spawn(link: ByteCount, clock: ClockSource) -> Self {
        let (messages, mut inbox) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            let mut budget = LinkBudget::new(link);
            while let Some(message) = inbox.recv().await {
                match message {
                    PaceMessage::Live(bytes) => budget.record_foreground(bytes, clock.now()),
                    PaceMessage::Reserve(bytes, reply) => {
                        let _ = reply.send(budget.reserve(bytes, clock.now()));
                    }
                }
            }
        });
        Self { messages }
    }

    /// Waits until `bytes` of distribution traffic may pass.
    pub async fn pace(&self, bytes: usize) {
        let (reply, wait) = oneshot::channel();
        let message = PaceMessage::Reserve(ByteCount(bytes as u64), reply);
        if self.messages.send(message).is_ok()
            && let Ok(wait) = wait.await
            && !wait.is_zero()
        {
            sleep(wait).await;
        }
    }

    /// Counts bytes of a live request, either way.
    pub fn record_live(&self, bytes: ByteCount) {
        // Fails only when the runtime shuts down.
        let _ = self.messages.send(PaceMessage::Live(bytes));
    }
}
