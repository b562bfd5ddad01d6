//! Fetches one chunk from a sidecar or an external source and verifies it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use celeryshed_base::ContentDigest;
use celeryshed_core::distribution::{ChunkSource, ExternalSource, FetchFailure};
use celeryshed_platform::{BlobClient, PlatformError};
use futures::StreamExt;
use tokio::sync::Semaphore;
use tokio::time::timeout;

use super::pacer::LinkPacer;
use super::peers::{ChunkStream, PeerClient, PeerReply};

/// Pause before the next request to an overloaded external source whose reply names no pause.
const BUSY_PAUSE: Duration = Duration::from_secs(1);

/// Largest accepted manifest; its size isn't known before the fetch.
const MAX_MANIFEST_BYTES: usize = 64 * 1024 * 1024;

/// Clients and limits that all fetches share.
pub(super) struct FetchContext {
    pub(super) peers: Arc<dyn PeerClient>,
    pub(super) external_sources: BTreeMap<ExternalSource, Arc<dyn BlobClient>>,
    pub(super) pacer: LinkPacer,
    pub(super) poll_wait: Duration,
    pub(super) stall_timeout: Duration,
    /// Permits for downloads from other sidecars, as many as the scheduler starts fetches of
    /// offered chunks. Downloads of chunks that were found by polling wait for a permit.
    pub(super) downloads: Semaphore,
    pub(super) verifies: bool,
}

/// A fetch that the scheduler has started.
pub(super) struct ChunkFetch {
    pub(super) chunk: ContentDigest,
    /// Size in bytes; `None` for a manifest.
    pub(super) size: Option<usize>,
    pub(super) source: ChunkSource,
    /// Address of the sidecar that is the source; `None` for external and unknown sources.
    pub(super) address: Option<String>,
}

impl FetchContext {
    /// Fetches the chunk and compares its content with the digest.
    pub(super) async fn run(&self, fetch: &ChunkFetch) -> Result<Bytes, FetchFailure> {
        let content = match &fetch.source {
            ChunkSource::Peer(_) => self.fetch_from_peer(fetch).await?,
            ChunkSource::External(source) => self.fetch_from_external(*source, fetch).await?,
        };
        let verified = ContentDigest::of(&content) == fetch.chunk;
        if self.verifies && !verified { Err(FetchFailure::Corrupt) } else { Ok(content) }
    }

    async fn fetch_from_peer(&self, fetch: &ChunkFetch) -> Result<Bytes, FetchFailure> {
        let address = fetch.address.as_deref().ok_or(FetchFailure::Unreachable)?;
        let reply = self.peers.fetch_chunk(address, &fetch.chunk, self.poll_wait);
        let reply = timeout(self.poll_wait + self.stall_timeout, reply).await;
        match reply.map_err(|_| FetchFailure::TimedOut)? {
            Ok(PeerReply::Held(stream)) => self.read_body(stream, fetch.size).await,
            Ok(PeerReply::Pending) => Err(FetchFailure::Pending),
            Ok(PeerReply::NotExpected) => Err(FetchFailure::NotExpected),
            Err(error) => {
                log::debug!("event=fetch_failed chunk={} error={error:?}", fetch.chunk);
                Err(FetchFailure::Unreachable)
            }
        }
    }

    async fn read_body(
        &self,
        mut stream: ChunkStream,
        size: Option<usize>,
    ) -> Result<Bytes, FetchFailure> {
        // The semaphore is never closed. During the wait for a permit, the body stays at the
        // sender.
        let _permit = self.downloads.acquire().await.map_err(|_| FetchFailure::TimedOut)?;
        let limit = size.unwrap_or(MAX_MANIFEST_BYTES);
        let mut content = BytesMut::with_capacity(size.unwrap_or_default());
        loop {
            let next = timeout(self.stall_timeout, stream.next()).await;
            let Some(part) = next.map_err(|_| FetchFailure::TimedOut)? else { break };
            let part = part.map_err(|_| FetchFailure::Unreachable)?;
            self.pacer.pace(part.len()).await;
            content.extend_from_slice(&part);
            if content.len() > limit {
                return Err(FetchFailure::Corrupt);
            }
        }
        Ok(content.freeze())
    }

    async fn fetch_from_external(
        &self,
        source: ExternalSource,
        fetch: &ChunkFetch,
    ) -> Result<Bytes, FetchFailure> {
        let client = self.external_sources.get(&source).ok_or(FetchFailure::NotExpected)?;
        self.pacer.pace(fetch.size.unwrap_or_default()).await;
        match client.fetch(&fetch.chunk).await {
            Ok(content) => Ok(content),
            Err(error) => {
                log::debug!("event=fetch_failed chunk={} error={error:?}", fetch.chunk);
                Err(match error {
                    PlatformError::NotFound { .. } => FetchFailure::NotExpected,
                    PlatformError::Refused { retry_after, .. } => {
                        FetchFailure::Busy(retry_after.unwrap_or(BUSY_PAUSE))
                    }
                    PlatformError::Unreachable { .. } => FetchFailure::Unreachable,
                    PlatformError::ReplyLost { .. } => FetchFailure::TimedOut,
                })
            }
        }
    }
}
