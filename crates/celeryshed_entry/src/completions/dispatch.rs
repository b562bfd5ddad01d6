//! Runs completions: one attempt after another until the answer is complete.

use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::{
    AdapterName, AttemptId, ContentDigest, InstanceName, RequestId, ServiceName,
};
use celeryshed_observe::EventLine;
use celeryshed_wire::{
    AttemptEventKind, AttemptRequest, AttemptWork, CompletionWork, FailureCause, ProblemDetails,
    RunStatus,
};
use futures::StreamExt;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout, timeout_at};

use super::board::{BoardHandle, RequestTicket};
use super::decisions::{AttemptOutcome, EntryRefusal, PlacedAttempt, RequestProfile};
use super::openai::{prompt_tokens, request_prefixes};
use super::options::CompletionOptions;
use super::problems::{ProblemKind, problem};
use super::progress::{AnswerProgress, EventCheck, EventVerdict};
use super::refusals::{priority_of, refusal_problem, worse};
use super::teams::RequestTeam;
use super::transport::{EventStream, SideClient, TransportError};

/// Pause between looks whether a sidecar answers requests again.
const REACHABLE_PAUSE: Duration = Duration::from_secs(1);

/// Looks after which an attempt is tried again all the same; ten minutes or more.
const REACHABLE_LOOKS: u32 = 600;

/// A completion to run.
#[derive(Clone, Debug)]
pub(super) struct CompletionJob {
    pub(super) request_id: RequestId,
    pub(super) team: RequestTeam,
    pub(super) service: ServiceName,
    pub(super) prompt: String,
    pub(super) max_tokens: u32,
    pub(super) adapter: Option<AdapterName>,
    pub(super) fingerprint: ContentDigest,
    pub(super) deadline: Instant,
}

/// What the caller's answer is made of.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum OutputEvent {
    /// The version; sent before the first token.
    Head(ContentDigest),
    /// A token.
    Token(String),
    /// The answer is complete.
    Done,
    /// The answer failed; nothing follows.
    Problem(ProblemDetails),
}

/// Runs jobs at endpoints.
pub(super) struct JobDispatcher {
    pub(super) options: CompletionOptions,
    pub(super) board: BoardHandle,
    pub(super) sides: Arc<dyn SideClient>,
}

/// How one attempt ended.
enum AttemptEnd {
    Complete,
    CallerGone,
    Failed { not_run: RunStatus, cause: FailureCause, detail: String },
}

struct JobRun<'a> {
    job: &'a CompletionJob,
    output: &'a mpsc::Sender<OutputEvent>,
    progress: AnswerProgress,
    not_run: RunStatus,
    last_failure: Option<String>,
    headed: bool,
}

impl JobDispatcher {
    /// Runs `job` and sends its answer; the last event is `Done` or `Problem`.
    pub(super) async fn run(&self, job: &CompletionJob, output: &mpsc::Sender<OutputEvent>) {
        let mut run = JobRun::new(job, output);
        let ended = timeout_at(job.deadline, self.attempts(&mut run)).await;
        let failed = match ended {
            Ok(Ok(())) => return,
            Ok(Err(refusal)) => run.problem(&refusal),
            Err(_) => {
                // The running attempt is dropped, so that its outcome is not known.
                let verdict = worse(run.not_run, RunStatus::Unknown);
                problem(ProblemKind::DeadlinePassed, job.request_id, verdict, "the deadline passed")
            }
        };
        let _ = output.send(OutputEvent::Problem(failed)).await;
    }

    async fn attempts(&self, run: &mut JobRun<'_>) -> Result<(), EntryRefusal> {
        let mut ticket = self.board.arrive(run.job.profile()).await?;
        loop {
            let placed = tokio::select! {
                placed = ticket.place() => placed?,
                () = run.output.closed() => return Ok(()),
            };
            match self.attempt(run, &ticket, &placed).await {
                AttemptEnd::Complete => {
                    ticket.attempt_ended(AttemptOutcome::Complete).await?;
                    ticket.completed(run.progress.tokens.len() as u64);
                    return Ok(());
                }
                AttemptEnd::CallerGone => {
                    return ticket.attempt_ended(AttemptOutcome::Dropped).await;
                }
                AttemptEnd::Failed { not_run, cause, detail } => {
                    run.failed(&placed, not_run, cause, detail);
                    // A completion may be repeated: a second run changes nothing.
                    let repeatable = true;
                    let outcome = AttemptOutcome::Failed { cause, not_run, repeatable };
                    ticket.attempt_ended(outcome).await?;
                }
            }
        }
    }

    async fn attempt(
        &self,
        run: &mut JobRun<'_>,
        ticket: &RequestTicket,
        placed: &PlacedAttempt,
    ) -> AttemptEnd {
        let attempt_id = AttemptId::random();
        let request = run.request(attempt_id, placed);
        let address = &placed.choice.address;
        let mut guard = CancelGuard::new(&self.sides, address, attempt_id);
        let started = timeout(self.options.acknowledge, self.sides.start(address, &request)).await;
        let end = match started {
            Ok(Ok(events)) => self.follow(run, ticket, placed, attempt_id, events).await,
            Ok(Err(error)) => transport_end(&error),
            Err(_) => {
                self.await_reachable(&placed.choice.instance, address);
                broken_end("the sidecar did not take the attempt in time")
            }
        };
        guard.armed = !matches!(end, AttemptEnd::Complete);
        end
    }

    /// Sends no work to a sidecar until it answers requests again.
    fn await_reachable(&self, instance: &InstanceName, address: &str) {
        self.board.reachable(instance, false);
        let (board, sides) = (self.board.clone(), Arc::clone(&self.sides));
        let (instance, address) = (instance.clone(), address.to_owned());
        tokio::spawn(async move {
            for _ in 0..REACHABLE_LOOKS {
                tokio::time::sleep(REACHABLE_PAUSE).await;
                if sides.is_reachable(&address).await {
                    break;
                }
            }
            board.reachable(&instance, true);
        });
    }

    async fn follow(
        &self,
        run: &mut JobRun<'_>,
        ticket: &RequestTicket,
        placed: &PlacedAttempt,
        attempt_id: AttemptId,
        mut events: EventStream,
    ) -> AttemptEnd {
        let mut check = EventCheck::new(attempt_id);
        let mut limit = self.options.first_event;
        let mut delivered = false;
        loop {
            let event = tokio::select! {
                event = timeout(limit, events.next()) => event,
                () = run.output.closed() => return AttemptEnd::CallerGone,
            };
            let event = match event {
                Ok(Some(Ok(event))) => event,
                Ok(Some(Err(error))) => return transport_end(&error),
                Ok(None) => return broken_end("the answer ended before its last event"),
                Err(_) => return broken_end("no event in time"),
            };
            if let AttemptEventKind::Load(load) = event.kind {
                self.board.load(&placed.choice.instance, load);
                continue;
            }
            match check.accept(event, &mut run.progress) {
                EventVerdict::Drop => {}
                EventVerdict::Deliver(text) => {
                    limit = self.options.event_gap;
                    if !std::mem::replace(&mut delivered, true) {
                        run.progress.version.inspect(|version| ticket.first_token(*version));
                    }
                    if !run.deliver(text).await {
                        return AttemptEnd::CallerGone;
                    }
                }
                EventVerdict::Complete => {
                    run.complete().await;
                    return AttemptEnd::Complete;
                }
                EventVerdict::Failed(failure) => {
                    let (not_run, cause) = (failure.not_run, failure.cause);
                    return AttemptEnd::Failed { not_run, cause, detail: failure.detail };
                }
                EventVerdict::Abandon(reason) => return broken_end(reason),
            }
        }
    }
}

/// Cancels an attempt that did not complete, also when its future is dropped at the deadline.
struct CancelGuard {
    sides: Arc<dyn SideClient>,
    address: String,
    attempt_id: AttemptId,
    armed: bool,
}

impl CancelGuard {
    fn new(sides: &Arc<dyn SideClient>, address: &str, attempt_id: AttemptId) -> Self {
        let (sides, address) = (Arc::clone(sides), address.to_owned());
        Self { sides, address, attempt_id, armed: true }
    }
}

impl Drop for CancelGuard {
    /// Cancels in the background: the next attempt doesn't wait for a sidecar that may be gone.
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let (sides, attempt_id) = (Arc::clone(&self.sides), self.attempt_id);
        let address = std::mem::take(&mut self.address);
        tokio::spawn(async move { sides.cancel(&address, attempt_id).await });
    }
}

impl CompletionJob {
    fn profile(&self) -> RequestProfile {
        RequestProfile {
            request_id: self.request_id,
            team: self.team.name.clone(),
            service: self.service.clone(),
            adapter: self.adapter.clone(),
            prompt_tokens: prompt_tokens(&self.prompt),
            prefixes: request_prefixes(&self.prompt),
            max_tokens: self.max_tokens,
            fingerprint: self.fingerprint,
            time_left: self.deadline.saturating_duration_since(Instant::now()),
        }
    }
}

impl<'a> JobRun<'a> {
    fn new(job: &'a CompletionJob, output: &'a mpsc::Sender<OutputEvent>) -> Self {
        Self {
            job,
            output,
            progress: AnswerProgress::default(),
            not_run: RunStatus::NotRun,
            last_failure: None,
            headed: false,
        }
    }

    fn request(&self, attempt_id: AttemptId, placed: &PlacedAttempt) -> AttemptRequest {
        let job = self.job;
        let left = job.deadline.saturating_duration_since(Instant::now());
        AttemptRequest {
            attempt_id,
            request_id: job.request_id,
            team: job.team.name.clone(),
            service: placed.service.clone(),
            priority: priority_of(placed.class),
            deadline_ms: left.as_millis() as u64,
            fingerprint: job.fingerprint,
            suspect: placed.suspect,
            work: AttemptWork::Completion(CompletionWork {
                prompt: job.prompt.clone(),
                max_tokens: job.max_tokens,
                adapter: job.adapter.clone(),
                version: self.progress.version,
                resume_after: self.progress.tokens.clone(),
            }),
        }
    }

    fn failed(
        &mut self,
        placed: &PlacedAttempt,
        not_run: RunStatus,
        cause: FailureCause,
        detail: String,
    ) {
        self.not_run = worse(self.not_run, not_run);
        EventLine::new("attempt_failed")
            .field("request_id", self.job.request_id)
            .field("instance", &placed.choice.instance)
            .field("cause", format!("{cause:?}"))
            .field("tokens", self.progress.tokens.len())
            .field("detail", &detail)
            .info();
        self.last_failure = Some(detail);
    }

    async fn deliver(&mut self, text: String) -> bool {
        self.head().await && self.output.send(OutputEvent::Token(text)).await.is_ok()
    }

    async fn complete(&mut self) {
        if self.head().await {
            let _ = self.output.send(OutputEvent::Done).await;
        }
    }

    async fn head(&mut self) -> bool {
        let Some(version) = self.progress.version else {
            return false;
        };
        if self.headed {
            return true;
        }
        self.headed = true;
        self.output.send(OutputEvent::Head(version)).await.is_ok()
    }

    fn problem(&self, refusal: &EntryRefusal) -> ProblemDetails {
        let not_run = if self.headed { RunStatus::Ran } else { self.not_run };
        refusal_problem(refusal, self.job.request_id, not_run, self.last_failure.as_deref())
    }
}

fn transport_end(error: &TransportError) -> AttemptEnd {
    let (not_run, cause) = match error {
        TransportError::Unreachable { .. } => {
            (RunStatus::NotRun, FailureCause::EndpointUnreachable)
        }
        TransportError::Broken { .. } => (RunStatus::Unknown, FailureCause::EndpointFailed),
    };
    AttemptEnd::Failed { not_run, cause, detail: error.to_string() }
}

fn broken_end(reason: &str) -> AttemptEnd {
    let (not_run, cause) = (RunStatus::Unknown, FailureCause::EndpointFailed);
    AttemptEnd::Failed { not_run, cause, detail: reason.to_owned() }
}
