//! Outcomes of attempts and reasons for refusals.

use std::time::Duration;

use celeryshed_wire::{FailureCause, RunStatus};

/// Outcome of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The answer is complete.
    Complete,
    /// The entry stopped the attempt, because the caller disconnected or the deadline passed.
    Dropped,
    /// The attempt failed before the answer was complete.
    Failed {
        /// Cause, as reported by the sidecar or found by the entry.
        cause: FailureCause,
        /// Whether the attempt ran.
        run_status: RunStatus,
        /// Whether the request may be repeated although the attempt ran or may have run.
        repeatable: bool,
    },
}

/// Why a request is refused or not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// No endpoint has a free slot, and the request can't wait for one.
    Overloaded,
    /// No endpoint of the service can run the request.
    NoEndpoint,
    /// No endpoint has the model version of the tokens sent so far.
    VersionGone,
    /// The request crashed endpoints.
    Quarantined,
    /// An attempt failed, and the team's retry budget is used up.
    RetryBudget,
    /// An attempt failed, and the request may not be repeated.
    NotRepeatable,
    /// Too many attempts failed.
    TooManyFailures,
    /// The deadline passed, or the request has already ended.
    DeadlinePassed,
}

/// A refusal of a request.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.text())]
pub struct EntryRefusal {
    /// Reason, which determines the status of the reply.
    pub reason: RefusalReason,
    /// Time after which the caller may retry; `None` omits `Retry-After` from the reply.
    pub retry_after: Option<Duration>,
}

impl EntryRefusal {
    /// A refusal without a retry time.
    pub fn new(reason: RefusalReason) -> Self {
        Self { reason, retry_after: None }
    }

    /// A refusal with the time after which the caller may retry.
    pub fn with_retry_after(reason: RefusalReason, pause: Duration) -> Self {
        Self { reason, retry_after: Some(pause) }
    }

    fn text(&self) -> &'static str {
        match self.reason {
            RefusalReason::Overloaded => "no endpoint has a free slot",
            RefusalReason::NoEndpoint => "no endpoint of the service is left",
            RefusalReason::VersionGone => "no endpoint has the version that began the answer",
            RefusalReason::Quarantined => "the request crashed endpoints and is refused",
            RefusalReason::RetryBudget => "the endpoint failed and the retry budget is used up",
            RefusalReason::NotRepeatable => "the endpoint failed and the request can't be repeated",
            RefusalReason::TooManyFailures => "too many endpoints failed",
            RefusalReason::DeadlinePassed => "the deadline passed while the request waited",
        }
    }
}
