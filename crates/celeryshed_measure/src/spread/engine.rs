//! Stand-ins for an engine and for the log of a sidecar.

use std::sync::{Mutex, PoisonError};

use async_trait::async_trait;
use bytes::Bytes;
use celeryshed_base::{ContentDigest, FenceNumber, LogOffset, UnixMillis};
use celeryshed_platform::{LogClient, PlatformError};
use celeryshed_side::weights::{EngineError, EngineLoader, EngineState};
use celeryshed_wire::ReadReply;

/// An engine that completes every load immediately.
#[derive(Debug, Default)]
pub(super) struct ReadyEngine {
    live: Mutex<Option<ContentDigest>>,
}

#[async_trait]
impl EngineLoader for ReadyEngine {
    async fn state(&self) -> Result<EngineState, EngineError> {
        let live = *self.live.lock().unwrap_or_else(PoisonError::into_inner);
        Ok(EngineState { live, boot_id: 1 })
    }

    async fn put_chunk(&self, _: &ContentDigest, _: u32, _: Bytes) -> Result<(), EngineError> {
        Ok(())
    }

    async fn load(
        &self,
        _: FenceNumber,
        manifest: &ContentDigest,
        _: u32,
    ) -> Result<(), EngineError> {
        *self.live.lock().unwrap_or_else(PoisonError::into_inner) = Some(*manifest);
        Ok(())
    }
}

/// A log that accepts every append and stores nothing.
#[derive(Debug)]
pub(super) struct ReadyLog;

#[async_trait]
impl LogClient for ReadyLog {
    async fn append(&self, _: &str, _: Vec<Bytes>) -> Result<LogOffset, PlatformError> {
        Ok(LogOffset(1))
    }

    async fn read(&self, _: &str, from: LogOffset, _: u32) -> Result<ReadReply, PlatformError> {
        let now = UnixMillis(0);
        Ok(ReadReply { entries: Vec::new(), oldest_offset: from, end_offset: from, now, era: 0 })
    }
}
