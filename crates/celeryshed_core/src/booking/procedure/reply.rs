//! Replies of a claim procedure, and the check that a "not run" reply is proven.

use celeryshed_base::MonoTime;

use super::event::{ClaimAction, LogView};
use super::progress::DispatchProgress;
use super::{ClaimProcedure, ProcedurePhase};
use crate::booking::key::KeyWindow;
use crate::booking::record::{ClaimState, ClaimView, OutcomeKind};
use crate::booking::verdict::{BookingResult, RefusalReason, RunVerdict};

impl<A: Clone> ClaimProcedure<A> {
    /// Replies with the recorded outcome of `claim`, or waits for the answer.
    pub(super) fn serve_outcome(&mut self, claim: &ClaimView, now: MonoTime) {
        let ClaimState::Settled { outcome, offset } = claim.state else { return };
        if claim.spec.body_digest != self.request.identity.body_digest {
            return self.refuse(RefusalReason::BodyMismatch);
        }
        let answer_pending = self.is_own_claim(claim.claim_id)
            && self
                .own_claim
                .as_ref()
                .is_some_and(|own_claim| own_claim.dispatch == DispatchProgress::InFlight);
        if answer_pending {
            return;
        }
        match outcome {
            OutcomeKind::Answer => self.read_answer(offset, now),
            OutcomeKind::AnswerNotKept { status, size } => {
                self.refuse(RefusalReason::AnswerNotKept { status, size });
            }
            OutcomeKind::Unknown => self.refuse(RefusalReason::OutcomeUnknown),
        }
    }

    fn read_answer(&mut self, offset: celeryshed_base::LogOffset, now: MonoTime) {
        if self.answer_read_in_flight {
            return;
        }
        if now < self.answer_retry_at {
            return self.set_timer_by(self.answer_retry_at);
        }
        self.answer_read_in_flight = true;
        self.actions.push(ClaimAction::ReadAnswer { offset });
    }

    pub(super) fn reply_answer(&mut self, answer: A, replayed: bool) {
        // The claim ran, so it must not be released.
        self.own_claim = None;
        self.reply(BookingResult::Answer { answer, replayed });
    }

    /// Refuses with the verdict that the recorded outcome proves; without an outcome, "unknown".
    pub(super) fn refuse(&mut self, reason: RefusalReason) {
        let verdict = self.recorded_verdict();
        let reason = match reason {
            RefusalReason::DeadlinePassed if verdict == RunVerdict::Ran => {
                RefusalReason::AnswerUnreadable
            }
            other => other,
        };
        self.reply(BookingResult::Refused { reason, verdict });
    }

    /// Refuses with the verdict "not run" if the log proves it, otherwise "unknown".
    ///
    /// Waits for another read first if the last one is too old to prove anything.
    pub(super) fn refuse_as_not_run(
        &mut self,
        reason: RefusalReason,
        view: &LogView,
        now: MonoTime,
    ) {
        let recent = now - view.read_started <= self.options.max_read_age;
        if !recent {
            return self.wait_for_log_read(now);
        }
        let complete = view.covered && self.key_window(view, now) != KeyWindow::Expired;
        let absent = complete && !view.booking_state.is_taken();
        let verdict = if absent { RunVerdict::NotRun } else { RunVerdict::Unknown };
        self.reply(BookingResult::Refused { reason, verdict });
    }

    fn reply(&mut self, result: BookingResult<A>) {
        if self.phase != ProcedurePhase::Serving {
            return;
        }
        self.phase = ProcedurePhase::Closing;
        self.actions.push(ClaimAction::Reply(result));
    }

    /// Returns the verdict that the recorded outcome proves.
    fn recorded_verdict(&self) -> RunVerdict {
        let settled = self.view.as_ref().and_then(|view| view.booking_state.settled());
        settled.map_or(RunVerdict::Unknown, |claim| settled_verdict(claim.state))
    }
}

fn settled_verdict(state: ClaimState) -> RunVerdict {
    match state {
        ClaimState::Settled { outcome: OutcomeKind::Unknown, .. } => RunVerdict::Unknown,
        ClaimState::Settled { .. } => RunVerdict::Ran,
        _ => RunVerdict::Unknown,
    }
}
