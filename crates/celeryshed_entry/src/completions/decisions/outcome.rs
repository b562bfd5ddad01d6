//! How attempts end, and why requests are refused.

use std::time::Duration;

use celeryshed_wire::{FailureCause, RunStatus};

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// With a whole answer.
    Complete,
    /// The caller is gone or the deadline passed.
    Dropped,
    /// Without a whole answer.
    Failed {
        /// The cause.
        cause: FailureCause,
        /// Whether it was not run.
        not_run: RunStatus,
        /// Whether the request may be repeated after it ran or may have run.
        repeatable: bool,
    },
}

/// Why a request is refused or given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// No endpoint has a free slot, and waiting is no use.
    Overloaded,
    /// No endpoint of the service is left.
    NoEndpoint,
    /// No endpoint has the version that began the answer.
    VersionGone,
    /// The request crashes endpoints.
    Quarantined,
    /// It failed, and the team's retry budget is used up.
    RetryBudget,
    /// It failed and may not be repeated.
    NotRepeatable,
    /// It failed too often.
    TooManyFailures,
    /// Its deadline passed while it waited.
    DeadlinePassed,
}

/// A refusal.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.text())]
pub struct EntryRefusal {
    /// The reason.
    pub reason: RefusalReason,
    /// Suggested pause before another try.
    pub retry_after: Option<Duration>,
}

impl EntryRefusal {
    /// A refusal without a suggested pause.
    pub fn new(reason: RefusalReason) -> Self {
        Self { reason, retry_after: None }
    }

    /// A refusal with a suggested pause.
    pub fn after(reason: RefusalReason, pause: Duration) -> Self {
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
