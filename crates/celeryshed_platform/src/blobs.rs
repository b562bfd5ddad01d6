//! Client trait of the weight store and the origin.

use async_trait::async_trait;
use bytes::Bytes;
use celeryshed_base::ContentDigest;

use crate::error::Result;

/// Client of a service that stores blobs by digest: the weight store or the origin.
#[async_trait]
pub trait BlobClient: Send + Sync {
    /// Fetches a blob; the caller must verify the content against `digest`.
    async fn fetch(&self, digest: &ContentDigest) -> Result<Bytes>;

    /// Stores a blob and returns its digest; the weight store refuses the call.
    async fn store(&self, content: Bytes) -> Result<ContentDigest>;
}
