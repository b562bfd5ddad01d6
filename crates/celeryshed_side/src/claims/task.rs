//! The task that owns the claim register and appends outcomes to the log.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::{ClaimId, ClockSource, LogOffset, ProcessIncarnation, common_derives};
use celeryshed_core::booking::{BeginVerdict, ClaimRegister, RegisterOptions, RunOutcome};
use celeryshed_observe::EventLine;
use celeryshed_platform::LogClient;
use celeryshed_wire::{
    ClaimOutcome, ClaimPermit, ClaimRecord, SealReply, SealRequest, ServiceAnswer, encode,
};
use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use super::handle::{BeginReply, ClaimCommand, ClaimHandle, RunPermit, RunResult};

/// Largest answer body that is recorded; all entries of the partition read the record.
const MAX_RECORDED_BYTES: usize = 64 * 1024;

common_derives! { value:
    /// Options of the claim task.
    #[derive(Copy)]
    pub struct ClaimOptions {
        /// Options of the claim register.
        pub register: RegisterOptions,
        /// Pause after the first failed append, 100 ms by default; doubles with each further
        /// failure.
        pub first_pause: Duration,
        /// Longest pause after a failed append; 5 s by default.
        pub max_pause: Duration,
        /// Most outcomes in one append; 100 by default.
        pub append_records: usize,
    }
}

impl Default for ClaimOptions {
    fn default() -> Self {
        Self {
            register: RegisterOptions::default(),
            first_pause: Duration::from_millis(100),
            max_pause: Duration::from_secs(5),
            append_records: 100,
        }
    }
}

/// Starts the claim task of this incarnation; it ends when all handles and permits are dropped.
///
/// ```
/// use celeryshed_base::{ClaimId, ClockSource, LogOffset, ProcessIncarnation};
/// use celeryshed_platform::fakes::FakeLog;
/// use celeryshed_side::claims::{BeginReply, ClaimOptions, RunResult, spawn_claims};
/// use celeryshed_wire::ClaimPermit;
/// use std::sync::Arc;
/// let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
/// runtime.block_on(async {
///     let clock = ClockSource::start();
///     let log = FakeLog::new(clock);
///     let incarnation = ProcessIncarnation::random();
///     let (log_client, options) = (Arc::new(log.clone()), ClaimOptions::default());
///     let claims = spawn_claims(log_client, clock, incarnation, options);
///     let claim_permit = ClaimPermit {
///         claim_id: ClaimId::random(),
///         partition: 0,
///         offset: LogOffset(0),
///         appended_at: clock.unix_now(),
///         side_incarnation: incarnation,
///     };
///     let BeginReply::Run(permit) = claims.begin(claim_permit).await else { panic!() };
///     permit.finish(RunResult::Unknown);
///     claims.wait_recorded().await;
///     assert_eq!(log.entries("claims-0").len(), 1);
/// });
/// ```
pub fn spawn_claims(
    log: Arc<dyn LogClient>,
    clock: ClockSource,
    incarnation: ProcessIncarnation,
    options: ClaimOptions,
) -> ClaimHandle {
    let (commands, receiver) = mpsc::unbounded_channel();
    let (unrecorded, unrecorded_receiver) = watch::channel(0);
    let task = ClaimTask {
        log,
        clock,
        options,
        register: ClaimRegister::new(incarnation, options.register),
        permit_commands: commands.downgrade(),
        running: 0,
        queues: BTreeMap::new(),
        appends: FuturesUnordered::new(),
        unrecorded,
    };
    tokio::spawn(task.run(receiver));
    ClaimHandle::new(commands, unrecorded_receiver)
}

struct PendingOutcome {
    claim_id: ClaimId,
    record: Bytes,
}

/// Result of an append to the log of one partition.
struct AppendResult {
    partition: u32,
    outcomes: Vec<PendingOutcome>,
    result: celeryshed_platform::Result<LogOffset>,
}

/// Outcomes of one partition that aren't recorded in the log yet.
#[derive(Default)]
struct OutcomeQueue {
    outcomes: VecDeque<PendingOutcome>,
    in_flight: bool,
    failures: u32,
}

struct ClaimTask {
    log: Arc<dyn LogClient>,
    clock: ClockSource,
    options: ClaimOptions,
    register: ClaimRegister<ServiceAnswer>,
    permit_commands: mpsc::WeakUnboundedSender<ClaimCommand>,
    running: usize,
    queues: BTreeMap<u32, OutcomeQueue>,
    appends: FuturesUnordered<BoxFuture<'static, AppendResult>>,
    unrecorded: watch::Sender<usize>,
}

impl ClaimTask {
    async fn run(mut self, mut commands: mpsc::UnboundedReceiver<ClaimCommand>) {
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.handle(command),
                    None => return,
                },
                Some(append) = self.appends.next() => self.finish_append(append),
            }
            let queued: usize = self.queues.values().map(OutcomeQueue::len).sum();
            self.unrecorded.send_replace(self.running + queued);
        }
    }

    fn handle(&mut self, command: ClaimCommand) {
        // Replies fail only if the requester no longer waits.
        match command {
            ClaimCommand::Begin { claim_permit, reply } => {
                let begin = self.begin(&claim_permit);
                let _ = reply.send(begin);
            }
            ClaimCommand::Finish { claim_id, partition, result } => {
                self.finish(claim_id, partition, result);
            }
            ClaimCommand::Seal { request, reply } => {
                let _ = reply.send(self.seal(&request));
            }
        }
    }

    fn begin(&mut self, claim_permit: &ClaimPermit) -> BeginReply {
        let Some(commands) = self.permit_commands.upgrade() else { return BeginReply::Unknown };
        let (now, unix_now) = (self.clock.now(), self.clock.unix_now());
        let ClaimPermit { claim_id, side_incarnation, appended_at, .. } = *claim_permit;
        match self.register.begin(claim_id, side_incarnation, appended_at, now, unix_now) {
            BeginVerdict::Run => {
                self.running += 1;
                BeginReply::Run(RunPermit::new(claim_permit, commands))
            }
            BeginVerdict::Ran(answer) => BeginReply::Ran(answer),
            BeginVerdict::Running | BeginVerdict::Recorded | BeginVerdict::Unknown => {
                BeginReply::Unknown
            }
            BeginVerdict::Refused(refusal) => {
                let line = EventLine::new("claim_refused").field("claim", claim_id);
                line.field("reason", refusal).info();
                BeginReply::Refused(refusal)
            }
        }
    }

    fn seal(&mut self, request: &SealRequest) -> SealReply {
        let now = self.clock.now();
        let reply: SealReply =
            self.register.seal(request.claim_id, request.side_incarnation, now).into();
        if reply == SealReply::Sealed {
            EventLine::new("claim_sealed").field("claim", request.claim_id).info();
        }
        reply
    }

    fn finish(&mut self, claim_id: ClaimId, partition: u32, result: RunResult) {
        self.running -= 1;
        let outcome = match &result {
            RunResult::Answer(answer) => Some(recorded_outcome(answer)),
            RunResult::Unknown => Some(ClaimOutcome::Unknown),
            // The call didn't run: the claimant releases the claim, and the register seals it.
            RunResult::NotRun => None,
        };
        self.register.finish(claim_id, result.into(), self.clock.now());
        let Some(outcome) = outcome else { return };
        match encode(&ClaimRecord::Outcome { claim_id, outcome }) {
            Ok(record) => {
                let queue = self.queues.entry(partition).or_default();
                queue.outcomes.push_back(PendingOutcome { claim_id, record });
                self.start_append(partition);
            }
            Err(error) => {
                let line = EventLine::new("outcome_not_encoded").field("claim", claim_id);
                line.field("error", error).error();
            }
        }
    }

    fn start_append(&mut self, partition: u32) {
        let Some(queue) = self.queues.get_mut(&partition) else { return };
        if queue.in_flight || queue.outcomes.is_empty() {
            return;
        }
        queue.in_flight = true;
        let count = queue.outcomes.len().min(self.options.append_records);
        let outcomes: Vec<_> = queue.outcomes.drain(..count).collect();
        let pause = pause_after(queue.failures, &self.options);
        let log = self.log.clone();
        self.appends.push(Box::pin(async move {
            sleep(pause).await;
            let stream = format!("claims-{partition}");
            let records = outcomes.iter().map(|outcome| outcome.record.clone()).collect();
            let result = log.append(&stream, records).await;
            AppendResult { partition, outcomes, result }
        }));
    }

    fn finish_append(&mut self, append: AppendResult) {
        let now = self.clock.now();
        let Some(queue) = self.queues.get_mut(&append.partition) else { return };
        queue.in_flight = false;
        match append.result {
            Ok(_) => {
                queue.failures = 0;
                for outcome in &append.outcomes {
                    self.register.mark_recorded(outcome.claim_id, now);
                }
            }
            // The append is repeated even if it may have taken effect: readers keep the first
            // outcome of a claim and ignore further ones.
            Err(error) => {
                let line = EventLine::new("outcome_append_failed");
                line.field("partition", append.partition).field("error", error).warn();
                queue.failures += 1;
                for outcome in append.outcomes.into_iter().rev() {
                    queue.outcomes.push_front(outcome);
                }
            }
        }
        self.start_append(append.partition);
        self.queues.retain(|_, queue| queue.in_flight || !queue.outcomes.is_empty());
    }
}

impl OutcomeQueue {
    /// Number of queued outcomes, plus one while an append is in flight.
    fn len(&self) -> usize {
        self.outcomes.len() + usize::from(self.in_flight)
    }
}

impl From<RunResult> for RunOutcome<ServiceAnswer> {
    fn from(result: RunResult) -> Self {
        match result {
            RunResult::Answer(answer) => Self::Answer(answer),
            RunResult::Unknown => Self::Unknown,
            RunResult::NotRun => Self::NotRun,
        }
    }
}

/// Outcome to record in the log; leaves out the body of a larger answer.
fn recorded_outcome(answer: &ServiceAnswer) -> ClaimOutcome {
    if answer.body.len() <= MAX_RECORDED_BYTES {
        return ClaimOutcome::Answer(answer.clone());
    }
    ClaimOutcome::AnswerNotKept { status: answer.status, size: answer.body.len() as u64 }
}

fn pause_after(failures: u32, options: &ClaimOptions) -> Duration {
    if failures == 0 {
        return Duration::ZERO;
    }
    let factor = 2u32.saturating_pow(failures - 1);
    options.first_pause.saturating_mul(factor).min(options.max_pause)
}
