//! What each schedule is checked for.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celeryshed_base::{ClaimId, ContentDigest, MonoTime};
use celeryshed_core::booking::{
    BookingIdentity, BookingResult, ClaimLogRecord, RefusalReason, RunVerdict,
};

/// Longest age of the read behind a "not run"; the procedure's default.
const FRESHNESS: Duration = Duration::from_secs(1);

pub(crate) struct SimRequest {
    pub(crate) key: u64,
    pub(crate) identity: BookingIdentity,
    pub(crate) arrival: MonoTime,
    pub(crate) deadline: MonoTime,
}

struct SimRun {
    at: MonoTime,
}

/// A reply of "not run", and when the latest fence of its key was appended.
struct ToldNotRun {
    key: u64,
    at: MonoTime,
    fenced: Option<MonoTime>,
}

/// Counters and violations of one schedule.
#[derive(Default)]
pub(crate) struct ScheduleReport {
    runs: BTreeMap<u64, Vec<SimRun>>,
    next_run: u32,
    answers: BTreeMap<u64, u32>,
    told_not_run: BTreeMap<usize, ToldNotRun>,
    fences: BTreeMap<ContentDigest, MonoTime>,
    dispatched: BTreeSet<ClaimId>,
    pub(crate) requests: u32,
    pub(crate) answered: u32,
    pub(crate) not_run: u32,
    pub(crate) ran: u32,
    pub(crate) unknown: u32,
    /// Unknown because the key was too old.
    pub(crate) expired: u32,
    /// "Not run" replies that were overtaken by a request that arrived after their fence and before
    /// the reply.
    pub(crate) overtaken: u32,
    pub(crate) violations: Vec<String>,
}

impl ScheduleReport {
    pub(crate) fn run_count(&self, key: u64) -> usize {
        self.runs.get(&key).map_or(0, Vec::len)
    }

    pub(crate) fn note_append(&mut self, record: &ClaimLogRecord, now: MonoTime) {
        if let ClaimLogRecord::Fenced(booking) = record {
            self.fences.insert(*booking, now);
        }
    }

    pub(crate) fn note_dispatch(&mut self, claim_id: ClaimId) {
        if !self.dispatched.insert(claim_id) {
            self.violate(format!("claim {claim_id} was dispatched twice"));
        }
    }

    pub(crate) fn note_run(&mut self, owner: usize, request: &SimRequest, now: MonoTime) -> u32 {
        if self.told_not_run.contains_key(&owner) {
            let key = request.key;
            self.violate(format!("key {key}: request {owner} ran after its \"not run\""));
        }
        let told = self.told_not_run.values().filter(|told| told.key == request.key);
        let earlier: Vec<_> = told.filter(|told| request.arrival < told.at).collect();
        self.overtaken += u32::from(!earlier.is_empty());
        if earlier.iter().any(|told| told.fenced.is_some_and(|fenced| request.arrival <= fenced)) {
            let key = request.key;
            self.violate(format!("key {key}: request {owner} ran after another's \"not run\""));
        }
        let runs = self.runs.entry(request.key).or_default();
        runs.push(SimRun { at: now });
        let count = runs.len();
        if count > 1 {
            self.violate(format!("key {}: run {count} at {:?}", request.key, now.0));
        }
        self.next_run += 1;
        self.next_run
    }

    pub(crate) fn note_reply(
        &mut self,
        index: usize,
        request: &SimRequest,
        result: &BookingResult<u32>,
        now: MonoTime,
    ) {
        match result {
            BookingResult::Answer { answer, .. } => {
                self.answered += 1;
                let first = *self.answers.entry(request.key).or_insert(*answer);
                if first != *answer {
                    self.violate(format!("key {}: two answers", request.key));
                }
            }
            BookingResult::Refused { verdict: RunVerdict::Unknown, reason } => {
                self.unknown += 1;
                self.expired += u32::from(*reason == RefusalReason::KeyExpired);
            }
            BookingResult::Refused { verdict: RunVerdict::Ran, .. } => {
                self.ran += 1;
                if self.run_count(request.key) == 0 {
                    self.violate(format!("key {}: \"ran\" without a run", request.key));
                }
            }
            BookingResult::Refused { verdict: RunVerdict::NotRun, .. } => {
                self.not_run += 1;
                let fenced = self.fences.get(&request.identity.booking).copied();
                let told = ToldNotRun { key: request.key, at: now, fenced };
                self.told_not_run.insert(index, told);
                self.check_not_run(index, request, now);
            }
        }
    }

    /// "Not run" must hold at the time of the read that proves it, which is at most a second old
    /// and began after the request arrived.
    fn check_not_run(&mut self, index: usize, request: &SimRequest, now: MonoTime) {
        let earliest = MonoTime(now - MonoTime(FRESHNESS)).max(request.arrival);
        let runs = self.runs.get(&request.key).map(Vec::as_slice).unwrap_or_default();
        let false_reply = runs.iter().any(|run| run.at <= earliest);
        if false_reply {
            self.violate(format!("key {}: false \"not run\" to {index}", request.key));
        }
    }

    fn violate(&mut self, violation: String) {
        self.violations.push(violation);
    }
}
