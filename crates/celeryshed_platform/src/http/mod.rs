//! HTTP implementations of the platform's clients.
//!
//! A failed call is mapped to what is certain about its effect: without a connection it had none
//! ([`PlatformError::Unreachable`]); a status of 4xx or 503 says that the platform refused it
//! ([`PlatformError::Refused`]); anything that happens after the request was sent leaves the effect
//! open ([`PlatformError::ReplyLost`]).

mod blobs;
mod list;
mod log;
mod timeouts;

pub use blobs::HttpBlobClient;
pub use list::HttpListClient;
pub use log::HttpLogClient;
pub use timeouts::HttpTimeouts;

use std::time::Duration;

use bytes::Bytes;
use reqwest::header::RETRY_AFTER;
use reqwest::{Client, RequestBuilder, Response, StatusCode, Url};
use serde::de::DeserializeOwned;

use crate::error::{BaseUrlError, PlatformError, Result};

/// Idle connections are closed after this time, which is shorter than the 5 s keep-alive of a
/// rocket server, so that a request rarely meets a connection that the server is closing.
const POOL_IDLE: Duration = Duration::from_secs(4);

/// One service of the platform: its base URL and a connection pool.
#[derive(Clone, Debug)]
struct HttpTarget {
    base: Url,
    client: Client,
}

impl HttpTarget {
    fn try_new(base_url: &str, timeouts: HttpTimeouts) -> std::result::Result<Self, BaseUrlError> {
        let base = parse_base(base_url)?;
        let client = Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .connect_timeout(timeouts.connect)
            .read_timeout(timeouts.idle)
            .timeout(timeouts.total)
            .pool_idle_timeout(POOL_IDLE)
            .tcp_nodelay(true)
            .build()
            .map_err(|error| BaseUrlError::new(base_url, error.to_string()))?;
        Ok(Self { base, client })
    }

    /// URL of the path made of `segments` below the base.
    fn url(&self, segments: &[&str]) -> Url {
        let mut url = self.base.clone();
        if let Ok(mut path) = url.path_segments_mut() {
            path.pop_if_empty().extend(segments);
        }
        url
    }

    /// Sends the request and returns the reply when its status is a success.
    async fn send(&self, request: RequestBuilder) -> Result<Response> {
        let reply = request.send().await.map_err(|error| self.send_error(&error))?;
        self.accept(reply).await
    }

    /// Returns the reply when its status is a success, otherwise the error that it stands for.
    async fn accept(&self, reply: Response) -> Result<Response> {
        let status = reply.status();
        if status.is_success() {
            return Ok(reply);
        }
        let retry_after = retry_after(&reply);
        let detail = reply.text().await.unwrap_or_default();
        let reason = format!("status {}: {}", status.as_u16(), detail.trim());
        Err(self.status_error(status, reason, retry_after))
    }

    async fn body(&self, reply: Response) -> Result<Bytes> {
        reply.bytes().await.map_err(|error| self.reply_lost(chain(&error)))
    }

    async fn decoded<T: DeserializeOwned>(&self, reply: Response) -> Result<T> {
        let body = self.body(reply).await?;
        celeryshed_wire::decode(&body).map_err(|error| self.reply_lost(error.to_string()))
    }

    fn send_error(&self, error: &reqwest::Error) -> PlatformError {
        let reason = chain(error);
        if error.is_connect() || error.is_builder() {
            return PlatformError::Unreachable { target: self.name(), reason };
        }
        self.reply_lost(reason)
    }

    fn status_error(
        &self,
        status: StatusCode,
        reason: String,
        retry_after: Option<Duration>,
    ) -> PlatformError {
        if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE {
            return PlatformError::Refused { target: self.name(), reason, retry_after };
        }
        self.reply_lost(reason)
    }

    fn reply_lost(&self, reason: String) -> PlatformError {
        PlatformError::ReplyLost { target: self.name(), reason }
    }

    fn name(&self) -> String {
        self.base.as_str().trim_end_matches('/').to_owned()
    }
}

fn parse_base(base_url: &str) -> std::result::Result<Url, BaseUrlError> {
    let url = Url::parse(base_url).map_err(|e| BaseUrlError::new(base_url, e.to_string()))?;
    if url.scheme() != "http" {
        return Err(BaseUrlError::new(base_url, format!("scheme {:?}", url.scheme())));
    }
    let host = url.host_str().unwrap_or_default().trim_matches(['[', ']']);
    if host.parse::<std::net::IpAddr>().is_err() {
        return Err(BaseUrlError::new(base_url, format!("host {host:?} is not an IP address")));
    }
    if url.query().is_some() || url.fragment().is_some() {
        return Err(BaseUrlError::new(base_url, "query or fragment".to_owned()));
    }
    Ok(url)
}

/// The pause that the reply suggests, in whole seconds as in RFC 9110; dates are ignored.
fn retry_after(reply: &Response) -> Option<Duration> {
    let value = reply.headers().get(RETRY_AFTER)?;
    let seconds = value.to_str().ok()?.trim().parse().ok()?;
    Some(Duration::from_secs(seconds))
}

/// The error with its causes, because the outermost message rarely names the reason.
fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    text
}
