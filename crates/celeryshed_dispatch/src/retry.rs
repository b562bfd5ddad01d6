//! Whether a request is sent once more.
//!
//! Load pattern: endpoints that fail, refuse or lose answers. A request that has certainly not run
//! may go elsewhere; one that may have run only if its kind allows repeats.

use celeryshed_base::common_derives;

use crate::health::{AttemptOutcome, NotRunReason};
use crate::routes::RouteKind;

/// Sends that did not run and are made up for elsewhere.
const MAX_NOT_RUN: u32 = 3;

common_derives! { value:
    /// What became of the attempts of a request so far.
    #[derive(Default, Copy)]
    pub struct AttemptHistory {
        /// Attempts that ran or may have run.
        pub may_have_run: u32,
        /// Attempts that did not run.
        pub not_run: u32,
    }

    /// What follows an attempt without a usable answer.
    #[derive(Copy)]
    pub enum RetryVerdict {
        /// Send it to another endpoint; `counted` sends take from the retry budget.
        SendAgain {
            /// Whether the endpoint saw the attempt before.
            counted: bool,
        },
        /// Tell the caller that it has not run.
        RefuseNotRun,
        /// Tell the caller that it may have run.
        FailMayHaveRun,
    }
}

impl AttemptHistory {
    /// Takes over the end of an attempt and decides what follows.
    ///
    /// ```
    /// use celeryshed_dispatch::*;
    /// let mut history = AttemptHistory::default();
    /// let lost = AttemptOutcome::Unknown(UnknownReason::Reset);
    /// let verdict = history.record(RouteKind::NonIdempotent, 1, lost);
    /// assert_eq!(verdict, RetryVerdict::FailMayHaveRun);
    /// ```
    pub fn record(
        &mut self,
        kind: RouteKind,
        max_attempts: u32,
        outcome: AttemptOutcome,
    ) -> RetryVerdict {
        match outcome {
            AttemptOutcome::NotRun(reason) => {
                self.not_run += 1;
                if self.not_run <= MAX_NOT_RUN && self.may_have_run < max_attempts {
                    return RetryVerdict::SendAgain {
                        counted: reason != NotRunReason::Unreachable,
                    };
                }
            }
            AttemptOutcome::Served
            | AttemptOutcome::Failed
            | AttemptOutcome::Unknown(_)
            | AttemptOutcome::Abandoned => {
                self.may_have_run += 1;
                if kind.is_retryable() && self.may_have_run < max_attempts {
                    return RetryVerdict::SendAgain { counted: true };
                }
            }
        }
        self.final_verdict()
    }

    /// What the caller is told when the request is not sent again.
    pub fn final_verdict(&self) -> RetryVerdict {
        if self.may_have_run == 0 {
            RetryVerdict::RefuseNotRun
        } else {
            RetryVerdict::FailMayHaveRun
        }
    }
}
