//! Publishes configuration changes.
//!
//! The publisher bases a change on the latest revision that it has replayed, appends the change to
//! the log under a record id, and reads the log until its replica has decided the record. Every
//! process replays the same records and so reaches the same verdict.

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

/// Log stream of the configuration changes.
const CONFIGURATION_STREAM: &str = "configuration";

/// Largest number of records in one read.
const MAX_RECORDS_PER_READ: u32 = 500;

/// Why a change could not be published, or the configuration could not be read.
#[derive(Debug, thiserror::Error)]
pub enum PublishError {
    /// The change was not appended and has no effect.
    #[error("the change was not appended and has no effect: {0}")]
    NotAppended(PlatformError),
    /// The change may have been appended, but its verdict is unknown.
    #[error(
        "the verdict on record {record_id} is unknown, the change may still take effect: {reason}"
    )]
    Undecided {
        /// Id of the record with the change.
        record_id: RecordId,
        /// Why the verdict is unknown.
        reason: String,
    },
    /// The log can't be read.
    #[error("the configuration can't be read from the log: {0}")]
    Unreadable(PlatformError),
    /// The log has dropped records that were not replayed, and no snapshot covers them.
    #[error(
        "the configuration log has dropped changes that no snapshot covers yet; try again later"
    )]
    RecordsMissing,
    /// The log ends before an offset that was already read.
    #[error("the configuration log ends before records that were already read")]
    LogShortened,
    /// The change can't be encoded.
    #[error("the change can't be encoded: {0}")]
    Encode(#[from] CodecError),
}

/// Result with a [`PublishError`].
pub type Result<T> = std::result::Result<T, PublishError>;

common_derives! { value:
    /// Retry limits of a [`ConfigurationPublisher`].
    #[derive(Copy)]
    pub struct PublishOptions {
        /// Pause between two attempts; 500 ms by default.
        pub pause: Duration,
        /// Time limit of one change, retries included; 30 s by default.
        pub deadline: Duration,
    }
}

impl Default for PublishOptions {
    fn default() -> Self {
        Self { pause: Duration::from_millis(500), deadline: Duration::from_secs(30) }
    }
}

/// Publishes configuration changes and replays the configuration log.
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
    /// Creates a publisher that has not read the log yet.
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

    /// Publishes a change based on the configuration in force and returns its verdict.
    ///
    /// After a lost reply to an append, the log is searched for the record before the append is
    /// repeated. A second copy that reaches the log later is refused, since its base revision is
    /// stale by then.
    pub async fn publish(&mut self, change: ChangeKind) -> Result<ChangeVerdict> {
        let base_revision = self.catch_up().await?.revision;
        let record = ChangeRecord { record_id: RecordId::random(), base_revision, change };
        self.publish_record(record).await
    }

    /// Publishes a record that already has its id and base revision; returns its verdict.
    pub async fn publish_record(&mut self, record: ChangeRecord) -> Result<ChangeVerdict> {
        let mut pending = PendingVerdict { record_id: record.record_id, verdict: None };
        let entry = ConfigurationEntry::Change(ConfigurationRecord::from(record));
        let payload = encode(&entry)?;
        let deadline = Instant::now() + self.options.deadline;
        let mut may_be_appended = false;
        loop {
            let failure = match self.append(payload.clone(), deadline).await {
                Ok(()) => return self.wait_for_verdict(&mut pending, deadline).await,
                Err(error) => error,
            };
            may_be_appended |= matches!(failure, PlatformError::ReplyLost { .. });
            if may_be_appended
                && let Some(verdict) = self.find_verdict(&mut pending, deadline).await?
            {
                return Ok(verdict);
            }
            if Instant::now() + self.options.pause >= deadline {
                return Err(retries_exhausted(pending.record_id, may_be_appended, failure));
            }
            sleep(self.options.pause).await;
        }
    }

    /// Reads the log until it shows the verdict on the appended record.
    async fn wait_for_verdict(
        &mut self,
        pending: &mut PendingVerdict,
        deadline: Instant,
    ) -> Result<ChangeVerdict> {
        loop {
            if let Some(verdict) = self.find_verdict(pending, deadline).await? {
                return Ok(verdict);
            }
            if Instant::now() + self.options.pause >= deadline {
                return Err(pending.undecided("the log doesn't show the record".to_owned()));
            }
            sleep(self.options.pause).await;
        }
    }

    /// Reads to the end of the log; returns the verdict on the record, if the log holds it.
    async fn find_verdict(
        &mut self,
        pending: &mut PendingVerdict,
        deadline: Instant,
    ) -> Result<Option<ChangeVerdict>> {
        loop {
            let read = self.read_to_end(deadline, Some(&mut *pending)).await;
            if let Some(verdict) = pending.verdict.take() {
                return Ok(Some(verdict));
            }
            let Err(error) = read else { return Ok(None) };
            if Instant::now() + self.options.pause >= deadline {
                return Err(pending.undecided(error.to_string()));
            }
            sleep(self.options.pause).await;
        }
    }

    async fn read_to_end(
        &mut self,
        deadline: Instant,
        mut pending: Option<&mut PendingVerdict>,
    ) -> Result<()> {
        loop {
            let read = self.log.read(
                CONFIGURATION_STREAM,
                self.replica.next_offset(),
                MAX_RECORDS_PER_READ,
            );
            let reply =
                timeout_at(deadline, read).await.unwrap_or_else(|_| Err(deadline_exceeded()));
            let reply = reply.map_err(PublishError::Unreadable)?;
            let before = self.replica.next_offset();
            let report = self.replica.apply(&ConfigurationLogPage::from(&reply));
            if let Some(pending) = pending.as_deref_mut() {
                pending.store_verdict(report.verdicts);
            }
            match report.progress {
                ReplayProgress::Behind if self.replica.next_offset() != before => {}
                // The reply had no new records: pause before the next read.
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
        let append = self.log.append(CONFIGURATION_STREAM, vec![payload]);
        timeout_at(deadline, append).await.unwrap_or_else(|_| Err(deadline_exceeded())).map(|_| ())
    }
}

/// Id of an appended record and its verdict, once known.
struct PendingVerdict {
    record_id: RecordId,
    verdict: Option<ChangeVerdict>,
}

impl PendingVerdict {
    /// Stores the verdict on the first copy of the record.
    fn store_verdict(&mut self, verdicts: Vec<ChangeVerdict>) {
        let verdict =
            verdicts.into_iter().find(|verdict| verdict.record_id == Some(self.record_id));
        self.verdict = self.verdict.take().or(verdict);
    }

    fn undecided(&self, reason: String) -> PublishError {
        PublishError::Undecided { record_id: self.record_id, reason }
    }
}

fn deadline_exceeded() -> PlatformError {
    let reason = "no reply within the deadline".to_owned();
    PlatformError::ReplyLost { target: "log".to_owned(), reason }
}

fn retries_exhausted(
    record_id: RecordId,
    may_be_appended: bool,
    failure: PlatformError,
) -> PublishError {
    if may_be_appended {
        PublishError::Undecided { record_id, reason: failure.to_string() }
    } else {
        PublishError::NotAppended(failure)
    }
}
