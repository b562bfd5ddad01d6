//! HTTP implementations of the platform's clients.
//!
//! The error of a failed call says whether the call may have taken effect. Without a connection it
//! had no effect ([`PlatformError::Unreachable`]). A status of 4xx or 503 means that the platform
//! refused the call ([`PlatformError::Refused`]). After any other failure the effect is unknown
//! ([`PlatformError::ReplyLost`]).

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

/// Time after which idle connections are closed. The time is shorter than the 5 s keep-alive of a
/// rocket server, so that a request rarely uses a connection that the server is closing.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Base URL of one platform service, with the connection pool for its calls.
#[derive(Clone, Debug)]
struct HttpTarget {
    base: Url,
    client: Client,
}

impl HttpTarget {
    fn try_new(base_url: &str, timeouts: HttpTimeouts) -> std::result::Result<Self, BaseUrlError> {
        let base = parse_base_url(base_url)?;
        let client = Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .connect_timeout(timeouts.connect)
            .read_timeout(timeouts.idle)
            .timeout(timeouts.total)
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .tcp_nodelay(true)
            .build()
            .map_err(|error| BaseUrlError::new(base_url, error.to_string()))?;
        Ok(Self { base, client })
    }

    /// Appends the path `segments` to the base URL.
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
        self.check_status(reply).await
    }

    /// Returns the reply when its status is a success, otherwise the matching error.
    async fn check_status(&self, reply: Response) -> Result<Response> {
        let status = reply.status();
        if status.is_success() {
            return Ok(reply);
        }
        let retry_after = retry_after(&reply);
        let detail = reply.text().await.unwrap_or_default();
        let reason = format!("status {}: {}", status.as_u16(), detail.trim());
        Err(self.status_error(status, reason, retry_after))
    }

    async fn read_body(&self, reply: Response) -> Result<Bytes> {
        reply.bytes().await.map_err(|error| self.reply_lost(error_chain(&error)))
    }

    async fn decode_body<T: DeserializeOwned>(&self, reply: Response) -> Result<T> {
        let body = self.read_body(reply).await?;
        celeryshed_wire::decode(&body).map_err(|error| self.reply_lost(error.to_string()))
    }

    fn send_error(&self, error: &reqwest::Error) -> PlatformError {
        let reason = error_chain(error);
        if error.is_connect() || error.is_builder() {
            return PlatformError::Unreachable { target: self.display_url(), reason };
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
            return PlatformError::Refused { target: self.display_url(), reason, retry_after };
        }
        self.reply_lost(reason)
    }

    fn reply_lost(&self, reason: String) -> PlatformError {
        PlatformError::ReplyLost { target: self.display_url(), reason }
    }

    fn display_url(&self) -> String {
        self.base.as_str().trim_end_matches('/').to_owned()
    }
}

fn parse_base_url(base_url: &str) -> std::result::Result<Url, BaseUrlError> {
    let url = Url::parse(base_url).map_err(|e| BaseUrlError::new(base_url, e.to_string()))?;
    if url.scheme() != "http" {
        return Err(BaseUrlError::new(
            base_url,
            format!("scheme {:?} is not \"http\"", url.scheme()),
        ));
    }
    let host = url.host_str().unwrap_or_default().trim_matches(['[', ']']);
    if host.parse::<std::net::IpAddr>().is_err() {
        return Err(BaseUrlError::new(base_url, format!("host {host:?} is not an IP address")));
    }
    if url.query().is_some() || url.fragment().is_some() {
        return Err(BaseUrlError::new(base_url, "it has a query or fragment".to_owned()));
    }
    Ok(url)
}

/// Parses `Retry-After` in seconds (RFC 9110); the date form is ignored.
fn retry_after(reply: &Response) -> Option<Duration> {
    let value = reply.headers().get(RETRY_AFTER)?;
    let seconds = value.to_str().ok()?.trim().parse().ok()?;
    Some(Duration::from_secs(seconds))
}

/// Joins the messages of an error and its sources; the outermost message rarely names the cause.
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    text
}
