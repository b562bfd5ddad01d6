//! Progress of a claim procedure's appends, dispatch, seal requests and fence.

use celeryshed_base::{ClaimId, LogOffset, MonoTime, common_derives};

use super::event::{AppendResult, SideTarget};

common_derives! { value:
    /// Progress of one append, which is repeated until the record is read from the log.
    #[derive(Copy)]
    pub(super) enum AppendProgress {
        /// To be sent at this time or later.
        Due(MonoTime),
        /// Sent; the result is not known yet.
        InFlight,
        /// Ended at this time. A read that starts later decides whether to repeat the append.
        Ended(MonoTime),
    }

    /// Progress of a claim's dispatch; a claim is dispatched at most once.
    pub(super) enum DispatchProgress {
        /// Not sent.
        Unsent,
        /// Sent; the result is not known yet.
        InFlight,
        /// Ended without a run: the sidecar refused the claim or was not reached.
        NotRun,
        /// Ended without a usable reply; the claim may have run.
        Unknown,
    }

    /// Latest claim made by the procedure.
    pub(super) struct OwnClaim {
        pub(super) claim_id: ClaimId,
        pub(super) side: SideTarget,
        pub(super) append: AppendProgress,
        pub(super) dispatch: DispatchProgress,
        pub(super) release: AppendProgress,
    }

    /// Progress of the fence that must precede a "not run" reply.
    #[derive(Copy)]
    pub(super) struct FenceProgress {
        pub(super) append: AppendProgress,
        /// Offset of the latest fence before this one; a fence with a higher offset confirms the
        /// append. `None` if there was no earlier fence.
        pub(super) previous_fence: Option<LogOffset>,
    }

    /// What the sidecar has replied about the claim in force.
    #[derive(Copy)]
    pub(super) enum SealStatus {
        /// No final reply yet.
        Pending,
        /// The claim will never run.
        Sealed,
        /// The sidecar was replaced or can't tell whether the claim ran. Holds the reply time.
        Unknown(MonoTime),
    }

    /// Progress of sealing the claim in force.
    #[derive(Copy)]
    pub(super) struct SealProgress {
        pub(super) claim_id: ClaimId,
        pub(super) in_flight: bool,
        /// When to send the next seal request.
        pub(super) send_at: MonoTime,
        /// End of the first of the latest consecutive requests without a reply.
        pub(super) unreachable_since: Option<MonoTime>,
        pub(super) status: SealStatus,
        /// Append of the record that the claim is sealed.
        pub(super) append: AppendProgress,
    }
}

impl AppendProgress {
    pub(super) fn apply_result(&mut self, result: AppendResult, now: MonoTime, retry_at: MonoTime) {
        *self = match result {
            AppendResult::Done | AppendResult::Unknown => Self::Ended(now),
            AppendResult::Refused => Self::Due(retry_at),
        };
    }

    /// Repeats the append after a read that started at `read_started` and didn't return the record.
    pub(super) fn retry_if_ended_before(&mut self, read_started: MonoTime) {
        if matches!(*self, Self::Ended(ended_at) if read_started >= ended_at) {
            *self = Self::Due(read_started);
        }
    }
}

impl OwnClaim {
    pub(super) fn new(claim_id: ClaimId, side: SideTarget, now: MonoTime) -> Self {
        Self {
            claim_id,
            side,
            append: AppendProgress::Due(now),
            dispatch: DispatchProgress::Unsent,
            release: AppendProgress::Due(now),
        }
    }

    /// Returns whether the claim was not dispatched, or was dispatched without a run.
    pub(super) fn is_not_run(&self) -> bool {
        matches!(self.dispatch, DispatchProgress::Unsent | DispatchProgress::NotRun)
    }
}
