//! State of the log.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use celeryshed_base::{ClockSource, LogOffset, common_derives};
use celeryshed_wire::{AppendRequest, LogEntry, ReadReply};

use super::options::LogOptions;
use crate::limits::RateLimiter;
use crate::steering::Outage;

common_derives! { record:
    /// Faults of the log.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct LogFaults {
        /// Outage of all calls.
        pub outage: Outage,
        /// Appends whose reply is lost after they took effect.
        pub lose_replies: u32,
        /// Appends that are lost before they take effect, with the connection cut.
        pub lose_requests: u32,
        /// Delay of each call in addition to the usual one, in milliseconds.
        pub extra_latency_ms: u64,
        /// Retention in milliseconds instead of the options'.
        pub retention_ms: Option<u64>,
        /// Drops the records of each stream before the offset, once.
        pub trim_before: BTreeMap<String, LogOffset>,
    }

    /// What the log has counted.
    #[derive(Default)]
    pub struct LogCounts {
        /// Appends that took effect.
        pub appends: u64,
        /// Records appended.
        pub records: u64,
        /// Bytes appended.
        pub bytes_appended: u64,
        /// Appends refused because of the rate.
        pub rate_limited: u64,
        /// Reads answered.
        pub reads: u64,
        /// Bytes of records in replies to reads.
        pub bytes_read: u64,
        /// Replies lost after the append took effect.
        pub replies_lost: u64,
        /// Appends lost before they took effect.
        pub requests_lost: u64,
        /// Offset that the next record of each stream will get.
        pub end_offsets: BTreeMap<String, LogOffset>,
    }
}

#[derive(Debug)]
pub(super) struct LogState {
    clock: ClockSource,
    options: LogOptions,
    limiter: RateLimiter,
    streams: BTreeMap<String, StreamState>,
    pub(super) faults: LogFaults,
    pub(super) counts: LogCounts,
}

#[derive(Debug, Default)]
struct StreamState {
    entries: VecDeque<LogEntry>,
    end: LogOffset,
}

impl LogState {
    pub(super) fn new(options: LogOptions, clock: ClockSource) -> Self {
        let rate = f64::from(options.appends_per_s);
        Self {
            clock,
            limiter: RateLimiter::new(rate, rate, clock.now()),
            options,
            streams: BTreeMap::new(),
            faults: LogFaults::default(),
            counts: LogCounts::default(),
        }
    }

    pub(super) fn latency(&self) -> Duration {
        self.options.latency + Duration::from_millis(self.faults.extra_latency_ms)
    }

    pub(super) fn set_faults(&mut self, mut faults: LogFaults) {
        for (stream, offset) in std::mem::take(&mut faults.trim_before) {
            if let Some(stream) = self.streams.get_mut(&stream) {
                stream.drop_while(|entry| entry.offset < offset);
            }
        }
        self.faults = faults;
    }

    /// Takes an append from the rate, or tells how long to wait.
    pub(super) fn take_rate(&mut self) -> Result<(), Duration> {
        let taken = self.limiter.take(1.0, self.clock.now());
        if taken.is_err() {
            self.counts.rate_limited += 1;
        }
        taken
    }

    pub(super) fn append(&mut self, name: &str, request: AppendRequest) -> LogOffset {
        let appended_at = self.clock.unix_now();
        let stream = self.streams.entry(name.to_owned()).or_default();
        let first = stream.end;
        self.counts.appends += 1;
        for payload in request.records {
            self.counts.records += 1;
            self.counts.bytes_appended += payload.len() as u64;
            stream.entries.push_back(LogEntry { offset: stream.end, appended_at, payload });
            stream.end = stream.end.next();
        }
        self.counts.end_offsets.insert(name.to_owned(), stream.end);
        first
    }

    /// The records that no read has found expired yet.
    pub(super) fn entries(&self, name: &str) -> Vec<LogEntry> {
        let stream = self.streams.get(name);
        stream.map(|stream| stream.entries.iter().cloned().collect()).unwrap_or_default()
    }

    pub(super) fn read(&mut self, name: &str, from: LogOffset, limit: u32) -> ReadReply {
        let now = self.clock.unix_now();
        let retention = self.faults.retention_ms.map(Duration::from_millis);
        let retention = retention.unwrap_or(self.options.retention);
        let limit = limit.min(self.options.max_read_records);
        self.counts.reads += 1;
        let Some(stream) = self.streams.get_mut(name) else {
            let start = LogOffset(0);
            return ReadReply { entries: Vec::new(), oldest_offset: start, end_offset: start, now };
        };
        stream.drop_while(|entry| now.since(entry.appended_at) > retention);
        let entries = stream.read(from, limit);
        self.counts.bytes_read +=
            entries.iter().map(|entry| entry.payload.len() as u64).sum::<u64>();
        ReadReply { entries, oldest_offset: stream.oldest(), end_offset: stream.end, now }
    }
}

impl StreamState {
    fn drop_while(&mut self, dropped: impl Fn(&LogEntry) -> bool) {
        while self.entries.front().is_some_and(&dropped) {
            self.entries.pop_front();
        }
    }

    fn oldest(&self) -> LogOffset {
        self.entries.front().map_or(self.end, |entry| entry.offset)
    }

    fn read(&self, from: LogOffset, limit: u32) -> Vec<LogEntry> {
        let skipped = from.0.saturating_sub(self.oldest().0) as usize;
        self.entries.iter().skip(skipped).take(limit as usize).cloned().collect()
    }
}
