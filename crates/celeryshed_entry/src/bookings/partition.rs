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

/// Most commands that wait for the task.
const COMMAND_QUEUE: usize = 1024;

/// Most records of the first read. A record holds up to 64 KiB, so on a slow link a full page may
/// take longer than the client's timeout.
const FIRST_PAGE_RECORDS: u32 = 128;

/// Pause after a failed read.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);

type ReadResult = celeryshed_platform::Result<ReadReply>;
type AppendReply = celeryshed_platform::Result<LogOffset>;
type PendingFuture<T> = Option<Pin<Box<dyn Future<Output = T> + Send>>>;

enum PartitionCommand {
    Subscribe { identity: BookingIdentity, views: watch::Sender<Option<LogView>> },
    Append { record: Bytes, reply: oneshot::Sender<AppendResult> },
}

struct PendingAppend {
    record: Bytes,
    reply: oneshot::Sender<AppendResult>,
}

struct BookingSubscriber {
    identity: BookingIdentity,
    /// Offset up to which the partition had been read when the request arrived.
    arrival_offset: LogOffset,
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
            replica: PartitionReplica::new(options.replay()),
            subscribers: Vec::new(),
            queued_appends: Vec::new(),
            running_appends: Vec::new(),
            page_records: FIRST_PAGE_RECORDS.min(options.settings.page_records),
            read_due: Instant::now(),
            log_unreadable: false,
        };
        tokio::spawn(task.run(receiver));
        Self { partition, stream, log, commands }
    }

    /// Subscribes to the claims of a booking.
    ///
    /// The first value is `None`. Each later value comes from a read that reached the end of the
    /// partition; a read that began before this call can give one of them.
    pub(super) async fn subscribe(
        &self,
        identity: BookingIdentity,
    ) -> watch::Receiver<Option<LogView>> {
        let (views, receiver) = watch::channel(None);
        // When the task has ended, the dropped sender closes the returned receiver.
        let _ = self.commands.send(PartitionCommand::Subscribe { identity, views }).await;
        receiver
    }

    /// Appends a record; records that wait at the same time share one append.
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
    subscribers: Vec<BookingSubscriber>,
    queued_appends: Vec<PendingAppend>,
    running_appends: Vec<PendingAppend>,
    page_records: u32,
    read_due: Instant,
    log_unreadable: bool,
}

impl PartitionTask {
    async fn run(mut self, mut commands: mpsc::Receiver<PartitionCommand>) {
        let mut read: PendingFuture<(MonoTime, ReadResult)> = None;
        let mut append: PendingFuture<AppendReply> = None;
        loop {
            if append.is_none() && !self.queued_appends.is_empty() {
                append = Some(self.start_append());
            }
            tokio::select! {
                // Commands come first, so that a request is registered before the records of a read
                // that has just ended are applied: a fence in them may be younger than the request.
                biased;
                command = commands.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return,
                },
                (read_started, reply) = await_pending(&mut read) => {
                    read = None;
                    self.finish_read(read_started, reply);
                }
                reply = await_pending(&mut append) => {
                    append = None;
                    self.finish_append(reply);
                }
                () = sleep_until(self.read_due), if read.is_none() => {
                    // A command or reply during the read makes the next one due earlier.
                    self.read_due = Instant::now() + self.options.settings.idle_interval;
                    read = Some(self.start_read());
                }
            }
        }
    }

    fn handle_command(&mut self, command: PartitionCommand) {
        match command {
            PartitionCommand::Subscribe { identity, views } => {
                let arrival_offset = self.replica.next_offset();
                self.subscribers.push(BookingSubscriber { identity, arrival_offset, views });
                self.read_due = Instant::now();
            }
            PartitionCommand::Append { record, reply } => {
                self.queued_appends.push(PendingAppend { record, reply });
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
                self.log_read_recovery();
                let doubled = self.page_records.saturating_mul(2);
                self.page_records = doubled.min(self.options.settings.page_records);
                self.apply(read_started, &reply)
            }
            Err(error) => {
                self.log_read_failure(&error);
                self.page_records = (self.page_records / 2).max(1);
                READ_RETRY_DELAY
            }
        };
        self.subscribers.retain(|subscriber| !subscriber.views.is_closed());
        let idle = self.subscribers.is_empty() && !pause.is_zero();
        let pause = if idle { self.options.settings.idle_interval } else { pause };
        self.read_due = self.read_due.min(Instant::now() + pause);
    }

    /// Applies the records of a reply and returns the pause before the next read.
    fn apply(&mut self, read_started: MonoTime, reply: &ReadReply) -> Duration {
        if !self.replica.apply(&ClaimLogPage::from(reply)) {
            return Duration::ZERO;
        }
        for subscriber in &self.subscribers {
            let identity = &subscriber.identity;
            let view = LogView {
                read_started,
                log_now: reply.now,
                arrival_offset: subscriber.arrival_offset,
                covered: self.replica.covers(identity.key.issued_at()),
                booking_state: self.replica.booking_state(&identity.booking),
            };
            subscriber.views.send_replace(Some(view));
        }
        self.options.settings.follow_interval
    }

    fn start_append(&mut self) -> Pin<Box<dyn Future<Output = AppendReply> + Send>> {
        let count = self.queued_appends.len().min(self.options.settings.append_records);
        self.running_appends = self.queued_appends.drain(..count).collect();
        let records = self.running_appends.iter().map(|pending| pending.record.clone()).collect();
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
        for pending in self.running_appends.drain(..) {
            // A request that has ended no longer waits for the result.
            let _ = pending.reply.send(result);
        }
        self.read_due = Instant::now();
    }

    fn log_read_failure(&mut self, error: &PlatformError) {
        if !self.log_unreadable {
            let line = EventLine::new("claim_log_unreadable").field("stream", &self.stream);
            line.field("error", error).warn();
        }
        self.log_unreadable = true;
    }

    fn log_read_recovery(&mut self) {
        if self.log_unreadable {
            EventLine::new("claim_log_readable").field("stream", &self.stream).info();
        }
        self.log_unreadable = false;
    }
}

/// Awaits a pending future; never returns when there is none.
async fn await_pending<T>(future: &mut PendingFuture<T>) -> T {
    match future {
        Some(future) => future.await,
        None => pending().await,
    }
}
