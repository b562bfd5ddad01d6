//! HTTP client of the weight store and the origin.

use async_trait::async_trait;
use bytes::Bytes;
use celeryshed_base::ContentDigest;
use reqwest::StatusCode;

use super::{HttpTarget, HttpTimeouts};
use crate::BlobClient;
use crate::error::{BaseUrlError, PlatformError, Result};

/// Client of the weight store or the origin over HTTP.
///
/// ```
/// use celeryshed_platform::{HttpBlobClient, HttpTimeouts};
/// assert!(HttpBlobClient::try_new("http://127.0.0.1:9002", HttpTimeouts::for_blobs()).is_ok());
/// ```
#[derive(Clone, Debug)]
pub struct HttpBlobClient {
    target: HttpTarget,
}

impl HttpBlobClient {
    /// Creates a client of the weight store or origin at `base_url`.
    pub fn try_new(
        base_url: &str,
        timeouts: HttpTimeouts,
    ) -> std::result::Result<Self, BaseUrlError> {
        Ok(Self { target: HttpTarget::try_new(base_url, timeouts)? })
    }

    fn not_found(&self, digest: &ContentDigest) -> PlatformError {
        PlatformError::NotFound {
            target: self.target.display_url(),
            item: format!("blob {digest}"),
        }
    }
}

#[async_trait]
impl BlobClient for HttpBlobClient {
    async fn fetch(&self, digest: &ContentDigest) -> Result<Bytes> {
        let url = self.target.url(&["blobs", &digest.to_string()]);
        let request = self.target.client.get(url);
        let reply = request.send().await.map_err(|error| self.target.send_error(&error))?;
        if reply.status() == StatusCode::NOT_FOUND {
            return Err(self.not_found(digest));
        }
        let reply = self.target.check_status(reply).await?;
        self.target.read_body(reply).await
    }

    async fn store(&self, content: Bytes) -> Result<ContentDigest> {
        let digest = ContentDigest::of(&content);
        let url = self.target.url(&["blobs", &digest.to_string()]);
        self.target.send(self.target.client.put(url).body(content)).await?;
        Ok(digest)
    }
}
