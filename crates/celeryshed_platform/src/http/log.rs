//! HTTP client of the log service.

use async_trait::async_trait;
use bytes::Bytes;
use celeryshed_base::LogOffset;
use celeryshed_wire::{AppendReply, AppendRequest, MSGPACK, ReadReply};
use reqwest::header::CONTENT_TYPE;

use super::{HttpTarget, HttpTimeouts};
use crate::LogClient;
use crate::error::{BaseUrlError, PlatformError, Result};

/// Client of the log service over HTTP.
///
/// ```
/// use celeryshed_platform::{HttpLogClient, HttpTimeouts};
/// assert!(HttpLogClient::try_new("http://127.0.0.1:9000", HttpTimeouts::for_calls()).is_ok());
/// assert!(HttpLogClient::try_new("http://log.example:9000", HttpTimeouts::for_calls()).is_err());
/// ```
#[derive(Clone, Debug)]
pub struct HttpLogClient {
    target: HttpTarget,
}

impl HttpLogClient {
    /// Creates a client of the log service at `base_url`.
    pub fn try_new(
        base_url: &str,
        timeouts: HttpTimeouts,
    ) -> std::result::Result<Self, BaseUrlError> {
        Ok(Self { target: HttpTarget::try_new(base_url, timeouts)? })
    }
}

#[async_trait]
impl LogClient for HttpLogClient {
    async fn append(&self, stream: &str, records: Vec<Bytes>) -> Result<LogOffset> {
        let records = records.into_iter().map(|record| Vec::from(record).into()).collect();
        let body = celeryshed_wire::encode(&AppendRequest { records }).map_err(|error| {
            let target = self.target.display_url();
            PlatformError::Refused { target, reason: error.to_string(), retry_after: None }
        })?;
        let url = self.target.url(&["log", stream]);
        let request = self.target.client.post(url).header(CONTENT_TYPE, MSGPACK).body(body);
        let reply = self.target.send(request).await?;
        let reply: AppendReply = self.target.decode_body(reply).await?;
        Ok(reply.first_offset)
    }

    async fn read(&self, stream: &str, from: LogOffset, limit: u32) -> Result<ReadReply> {
        let mut url = self.target.url(&["log", stream]);
        url.set_query(Some(&format!("from={from}&limit={limit}")));
        let reply = self.target.send(self.target.client.get(url)).await?;
        self.target.decode_body(reply).await
    }
}
