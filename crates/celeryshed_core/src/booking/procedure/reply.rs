//! Replies of a claim procedure and the proof behind "not run".

use celeryshed_base::MonoTime;

use super::event::{ClaimAction, LogView};
use super::state::DispatchProgress;
use super::{ClaimProcedure, ProcedurePhase};
use crate::booking::key::KeyWindow;
use crate::booking::record::{ClaimState, ClaimView, OutcomeKind};
use crate::booking::verdict::{BookingResult, RefusalReason, RunVerdict};

impl<A: Clone> ClaimProcedure<A> {
    /// Replies from the recorded outcome of `claim`.
    pub(super) fn serve_outcome(&mut self, claim: &ClaimView, now: MonoTime) {
        let ClaimState::Settled { outcome, offset } = claim.state else { return };
        if claim.terms.body_digest != self.request.identity.body_digest {
            return self.refuse(RefusalReason::BodyMismatch);
        }
        let answer_coming = self.is_own(claim.claim_id)
            && self.own.as_ref().is_some_and(|own| own.dispatch == DispatchProgress::InFlight);
        if answer_coming {
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
        if self.reading_answer {
            return;
        }
        if now < self.read_answer_at {
            return self.wake_by(self.read_answer_at);
        }
        self.reading_answer = true;
        self.actions.push(ClaimAction::ReadAnswer { offset });
    }

    pub(super) fn reply_answer(&mut self, answer: A, replayed: bool) {
        // The claim ran: there is nothing to release.
        self.own = None;
        self.reply(BookingResult::Answer { answer, replayed });
    }

    /// Refuses without proof that the booking was not run.
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

    /// Refuses as not run, if the last read to the end is recent enough to prove it.
    pub(super) fn refuse_absent(&mut self, reason: RefusalReason, view: &LogView, now: MonoTime) {
        let recent = now - view.read_started <= self.options.freshness;
        if !recent {
            return self.await_log(now);
        }
        let whole = view.covered && self.key_window(view, now) != KeyWindow::Expired;
        let absent = whole && !view.booking_state.is_taken();
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

    /// What a recorded outcome proves.
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
