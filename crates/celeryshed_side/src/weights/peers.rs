//! Interface of the client of other sidecars.

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
        /// IP address and port of the sidecar.
        address: String,
        /// Text of the transport error.
        reason: String,
    },
    /// A reply with an unexpected HTTP status.
    #[error("sidecar {address} replied with status {status}: accepted are 200, 202 and 404")]
    UnexpectedStatus {
        /// IP address and port of the sidecar.
        address: String,
        /// HTTP status of the reply.
        status: u16,
    },
}

/// Content of a chunk, in parts as they are received.
pub type ChunkStream = BoxStream<'static, Result<Bytes, PeerError>>;

/// Reply to a request for a chunk.
pub enum PeerReply {
    /// The sidecar holds the chunk and sends its content.
    Held(ChunkStream),
    /// The sidecar expects the chunk but can't send it yet.
    Pending,
    /// The sidecar neither holds nor expects the chunk.
    NotExpected,
}

/// Fetches chunks from other sidecars and offers chunks to them.
#[async_trait]
pub trait PeerClient: Send + Sync {
    /// Requests a chunk from the sidecar at `address`, which may delay its reply by `wait`.
    async fn fetch_chunk(
        &self,
        address: &str,
        chunk: &ContentDigest,
        wait: Duration,
    ) -> Result<PeerReply, PeerError>;

    /// Tells the sidecar at `address` that sidecar `holder` holds a chunk.
    async fn offer_chunk(
        &self,
        address: &str,
        chunk: &ContentDigest,
        holder: &InstanceName,
    ) -> Result<(), PeerError>;
}
