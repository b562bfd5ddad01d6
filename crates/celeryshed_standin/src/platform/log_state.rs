//! Streams, faults and counters of the log service.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use celeryshed_base::{ClockSource, LogOffset, MonoTime, UnixMillis, common_derives};
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
        /// Outage that begins when the faults are set and ends with the log's return from an older
        /// copy.
        pub restore: Option<LogRestore>,
    }

    /// An outage after which the log comes back from an older copy.
    ///
    /// Records appended since the copy are gone, their offsets are assigned again, and the era
    /// rises by one. Later faults don't cancel it; a later restore makes it take place at once.
    #[derive(Copy)]
    #[serde(deny_unknown_fields)]
    pub struct LogRestore {
        /// Age of the copy at the start of the outage, in milliseconds.
        pub copy_age_ms: u64,
        /// Length of the outage in milliseconds, in which calls are refused with 503.
        pub outage_ms: u64,
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
        /// How often the log came back from an older copy.
        pub era: u64,
    }
}

#[derive(Debug)]
pub(super) struct LogState {
    clock: ClockSource,
    options: LogOptions,
    limiter: RateLimiter,
    streams: BTreeMap<String, StreamState>,
    pending_restore: Option<PendingRestore>,
    pub(super) faults: LogFaults,
    pub(super) counts: LogCounts,
}

#[derive(Clone, Copy, Debug)]
struct PendingRestore {
    due_at: MonoTime,
    copied_at: UnixMillis,
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
            pending_restore: None,
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
        if let Some(restore) = faults.restore.take() {
            self.start_restore(restore);
        }
        self.faults = faults;
    }

    /// The outage set, or the one before a restore.
    pub(super) fn outage(&self) -> Outage {
        match self.faults.outage {
            Outage::None if self.pending_restore.is_some() => Outage::Unavailable,
            outage => outage,
        }
    }

    fn start_restore(&mut self, restore: LogRestore) {
        if let Some(pending) = self.pending_restore.take() {
            self.finish_restore(pending);
        }
        let due_at = self.clock.now() + Duration::from_millis(restore.outage_ms);
        let now = self.clock.unix_now();
        let copied_at = UnixMillis(now.0.saturating_sub(restore.copy_age_ms));
        self.pending_restore = Some(PendingRestore { due_at, copied_at });
    }

    pub(super) fn finish_due_restore(&mut self) {
        let now = self.clock.now();
        if let Some(pending) = self.pending_restore.take_if(|pending| pending.due_at <= now) {
            self.finish_restore(pending);
        }
    }

    fn finish_restore(&mut self, restore: PendingRestore) {
        for (name, stream) in &mut self.streams {
            stream.cut_back(restore.copied_at);
            self.counts.end_offsets.insert(name.clone(), stream.end_offset);
        }
        self.counts.era += 1;
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
        let (now, era) = (self.clock.unix_now(), self.counts.era);
        let retention = self.faults.retention_ms.map(Duration::from_millis);
        let retention = retention.unwrap_or(self.options.retention);
        let limit = limit.min(self.options.max_read_records);
        self.counts.reads += 1;
        let Some(stream) = self.streams.get_mut(name) else {
            let (oldest_offset, end_offset) = (LogOffset(0), LogOffset(0));
            return ReadReply { entries: Vec::new(), oldest_offset, end_offset, now, era };
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
            era,
        }
    }
}

impl StreamState {
    fn drop_while(&mut self, is_dropped: impl Fn(&LogEntry) -> bool) {
        while self.entries.front().is_some_and(&is_dropped) {
            self.entries.pop_front();
        }
    }

    /// Drops the records that were appended after `copied_at`.
    fn cut_back(&mut self, copied_at: UnixMillis) {
        let kept = self.entries.partition_point(|entry| entry.appended_at <= copied_at);
        if let Some(first_lost) = self.entries.get(kept) {
            self.end_offset = first_lost.offset;
        }
        self.entries.truncate(kept);
    }

    fn oldest_offset(&self) -> LogOffset {
        self.entries.front().map_or(self.end_offset, |entry| entry.offset)
    }

    fn read(&self, from: LogOffset, limit: u32) -> Vec<LogEntry> {
        let skipped = from.0.saturating_sub(self.oldest_offset().0) as usize;
        self.entries.iter().skip(skipped).take(limit as usize).cloned().collect()
    }
}
