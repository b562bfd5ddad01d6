//! The handle through which attempts and seal requests reach the claim task.

use celeryshed_base::ClaimId;
use celeryshed_core::booking::BeginRefusal;
use celeryshed_wire::{ClaimPermit, SealReply, SealRequest, ServiceAnswer};
use tokio::sync::{mpsc, oneshot, watch};

/// How a permitted run ended.
#[derive(Clone, Debug, PartialEq)]
pub enum RunResult {
    /// With an answer of the endpoint.
    Answer(ServiceAnswer),
    /// The endpoint may have run it, and there is no answer.
    Unknown,
    /// No byte of the call was sent to the endpoint, and none will be.
    NotRun,
}

/// Reply to the dispatch of a claim.
#[derive(Debug)]
pub enum BeginReply {
    /// Run it now.
    Run(RunPermit),
    /// It ran before, with this answer: reply with the answer.
    Ran(ServiceAnswer),
    /// It is running, or it ran and its answer is no longer here: reply "unknown".
    Unknown,
    /// It is not run and will never be: reply "not run" with cause `ClaimRefused`.
    Refused(BeginRefusal),
}

pub(super) enum ClaimCommand {
    Begin { claim_permit: ClaimPermit, reply: oneshot::Sender<BeginReply> },
    Finish { claim_id: ClaimId, partition: u32, result: RunResult },
    Seal { request: SealRequest, reply: oneshot::Sender<SealReply> },
}

/// Permission to run one claim once.
#[derive(Debug)]
pub struct RunPermit {
    claim_id: ClaimId,
    partition: u32,
    finished: mpsc::UnboundedSender<ClaimCommand>,
    open: bool,
}

impl RunPermit {
    pub(super) fn new(
        claim_permit: &ClaimPermit,
        finished: mpsc::UnboundedSender<ClaimCommand>,
    ) -> Self {
        let ClaimPermit { claim_id, partition, .. } = *claim_permit;
        Self { claim_id, partition, finished, open: true }
    }

    /// Reports the end of the run. Its outcome is appended to the log in the background, so the
    /// answer may be returned to the entry at once.
    pub fn finish(mut self, result: RunResult) {
        self.report(result);
    }

    fn report(&mut self, result: RunResult) {
        let Self { claim_id, partition, .. } = *self;
        self.open = false;
        // The task ends only with the process.
        let _ = self.finished.send(ClaimCommand::Finish { claim_id, partition, result });
    }
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        if self.open {
            self.report(RunResult::Unknown);
        }
    }
}

/// Handle of the claim task.
#[derive(Clone, Debug)]
pub struct ClaimHandle {
    commands: mpsc::UnboundedSender<ClaimCommand>,
    unsettled: watch::Receiver<usize>,
}

impl ClaimHandle {
    pub(super) fn new(
        commands: mpsc::UnboundedSender<ClaimCommand>,
        unsettled: watch::Receiver<usize>,
    ) -> Self {
        Self { commands, unsettled }
    }

    /// Asks for permission to run a claim.
    pub async fn begin(&self, claim_permit: ClaimPermit) -> BeginReply {
        let (reply, receiver) = oneshot::channel();
        let _ = self.commands.send(ClaimCommand::Begin { claim_permit, reply });
        receiver.await.unwrap_or(BeginReply::Unknown)
    }

    /// Replies to another entry's question about a claim, sealing it unless it was begun.
    pub async fn seal(&self, request: SealRequest) -> SealReply {
        let (reply, receiver) = oneshot::channel();
        let _ = self.commands.send(ClaimCommand::Seal { request, reply });
        receiver.await.unwrap_or(SealReply::Unknown)
    }

    /// Runs in progress and outcomes that don't stand in the log yet.
    pub fn unsettled(&self) -> usize {
        *self.unsettled.borrow()
    }

    /// Waits until every run has ended and its outcome stands in the log, as a drain must.
    pub async fn settled(&self) {
        let mut unsettled = self.unsettled.clone();
        // An error means that the task is gone, and with it everything unsettled.
        let _ = unsettled.wait_for(|count| *count == 0).await;
    }
}
