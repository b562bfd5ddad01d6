//! Other sidecars as sources of chunks.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use celeryshed_base::{ContentDigest, InstanceName};
use futures::stream::BoxStream;

/// A failed call to another sidecar.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// No connection, or a broken one.
    #[error("sidecar {address} can't be reached: {reason}")]
    Unreachable {
        /// The sidecar.
        address: String,
        /// The reason.
        reason: String,
    },
    /// An unexpected reply.
    #[error("sidecar {address} replied with status {status}: accepted are 200, 202 and 404")]
    UnexpectedStatus {
        /// The sidecar.
        address: String,
        /// Its status.
        status: u16,
    },
}

/// The body of a chunk as it arrives.
pub type ChunkStream = BoxStream<'static, Result<Bytes, PeerError>>;

/// Reply to a request for a chunk.
pub enum PeerReply {
    /// The bytes.
    Held(ChunkStream),
    /// The sidecar waits for the chunk itself.
    Pending,
    /// The sidecar neither holds nor wants it.
    NotWanted,
}

/// Client of other sidecars.
#[async_trait]
pub trait PeerClient: Send + Sync {
    /// Asks the sidecar at `address` for a chunk; it may hold the request open for `wait`.
    async fn fetch_chunk(
        &self,
        address: &str,
        chunk: &ContentDigest,
        wait: Duration,
    ) -> Result<PeerReply, PeerError>;

    /// Tells the sidecar at `address` that sidecar `own` holds a chunk.
    async fn offer_chunk(
        &self,
        address: &str,
        chunk: &ContentDigest,
        own: &InstanceName,
    ) -> Result<(), PeerError>;
}
