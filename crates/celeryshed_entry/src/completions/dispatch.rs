//! Runs completions: retries and resumes attempts at different endpoints until the answer is
//! complete.

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

use super::decision_task::{DecisionHandle, RequestGuard};
use super::decisions::{AttemptOutcome, EntryRefusal, PlacedAttempt, RequestProfile};
use super::openai::{estimate_prompt_tokens, request_prefixes};
use super::options::CompletionOptions;
use super::problems::{ProblemKind, problem};
use super::progress::{AnswerProgress, EventCheck, EventVerdict};
use super::refusals::{combined_status, priority_of, refusal_problem};
use super::teams::RequestTeam;
use super::transport::{EventStream, SideClient, TransportError};

/// Interval between checks whether a sidecar answers requests again.
const REACHABILITY_CHECK_PERIOD: Duration = Duration::from_secs(1);

/// Number of failed checks after which a sidecar gets requests again anyway; ten minutes or more.
const MAX_REACHABILITY_CHECKS: u32 = 600;

/// A checked completion request.
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

/// An event of the answer to the caller.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum OutputEvent {
    /// The model version; sent before the first token, or before `Done` if there is none.
    Head(ContentDigest),
    /// Text of the next token.
    Token(String),
    /// The answer is complete.
    Done,
    /// The answer failed; nothing follows.
    Problem(ProblemDetails),
}

/// Runs jobs at endpoints that the decision task chooses.
pub(super) struct JobDispatcher {
    pub(super) options: CompletionOptions,
    pub(super) decisions: DecisionHandle,
    pub(super) sides: Arc<dyn SideClient>,
}

/// The end of one attempt.
enum AttemptEnd {
    Complete,
    CallerDisconnected,
    Failed { not_run: RunStatus, cause: FailureCause, detail: String },
}

struct JobRun<'a> {
    job: &'a CompletionJob,
    output: &'a mpsc::Sender<OutputEvent>,
    progress: AnswerProgress,
    not_run: RunStatus,
    last_failure: Option<String>,
    head_sent: bool,
}

impl JobDispatcher {
    /// Runs `job` and sends its answer. The last event is `Done` or `Problem`, unless the caller
    /// disconnects.
    pub(super) async fn run(&self, job: &CompletionJob, output: &mpsc::Sender<OutputEvent>) {
        let mut run = JobRun::new(job, output);
        let ended = timeout_at(job.deadline, self.run_attempts(&mut run)).await;
        let failed = match ended {
            Ok(Ok(())) => return,
            Ok(Err(refusal)) => run.problem(&refusal),
            Err(_) => {
                // The timeout dropped the running attempt, whose outcome is therefore unknown.
                let verdict = combined_status(run.not_run, RunStatus::Unknown);
                problem(ProblemKind::DeadlinePassed, job.request_id, verdict, "the deadline passed")
            }
        };
        let _ = output.send(OutputEvent::Problem(failed)).await;
    }

    async fn run_attempts(&self, run: &mut JobRun<'_>) -> Result<(), EntryRefusal> {
        let mut request_guard = self.decisions.admit(run.job.profile()).await?;
        loop {
            let placed = tokio::select! {
                placed = request_guard.place() => placed?,
                () = run.output.closed() => return Ok(()),
            };
            match self.run_attempt(run, &request_guard, &placed).await {
                AttemptEnd::Complete => {
                    request_guard.end_attempt(AttemptOutcome::Complete).await?;
                    request_guard.mark_complete(run.progress.tokens.len() as u64);
                    return Ok(());
                }
                AttemptEnd::CallerDisconnected => {
                    return request_guard.end_attempt(AttemptOutcome::Dropped).await;
                }
                AttemptEnd::Failed { not_run, cause, detail } => {
                    run.record_failure(&placed, not_run, cause, detail);
                    // A completion has no side effects and may be repeated.
                    let repeatable = true;
                    let outcome = AttemptOutcome::Failed { cause, run_status: not_run, repeatable };
                    request_guard.end_attempt(outcome).await?;
                }
            }
        }
    }

    async fn run_attempt(
        &self,
        run: &mut JobRun<'_>,
        request_guard: &RequestGuard,
        placed: &PlacedAttempt,
    ) -> AttemptEnd {
        let attempt_id = AttemptId::random();
        let request = run.request(attempt_id, placed);
        let address = &placed.choice.address;
        let mut cancel_guard = CancelGuard::new(&self.sides, address, attempt_id);
        let started =
            timeout(self.options.acknowledge_timeout, self.sides.start(address, &request)).await;
        let end = match started {
            Ok(Ok(events)) => {
                self.follow_events(run, request_guard, placed, attempt_id, events).await
            }
            Ok(Err(error)) => transport_failed(&error),
            Err(_) => {
                self.pause_until_reachable(&placed.choice.instance, address);
                endpoint_failed("the sidecar did not take the attempt in time")
            }
        };
        cancel_guard.armed = !matches!(end, AttemptEnd::Complete);
        end
    }

    /// Marks a sidecar as unreachable and checks in the background until requests reach it again.
    fn pause_until_reachable(&self, instance: &InstanceName, address: &str) {
        self.decisions.set_reachable(instance, false);
        let (decisions, sides) = (self.decisions.clone(), Arc::clone(&self.sides));
        let (instance, address) = (instance.clone(), address.to_owned());
        tokio::spawn(async move {
            for _ in 0..MAX_REACHABILITY_CHECKS {
                tokio::time::sleep(REACHABILITY_CHECK_PERIOD).await;
                if sides.is_reachable(&address).await {
                    break;
                }
            }
            decisions.set_reachable(&instance, true);
        });
    }

    async fn follow_events(
        &self,
        run: &mut JobRun<'_>,
        request_guard: &RequestGuard,
        placed: &PlacedAttempt,
        attempt_id: AttemptId,
        mut events: EventStream,
    ) -> AttemptEnd {
        let mut check = EventCheck::new(attempt_id);
        let mut event_timeout = self.options.first_event_timeout;
        let mut first_token_seen = false;
        loop {
            let event = tokio::select! {
                event = timeout(event_timeout, events.next()) => event,
                () = run.output.closed() => return AttemptEnd::CallerDisconnected,
            };
            let event = match event {
                Ok(Some(Ok(event))) => event,
                Ok(Some(Err(error))) => return transport_failed(&error),
                Ok(None) => return endpoint_failed("the answer ended before its last event"),
                Err(_) => return endpoint_failed("no event in time"),
            };
            if let AttemptEventKind::Load(load) = event.kind {
                self.decisions.observe_load(&placed.choice.instance, load);
                continue;
            }
            match check.accept(event, &mut run.progress) {
                EventVerdict::Ignore => {}
                EventVerdict::Deliver(text) => {
                    event_timeout = self.options.event_gap_timeout;
                    if !std::mem::replace(&mut first_token_seen, true) {
                        run.progress
                            .version
                            .inspect(|version| request_guard.record_first_token(*version));
                    }
                    if !run.send_token(text).await {
                        return AttemptEnd::CallerDisconnected;
                    }
                }
                EventVerdict::Complete => {
                    run.send_done().await;
                    return AttemptEnd::Complete;
                }
                EventVerdict::Failed(failure) => {
                    let (not_run, cause) = (failure.not_run, failure.cause);
                    return AttemptEnd::Failed { not_run, cause, detail: failure.detail };
                }
                EventVerdict::Abandon(reason) => return endpoint_failed(reason),
            }
        }
    }
}

/// Cancels an incomplete attempt on drop, which also covers a future dropped at the deadline.
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
    /// Cancels in the background, so that the next attempt doesn't wait for a sidecar that may be
    /// down.
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
            prompt_tokens: estimate_prompt_tokens(&self.prompt),
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
            head_sent: false,
        }
    }

    fn request(&self, attempt_id: AttemptId, placed: &PlacedAttempt) -> AttemptRequest {
        let job = self.job;
        let time_left = job.deadline.saturating_duration_since(Instant::now());
        AttemptRequest {
            attempt_id,
            request_id: job.request_id,
            team: job.team.name.clone(),
            service: placed.service.clone(),
            priority: priority_of(placed.class),
            deadline_ms: time_left.as_millis() as u64,
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

    fn record_failure(
        &mut self,
        placed: &PlacedAttempt,
        not_run: RunStatus,
        cause: FailureCause,
        detail: String,
    ) {
        self.not_run = combined_status(self.not_run, not_run);
        EventLine::new("attempt_failed")
            .field("request_id", self.job.request_id)
            .field("instance", &placed.choice.instance)
            .field("cause", format!("{cause:?}"))
            .field("tokens", self.progress.tokens.len())
            .field("detail", &detail)
            .info();
        self.last_failure = Some(detail);
    }

    async fn send_token(&mut self, text: String) -> bool {
        self.send_head().await && self.output.send(OutputEvent::Token(text)).await.is_ok()
    }

    async fn send_done(&mut self) {
        if self.send_head().await {
            let _ = self.output.send(OutputEvent::Done).await;
        }
    }

    async fn send_head(&mut self) -> bool {
        let Some(version) = self.progress.version else {
            return false;
        };
        if self.head_sent {
            return true;
        }
        self.head_sent = true;
        self.output.send(OutputEvent::Head(version)).await.is_ok()
    }

    fn problem(&self, refusal: &EntryRefusal) -> ProblemDetails {
        let not_run = if self.head_sent { RunStatus::Ran } else { self.not_run };
        refusal_problem(refusal, self.job.request_id, not_run, self.last_failure.as_deref())
    }
}

fn transport_failed(error: &TransportError) -> AttemptEnd {
    let (not_run, cause) = match error {
        TransportError::Unreachable { .. } => {
            (RunStatus::NotRun, FailureCause::EndpointUnreachable)
        }
        TransportError::Broken { .. } => (RunStatus::Unknown, FailureCause::EndpointFailed),
    };
    AttemptEnd::Failed { not_run, cause, detail: error.to_string() }
}

fn endpoint_failed(reason: &str) -> AttemptEnd {
    let (not_run, cause) = (RunStatus::Unknown, FailureCause::EndpointFailed);
    AttemptEnd::Failed { not_run, cause, detail: reason.to_owned() }
}
