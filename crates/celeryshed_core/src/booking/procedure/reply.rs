//! Replies of a claim procedure and the proof behind "not run".

use celeryshed_base::MonoTime;

use super::event::{ClaimAction, LogSight};
use super::state::{DispatchProgress, SealWord};
use super::{ClaimProcedure, ProcedurePhase};
use crate::booking::key::KeyWindow;
use crate::booking::record::{ClaimSight, ClaimState, OutcomeKind};
use crate::booking::verdict::{BookingResult, RefusalReason, RunVerdict};

impl<A: Clone> ClaimProcedure<A> {
    /// Replies from the recorded outcome of `claim`.
    pub(super) fn serve_outcome(&mut self, claim: &ClaimSight, now: MonoTime) {
        let ClaimState::Settled { outcome, offset } = claim.state else { return };
        if claim.terms.body_digest != self.request.identity.body_digest {
            return self.refuse(RefusalReason::BodyMismatch, now);
        }
        let answer_coming = self.is_own(claim.claim_id)
            && self.own.as_ref().is_some_and(|own| own.dispatch == DispatchProgress::InFlight);
        if answer_coming {
            return;
        }
        match outcome {
            OutcomeKind::Answer => self.read_answer(offset, now),
            OutcomeKind::AnswerNotKept { status, size } => {
                self.refuse(RefusalReason::AnswerNotKept { status, size }, now);
            }
            OutcomeKind::Unknown => self.refuse(RefusalReason::OutcomeUnknown, now),
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

    pub(super) fn refuse(&mut self, reason: RefusalReason, now: MonoTime) {
        let verdict = self.verdict(now);
        let reason = match reason {
            RefusalReason::DeadlinePassed if verdict == RunVerdict::Ran => {
                RefusalReason::AnswerUnreadable
            }
            other => other,
        };
        self.reply(BookingResult::Refused { reason, verdict });
    }

    fn reply(&mut self, result: BookingResult<A>) {
        if self.phase != ProcedurePhase::Serving {
            return;
        }
        self.phase = ProcedurePhase::Closing;
        self.actions.push(ClaimAction::Reply(result));
    }

    /// Whether the booking was run, as far as the knowledge at `now` proves it.
    fn verdict(&self, now: MonoTime) -> RunVerdict {
        let Some(sight) = &self.sight else { return RunVerdict::Unknown };
        if let Some(claim) = sight.standing.settled() {
            return settled_verdict(claim.state);
        }
        if self.proves_absence(sight, now) { RunVerdict::NotRun } else { RunVerdict::Unknown }
    }

    fn proves_absence(&self, sight: &LogSight, now: MonoTime) -> bool {
        let recent = sight.began >= self.started && now - sight.began <= self.options.freshness;
        let whole = sight.covered && self.key_window(sight, now) != KeyWindow::Expired;
        recent && whole && sight.standing.in_force().is_none_or(|claim| self.never_runs(claim))
    }

    /// Whether the claim in force was not run and, once this procedure has replied, never will be.
    fn never_runs(&self, claim: &ClaimSight) -> bool {
        let own = self.own.as_ref().filter(|own| own.claim_id == claim.claim_id);
        let harmless = own.is_some_and(|own| own.is_harmless());
        let seal = self.seal.filter(|seal| seal.claim_id == claim.claim_id);
        harmless || seal.is_some_and(|seal| seal.word == SealWord::Sealed)
    }
}

fn settled_verdict(state: ClaimState) -> RunVerdict {
    match state {
        ClaimState::Settled { outcome: OutcomeKind::Unknown, .. } => RunVerdict::Unknown,
        ClaimState::Settled { .. } => RunVerdict::Ran,
        _ => RunVerdict::Unknown,
    }
}
