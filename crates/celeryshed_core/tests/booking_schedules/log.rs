//! Claim log, sidecars and outages of the simulation.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::{LogOffset, MonoTime, ProcessIncarnation, UnixMillis};
use celeryshed_core::booking::{
    ClaimLogPage, ClaimLogRecord, ClaimRegister, OutcomeKind, PositionedClaimRecord,
    RegisterOptions,
};
use rand::Rng;
use rand::rngs::StdRng;

/// Time of the simulated log at the start, in milliseconds since 1970.
pub(crate) const LOG_START_MS: u64 = 1_800_000_000_000;
pub(crate) const WINDOW: Duration = Duration::from_secs(120);
pub(crate) const RETENTION: Duration = Duration::from_secs(200);
/// Records per page; small, so that a new entry reads several pages.
const MAX_PAGE_RECORDS: usize = 4;

pub(crate) fn unix(now: MonoTime) -> UnixMillis {
    UnixMillis(LOG_START_MS + now.0.as_millis() as u64)
}

/// Claim log that removes records older than [`RETENTION`].
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
        let is_kept = |(at, _): &(UnixMillis, ClaimLogRecord)| log_now.since(*at) <= RETENTION;
        let oldest = self.records.iter().position(is_kept).unwrap_or(self.records.len());
        let first = oldest.max(from.0 as usize);
        let page_records = self.records.iter().enumerate().skip(first).take(MAX_PAGE_RECORDS);
        let to_positioned =
            |(index, (at, record)): (usize, &(UnixMillis, ClaimLogRecord))| PositionedClaimRecord {
                offset: LogOffset(index as u64),
                appended_at: *at,
                record: Some(record.clone()),
            };
        ClaimLogPage {
            records: page_records.map(to_positioned).collect(),
            oldest: LogOffset(oldest as u64),
            end: LogOffset(self.records.len() as u64),
            log_now,
        }
    }
}

/// A sidecar whose clock differs from the log's by up to 10 s.
pub(crate) struct SimSide {
    /// Incarnations and their start times in ascending order.
    pub(crate) incarnations: Vec<(MonoTime, ProcessIncarnation)>,
    pub(crate) register: ClaimRegister<u32>,
    /// Clock difference plus 10,000 ms, to stay positive.
    pub(crate) shifted_skew_ms: u64,
}

impl SimSide {
    pub(crate) fn start(rng: &mut StdRng) -> Self {
        let incarnation = ProcessIncarnation::from_u128(rng.random());
        let shifted_skew_ms = rng.random_range(0..20_000);
        let register = new_register(incarnation);
        Self { incarnations: vec![(MonoTime::ZERO, incarnation)], register, shifted_skew_ms }
    }

    pub(crate) fn incarnation(&self) -> ProcessIncarnation {
        self.incarnations.last().unwrap().1
    }

    /// Returns the incarnation at `time`, for entries that see the sidecar with a delay.
    pub(crate) fn incarnation_at(&self, time: MonoTime) -> ProcessIncarnation {
        self.incarnations.iter().rev().find(|(from, _)| *from <= time).unwrap().1
    }

    pub(crate) fn replace(&mut self, incarnation: ProcessIncarnation, now: MonoTime) {
        self.incarnations.push((now, incarnation));
        self.register = new_register(incarnation);
    }

    pub(crate) fn unix(&self, now: MonoTime) -> UnixMillis {
        UnixMillis(unix(now).0 + self.shifted_skew_ms - 10_000)
    }
}

fn new_register(incarnation: ProcessIncarnation) -> ClaimRegister<u32> {
    ClaimRegister::new(incarnation, RegisterOptions { window: WINDOW, max_claims: 1000 })
}

/// Intervals during which a component or connection is unavailable.
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

    pub(crate) fn contains(&self, now: MonoTime) -> bool {
        self.0.iter().any(|(from, to)| *from <= now && now < *to)
    }
}
