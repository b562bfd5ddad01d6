//! Runs calls to plain services that carry no idempotency key.

use celeryshed_base::{AttemptId, ContentDigest, RequestId, ServiceName};
use celeryshed_wire::{
    AttemptEvent, AttemptEventKind, AttemptFailure, AttemptRequest, AttemptWork, CallWork,
    FailureCause, ProblemDetails, RunStatus, ServiceAnswer,
};
use futures::StreamExt;
use tokio::time::{Instant, timeout_at};

use super::decisions::{
    AttemptOutcome, EntryRefusal, PlacedAttempt, RefusalReason, RequestProfile,
};
use super::dispatch::JobDispatcher;
use super::refusals::{combined_status, priority_of, refusal_problem};
use super::teams::RequestTeam;
use super::transport::{EventStream, TransportError};

/// A checked call without an idempotency key.
#[derive(Clone, Debug)]
pub(super) struct CallJob {
    pub(super) request_id: RequestId,
    pub(super) team: RequestTeam,
    pub(super) service: ServiceName,
    pub(super) call: CallWork,
    pub(super) deadline: Instant,
}

/// Why an attempt of a call failed, and whether the call ran.
struct CallFailure {
    not_run: RunStatus,
    cause: FailureCause,
    detail: String,
}

impl CallJob {
    /// Whether the call may be repeated. After an unknown run status only GET is repeated, since
    /// other methods may change state twice.
    fn may_repeat(&self, run_status: RunStatus) -> bool {
        match run_status {
            RunStatus::NotRun => true,
            RunStatus::Unknown => self.call.method == "GET",
            RunStatus::Ran => false,
        }
    }

    fn fingerprint(&self) -> ContentDigest {
        let call = &self.call;
        let texts = [self.service.as_str(), &call.method, &call.path];
        let [service, method, path] = texts.map(str::as_bytes);
        ContentDigest::of_parts(&[service, method, path, &call.body])
    }

    fn profile(&self) -> RequestProfile {
        RequestProfile {
            request_id: self.request_id,
            team: self.team.name.clone(),
            service: self.service.clone(),
            adapter: None,
            prompt_tokens: 0,
            prefixes: Vec::new(),
            max_tokens: 0,
            fingerprint: self.fingerprint(),
            time_left: self.deadline.saturating_duration_since(Instant::now()),
        }
    }

    fn request(&self, attempt_id: AttemptId, placed: &PlacedAttempt) -> AttemptRequest {
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        AttemptRequest {
            attempt_id,
            request_id: self.request_id,
            team: self.team.name.clone(),
            service: placed.service.clone(),
            priority: priority_of(placed.class),
            deadline_ms: time_left.as_millis() as u64,
            fingerprint: self.fingerprint(),
            suspect: placed.suspect,
            work: AttemptWork::Call(self.call.clone()),
        }
    }
}

impl JobDispatcher {
    /// Runs a call, repeating it where this is safe, and returns the complete answer.
    pub(super) async fn call(&self, job: &CallJob) -> Result<ServiceAnswer, ProblemDetails> {
        let mut not_run = RunStatus::NotRun;
        let mut last_failure = None;
        let answered = self.run_call_attempts(job, &mut not_run, &mut last_failure).await;
        answered.map_err(|refusal| {
            refusal_problem(&refusal, job.request_id, not_run, last_failure.as_deref())
        })
    }

    async fn run_call_attempts(
        &self,
        job: &CallJob,
        not_run: &mut RunStatus,
        last_failure: &mut Option<String>,
    ) -> Result<ServiceAnswer, EntryRefusal> {
        let mut request_guard = self.decisions.admit(job.profile()).await?;
        loop {
            let placed = timeout_at(job.deadline, request_guard.place()).await;
            let deadline_passed = EntryRefusal::new(RefusalReason::DeadlinePassed);
            let placed = placed.unwrap_or(Err(deadline_passed))?;
            match self.run_call_attempt(job, &placed).await {
                Ok(answer) => {
                    request_guard.end_attempt(AttemptOutcome::Complete).await?;
                    request_guard.mark_complete(0);
                    return Ok(answer);
                }
                Err(failed) => {
                    *not_run = combined_status(*not_run, failed.not_run);
                    *last_failure = Some(failed.detail);
                    let (cause, run_status) = (failed.cause, failed.not_run);
                    let repeatable = job.may_repeat(run_status);
                    let outcome = AttemptOutcome::Failed { cause, run_status, repeatable };
                    request_guard.end_attempt(outcome).await?;
                }
            }
        }
    }

    async fn run_call_attempt(
        &self,
        job: &CallJob,
        placed: &PlacedAttempt,
    ) -> Result<ServiceAnswer, CallFailure> {
        let attempt_id = AttemptId::random();
        let request = job.request(attempt_id, placed);
        let answered = timeout_at(job.deadline, async {
            let events = self.sides.start(&placed.choice.address, &request).await?;
            whole_answer(attempt_id, events).await
        });
        match answered.await {
            Ok(answer) => answer,
            Err(_) => {
                let cause = FailureCause::DeadlinePassed;
                Err(CallFailure { cause, ..unknown_outcome("the deadline passed") })
            }
        }
    }
}

/// Reads the events of one call. An answer that is not followed by `Finished` may be truncated and
/// counts as a failure.
async fn whole_answer(
    attempt_id: AttemptId,
    mut events: EventStream,
) -> Result<ServiceAnswer, CallFailure> {
    let mut answer = None;
    while let Some(event) = events.next().await {
        let AttemptEvent { attempt_id: sender, kind } = event?;
        if sender != attempt_id {
            continue;
        }
        match kind {
            AttemptEventKind::Load(_) | AttemptEventKind::Started { .. } => {}
            AttemptEventKind::Answer(received) => answer = answer.or(Some(received)),
            AttemptEventKind::Finished { .. } => {
                return answer
                    .ok_or_else(|| unknown_outcome("the attempt finished without an answer"));
            }
            AttemptEventKind::Token { .. } => {
                return Err(unknown_outcome("a plain service sent a token"));
            }
            AttemptEventKind::Failed(failure) => {
                let AttemptFailure { not_run, cause, detail, .. } = failure;
                return Err(CallFailure { not_run, cause, detail });
            }
        }
    }
    Err(unknown_outcome("the answer ended before its last event"))
}

fn unknown_outcome(detail: &str) -> CallFailure {
    let (not_run, cause) = (RunStatus::Unknown, FailureCause::EndpointFailed);
    CallFailure { not_run, cause, detail: detail.to_owned() }
}

impl From<TransportError> for CallFailure {
    fn from(error: TransportError) -> Self {
        let (not_run, cause) = match error {
            TransportError::Unreachable { .. } => {
                (RunStatus::NotRun, FailureCause::EndpointUnreachable)
            }
            TransportError::Broken { .. } => (RunStatus::Unknown, FailureCause::EndpointFailed),
        };
        Self { not_run, cause, detail: error.to_string() }
    }
}
