//! The edges to a platform.

use std::time::Duration;

use celeryshed_base::LogOffset;
use celeryshed_dispatch::ListedEndpoint;

use crate::record::{ControlBatch, ControlStream, OperatorRecord};

/// A call to the store that gave no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The call failed.
    #[error("the store at {address} can't be read: {detail}")]
    Call {
        /// Address of the store.
        address: String,
        /// The cause.
        detail: String,
    },
    /// The store refused the call.
    #[error("the store at {address} refused a call with status {status}")]
    Refused {
        /// Address of the store.
        address: String,
        /// The status.
        status: u16,
    },
}

/// A record that can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("record {key} is not usable: {detail}")]
pub struct DecodeError {
    /// Key of the record.
    pub key: String,
    /// The cause.
    pub detail: String,
}

/// What a read gave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Records from the position on; possibly none.
    Records(ControlBatch),
    /// Records at the position are no longer kept; the newest of each key have to be read.
    Truncated,
}

/// Reads the platform's store.
pub trait ControlStore: Send + Sync + 'static {
    /// The newest records of all keys of a stream.
    fn newest(
        &self,
        stream: ControlStream,
    ) -> impl Future<Output = Result<ControlBatch, StoreError>> + Send;

    /// The records from a position on; waits up to `wait` for the first one.
    fn read(
        &self,
        stream: ControlStream,
        from: LogOffset,
        wait: Duration,
    ) -> impl Future<Output = Result<ReadOutcome, StoreError>> + Send;
}

/// Turns the platform's records into checked types.
pub trait RecordDecoder: Send + Sync + 'static {
    /// A record of an operator.
    fn operator(&self, key: &str, value: &[u8]) -> Result<OperatorRecord, DecodeError>;

    /// The entry of an endpoint.
    fn endpoint(&self, key: &str, value: &[u8]) -> Result<ListedEndpoint, DecodeError>;
}
