//! Runs completions: one attempt after another until the answer is complete.

use std::collections::BTreeSet;
use std::sync::Arc;

use celeryshed_base::{
    AdapterName, AttemptId, ContentDigest, InstanceName, RequestId, ServiceName,
};
use celeryshed_wire::{
    AttemptRequest, AttemptWork, CompletionWork, FailureCause, NotRunVerdict, PriorityClass,
    ProblemDetails,
};
use futures::StreamExt;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout, timeout_at};

use super::board::{BoardHandle, EndpointLease};
use super::customers::RequestCustomer;
use super::options::CompletionOptions;
use super::problems::{ProblemKind, problem, with_retry_after};
use super::progress::{AnswerProgress, EventCheck, EventVerdict};
use super::transport::{EventStream, SideClient, TransportError};

/// Pause suggested to callers when all endpoints are busy.
const OVERLOAD_PAUSE: std::time::Duration = std::time::Duration::from_secs(1);

/// A completion to run.
#[derive(Clone, Debug)]
pub(super) struct CompletionJob {
    pub(super) request_id: RequestId,
    pub(super) customer: RequestCustomer,
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
    Failed { not_run: NotRunVerdict, cause: FailureCause, detail: String },
}

struct JobRun<'a> {
    job: &'a CompletionJob,
    output: &'a mpsc::Sender<OutputEvent>,
    progress: AnswerProgress,
    excluded: BTreeSet<InstanceName>,
    not_run: NotRunVerdict,
    headed: bool,
}

impl JobDispatcher {
    /// Runs `job` and sends its answer; the last event is `Done` or `Problem`.
    pub(super) async fn run(&self, job: &CompletionJob, output: &mpsc::Sender<OutputEvent>) {
        let mut run = JobRun::new(job, output);
        let ended = timeout_at(job.deadline, self.attempts(&mut run)).await;
        let failed = match ended {
            Ok(Ok(())) => return,
            Ok(Err(problem)) => problem,
            Err(_) => {
                // The running attempt is dropped, so that its outcome is not known.
                let verdict = worse(run.not_run, NotRunVerdict::Unknown);
                problem(ProblemKind::DeadlinePassed, job.request_id, verdict, "the deadline passed")
            }
        };
        let _ = output.send(OutputEvent::Problem(failed)).await;
    }

    async fn attempts(&self, run: &mut JobRun<'_>) -> Result<(), ProblemDetails> {
        let mut last = "no endpoint is live".to_owned();
        for _ in 0..self.options.max_attempts {
            let Some(lease) = self.board.pick(&run.job.service, &run.excluded).await else {
                break;
            };
            match self.attempt(run, &lease).await {
                AttemptEnd::Complete | AttemptEnd::CallerGone => return Ok(()),
                AttemptEnd::Failed { not_run, cause, detail } => {
                    run.not_run = worse(run.not_run, not_run);
                    run.excluded.insert(lease.choice.instance.clone());
                    log::info!(
                        event = "attempt_failed",
                        request_id:% = run.job.request_id,
                        instance:% = lease.choice.instance,
                        cause:? = cause,
                        detail:% = detail;
                        ""
                    );
                    last = detail;
                }
            }
        }
        Err(run.exhausted(&last))
    }

    async fn attempt(&self, run: &mut JobRun<'_>, lease: &EndpointLease) -> AttemptEnd {
        let attempt_id = AttemptId::random();
        let request = run.request(attempt_id);
        let address = &lease.choice.address;
        let mut guard = CancelGuard::new(&self.sides, address, attempt_id);
        let started = timeout(self.options.first_event, self.sides.start(address, &request)).await;
        let end = match started {
            Ok(Ok(events)) => self.follow(run, attempt_id, events).await,
            Ok(Err(error)) => transport_end(&error),
            Err(_) => broken_end("no answer in time"),
        };
        guard.armed = !matches!(end, AttemptEnd::Complete);
        end
    }

    async fn follow(
        &self,
        run: &mut JobRun<'_>,
        attempt_id: AttemptId,
        mut events: EventStream,
    ) -> AttemptEnd {
        let mut check = EventCheck::new(attempt_id);
        let mut limit = self.options.first_event;
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
            match check.accept(event, &mut run.progress) {
                EventVerdict::Drop => {}
                EventVerdict::Deliver(text) => {
                    limit = self.options.event_gap;
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

impl<'a> JobRun<'a> {
    fn new(job: &'a CompletionJob, output: &'a mpsc::Sender<OutputEvent>) -> Self {
        Self {
            job,
            output,
            progress: AnswerProgress::default(),
            excluded: BTreeSet::new(),
            not_run: NotRunVerdict::NotRun,
            headed: false,
        }
    }

    fn request(&self, attempt_id: AttemptId) -> AttemptRequest {
        let job = self.job;
        let priority = match job.customer.contract {
            Some(_) => PriorityClass::Contracted,
            None => PriorityClass::BestEffort,
        };
        let left = job.deadline.saturating_duration_since(Instant::now());
        AttemptRequest {
            attempt_id,
            request_id: job.request_id,
            customer: job.customer.name.clone(),
            service: job.service.clone(),
            priority,
            deadline_ms: left.as_millis() as u64,
            fingerprint: job.fingerprint,
            suspect: false,
            work: AttemptWork::Completion(CompletionWork {
                prompt: job.prompt.clone(),
                max_tokens: job.max_tokens,
                adapter: job.adapter.clone(),
                version: self.progress.version,
                resume_after: self.progress.tokens.clone(),
            }),
        }
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

    fn exhausted(&self, detail: &str) -> ProblemDetails {
        let request_id = self.job.request_id;
        if self.headed {
            let detail = format!("no endpoint resumed the answer; last: {detail}");
            return problem(ProblemKind::VersionGone, request_id, NotRunVerdict::Ran, &detail);
        }
        let kind = match self.not_run {
            NotRunVerdict::NotRun => ProblemKind::Overloaded,
            NotRunVerdict::Ran | NotRunVerdict::Unknown => ProblemKind::EndpointFailed,
        };
        with_retry_after(problem(kind, request_id, self.not_run, detail), OVERLOAD_PAUSE)
    }
}

/// The verdict over several attempts: it ran if one ran, and is unknown if one is unknown.
pub(super) fn worse(first: NotRunVerdict, second: NotRunVerdict) -> NotRunVerdict {
    match (first, second) {
        (NotRunVerdict::Ran, _) | (_, NotRunVerdict::Ran) => NotRunVerdict::Ran,
        (NotRunVerdict::Unknown, _) | (_, NotRunVerdict::Unknown) => NotRunVerdict::Unknown,
        (NotRunVerdict::NotRun, NotRunVerdict::NotRun) => NotRunVerdict::NotRun,
    }
}

fn transport_end(error: &TransportError) -> AttemptEnd {
    let (not_run, cause) = match error {
        TransportError::Unreachable { .. } => {
            (NotRunVerdict::NotRun, FailureCause::EndpointUnreachable)
        }
        TransportError::Broken { .. } => (NotRunVerdict::Unknown, FailureCause::EndpointFailed),
    };
    AttemptEnd::Failed { not_run, cause, detail: error.to_string() }
}

fn broken_end(reason: &str) -> AttemptEnd {
    let (not_run, cause) = (NotRunVerdict::Unknown, FailureCause::EndpointFailed);
    AttemptEnd::Failed { not_run, cause, detail: reason.to_owned() }
}
