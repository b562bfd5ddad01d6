//! Simulated sidecars and the messages between them, the entries and the log.

use std::time::Duration;

use celeryshed_base::{ClaimId, InstanceName, MonoTime, ProcessIncarnation};
use celeryshed_core::booking::{
    BeginVerdict, ClaimEvent, ClaimLogRecord, DispatchPermit, DispatchResult, OutcomeKind,
    RunOutcome, SealResult, SealVerdict, SideTarget,
};
use rand::Rng;

use super::{ENTRY_COUNT, InjectedBug, ProcedureAddress, SIDE_COUNT, SimEvent, Simulation};
use crate::log::unix;

impl Simulation {
    pub(super) fn choose(&mut self, from: ProcedureAddress, avoid: &[InstanceName]) {
        let candidates: Vec<_> =
            (0..SIDE_COUNT).filter(|side| !avoid.contains(&side_name(*side))).collect();
        let delay = Duration::from_millis(self.rng.random_range(0..4_000));
        let seen_at = MonoTime(self.now - MonoTime(delay));
        let unavailable =
            candidates.is_empty() || self.choice_outages[from.entry].contains(self.now);
        let chosen = if unavailable {
            None
        } else {
            Some(candidates[self.rng.random_range(0..candidates.len())])
        };
        let side = chosen.map(|side| SideTarget {
            instance: side_name(side),
            incarnation: self.sides[side].incarnation_at(seen_at),
        });
        let claim_id = ClaimId::from_u128(self.rng.random());
        self.request_by_claim.insert(claim_id, from.request);
        self.schedule(self.now, SimEvent::Deliver(from, ClaimEvent::SideChosen { side, claim_id }));
    }

    pub(super) fn dispatch(
        &mut self,
        from: ProcedureAddress,
        target: &SideTarget,
        permit: DispatchPermit,
    ) {
        let side = side_index(&target.instance);
        self.report.note_dispatch(permit.claim_id);
        if self.side_outages[from.entry * SIDE_COUNT + side].contains(self.now) {
            let unsent = self.rng.random_bool(0.5);
            return match unsent {
                true => self.dispatch_ended(from, permit.claim_id, not_run(false)),
                false => self.dispatch_ended(from, permit.claim_id, DispatchResult::Unknown),
            };
        }
        let named = target.incarnation;
        self.send(SimEvent::DispatchAtSide { from, side, named, permit });
    }

    pub(super) fn dispatch_ended(
        &mut self,
        from: ProcedureAddress,
        claim_id: ClaimId,
        result: DispatchResult<u32>,
    ) {
        let reply_lost = matches!(result, DispatchResult::Unknown);
        let result = match self.bug {
            Some(InjectedBug::LostIsNotRun) if reply_lost => not_run(false),
            _ => result,
        };
        self.send(SimEvent::Deliver(from, ClaimEvent::DispatchEnded { claim_id, result }));
    }

    pub(super) fn side_dispatch(
        &mut self,
        from: ProcedureAddress,
        side: usize,
        named: ProcessIncarnation,
        permit: DispatchPermit,
    ) {
        let claim_id = permit.claim_id;
        if self.busy_times[side].contains(self.now) {
            return self.dispatch_ended(from, claim_id, not_run(false));
        }
        let any_age = self.bug == Some(InjectedBug::IgnoreClaimAge);
        let appended_at = if any_age { unix(self.now) } else { permit.appended_at };
        let unix_now = self.sides[side].unix(self.now);
        let register = &mut self.sides[side].register;
        let result = match register.begin(claim_id, named, appended_at, self.now, unix_now) {
            BeginVerdict::Run => return self.start_run(from, side, claim_id),
            BeginVerdict::Ran(answer) => DispatchResult::Answer(answer),
            BeginVerdict::Refused(_) => not_run(true),
            BeginVerdict::Recorded | BeginVerdict::Running | BeginVerdict::Unknown => {
                DispatchResult::Unknown
            }
        };
        self.dispatch_ended(from, claim_id, result);
    }

    pub(super) fn start_run(&mut self, from: ProcedureAddress, side: usize, claim_id: ClaimId) {
        let run_by = self.sides[side].incarnation();
        if self.chance(4) {
            self.sides[side].register.finish(claim_id, RunOutcome::NotRun, self.now);
            return self.dispatch_ended(from, claim_id, not_run(false));
        }
        let request = self.request_by_claim[&claim_id];
        let answer = self.report.note_run(request, &self.requests[request], self.now);
        self.answers.insert(claim_id, answer);
        let longest = if self.chance(20) { 8_000 } else { 100 };
        let run_time = Duration::from_millis(self.rng.random_range(5..longest));
        self.schedule(self.now + run_time, SimEvent::RunEnds { from, side, run_by, claim_id });
    }

    pub(super) fn end_run(
        &mut self,
        from: ProcedureAddress,
        side: usize,
        run_by: ProcessIncarnation,
        id: ClaimId,
    ) {
        if self.sides[side].incarnation() != run_by {
            return self.dispatch_ended(from, id, DispatchResult::Unknown);
        }
        let answer = self.answers[&id];
        let (outcome, kind, result) = if self.chance(6) {
            (RunOutcome::Unknown, OutcomeKind::Unknown, DispatchResult::Unknown)
        } else {
            let too_large = OutcomeKind::AnswerNotKept { status: 200, size: 100_000 };
            let kind = if self.chance(6) { too_large } else { OutcomeKind::Answer };
            (RunOutcome::Answer(answer), kind, DispatchResult::Answer(answer))
        };
        self.sides[side].register.finish(id, outcome, self.now);
        let unreachable =
            self.side_outages[from.entry * SIDE_COUNT + side].contains(self.now) || self.chance(3);
        self.dispatch_ended(from, id, if unreachable { DispatchResult::Unknown } else { result });
        let record = ClaimLogRecord::Outcome(id, kind);
        self.send(SimEvent::SideAppend { side, run_by, record, answer });
    }

    pub(super) fn side_append(
        &mut self,
        side: usize,
        run_by: ProcessIncarnation,
        record: ClaimLogRecord,
        answer: u32,
    ) {
        if self.sides[side].incarnation() != run_by {
            return;
        }
        let log_down = self.log_outages[ENTRY_COUNT].contains(self.now);
        if !log_down {
            self.log.append(record.clone(), Some(answer), self.now);
        }
        let reply_lost = self.chance(10);
        if let (false, false, ClaimLogRecord::Outcome(claim_id, _)) =
            (log_down, reply_lost, &record)
        {
            return self.sides[side].register.mark_recorded(*claim_id, self.now);
        }
        let retry = self.now + Duration::from_millis(500);
        self.schedule(retry, SimEvent::SideAppend { side, run_by, record, answer });
    }

    pub(super) fn ask_seal(
        &mut self,
        from: ProcedureAddress,
        claim_id: ClaimId,
        target: &SideTarget,
    ) {
        let side = side_index(&target.instance);
        if self.bug == Some(InjectedBug::TakeOverUnsealed) {
            return self.seal_ended(from, claim_id, SealResult::Sealed);
        }
        if self.side_outages[from.entry * SIDE_COUNT + side].contains(self.now) {
            return self.seal_ended(from, claim_id, SealResult::Unreachable);
        }
        let named = target.incarnation;
        self.send(SimEvent::SealAtSide { from, side, named, claim_id });
    }

    pub(super) fn side_seal(
        &mut self,
        from: ProcedureAddress,
        side: usize,
        named: ProcessIncarnation,
        id: ClaimId,
    ) {
        let register_before = self.sides[side].register.clone();
        let result = match self.sides[side].register.seal(id, named, self.now) {
            SealVerdict::Ran(answer) => SealResult::Ran(answer),
            SealVerdict::Recorded => SealResult::Recorded,
            SealVerdict::Running => SealResult::Running,
            SealVerdict::Sealed => SealResult::Sealed,
            SealVerdict::Unknown => SealResult::Unknown,
            SealVerdict::OtherIncarnation(_) => SealResult::OtherIncarnation,
        };
        if self.bug == Some(InjectedBug::ForgetSeals) {
            self.sides[side].register = register_before;
        }
        let result = if self.chance(5) { SealResult::Unreachable } else { result };
        self.seal_ended(from, id, result);
    }

    pub(super) fn seal_ended(
        &mut self,
        from: ProcedureAddress,
        claim_id: ClaimId,
        result: SealResult<u32>,
    ) {
        self.send(SimEvent::Deliver(from, ClaimEvent::SealEnded { claim_id, result }));
    }
}

fn not_run(claim_only: bool) -> DispatchResult<u32> {
    DispatchResult::NotRun { detail: "refused".to_owned(), claim_only }
}

fn side_name(index: usize) -> InstanceName {
    InstanceName::try_from(format!("side-{index}")).unwrap()
}

fn side_index(name: &InstanceName) -> usize {
    (0..SIDE_COUNT).find(|index| side_name(*index) == *name).unwrap()
}
