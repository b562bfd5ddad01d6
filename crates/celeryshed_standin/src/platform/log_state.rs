//! Streams, faults and counters of the log service.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use celeryshed_base::{ClockSource, LogOffset, common_derives};
use celeryshed_wire::{AppendRequest, LogEntry, ReadReply};

use super::options::LogOptions;
use crate::faults::Outage;
use crate::limits::RateLimiter;

common_derives! { record:
    /// Faults of the log; by default there are none.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct LogFaults {
        /// Outage of all calls.
        pub outage: Outage,
        /// Number of upcoming appends that take effect but whose connection is closed without a
        /// reply.
        pub lose_replies: u32,
        /// Number of upcoming appends that have no effect and whose connection is closed without a
        /// reply.
        pub lose_requests: u32,
        /// Delay added to `latency_ms` of the options for each call, in milliseconds.
        pub extra_latency_ms: u64,
        /// Age in milliseconds above which records are dropped; if absent, `retention_ms` of the
        /// options applies.
        pub retention_ms: Option<u64>,
        /// Offset by stream name below which existing records are dropped when the faults are set.
        pub trim_before: BTreeMap<String, LogOffset>,
    }

    /// Counters of the log since its launch.
    #[derive(Default)]
    pub struct LogCounts {
        /// Appends that took effect, including those whose reply was lost.
        pub appends: u64,
        /// Records appended to all streams.
        pub records: u64,
        /// Bytes of the appended records, without framing.
        pub bytes_appended: u64,
        /// Appends answered with 429 because `appends_per_s` was exceeded.
        pub rate_limited: u64,
        /// Reads answered.
        pub reads: u64,
        /// Bytes of the records in replies to reads, without framing.
        pub bytes_read: u64,
        /// Replies that a fault dropped after the append took effect.
        pub replies_lost: u64,
        /// Appends that a fault dropped before they took effect.
        pub requests_lost: u64,
        /// Offset of the next record by stream name.
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
    end_offset: LogOffset,
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

    /// Admits an append under the rate limit, or returns the time until the next one is admitted.
    pub(super) fn admit_append(&mut self) -> Result<(), Duration> {
        let admitted = self.limiter.try_take(1.0, self.clock.now());
        if admitted.is_err() {
            self.counts.rate_limited += 1;
        }
        admitted
    }

    pub(super) fn append(&mut self, name: &str, request: AppendRequest) -> LogOffset {
        let appended_at = self.clock.unix_now();
        let stream = self.streams.entry(name.to_owned()).or_default();
        let first_offset = stream.end_offset;
        self.counts.appends += 1;
        for payload in request.records {
            self.counts.records += 1;
            self.counts.bytes_appended += payload.len() as u64;
            stream.entries.push_back(LogEntry { offset: stream.end_offset, appended_at, payload });
            stream.end_offset = stream.end_offset.next();
        }
        self.counts.end_offsets.insert(name.to_owned(), stream.end_offset);
        first_offset
    }

    /// Records that are kept, including expired ones: reads drop expired records.
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
        ReadReply {
            entries,
            oldest_offset: stream.oldest_offset(),
            end_offset: stream.end_offset,
            now,
        }
    }
}

impl StreamState {
    fn drop_while(&mut self, is_dropped: impl Fn(&LogEntry) -> bool) {
        while self.entries.front().is_some_and(&is_dropped) {
            self.entries.pop_front();
        }
    }

    fn oldest_offset(&self) -> LogOffset {
        self.entries.front().map_or(self.end_offset, |entry| entry.offset)
    }

    fn read(&self, from: LogOffset, limit: u32) -> Vec<LogEntry> {
        let skipped = from.0.saturating_sub(self.oldest_offset().0) as usize;
        self.entries.iter().skip(skipped).take(limit as usize).cloned().collect()
    }
}
