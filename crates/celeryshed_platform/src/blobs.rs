//! The weight store and the origin.

use async_trait::async_trait;
use bytes::Bytes;
use celeryshed_base::ContentDigest;

use crate::error::Result;

/// Client of a place that holds blobs by digest: the weight store or the origin.
#[async_trait]
pub trait BlobClient: Send + Sync {
    /// Fetches a blob; the caller verifies its digest.
    async fn fetch(&self, digest: &ContentDigest) -> Result<Bytes>;

    /// Stores a blob; only the origin accepts it.
    async fn store(&self, content: Bytes) -> Result<ContentDigest>;
}
