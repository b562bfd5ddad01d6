//! Publishing of configuration changes.
//!
//! A change is made from the revision that the publisher has folded, appended under a record id,
//! and followed until the replica gives its verdict. Every process folds the same records, so the
//! verdict printed here is the one that takes effect everywhere.

use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::{RecordId, common_derives};
use celeryshed_core::configuration::{
    ChangeKind, ChangeRecord, ChangeVerdict, ConfigurationLogPage, ConfigurationReplica,
    ConfigurationState, ReplayProgress,
};
use celeryshed_platform::{LogClient, PlatformError};
use celeryshed_wire::{CodecError, ConfigurationEntry, ConfigurationRecord, encode};
use tokio::time::{Instant, sleep, timeout_at};

/// The stream of the log that holds the configuration.
const STREAM: &str = "configuration";

/// Records asked for at a time.
const READ_LIMIT: u32 = 500;

/// A change whose verdict is not known, or a log that can't be followed.
#[derive(Debug, thiserror::Error)]
pub enum PublishError {
    /// The change is certainly not in the log.
    #[error("the change was not appended and has no effect: {0}")]
    NotAppended(PlatformError),
    /// The change may be in the log.
    #[error(
        "the verdict on record {record_id} is not known and the change may take effect: {reason}"
    )]
    Undecided {
        /// Id of the record.
        record_id: RecordId,
        /// Why the verdict is not known.
        reason: String,
    },
    /// The log can't be read.
    #[error("the configuration can't be read from the log: {0}")]
    Unreadable(PlatformError),
    /// Records that were not folded are no longer kept, and no snapshot covers them.
    #[error("the log no longer holds all changes and has no usable snapshot yet; try again later")]
    RecordsMissing,
    /// The log ends before records that it held earlier.
    #[error("the log ends before records that it held earlier")]
    LogShortened,
    /// The change has no record form.
    #[error("the change can't be encoded: {0}")]
    Encode(#[from] CodecError),
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, PublishError>;

common_derives! { value:
    /// Options of a publisher.
    #[derive(Copy)]
    pub struct PublishOptions {
        /// Pause between two tries.
        pub pause: Duration,
        /// Longest time for one change, all tries included.
        pub deadline: Duration,
    }
}

impl Default for PublishOptions {
    fn default() -> Self {
        Self { pause: Duration::from_millis(500), deadline: Duration::from_secs(30) }
    }
}

/// Publishes changes and follows the log.
///
/// ```
/// use celeryshed_base::ClockSource;
/// use celeryshed_operate::publish::{ConfigurationPublisher, PublishOptions};
/// use celeryshed_platform::fakes::FakeLog;
/// use std::sync::Arc;
/// let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
/// runtime.block_on(async {
///     let log = Arc::new(FakeLog::new(ClockSource::start()));
///     let mut publisher = ConfigurationPublisher::new(log, PublishOptions::default());
///     assert_eq!(publisher.catch_up().await.unwrap().revision.0, 0);
/// });
/// ```
pub struct ConfigurationPublisher {
    log: Arc<dyn LogClient>,
    options: PublishOptions,
    replica: ConfigurationReplica,
}

impl ConfigurationPublisher {
    /// A publisher that has read nothing yet.
    pub fn new(log: Arc<dyn LogClient>, options: PublishOptions) -> Self {
        Self { log, options, replica: ConfigurationReplica::default() }
    }

    /// Reads the log to its end and returns the configuration in force.
    pub async fn catch_up(&mut self) -> Result<&ConfigurationState> {
        let deadline = Instant::now() + self.options.deadline;
        loop {
            match self.read_to_end(deadline, None).await {
                Ok(()) => break,
                Err(PublishError::Unreadable(_)) if Instant::now() < deadline => {
                    sleep(self.options.pause).await;
                }
                Err(error) => return Err(error),
            }
        }
        self.replica.state().ok_or(PublishError::RecordsMissing)
    }

    /// Publishes a change made from the configuration in force and returns its verdict.
    ///
    /// After an append whose reply is lost, the log is searched for the record before it is
    /// appended again. A second copy that arrives late does no harm: it is stale.
    pub async fn publish(&mut self, change: ChangeKind) -> Result<ChangeVerdict> {
        let base_revision = self.catch_up().await?.revision;
        let record = ChangeRecord { record_id: RecordId::random(), base_revision, change };
        self.publish_record(record).await
    }

    /// Publishes a prepared record and returns its verdict.
    pub async fn publish_record(&mut self, record: ChangeRecord) -> Result<ChangeVerdict> {
        let mut awaited = AwaitedVerdict { record_id: record.record_id, verdict: None };
        let entry = ConfigurationEntry::Change(ConfigurationRecord::from(record));
        let payload = encode(&entry)?;
        let deadline = Instant::now() + self.options.deadline;
        let mut may_be_there = false;
        loop {
            let failure = match self.append(payload.clone(), deadline).await {
                Ok(()) => return self.wait_for(&mut awaited, deadline).await,
                Err(error) => error,
            };
            may_be_there |= matches!(failure, PlatformError::ReplyLost { .. });
            if may_be_there && let Some(verdict) = self.search(&mut awaited, deadline).await? {
                return Ok(verdict);
            }
            if Instant::now() + self.options.pause >= deadline {
                return Err(given_up(awaited.record_id, may_be_there, failure));
            }
            sleep(self.options.pause).await;
        }
    }

    /// Waits until the log shows the verdict on a record that was appended.
    async fn wait_for(
        &mut self,
        awaited: &mut AwaitedVerdict,
        deadline: Instant,
    ) -> Result<ChangeVerdict> {
        loop {
            if let Some(verdict) = self.search(awaited, deadline).await? {
                return Ok(verdict);
            }
            if Instant::now() + self.options.pause >= deadline {
                return Err(awaited.undecided("the log doesn't show the record".to_owned()));
            }
            sleep(self.options.pause).await;
        }
    }

    /// Reads to the end of the log; returns the verdict on the record, if the log holds it.
    async fn search(
        &mut self,
        awaited: &mut AwaitedVerdict,
        deadline: Instant,
    ) -> Result<Option<ChangeVerdict>> {
        loop {
            let read = self.read_to_end(deadline, Some(&mut *awaited)).await;
            if let Some(verdict) = awaited.verdict.take() {
                return Ok(Some(verdict));
            }
            let Err(error) = read else { return Ok(None) };
            if Instant::now() + self.options.pause >= deadline {
                return Err(awaited.undecided(error.to_string()));
            }
            sleep(self.options.pause).await;
        }
    }

    async fn read_to_end(
        &mut self,
        deadline: Instant,
        mut awaited: Option<&mut AwaitedVerdict>,
    ) -> Result<()> {
        loop {
            let read = self.log.read(STREAM, self.replica.next_offset(), READ_LIMIT);
            let reply = timeout_at(deadline, read).await.unwrap_or_else(|_| Err(too_late()));
            let reply = reply.map_err(PublishError::Unreadable)?;
            let before = self.replica.next_offset();
            let report = self.replica.apply(&ConfigurationLogPage::from(&reply));
            if let Some(awaited) = awaited.as_deref_mut() {
                awaited.look_at(report.verdicts);
            }
            match report.progress {
                ReplayProgress::Behind if self.replica.next_offset() != before => {}
                // A reply that brings nothing is not asked for again at once.
                ReplayProgress::Behind => sleep(self.options.pause).await,
                ReplayProgress::CaughtUp => return Ok(()),
                ReplayProgress::RecordsMissing => return Err(PublishError::RecordsMissing),
                ReplayProgress::LogShortened => return Err(PublishError::LogShortened),
            }
        }
    }

    async fn append(
        &self,
        payload: bytes::Bytes,
        deadline: Instant,
    ) -> std::result::Result<(), PlatformError> {
        let append = self.log.append(STREAM, vec![payload]);
        timeout_at(deadline, append).await.unwrap_or_else(|_| Err(too_late())).map(|_| ())
    }
}

/// A record whose verdict is waited for.
struct AwaitedVerdict {
    record_id: RecordId,
    verdict: Option<ChangeVerdict>,
}

impl AwaitedVerdict {
    /// Keeps the verdict on the first copy of the record.
    fn look_at(&mut self, verdicts: Vec<ChangeVerdict>) {
        let own = verdicts.into_iter().find(|verdict| verdict.record_id == Some(self.record_id));
        self.verdict = self.verdict.take().or(own);
    }

    fn undecided(&self, reason: String) -> PublishError {
        PublishError::Undecided { record_id: self.record_id, reason }
    }
}

fn too_late() -> PlatformError {
    let reason = "no reply within the deadline".to_owned();
    PlatformError::ReplyLost { target: "log".to_owned(), reason }
}

fn given_up(record_id: RecordId, may_be_there: bool, failure: PlatformError) -> PublishError {
    if may_be_there {
        PublishError::Undecided { record_id, reason: failure.to_string() }
    } else {
        PublishError::NotAppended(failure)
    }
}
