//! Runs calls of plain services that have no idempotency key.

use std::collections::BTreeSet;
use std::time::Duration;

use celeryshed_base::{AttemptId, ContentDigest, RequestId, ServiceName};
use celeryshed_wire::{
    AttemptEvent, AttemptEventKind, AttemptRequest, AttemptWork, CallWork, NotRunVerdict,
    PriorityClass, ProblemDetails, ServiceAnswer,
};
use futures::StreamExt;
use tokio::time::{Instant, timeout_at};

use super::customers::RequestCustomer;
use super::dispatch::{JobDispatcher, worse};
use super::problems::{ProblemKind, problem, with_retry_after};
use super::transport::{EventStream, TransportError};

/// Pause suggested to callers when no endpoint took the call.
const BUSY_PAUSE: Duration = Duration::from_secs(1);

/// A call to run.
#[derive(Clone, Debug)]
pub(super) struct CallJob {
    pub(super) request_id: RequestId,
    pub(super) customer: RequestCustomer,
    pub(super) service: ServiceName,
    pub(super) call: CallWork,
    pub(super) deadline: Instant,
}

/// A failed attempt of a call.
struct CallFailure {
    not_run: NotRunVerdict,
    detail: String,
}

impl CallJob {
    /// A call without a key is repeated after an unknown outcome only when its method is safe.
    fn may_repeat(&self, not_run: NotRunVerdict) -> bool {
        match not_run {
            NotRunVerdict::NotRun => true,
            NotRunVerdict::Unknown => self.call.method == "GET",
            NotRunVerdict::Ran => false,
        }
    }

    fn request(&self, attempt_id: AttemptId) -> AttemptRequest {
        let priority = match self.customer.contract {
            Some(_) => PriorityClass::Contracted,
            None => PriorityClass::BestEffort,
        };
        let left = self.deadline.saturating_duration_since(Instant::now());
        let content =
            [self.service.as_str().as_bytes(), self.call.path.as_bytes(), &self.call.body];
        AttemptRequest {
            attempt_id,
            request_id: self.request_id,
            customer: self.customer.name.clone(),
            service: self.service.clone(),
            priority,
            deadline_ms: left.as_millis() as u64,
            fingerprint: ContentDigest::of_parts(&content),
            suspect: false,
            work: AttemptWork::Call(self.call.clone()),
        }
    }
}

impl JobDispatcher {
    /// Runs a call and returns its whole answer.
    pub(super) async fn call(&self, job: &CallJob) -> Result<ServiceAnswer, ProblemDetails> {
        let mut excluded = BTreeSet::new();
        let mut not_run = NotRunVerdict::NotRun;
        let mut detail = "no endpoint is live".to_owned();
        for _ in 0..self.options.max_attempts {
            let Some(lease) = self.board.pick(&job.service, &excluded).await else {
                break;
            };
            let failed = match self.call_once(job, &lease.choice.address).await {
                Ok(answer) => return Ok(answer),
                Err(failed) => failed,
            };
            not_run = worse(not_run, failed.not_run);
            detail = failed.detail;
            if !job.may_repeat(failed.not_run) {
                break;
            }
            excluded.insert(lease.choice.instance.clone());
        }
        let kind = match not_run {
            NotRunVerdict::NotRun => ProblemKind::Overloaded,
            NotRunVerdict::Ran | NotRunVerdict::Unknown => ProblemKind::EndpointFailed,
        };
        Err(with_retry_after(problem(kind, job.request_id, not_run, &detail), BUSY_PAUSE))
    }

    async fn call_once(&self, job: &CallJob, address: &str) -> Result<ServiceAnswer, CallFailure> {
        let attempt_id = AttemptId::random();
        let request = job.request(attempt_id);
        let answered = timeout_at(job.deadline, async {
            let events = self.sides.start(address, &request).await?;
            whole_answer(attempt_id, events).await
        });
        match answered.await {
            Ok(answer) => answer,
            Err(_) => Err(unknown("the deadline passed")),
        }
    }
}

/// Reads the events of one call; an answer counts only when `Finished` follows it.
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
                return answer.ok_or_else(|| unknown("the attempt finished without an answer"));
            }
            AttemptEventKind::Token { .. } => return Err(unknown("a plain service sent a token")),
            AttemptEventKind::Failed(failure) => {
                return Err(CallFailure { not_run: failure.not_run, detail: failure.detail });
            }
        }
    }
    Err(unknown("the answer ended before its last event"))
}

fn unknown(detail: &str) -> CallFailure {
    CallFailure { not_run: NotRunVerdict::Unknown, detail: detail.to_owned() }
}

impl From<TransportError> for CallFailure {
    fn from(error: TransportError) -> Self {
        let not_run = match error {
            TransportError::Unreachable { .. } => NotRunVerdict::NotRun,
            TransportError::Broken { .. } => NotRunVerdict::Unknown,
        };
        Self { not_run, detail: error.to_string() }
    }
}
