//! The task that owns one partition of the claim log.

use std::future::{Future, pending};
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::{ClockSource, LogOffset, MonoTime};
use celeryshed_core::booking::{
    AppendResult, BookingIdentity, ClaimLogPage, ClaimLogRecord, LogView, PartitionReplica,
};
use celeryshed_observe::EventLine;
use celeryshed_platform::{LogClient, PlatformError};
use celeryshed_wire::{ClaimOutcome, ClaimRecord, ReadReply, ServiceAnswer, decode, encode};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};

use super::options::BookingOptions;

/// Commands that may wait for the task.
const COMMAND_QUEUE: usize = 1024;

/// Records of the first read. A record holds up to 64 KiB, so that a large page may take longer
/// than the client's timeout on a slow link.
const FIRST_PAGE_RECORDS: u32 = 128;

/// Pause after a read that failed.
const FAILED_READ_PAUSE: Duration = Duration::from_millis(200);

type ReadResult = celeryshed_platform::Result<ReadReply>;
type AppendReply = celeryshed_platform::Result<LogOffset>;
type PendingFuture<T> = Option<Pin<Box<dyn Future<Output = T> + Send>>>;

enum PartitionCommand {
    Watch { identity: BookingIdentity, views: watch::Sender<Option<LogView>> },
    Append { record: Bytes, reply: oneshot::Sender<AppendResult> },
}

struct PendingAppend {
    record: Bytes,
    reply: oneshot::Sender<AppendResult>,
}

struct BookingWatcher {
    identity: BookingIdentity,
    arrival: LogOffset,
    views: watch::Sender<Option<LogView>>,
}

/// Handle of a partition's task.
#[derive(Clone)]
pub(super) struct PartitionHandle {
    pub(super) partition: u32,
    stream: String,
    log: Arc<dyn LogClient>,
    commands: mpsc::Sender<PartitionCommand>,
}

impl PartitionHandle {
    /// Starts the task of `partition`; it ends when the last handle is dropped.
    pub(super) fn start(
        partition: u32,
        log: Arc<dyn LogClient>,
        clock: ClockSource,
        options: BookingOptions,
    ) -> Self {
        let (commands, receiver) = mpsc::channel(COMMAND_QUEUE);
        let stream = format!("claims-{partition}");
        let task = PartitionTask {
            stream: stream.clone(),
            log: log.clone(),
            clock,
            options,
            replica: PartitionReplica::new(options.fold()),
            watchers: Vec::new(),
            waiting: Vec::new(),
            in_flight: Vec::new(),
            page_records: FIRST_PAGE_RECORDS.min(options.settings.page_records),
            read_due: Instant::now(),
            failing: false,
        };
        tokio::spawn(task.run(receiver));
        Self { partition, stream, log, commands }
    }

    /// Follows a booking: each value is a read to the end that began after this call.
    pub(super) async fn watch(
        &self,
        identity: BookingIdentity,
    ) -> watch::Receiver<Option<LogView>> {
        let (views, receiver) = watch::channel(None);
        // A task that has ended drops the sender, which the receiver sees.
        let _ = self.commands.send(PartitionCommand::Watch { identity, views }).await;
        receiver
    }

    /// Appends a record with the next group.
    pub(super) async fn append(&self, record: ClaimLogRecord) -> AppendResult {
        let encoded = ClaimRecord::try_from(record).ok().and_then(|record| encode(&record).ok());
        let Some(record) = encoded else { return AppendResult::Refused };
        let (reply, receiver) = oneshot::channel();
        if self.commands.send(PartitionCommand::Append { record, reply }).await.is_err() {
            return AppendResult::Refused;
        }
        receiver.await.unwrap_or(AppendResult::Unknown)
    }

    /// Reads the answer in the outcome record at `offset`.
    pub(super) async fn read_answer(&self, offset: LogOffset) -> Option<ServiceAnswer> {
        let reply = self.log.read(&self.stream, offset, 1).await.ok()?;
        let entry = reply.entries.into_iter().find(|entry| entry.offset == offset)?;
        match decode::<ClaimRecord>(&entry.payload).ok()? {
            ClaimRecord::Outcome { outcome: ClaimOutcome::Answer(answer), .. } => Some(answer),
            _ => None,
        }
    }
}

struct PartitionTask {
    stream: String,
    log: Arc<dyn LogClient>,
    clock: ClockSource,
    options: BookingOptions,
    replica: PartitionReplica,
    watchers: Vec<BookingWatcher>,
    waiting: Vec<PendingAppend>,
    in_flight: Vec<PendingAppend>,
    page_records: u32,
    read_due: Instant,
    failing: bool,
}

impl PartitionTask {
    async fn run(mut self, mut commands: mpsc::Receiver<PartitionCommand>) {
        let mut read: PendingFuture<(MonoTime, ReadResult)> = None;
        let mut append: PendingFuture<AppendReply> = None;
        loop {
            if append.is_none() && !self.waiting.is_empty() {
                append = Some(self.start_append());
            }
            tokio::select! {
                // A request's arrival is noted before records of a read that ends meanwhile, since
                // a fence among them may be younger than the request.
                biased;
                command = commands.recv() => match command {
                    Some(command) => self.take(command),
                    None => return,
                },
                (read_started, reply) = next(&mut read) => {
                    read = None;
                    self.finish_read(read_started, reply);
                }
                reply = next(&mut append) => {
                    append = None;
                    self.finish_append(reply);
                }
                () = sleep_until(self.read_due), if read.is_none() => {
                    // A command during the read moves this forward again.
                    self.read_due = Instant::now() + self.options.settings.idle_interval;
                    read = Some(self.start_read());
                }
            }
        }
    }

    fn take(&mut self, command: PartitionCommand) {
        match command {
            PartitionCommand::Watch { identity, views } => {
                let arrival = self.replica.next_offset();
                self.watchers.push(BookingWatcher { identity, arrival, views });
                self.read_due = Instant::now();
            }
            PartitionCommand::Append { record, reply } => {
                self.waiting.push(PendingAppend { record, reply });
            }
        }
    }

    fn start_read(&self) -> Pin<Box<dyn Future<Output = (MonoTime, ReadResult)> + Send>> {
        let log = self.log.clone();
        let stream = self.stream.clone();
        let from = self.replica.next_offset();
        let limit = self.page_records;
        let read_started = self.clock.now();
        Box::pin(async move { (read_started, log.read(&stream, from, limit).await) })
    }

    fn finish_read(&mut self, read_started: MonoTime, reply: ReadResult) {
        let pause = match reply {
            Ok(reply) => {
                self.note_readable();
                let doubled = self.page_records.saturating_mul(2);
                self.page_records = doubled.min(self.options.settings.page_records);
                self.apply(read_started, &reply)
            }
            Err(error) => {
                self.note_unreadable(&error);
                self.page_records = (self.page_records / 2).max(1);
                FAILED_READ_PAUSE
            }
        };
        self.watchers.retain(|watcher| !watcher.views.is_closed());
        let idle = self.watchers.is_empty() && !pause.is_zero();
        let pause = if idle { self.options.settings.idle_interval } else { pause };
        self.read_due = self.read_due.min(Instant::now() + pause);
    }

    /// Folds a reply in and returns the pause before the next read.
    fn apply(&mut self, read_started: MonoTime, reply: &ReadReply) -> Duration {
        if !self.replica.apply(&ClaimLogPage::from(reply)) {
            return Duration::ZERO;
        }
        for watcher in &self.watchers {
            let identity = &watcher.identity;
            let view = LogView {
                read_started,
                log_now: reply.now,
                arrival_offset: watcher.arrival,
                covered: self.replica.covers(identity.key.issued_at()),
                booking_state: self.replica.booking_state(&identity.booking),
            };
            watcher.views.send_replace(Some(view));
        }
        self.options.settings.follow_interval
    }

    fn start_append(&mut self) -> Pin<Box<dyn Future<Output = AppendReply> + Send>> {
        let count = self.waiting.len().min(self.options.settings.append_records);
        self.in_flight = self.waiting.drain(..count).collect();
        let records = self.in_flight.iter().map(|pending| pending.record.clone()).collect();
        let log = self.log.clone();
        let stream = self.stream.clone();
        Box::pin(async move { log.append(&stream, records).await })
    }

    fn finish_append(&mut self, reply: AppendReply) {
        let result = match reply {
            Ok(_) => AppendResult::Done,
            Err(PlatformError::ReplyLost { .. }) => AppendResult::Unknown,
            Err(
                PlatformError::Refused { .. }
                | PlatformError::Unreachable { .. }
                | PlatformError::NotFound { .. },
            ) => AppendResult::Refused,
        };
        for pending in self.in_flight.drain(..) {
            // A request that has ended doesn't wait for its release.
            let _ = pending.reply.send(result);
        }
        self.read_due = Instant::now();
    }

    fn note_unreadable(&mut self, error: &PlatformError) {
        if !self.failing {
            let line = EventLine::new("claim_log_unreadable").field("stream", &self.stream);
            line.field("error", error).warn();
        }
        self.failing = true;
    }

    fn note_readable(&mut self) {
        if self.failing {
            EventLine::new("claim_log_readable").field("stream", &self.stream).info();
        }
        self.failing = false;
    }
}

/// Waits for the future; without one it waits for ever.
async fn next<T>(future: &mut PendingFuture<T>) -> T {
    match future {
        Some(future) => future.await,
        None => pending().await,
    }
}
