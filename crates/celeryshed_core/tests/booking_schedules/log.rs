//! The log, sidecars and faults of a simulated deployment.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::{LogOffset, MonoTime, ProcessIncarnation, UnixMillis};
use celeryshed_core::booking::{
    ClaimLogPage, ClaimLogRecord, ClaimRegister, OutcomeKind, PositionedClaimRecord,
    RegisterOptions,
};
use rand::Rng;
use rand::rngs::StdRng;

pub(crate) const START: u64 = 1_800_000_000_000;
pub(crate) const WINDOW: Duration = Duration::from_secs(120);
pub(crate) const RETENTION: Duration = Duration::from_secs(200);
const PAGE_RECORDS: usize = 4;

pub(crate) fn unix(now: MonoTime) -> UnixMillis {
    UnixMillis(START + now.0.as_millis() as u64)
}

/// A log that removes records when they are older than the retention.
#[derive(Default)]
pub(crate) struct SimLog {
    records: Vec<(UnixMillis, ClaimLogRecord)>,
    answers: BTreeMap<LogOffset, u32>,
}

impl SimLog {
    pub(crate) fn append(&mut self, record: ClaimLogRecord, answer: Option<u32>, now: MonoTime) {
        let offset = LogOffset(self.records.len() as u64);
        if let (ClaimLogRecord::Outcome(_, OutcomeKind::Answer), Some(answer)) = (&record, answer) {
            self.answers.insert(offset, answer);
        }
        self.records.push((unix(now), record));
    }

    pub(crate) fn answer(&self, offset: LogOffset) -> Option<u32> {
        self.answers.get(&offset).copied()
    }

    pub(crate) fn end(&self) -> LogOffset {
        LogOffset(self.records.len() as u64)
    }

    pub(crate) fn read(&self, from: LogOffset, now: MonoTime) -> ClaimLogPage {
        let log_now = unix(now);
        let kept = |(at, _): &(UnixMillis, ClaimLogRecord)| log_now.since(*at) <= RETENTION;
        let oldest = self.records.iter().position(kept).unwrap_or(self.records.len());
        let first = oldest.max(from.0 as usize);
        let stamped = self.records.iter().enumerate().skip(first).take(PAGE_RECORDS);
        let stamp =
            |(index, (at, record)): (usize, &(UnixMillis, ClaimLogRecord))| PositionedClaimRecord {
                offset: LogOffset(index as u64),
                appended_at: *at,
                record: Some(record.clone()),
            };
        ClaimLogPage {
            records: stamped.map(stamp).collect(),
            oldest: LogOffset(oldest as u64),
            end: LogOffset(self.records.len() as u64),
            log_now,
        }
    }
}

/// A sidecar; its clock is off by up to ten seconds.
pub(crate) struct SimSide {
    pub(crate) incarnations: Vec<(MonoTime, ProcessIncarnation)>,
    pub(crate) register: ClaimRegister<u32>,
    pub(crate) skew_ms: u64,
}

impl SimSide {
    pub(crate) fn start(rng: &mut StdRng) -> Self {
        let incarnation = ProcessIncarnation::from_u128(rng.random());
        let skew_ms = rng.random_range(0..20_000);
        let register = new_register(incarnation);
        Self { incarnations: vec![(MonoTime::ZERO, incarnation)], register, skew_ms }
    }

    pub(crate) fn incarnation(&self) -> ProcessIncarnation {
        self.incarnations.last().unwrap().1
    }

    /// The incarnation that a lagging view shows.
    pub(crate) fn seen_at(&self, time: MonoTime) -> ProcessIncarnation {
        self.incarnations.iter().rev().find(|(from, _)| *from <= time).unwrap().1
    }

    pub(crate) fn replace(&mut self, incarnation: ProcessIncarnation, now: MonoTime) {
        self.incarnations.push((now, incarnation));
        self.register = new_register(incarnation);
    }

    pub(crate) fn unix(&self, now: MonoTime) -> UnixMillis {
        UnixMillis(unix(now).0 + self.skew_ms - 10_000)
    }
}

fn new_register(incarnation: ProcessIncarnation) -> ClaimRegister<u32> {
    ClaimRegister::new(incarnation, RegisterOptions { window: WINDOW, max_claims: 1000 })
}

/// Intervals during which something is unavailable.
#[derive(Default)]
pub(crate) struct Outages(Vec<(MonoTime, MonoTime)>);

impl Outages {
    pub(crate) fn random(rng: &mut StdRng, most: u32, longest_s: u64) -> Self {
        let count = rng.random_range(0..=most);
        let interval = |_| {
            let from = MonoTime(Duration::from_millis(rng.random_range(0..180_000)));
            (from, from + Duration::from_millis(rng.random_range(100..longest_s * 1000)))
        };
        Self((0..count).map(interval).collect())
    }

    pub(crate) fn hit(&self, now: MonoTime) -> bool {
        self.0.iter().any(|(from, to)| *from <= now && now < *to)
    }
}
