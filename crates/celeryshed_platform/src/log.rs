//! Client trait of the log service.

use async_trait::async_trait;
use bytes::Bytes;
use celeryshed_base::LogOffset;
use celeryshed_wire::ReadReply;

use crate::error::Result;

/// Client of the append-only log.
#[async_trait]
pub trait LogClient: Send + Sync {
    /// Appends `records` to `stream` as one group and returns the offset of the first.
    ///
    /// After [`crate::PlatformError::ReplyLost`] the records may have been appended.
    async fn append(&self, stream: &str, records: Vec<Bytes>) -> Result<LogOffset>;

    /// Reads up to `limit` records of `stream` from offset `from` on.
    ///
    /// Records older than the log's retention are missing; `oldest_offset` of the reply is the
    /// offset of the oldest record that the log still stores.
    async fn read(&self, stream: &str, from: LogOffset, limit: u32) -> Result<ReadReply>;
}
