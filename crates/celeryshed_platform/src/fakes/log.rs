//! In-memory log.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use celeryshed_base::{ClockSource, LogOffset, MonoTime, UnixMillis};
use celeryshed_wire::{LogEntry, ReadReply};

use super::{consume_one, lock, reply_lost, unreachable};
use crate::LogClient;
use crate::error::{PlatformError, Result};

const TARGET: &str = "fake log";

/// Call counters of a [`FakeLog`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogCounts {
    /// Appends that took effect, including those whose reply was lost.
    pub appends: u64,
    /// Records appended.
    pub records: u64,
    /// Reads answered.
    pub reads: u64,
    /// Calls that failed because of a fault.
    pub faults: u64,
}

/// An in-memory log with fault injection.
///
/// ```
/// use celeryshed_base::ClockSource;
/// use celeryshed_platform::{LogClient, fakes::FakeLog};
/// let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
/// runtime.block_on(async {
///     let log = FakeLog::new(ClockSource::start());
///     log.lose_next_replies(1);
///     assert!(log.append("crashes", vec!["record".into()]).await.is_err());
///     assert_eq!(log.entries("crashes").len(), 1);
/// });
/// ```
#[derive(Clone, Debug)]
pub struct FakeLog {
    state: Arc<Mutex<LogState>>,
}

#[derive(Debug)]
struct LogState {
    clock: ClockSource,
    streams: BTreeMap<String, StreamState>,
    retention: Option<Duration>,
    latency: Duration,
    outage: bool,
    refusals: u32,
    retry_after: Option<Duration>,
    lost_replies: u32,
    lost_requests: u32,
    pending_restore: Option<PendingRestore>,
    era: u64,
    counts: LogCounts,
}

/// An outage that ends with the log's return from an older copy.
#[derive(Clone, Copy, Debug)]
struct PendingRestore {
    due_at: MonoTime,
    copied_at: UnixMillis,
}

#[derive(Debug, Default)]
struct StreamState {
    entries: VecDeque<LogEntry>,
    end: LogOffset,
}

impl FakeLog {
    /// Creates an empty log without faults or retention limit; `clock` supplies the timestamps.
    pub fn new(clock: ClockSource) -> Self {
        let state = LogState {
            clock,
            streams: BTreeMap::new(),
            retention: None,
            latency: Duration::ZERO,
            outage: false,
            refusals: 0,
            retry_after: None,
            lost_replies: 0,
            lost_requests: 0,
            pending_restore: None,
            era: 0,
            counts: LogCounts::default(),
        };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Sets whether calls fail as unreachable.
    pub fn set_outage(&self, outage: bool) {
        self.lock().outage = outage;
    }

    /// Refuses the next `calls` calls and suggests a pause of `retry_after`.
    pub fn refuse_next(&self, calls: u32, retry_after: Option<Duration>) {
        let mut state = self.lock();
        state.refusals = calls;
        state.retry_after = retry_after;
    }

    /// Loses the replies of the next `appends` appends after they took effect.
    pub fn lose_next_replies(&self, appends: u32) {
        self.lock().lost_replies = appends;
    }

    /// Loses the next `appends` appends before they take effect; callers get the same error as for
    /// a lost reply.
    pub fn lose_next_requests(&self, appends: u32) {
        self.lock().lost_requests = appends;
    }

    /// Delays each call by `latency` on the Tokio clock.
    pub fn set_latency(&self, latency: Duration) {
        self.lock().latency = latency;
    }

    /// Drops records that are older than `retention`; `None`, the default, keeps all records.
    pub fn set_retention(&self, retention: Option<Duration>) {
        self.lock().retention = retention;
    }

    /// Drops the records of `stream` before `offset`.
    pub fn trim_before(&self, stream: &str, offset: LogOffset) {
        let mut state = self.lock();
        let stream = state.streams.entry(stream.to_owned()).or_default();
        stream.drop_while(|entry| entry.offset < offset);
    }

    /// Starts an outage of the length `outage`. After it, the log comes back from a copy that is
    /// `copy_age` old now: records appended since then are gone, their offsets are assigned again,
    /// and the era rises by one. A restore that is pending takes place at once.
    ///
    /// ```
    /// use std::time::Duration;
    /// use celeryshed_base::{ClockSource, LogOffset};
    /// use celeryshed_platform::{LogClient, fakes::FakeLog};
    /// let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    /// runtime.block_on(async {
    ///     let log = FakeLog::new(ClockSource::start());
    ///     log.insert("crashes", vec!["record".into()]);
    ///     log.restore(Duration::from_secs(5), Duration::ZERO);
    ///     let reply = log.read("crashes", LogOffset(1), 10).await.unwrap();
    ///     assert_eq!((reply.end_offset, reply.era), (LogOffset(0), 1));
    /// });
    /// ```
    pub fn restore(&self, copy_age: Duration, outage: Duration) {
        let mut state = self.lock();
        if let Some(pending) = state.pending_restore.take() {
            state.finish_restore(pending);
        }
        let due_at = state.clock.now() + outage;
        let age_ms = copy_age.as_millis() as u64;
        let copied_at = UnixMillis(state.clock.unix_now().0.saturating_sub(age_ms));
        state.pending_restore = Some(PendingRestore { due_at, copied_at });
    }

    /// Appends records directly, regardless of injected faults.
    pub fn insert(&self, stream: &str, records: Vec<Bytes>) -> LogOffset {
        self.lock().append(stream, records)
    }

    /// Returns the records of `stream` that are not dropped by retention or trimming.
    pub fn entries(&self, stream: &str) -> Vec<LogEntry> {
        let mut state = self.lock();
        state.expire(stream);
        state.streams.get(stream).map(|s| s.entries.iter().cloned().collect()).unwrap_or_default()
    }

    /// Returns the call counters.
    pub fn counts(&self) -> LogCounts {
        self.lock().counts
    }

    fn lock(&self) -> MutexGuard<'_, LogState> {
        let mut state = lock(&self.state);
        state.finish_due_restore();
        state
    }

    async fn delay(&self) {
        let latency = self.lock().latency;
        if !latency.is_zero() {
            tokio::time::sleep(latency).await;
        }
    }
}

impl StreamState {
    fn drop_while(&mut self, dropped: impl Fn(&LogEntry) -> bool) {
        while self.entries.front().is_some_and(&dropped) {
            self.entries.pop_front();
        }
    }

    /// Drops the records that were appended after `copied_at`.
    fn cut_back(&mut self, copied_at: UnixMillis) {
        let kept = self.entries.partition_point(|entry| entry.appended_at <= copied_at);
        if let Some(first_lost) = self.entries.get(kept) {
            self.end = first_lost.offset;
        }
        self.entries.truncate(kept);
    }

    fn oldest(&self) -> LogOffset {
        self.entries.front().map_or(self.end, |entry| entry.offset)
    }
}

impl LogState {
    /// Fails during an outage, or if the call is one to refuse.
    fn check_faults(&mut self) -> Result<()> {
        if self.outage || self.pending_restore.is_some() {
            self.counts.faults += 1;
            return Err(unreachable(TARGET));
        }
        if consume_one(&mut self.refusals) {
            self.counts.faults += 1;
            let reason = "refused by fault".to_owned();
            let retry_after = self.retry_after;
            return Err(PlatformError::Refused { target: TARGET.to_owned(), reason, retry_after });
        }
        Ok(())
    }

    fn finish_due_restore(&mut self) {
        let now = self.clock.now();
        if let Some(pending) = self.pending_restore.take_if(|pending| pending.due_at <= now) {
            self.finish_restore(pending);
        }
    }

    fn finish_restore(&mut self, restore: PendingRestore) {
        for stream in self.streams.values_mut() {
            stream.cut_back(restore.copied_at);
        }
        self.era += 1;
    }

    fn append(&mut self, stream: &str, records: Vec<Bytes>) -> LogOffset {
        let appended_at = self.clock.unix_now();
        let stream = self.streams.entry(stream.to_owned()).or_default();
        let first = stream.end;
        self.counts.appends += 1;
        self.counts.records += records.len() as u64;
        for record in records {
            let payload = Vec::from(record).into();
            stream.entries.push_back(LogEntry { offset: stream.end, appended_at, payload });
            stream.end = stream.end.next();
        }
        first
    }

    fn expire(&mut self, stream: &str) {
        let now = self.clock.unix_now();
        if let (Some(retention), Some(stream)) = (self.retention, self.streams.get_mut(stream)) {
            stream.drop_while(|entry| now.since(entry.appended_at) > retention);
        }
    }

    fn read(&mut self, stream: &str, from: LogOffset, limit: u32) -> ReadReply {
        self.expire(stream);
        self.counts.reads += 1;
        let (now, era) = (self.clock.unix_now(), self.era);
        let Some(stream) = self.streams.get(stream) else {
            let (oldest_offset, end_offset) = (LogOffset(0), LogOffset(0));
            return ReadReply { entries: Vec::new(), oldest_offset, end_offset, now, era };
        };
        let kept = stream.entries.iter().filter(|entry| entry.offset >= from);
        ReadReply {
            entries: kept.take(limit as usize).cloned().collect(),
            oldest_offset: stream.oldest(),
            end_offset: stream.end,
            now,
            era,
        }
    }
}

#[async_trait]
impl LogClient for FakeLog {
    async fn append(&self, stream: &str, records: Vec<Bytes>) -> Result<LogOffset> {
        self.delay().await;
        let mut state = self.lock();
        state.check_faults()?;
        if consume_one(&mut state.lost_requests) {
            state.counts.faults += 1;
            return Err(reply_lost(TARGET));
        }
        let first = state.append(stream, records);
        if consume_one(&mut state.lost_replies) {
            state.counts.faults += 1;
            return Err(reply_lost(TARGET));
        }
        Ok(first)
    }

    async fn read(&self, stream: &str, from: LogOffset, limit: u32) -> Result<ReadReply> {
        self.delay().await;
        let mut state = self.lock();
        state.check_faults()?;
        Ok(state.read(stream, from, limit))
    }
}
