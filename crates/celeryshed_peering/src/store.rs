//! Traits that a platform adapter implements, and their errors.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use celeryshed_base::LogPosition;
use celeryshed_dispatch::ListedEndpoint;

use crate::record::{ControlBatch, ControlStream, OperatorRecord};

/// A call to the store that returned no records.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The connection failed, or the reply could not be read.
    #[error("the store at {address} can't be read: {detail}")]
    CallFailed {
        /// Address of the store.
        address: String,
        /// Cause of the failure.
        detail: String,
    },
    /// The store replied with an error status.
    #[error("the store at {address} refused a call with status {status}")]
    Refused {
        /// Address of the store.
        address: String,
        /// HTTP status of the reply.
        status: u16,
    },
}

/// A record whose value can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("record {key} is not usable: {detail}")]
pub struct DecodeError {
    /// Key of the record.
    pub key: String,
    /// What is wrong with the value.
    pub detail: String,
}

/// Result of a successful call of [`ControlStore::read`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Records from the requested position on; may be empty.
    Records(ControlBatch),
    /// The store no longer keeps records at the requested position; the caller has to start over
    /// with [`ControlStore::newest`].
    Truncated,
    /// The store was restored from a copy between the requested position and the answer, so its
    /// offsets don't compare; the caller has to start over with [`ControlStore::newest`].
    Restored,
}

/// Shows whether the answer to a read of the store has begun to arrive.
///
/// ```
/// let progress = celeryshed_peering::ReadProgress::default();
/// assert!(!progress.has_begun());
/// progress.record_begin();
/// assert!(progress.has_begun());
/// ```
#[derive(Debug, Default)]
pub struct ReadProgress {
    has_begun: AtomicBool,
}

impl ReadProgress {
    /// Records that the first bytes of the answer have arrived.
    pub fn record_begin(&self) {
        self.has_begun.store(true, Ordering::Relaxed);
    }

    /// Whether the first bytes of the answer have arrived.
    pub fn has_begun(&self) -> bool {
        self.has_begun.load(Ordering::Relaxed)
    }
}

/// Access to the platform's store.
pub trait ControlStore: Send + Sync + 'static {
    /// Reads the newest record of every key of a stream.
    fn newest(
        &self,
        stream: ControlStream,
    ) -> impl Future<Output = Result<ControlBatch, StoreError>> + Send;

    /// Reads the records from the position `from` on; waits up to `wait` if there is none yet.
    fn read(
        &self,
        stream: ControlStream,
        from: LogPosition,
        wait: Duration,
    ) -> impl Future<Output = Result<ReadOutcome, StoreError>> + Send;

    /// Like [`Self::read`], and records in `progress` when the answer begins to arrive. The default
    /// suits stores whose answers arrive as a whole.
    fn read_observed(
        &self,
        stream: ControlStream,
        from: LogPosition,
        wait: Duration,
        _progress: &ReadProgress,
    ) -> impl Future<Output = Result<ReadOutcome, StoreError>> + Send {
        self.read(stream, from, wait)
    }
}

/// Decodes and checks the values of the platform's records.
pub trait RecordDecoder: Send + Sync + 'static {
    /// Decodes a record of the stream [`ControlStream::Operator`].
    fn operator(&self, key: &str, value: &[u8]) -> Result<OperatorRecord, DecodeError>;

    /// Decodes a record of the stream [`ControlStream::Endpoints`].
    fn endpoint(&self, key: &str, value: &[u8]) -> Result<ListedEndpoint, DecodeError>;
}
