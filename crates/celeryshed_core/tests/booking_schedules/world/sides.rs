//! Sidecars of the simulated deployment and the messages to them.

use std::time::Duration;

use celeryshed_base::{ClaimId, InstanceName, MonoTime, ProcessIncarnation};
use celeryshed_core::booking::{
    BeginVerdict, ClaimEvent, ClaimLogRecord, DispatchPermit, DispatchResult, OutcomeKind,
    RunOutcome, SealResult, SealVerdict, SideTarget,
};
use rand::Rng;

use super::{ENTRIES, Flaw, Happening, Process, SIDES, World};
use crate::log::unix;

impl World {
    pub(super) fn choose(&mut self, from: Process, avoid: &[InstanceName]) {
        let free: Vec<_> = (0..SIDES).filter(|side| !avoid.contains(&side_name(*side))).collect();
        let lag = Duration::from_millis(self.rng.random_range(0..4_000));
        let seen = MonoTime(self.now - MonoTime(lag));
        let none = free.is_empty() || self.hidden[from.entry].hit(self.now);
        let pick = if none { None } else { Some(free[self.rng.random_range(0..free.len())]) };
        let side = pick.map(|side| SideTarget {
            instance: side_name(side),
            incarnation: self.sides[side].seen_at(seen),
        });
        let claim_id = ClaimId::from_u128(self.rng.random());
        self.claim_owner.insert(claim_id, from.id);
        self.schedule(self.now, Happening::Event(from, ClaimEvent::SideChosen { side, claim_id }));
    }

    pub(super) fn dispatch(&mut self, from: Process, target: &SideTarget, permit: DispatchPermit) {
        let side = side_index(&target.instance);
        self.report.note_dispatch(permit.claim_id);
        if self.side_cuts[from.entry * SIDES + side].hit(self.now) {
            let unsent = self.rng.random_bool(0.5);
            return match unsent {
                true => self.dispatch_ended(from, permit.claim_id, not_run(false)),
                false => self.dispatch_ended(from, permit.claim_id, DispatchResult::Unknown),
            };
        }
        let named = target.incarnation;
        self.send(Happening::AtSideDispatch { from, side, named, permit });
    }

    pub(super) fn dispatch_ended(
        &mut self,
        from: Process,
        claim_id: ClaimId,
        result: DispatchResult<u32>,
    ) {
        let lost = matches!(result, DispatchResult::Unknown);
        let result = match self.flaw {
            Some(Flaw::LostIsNotRun) if lost => not_run(false),
            _ => result,
        };
        self.send(Happening::Event(from, ClaimEvent::DispatchEnded { claim_id, result }));
    }

    pub(super) fn side_dispatch(
        &mut self,
        from: Process,
        side: usize,
        named: ProcessIncarnation,
        permit: DispatchPermit,
    ) {
        let claim_id = permit.claim_id;
        if self.busy[side].hit(self.now) {
            return self.dispatch_ended(from, claim_id, not_run(false));
        }
        let any_age = self.flaw == Some(Flaw::IgnoreClaimAge);
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

    pub(super) fn start_run(&mut self, from: Process, side: usize, claim_id: ClaimId) {
        let run_by = self.sides[side].incarnation();
        if self.chance(4) {
            self.sides[side].register.finish(claim_id, RunOutcome::NotRun, self.now);
            return self.dispatch_ended(from, claim_id, not_run(false));
        }
        let owner = self.claim_owner[&claim_id];
        let run = self.report.note_run(owner, &self.requests[owner], self.now);
        self.running.insert(claim_id, run);
        let longest = if self.chance(20) { 8_000 } else { 100 };
        let run_time = Duration::from_millis(self.rng.random_range(5..longest));
        self.schedule(self.now + run_time, Happening::RunEnds { from, side, run_by, claim_id });
    }

    pub(super) fn end_run(
        &mut self,
        from: Process,
        side: usize,
        run_by: ProcessIncarnation,
        id: ClaimId,
    ) {
        if self.sides[side].incarnation() != run_by {
            return self.dispatch_ended(from, id, DispatchResult::Unknown);
        }
        let answer = self.running[&id];
        let (outcome, kind, result) = if self.chance(6) {
            (RunOutcome::Unknown, OutcomeKind::Unknown, DispatchResult::Unknown)
        } else {
            let large = OutcomeKind::AnswerNotKept { status: 200, size: 100_000 };
            let kind = if self.chance(6) { large } else { OutcomeKind::Answer };
            (RunOutcome::Answer(answer), kind, DispatchResult::Answer(answer))
        };
        self.sides[side].register.finish(id, outcome, self.now);
        let cut = self.side_cuts[from.entry * SIDES + side].hit(self.now) || self.chance(3);
        self.dispatch_ended(from, id, if cut { DispatchResult::Unknown } else { result });
        let record = ClaimLogRecord::Outcome(id, kind);
        self.send(Happening::SideAppend { side, run_by, record, answer });
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
        let down = self.log_outages[ENTRIES].hit(self.now);
        if !down {
            self.log.append(record.clone(), Some(answer), self.now);
        }
        let lost = self.chance(10);
        if let (false, false, ClaimLogRecord::Outcome(claim_id, _)) = (down, lost, &record) {
            return self.sides[side].register.note_recorded(*claim_id, self.now);
        }
        let retry = self.now + Duration::from_millis(500);
        self.schedule(retry, Happening::SideAppend { side, run_by, record, answer });
    }

    pub(super) fn ask_seal(&mut self, from: Process, claim_id: ClaimId, target: &SideTarget) {
        let side = side_index(&target.instance);
        if self.flaw == Some(Flaw::TakeOverUnsealed) {
            return self.seal_ended(from, claim_id, SealResult::Sealed);
        }
        if self.side_cuts[from.entry * SIDES + side].hit(self.now) {
            return self.seal_ended(from, claim_id, SealResult::Unreachable);
        }
        let named = target.incarnation;
        self.send(Happening::AtSideSeal { from, side, named, claim_id });
    }

    pub(super) fn side_seal(
        &mut self,
        from: Process,
        side: usize,
        named: ProcessIncarnation,
        id: ClaimId,
    ) {
        let kept = self.sides[side].register.clone();
        let result = match self.sides[side].register.seal(id, named, self.now) {
            SealVerdict::Ran(answer) => SealResult::Ran(answer),
            SealVerdict::Recorded => SealResult::Recorded,
            SealVerdict::Running => SealResult::Running,
            SealVerdict::Sealed => SealResult::Sealed,
            SealVerdict::Unknown => SealResult::Unknown,
            SealVerdict::OtherIncarnation(_) => SealResult::OtherIncarnation,
        };
        if self.flaw == Some(Flaw::ForgetSeals) {
            self.sides[side].register = kept;
        }
        let result = if self.chance(5) { SealResult::Unreachable } else { result };
        self.seal_ended(from, id, result);
    }

    pub(super) fn seal_ended(&mut self, from: Process, claim_id: ClaimId, result: SealResult<u32>) {
        self.send(Happening::Event(from, ClaimEvent::SealEnded { claim_id, result }));
    }
}

fn not_run(claim_only: bool) -> DispatchResult<u32> {
    DispatchResult::NotRun { detail: "refused".to_owned(), claim_only }
}

fn side_name(index: usize) -> InstanceName {
    InstanceName::try_from(format!("side-{index}")).unwrap()
}

fn side_index(name: &InstanceName) -> usize {
    (0..SIDES).find(|index| side_name(*index) == *name).unwrap()
}
