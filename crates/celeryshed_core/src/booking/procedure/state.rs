//! State that a claim procedure keeps about its own claim and about the claim in force.

use celeryshed_base::{ClaimId, LogOffset, MonoTime, common_derives};

use super::event::{AppendResult, SideTarget};

common_derives! { value:
    /// Progress of one append that is repeated until the log shows its effect.
    #[derive(Copy)]
    pub(super) enum AppendProgress {
        /// May be sent from this time on.
        Due(MonoTime),
        /// Sent, no result yet.
        InFlight,
        /// Ended at this time; a read that began later decides whether to repeat it.
        Ended(MonoTime),
    }

    /// Progress of the only dispatch of a claim.
    pub(super) enum DispatchProgress {
        /// Not sent.
        Unsent,
        /// Sent, no result yet.
        InFlight,
        /// Ended without a run: the claim was not taken or the sidecar not reached.
        NotRun,
        /// Ended without any knowledge.
        Unknown,
    }

    /// The procedure's latest claim.
    pub(super) struct OwnClaim {
        pub(super) claim_id: ClaimId,
        pub(super) side: SideTarget,
        pub(super) append: AppendProgress,
        pub(super) dispatch: DispatchProgress,
        pub(super) release: AppendProgress,
    }

    /// Progress of the fence before a reply of "not run".
    #[derive(Copy)]
    pub(super) struct FenceProgress {
        pub(super) append: AppendProgress,
        /// The latest fence when the refusal began; a later one confirms it.
        pub(super) floor: Option<LogOffset>,
    }

    /// What the sidecar said about the claim in force.
    #[derive(Copy)]
    pub(super) enum SealWord {
        /// Nothing final.
        Open,
        /// Will never run.
        Sealed,
        /// Gone or lost, as learned at this time.
        Lost(MonoTime),
    }

    /// Progress of sealing the claim in force.
    #[derive(Copy)]
    pub(super) struct SealProgress {
        pub(super) claim_id: ClaimId,
        pub(super) asking: bool,
        pub(super) ask_at: MonoTime,
        pub(super) silent_since: Option<MonoTime>,
        pub(super) word: SealWord,
        pub(super) append: AppendProgress,
    }
}

impl AppendProgress {
    pub(super) fn end(&mut self, result: AppendResult, now: MonoTime, retry_at: MonoTime) {
        *self = match result {
            AppendResult::Done | AppendResult::Unknown => Self::Ended(now),
            AppendResult::Refused => Self::Due(retry_at),
        };
    }

    /// A read that began at `read_started` doesn't show the record.
    pub(super) fn note_missing(&mut self, read_started: MonoTime) {
        if matches!(*self, Self::Ended(ended) if read_started >= ended) {
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

    /// Whether nothing was or can be run by a dispatch of this claim, provided that none is sent.
    pub(super) fn is_harmless(&self) -> bool {
        matches!(self.dispatch, DispatchProgress::Unsent | DispatchProgress::NotRun)
    }
}
