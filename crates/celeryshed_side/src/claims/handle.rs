//! Handle through which attempts and seal requests use the claim task.

use celeryshed_base::ClaimId;
use celeryshed_core::booking::BeginRefusal;
use celeryshed_wire::{ClaimPermit, SealReply, SealRequest, ServiceAnswer};
use tokio::sync::{mpsc, oneshot, watch};

/// Result of a permitted run.
#[derive(Clone, Debug, PartialEq)]
pub enum RunResult {
    /// The endpoint has answered.
    Answer(ServiceAnswer),
    /// The endpoint may have run the call, but no answer was received.
    Unknown,
    /// No byte of the call was sent to the endpoint, and none will be.
    NotRun,
}

/// Reply to the dispatch of a claim.
#[derive(Debug)]
pub enum BeginReply {
    /// The call may run now, once.
    Run(RunPermit),
    /// The call ran before; the reply to the entry is its answer.
    Ran(ServiceAnswer),
    /// The call is running, or it ran and its answer is no longer held; the reply to the entry is
    /// "unknown".
    Unknown,
    /// The call hasn't run and never will; the reply to the entry is "not run" with cause
    /// `ClaimRefused`.
    Refused(BeginRefusal),
}

pub(super) enum ClaimCommand {
    Begin { claim_permit: ClaimPermit, reply: oneshot::Sender<BeginReply> },
    Finish { claim_id: ClaimId, partition: u32, result: RunResult },
    Seal { request: SealRequest, reply: oneshot::Sender<SealReply> },
}

/// Permission to run one claim once; dropping it unfinished reports [`RunResult::Unknown`].
#[derive(Debug)]
pub struct RunPermit {
    claim_id: ClaimId,
    partition: u32,
    commands: mpsc::UnboundedSender<ClaimCommand>,
    /// Whether no result has been reported yet.
    unreported: bool,
}

impl RunPermit {
    pub(super) fn new(
        claim_permit: &ClaimPermit,
        commands: mpsc::UnboundedSender<ClaimCommand>,
    ) -> Self {
        let ClaimPermit { claim_id, partition, .. } = *claim_permit;
        Self { claim_id, partition, commands, unreported: true }
    }

    /// Reports the result of the run. The outcome is appended to the log in the background, so the
    /// answer may be returned to the entry at once.
    pub fn finish(mut self, result: RunResult) {
        self.report(result);
    }

    fn report(&mut self, result: RunResult) {
        let Self { claim_id, partition, .. } = *self;
        self.unreported = false;
        // Fails only if the task has ended, which happens at the end of the process.
        let _ = self.commands.send(ClaimCommand::Finish { claim_id, partition, result });
    }
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        if self.unreported {
            self.report(RunResult::Unknown);
        }
    }
}

/// Handle of the claim task, which ends when all handles and permits are dropped.
#[derive(Clone, Debug)]
pub struct ClaimHandle {
    commands: mpsc::UnboundedSender<ClaimCommand>,
    unrecorded: watch::Receiver<usize>,
}

impl ClaimHandle {
    pub(super) fn new(
        commands: mpsc::UnboundedSender<ClaimCommand>,
        unrecorded: watch::Receiver<usize>,
    ) -> Self {
        Self { commands, unrecorded }
    }

    /// Requests permission to run a claim.
    pub async fn begin(&self, claim_permit: ClaimPermit) -> BeginReply {
        let (reply, receiver) = oneshot::channel();
        let _ = self.commands.send(ClaimCommand::Begin { claim_permit, reply });
        receiver.await.unwrap_or(BeginReply::Unknown)
    }

    /// Returns the state of a claim to another entry; a claim that hasn't begun is sealed, so that
    /// it never runs.
    pub async fn seal(&self, request: SealRequest) -> SealReply {
        let (reply, receiver) = oneshot::channel();
        let _ = self.commands.send(ClaimCommand::Seal { request, reply });
        receiver.await.unwrap_or(SealReply::Unknown)
    }

    /// Number of runs in progress and of outcomes that aren't recorded in the log yet.
    pub fn unrecorded(&self) -> usize {
        *self.unrecorded.borrow()
    }

    /// Waits until every run has ended and its outcome is recorded in the log, as a drain must.
    pub async fn wait_recorded(&self) {
        let mut unrecorded = self.unrecorded.clone();
        // Fails only if the task has ended; no outcome can be recorded then.
        let _ = unrecorded.wait_for(|count| *count == 0).await;
    }
}
