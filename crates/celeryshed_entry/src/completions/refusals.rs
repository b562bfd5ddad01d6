//! Converts refusals into problem details.

use celeryshed_base::RequestId;
use celeryshed_core::admission::SlotClass;
use celeryshed_wire::{PriorityClass, ProblemDetails, RunStatus};

use super::decisions::{EntryRefusal, RefusalReason};
use super::problems::{ProblemKind, problem, with_retry_after};

/// Builds the problem details of a refusal; `last_failure` is the detail of the last failed
/// attempt.
pub(super) fn refusal_problem(
    refusal: &EntryRefusal,
    request_id: RequestId,
    not_run: RunStatus,
    last_failure: Option<&str>,
) -> ProblemDetails {
    let detail = match last_failure {
        Some(last_failure) => format!("{refusal}; last attempt: {last_failure}"),
        None => refusal.to_string(),
    };
    let described = problem(problem_kind(refusal.reason), request_id, not_run, &detail);
    match refusal.retry_after {
        Some(pause) => with_retry_after(described, pause),
        None => described,
    }
}

fn problem_kind(reason: RefusalReason) -> ProblemKind {
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

/// Combines the run statuses of two attempts: `Ran` if either ran, else `Unknown` if either is
/// unknown.
pub(super) fn combined_status(first: RunStatus, second: RunStatus) -> RunStatus {
    match (first, second) {
        (RunStatus::Ran, _) | (_, RunStatus::Ran) => RunStatus::Ran,
        (RunStatus::Unknown, _) | (_, RunStatus::Unknown) => RunStatus::Unknown,
        (RunStatus::NotRun, RunStatus::NotRun) => RunStatus::NotRun,
    }
}

/// The wire form of a slot class.
pub(super) fn priority_of(class: SlotClass) -> PriorityClass {
    match class {
        SlotClass::BestEffort => PriorityClass::BestEffort,
        SlotClass::Contracted => PriorityClass::Contracted,
        SlotClass::Booking => PriorityClass::Booking,
    }
}
