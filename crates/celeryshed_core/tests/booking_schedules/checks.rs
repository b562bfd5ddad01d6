//! Checks of one schedule: counts its events and collects violations.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celeryshed_base::{ClaimId, ContentDigest, MonoTime};
use celeryshed_core::booking::{
    BookingIdentity, BookingResult, ClaimLogRecord, RefusalReason, RunVerdict,
};

/// Maximum age of the log read that proves "not run"; equal to the procedure's default.
const MAX_READ_AGE: Duration = Duration::from_secs(1);

pub(crate) struct SimRequest {
    pub(crate) key: u64,
    pub(crate) identity: BookingIdentity,
    pub(crate) arrival: MonoTime,
    pub(crate) deadline: MonoTime,
}

struct SimRun {
    started_at: MonoTime,
}

/// A reply of "not run".
struct NotRunReply {
    key: u64,
    replied_at: MonoTime,
    /// When the key's latest fence was appended; `None` without a fence.
    fenced_at: Option<MonoTime>,
}

/// Counters and violations of one schedule.
#[derive(Default)]
pub(crate) struct ScheduleReport {
    runs: BTreeMap<u64, Vec<SimRun>>,
    /// Number of runs so far; the answer of each run is its number.
    last_run: u32,
    answers: BTreeMap<u64, u32>,
    /// "Not run" replies by the index of the request.
    not_run_replies: BTreeMap<usize, NotRunReply>,
    /// When the latest fence of each booking was appended.
    fences: BTreeMap<ContentDigest, MonoTime>,
    dispatched: BTreeSet<ClaimId>,
    pub(crate) requests: u32,
    pub(crate) answered: u32,
    pub(crate) not_run: u32,
    pub(crate) ran: u32,
    pub(crate) unknown: u32,
    /// Replies of "unknown" because the key had expired; included in `unknown`.
    pub(crate) expired: u32,
    /// Runs by requests that arrived after the fence but before the reply of another request's
    /// "not run"; these are permitted.
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
            self.add_violation(format!("claim {claim_id} was dispatched twice"));
        }
    }

    pub(crate) fn note_run(&mut self, index: usize, request: &SimRequest, now: MonoTime) -> u32 {
        if self.not_run_replies.contains_key(&index) {
            let key = request.key;
            self.add_violation(format!(
                "key {key}: request {index} ran after its reply \"not run\""
            ));
        }
        let replies = self.not_run_replies.values().filter(|reply| reply.key == request.key);
        let later: Vec<_> = replies.filter(|reply| request.arrival < reply.replied_at).collect();
        self.overtaken += u32::from(!later.is_empty());
        if later.iter().any(|reply| reply.fenced_at.is_some_and(|at| request.arrival <= at)) {
            let key = request.key;
            self.add_violation(format!(
                "key {key}: request {index} ran after another request's reply \"not run\""
            ));
        }
        let runs = self.runs.entry(request.key).or_default();
        runs.push(SimRun { started_at: now });
        let count = runs.len();
        if count > 1 {
            self.add_violation(format!("key {}: run {count} at {:?}", request.key, now.0));
        }
        self.last_run += 1;
        self.last_run
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
                    self.add_violation(format!("key {}: two different answers", request.key));
                }
            }
            BookingResult::Refused { verdict: RunVerdict::Unknown, reason } => {
                self.unknown += 1;
                self.expired += u32::from(*reason == RefusalReason::KeyExpired);
            }
            BookingResult::Refused { verdict: RunVerdict::Ran, .. } => {
                self.ran += 1;
                if self.run_count(request.key) == 0 {
                    self.add_violation(format!("key {}: \"ran\" without a run", request.key));
                }
            }
            BookingResult::Refused { verdict: RunVerdict::NotRun, .. } => {
                self.not_run += 1;
                let fenced_at = self.fences.get(&request.identity.booking).copied();
                let reply = NotRunReply { key: request.key, replied_at: now, fenced_at };
                self.not_run_replies.insert(index, reply);
                self.check_not_run(index, request, now);
            }
        }
    }

    /// Checks that the key had not run when the log read behind a "not run" reply started.
    ///
    /// That read is at most [`MAX_READ_AGE`] old and started after the request arrived.
    fn check_not_run(&mut self, index: usize, request: &SimRequest, now: MonoTime) {
        let earliest_read = MonoTime(now - MonoTime(MAX_READ_AGE)).max(request.arrival);
        let runs = self.runs.get(&request.key).map(Vec::as_slice).unwrap_or_default();
        let false_reply = runs.iter().any(|run| run.started_at <= earliest_read);
        if false_reply {
            self.add_violation(format!("key {}: false \"not run\" to {index}", request.key));
        }
    }

    fn add_violation(&mut self, violation: String) {
        self.violations.push(violation);
    }
}
