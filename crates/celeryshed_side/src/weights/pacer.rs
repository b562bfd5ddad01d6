//! The task that owns the bandwidth budget of the instance's link.

use std::time::Duration;

use celeryshed_base::{ByteCount, ClockSource};
use celeryshed_core::distribution::LinkBudget;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

enum PacerMessage {
    Reserve(ByteCount, oneshot::Sender<Duration>),
    RecordLive(ByteCount),
}

/// Limits uploads and downloads of weights to the bandwidth that live requests leave on the link.
#[derive(Clone, Debug)]
pub struct LinkPacer {
    messages: mpsc::UnboundedSender<PacerMessage>,
}

impl LinkPacer {
    /// Starts the task for a link of `link` bytes a second, up and down together.
    pub fn spawn(link: ByteCount, clock: ClockSource) -> Self {
        let (messages, mut inbox) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            let mut budget = LinkBudget::new(link);
            while let Some(message) = inbox.recv().await {
                match message {
                    PacerMessage::RecordLive(bytes) => budget.record_foreground(bytes, clock.now()),
                    PacerMessage::Reserve(bytes, reply) => {
                        let _ = reply.send(budget.reserve(bytes, clock.now()));
                    }
                }
            }
        });
        Self { messages }
    }

    /// Reserves `bytes` of the budget and waits until they may be transferred.
    pub async fn pace(&self, bytes: usize) {
        let (reply, wait) = oneshot::channel();
        let message = PacerMessage::Reserve(ByteCount(bytes as u64), reply);
        if self.messages.send(message).is_ok()
            && let Ok(wait) = wait.await
            && !wait.is_zero()
        {
            sleep(wait).await;
        }
    }

    /// Counts bytes that a live request sends or receives.
    pub fn record_live(&self, bytes: ByteCount) {
        // Fails only when the runtime shuts down.
        let _ = self.messages.send(PacerMessage::RecordLive(bytes));
    }
}
