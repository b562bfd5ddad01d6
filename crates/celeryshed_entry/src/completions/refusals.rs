//! Refusals as problems towards callers.

use celeryshed_base::RequestId;
use celeryshed_core::admission::SlotClass;
use celeryshed_wire::{PriorityClass, ProblemDetails, RunStatus};

use super::decisions::{EntryRefusal, RefusalReason};
use super::problems::{ProblemKind, problem, with_retry_after};

/// Describes why a request ended; `last` is the detail of its last failed attempt.
pub(super) fn refusal_problem(
    refusal: &EntryRefusal,
    request_id: RequestId,
    not_run: RunStatus,
    last: Option<&str>,
) -> ProblemDetails {
    let detail = match last {
        Some(last) => format!("{refusal}; last attempt: {last}"),
        None => refusal.to_string(),
    };
    let described = problem(kind_of(refusal.reason), request_id, not_run, &detail);
    match refusal.retry_after {
        Some(pause) => with_retry_after(described, pause),
        None => described,
    }
}

fn kind_of(reason: RefusalReason) -> ProblemKind {
    match reason {
        RefusalReason::Overloaded => ProblemKind::Overloaded,
        RefusalReason::NoEndpoint => ProblemKind::NoEndpoint,
        RefusalReason::VersionGone => ProblemKind::VersionGone,
        RefusalReason::Quarantined => ProblemKind::Quarantined,
        RefusalReason::RetryBudget
        | RefusalReason::NotRepeatable
        | RefusalReason::TooManyFailures => ProblemKind::EndpointFailed,
        RefusalReason::DeadlinePassed => ProblemKind::DeadlinePassed,
    }
}

/// The verdict over several attempts: it ran if one ran, and is unknown if one is unknown.
pub(super) fn worse(first: RunStatus, second: RunStatus) -> RunStatus {
    match (first, second) {
        (RunStatus::Ran, _) | (_, RunStatus::Ran) => RunStatus::Ran,
        (RunStatus::Unknown, _) | (_, RunStatus::Unknown) => RunStatus::Unknown,
        (RunStatus::NotRun, RunStatus::NotRun) => RunStatus::NotRun,
    }
}

/// The class as it is sent.
pub(super) fn priority_of(class: SlotClass) -> PriorityClass {
    match class {
        SlotClass::BestEffort => PriorityClass::BestEffort,
        SlotClass::Contracted => PriorityClass::Contracted,
        SlotClass::Booking => PriorityClass::Booking,
    }
}
