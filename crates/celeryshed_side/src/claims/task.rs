//! The task that owns the claim register and appends outcomes.

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

/// Largest recorded body in bytes; all entries of a partition read the record.
const MAX_KEPT_BYTES: usize = 64 * 1024;

common_derives! { value:
    /// Options of the claim task.
    #[derive(Copy)]
    pub struct ClaimOptions {
        /// Options of the register.
        pub register: RegisterOptions,
        /// First pause after an append that failed; it doubles up to `max_pause`.
        pub first_pause: Duration,
        /// Longest pause between appends that fail.
        pub max_pause: Duration,
        /// Outcomes of one append.
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

/// Starts the task of this incarnation; it lives as long as a handle or a permit.
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
///     claims.settled().await;
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
    let (unsettled, unsettled_receiver) = watch::channel(0);
    let task = ClaimTask {
        log,
        clock,
        options,
        register: ClaimRegister::new(incarnation, options.register),
        permits: commands.downgrade(),
        running: 0,
        waiting: BTreeMap::new(),
        appends: FuturesUnordered::new(),
        unsettled,
    };
    tokio::spawn(task.run(receiver));
    ClaimHandle::new(commands, unsettled_receiver)
}

struct PendingOutcome {
    claim_id: ClaimId,
    record: Bytes,
}

/// A finished append of one partition.
struct AppendEnd {
    partition: u32,
    outcomes: Vec<PendingOutcome>,
    result: celeryshed_platform::Result<LogOffset>,
}

/// Outcomes of one partition that don't stand in the log.
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
    permits: mpsc::WeakUnboundedSender<ClaimCommand>,
    running: usize,
    waiting: BTreeMap<u32, OutcomeQueue>,
    appends: FuturesUnordered<BoxFuture<'static, AppendEnd>>,
    unsettled: watch::Sender<usize>,
}

impl ClaimTask {
    async fn run(mut self, mut commands: mpsc::UnboundedReceiver<ClaimCommand>) {
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.take(command),
                    None => return,
                },
                Some(end) = self.appends.next() => self.finish_append(end),
            }
            let queued: usize = self.waiting.values().map(OutcomeQueue::len).sum();
            self.unsettled.send_replace(self.running + queued);
        }
    }

    fn take(&mut self, command: ClaimCommand) {
        // A receiver that has gone doesn't need its reply.
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
        let Some(finished) = self.permits.upgrade() else { return BeginReply::Unknown };
        let (now, unix_now) = (self.clock.now(), self.clock.unix_now());
        let ClaimPermit { claim_id, side_incarnation, appended_at, .. } = *claim_permit;
        match self.register.begin(claim_id, side_incarnation, appended_at, now, unix_now) {
            BeginVerdict::Run => {
                self.running += 1;
                BeginReply::Run(RunPermit::new(claim_permit, finished))
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
            RunResult::Answer(answer) => Some(kept(answer)),
            RunResult::Unknown => Some(ClaimOutcome::Unknown),
            // Nothing ran: the claimant releases the claim, and the register keeps it sealed.
            RunResult::NotRun => None,
        };
        self.register.finish(claim_id, result.into(), self.clock.now());
        let Some(outcome) = outcome else { return };
        match encode(&ClaimRecord::Outcome { claim_id, outcome }) {
            Ok(record) => {
                let queue = self.waiting.entry(partition).or_default();
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
        let Some(queue) = self.waiting.get_mut(&partition) else { return };
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
            AppendEnd { partition, outcomes, result }
        }));
    }

    fn finish_append(&mut self, end: AppendEnd) {
        let now = self.clock.now();
        let Some(queue) = self.waiting.get_mut(&end.partition) else { return };
        queue.in_flight = false;
        match end.result {
            Ok(_) => {
                queue.failures = 0;
                for outcome in &end.outcomes {
                    self.register.note_recorded(outcome.claim_id, now);
                }
            }
            // Readers keep the first outcome of a claim, so that a repeated append is harmless even
            // when this one took effect.
            Err(error) => {
                let line = EventLine::new("outcome_append_failed");
                line.field("partition", end.partition).field("error", error).warn();
                queue.failures += 1;
                for outcome in end.outcomes.into_iter().rev() {
                    queue.outcomes.push_front(outcome);
                }
            }
        }
        self.start_append(end.partition);
        self.waiting.retain(|_, queue| queue.in_flight || !queue.outcomes.is_empty());
    }
}

impl OutcomeQueue {
    /// Outcomes that wait; one more while an append is in flight.
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

/// What the log keeps of an answer.
fn kept(answer: &ServiceAnswer) -> ClaimOutcome {
    if answer.body.len() <= MAX_KEPT_BYTES {
        return ClaimOutcome::Answer(answer.clone());
    }
    ClaimOutcome::AnswerNotKept { status: answer.status, size: answer.body.len() as u64 }
}

fn pause_after(failures: u32, options: &ClaimOptions) -> Duration {
    if failures == 0 {
        return Duration::ZERO;
    }
    let doubled = 2u32.saturating_pow(failures - 1);
    options.first_pause.saturating_mul(doubled).min(options.max_pause)
}
