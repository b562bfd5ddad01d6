//! HTTP replies of the stand-ins, including injected faults.

use std::io::Cursor;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::BoxStream;
use rocket::Request;
use rocket::http::{Header, Status};
use rocket::response::{Responder, Response};
use serde::Serialize;
use tokio_util::io::StreamReader;

/// HTTP reply of a stand-in.
pub(crate) enum Reply {
    /// A status with a body of known length.
    Buffered {
        status: u16,
        content_type: &'static str,
        body: Vec<u8>,
        retry_after: Option<Duration>,
    },
    /// A 200 reply whose body is produced piece by piece.
    Streamed { content_type: &'static str, headers: Vec<(&'static str, String)>, body: BodyStream },
    /// Closes the connection without a reply.
    Disconnect,
}

/// Pieces of a streamed body.
///
/// After an error, rocket ends a body of unknown length as if it were complete, so clients detect
/// the truncation only by the missing end marker. With a `Content-Length` header, rocket closes the
/// connection instead.
pub(crate) type BodyStream = BoxStream<'static, std::io::Result<Bytes>>;

impl Reply {
    /// 200 with a MessagePack body, or 500 if `value` can't be encoded.
    pub(crate) fn msgpack<T: Serialize>(value: &T) -> Self {
        match celeryshed_wire::encode(value) {
            Ok(body) => Self::buffered(200, celeryshed_wire::MSGPACK, body.into()),
            Err(error) => Self::text(500, &error.to_string()),
        }
    }

    /// 200 with a JSON body, or 500 if `value` can't be encoded.
    pub(crate) fn json<T: Serialize>(value: &T) -> Self {
        Self::json_status(200, value)
    }

    /// `status` with a JSON body, or 500 if `value` can't be encoded.
    pub(crate) fn json_status<T: Serialize>(status: u16, value: &T) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Self::buffered(status, "application/json", body),
            Err(error) => Self::text(500, &error.to_string()),
        }
    }

    /// `status` with a plain-text body.
    pub(crate) fn text(status: u16, reason: &str) -> Self {
        Self::buffered(status, "text/plain", reason.as_bytes().to_vec())
    }

    /// 429 or 503 with a `Retry-After` header in whole seconds, rounded up, 1 or more.
    pub(crate) fn retry(status: u16, reason: &str, retry_after: Duration) -> Self {
        let body = reason.as_bytes().to_vec();
        Self::Buffered { status, content_type: "text/plain", body, retry_after: Some(retry_after) }
    }

    /// `status` with a body of type `content_type`.
    pub(crate) fn buffered(status: u16, content_type: &'static str, body: Vec<u8>) -> Self {
        Self::Buffered { status, content_type, body, retry_after: None }
    }
}

impl<'r> Responder<'r, 'static> for Reply {
    fn respond_to(self, _: &'r Request<'_>) -> rocket::response::Result<'static> {
        let mut response = Response::build();
        match self {
            Reply::Buffered { status, content_type, body, retry_after } => {
                response.status(Status::new(status));
                response.header(Header::new("Content-Type", content_type));
                if let Some(retry_after) = retry_after {
                    let seconds = retry_after.as_millis().div_ceil(1000).max(1);
                    response.header(Header::new("Retry-After", seconds.to_string()));
                }
                response.sized_body(body.len(), Cursor::new(body));
            }
            Reply::Streamed { content_type, headers, body } => {
                response.header(Header::new("Content-Type", content_type));
                for (name, value) in headers {
                    response.header(Header::new(name, value));
                }
                response.streamed_body(StreamReader::new(body));
            }
            // The HTTP library can't encode a line feed in a header value and closes the
            // connection instead.
            Reply::Disconnect => {
                response.header(Header::new("X-Cut", "\n"));
            }
        }
        response.ok()
    }
}
