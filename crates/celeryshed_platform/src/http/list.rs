//! HTTP client of the instance list.

use async_trait::async_trait;
use celeryshed_wire::{ListReply, ListedInstance};

use super::{HttpTarget, HttpTimeouts};
use crate::ListClient;
use crate::error::{BaseUrlError, Result};

/// Client of the instance list over HTTP.
///
/// ```
/// use celeryshed_platform::{HttpListClient, HttpTimeouts};
/// assert!(HttpListClient::try_new("http://127.0.0.1:9001", HttpTimeouts::for_calls()).is_ok());
/// ```
#[derive(Clone, Debug)]
pub struct HttpListClient {
    target: HttpTarget,
}

impl HttpListClient {
    /// Creates a client of the instance list at `base_url`.
    pub fn try_new(
        base_url: &str,
        timeouts: HttpTimeouts,
    ) -> std::result::Result<Self, BaseUrlError> {
        Ok(Self { target: HttpTarget::try_new(base_url, timeouts)? })
    }
}

#[async_trait]
impl ListClient for HttpListClient {
    async fn instances(&self) -> Result<Vec<ListedInstance>> {
        let request = self.target.client.get(self.target.url(&["instances"]));
        let reply = self.target.send(request).await?;
        let reply: ListReply = self.target.decode_body(reply).await?;
        Ok(reply.instances)
    }
}
