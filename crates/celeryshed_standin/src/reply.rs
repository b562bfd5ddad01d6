//! Replies of the stand-ins, faulty ones included.

use std::io::Cursor;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::BoxStream;
use rocket::Request;
use rocket::http::{Header, Status};
use rocket::response::{Responder, Response};
use serde::Serialize;
use tokio_util::io::StreamReader;

/// A reply.
pub(crate) enum Reply {
    /// A status and a whole body.
    Whole { status: u16, content_type: &'static str, body: Vec<u8>, retry_after: Option<Duration> },
    /// A body that is produced piece by piece.
    Stream { content_type: &'static str, headers: Vec<(&'static str, String)>, body: BodyStream },
    /// The connection is cut without a reply.
    Cut,
}

/// Pieces of a body.
///
/// Rocket ends a body without a known length cleanly on an error, so that a cut stream shows only
/// by its missing end marker; with a `Content-Length` header the connection is cut.
pub(crate) type BodyStream = BoxStream<'static, std::io::Result<Bytes>>;

impl Reply {
    /// A success with a body in MessagePack.
    pub(crate) fn msgpack<T: Serialize>(value: &T) -> Self {
        match celeryshed_wire::encode(value) {
            Ok(body) => Self::whole(200, celeryshed_wire::MSGPACK, body.into()),
            Err(error) => Self::text(500, &error.to_string()),
        }
    }

    /// A success with a JSON body.
    pub(crate) fn json<T: Serialize>(value: &T) -> Self {
        Self::json_status(200, value)
    }

    /// A status with a JSON body.
    pub(crate) fn json_status<T: Serialize>(status: u16, value: &T) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Self::whole(status, "application/json", body),
            Err(error) => Self::text(500, &error.to_string()),
        }
    }

    /// A status with a reason as text.
    pub(crate) fn text(status: u16, reason: &str) -> Self {
        Self::whole(status, "text/plain", reason.as_bytes().to_vec())
    }

    /// 429 or 503 with `Retry-After`.
    pub(crate) fn retry(status: u16, reason: &str, pause: Duration) -> Self {
        let body = reason.as_bytes().to_vec();
        Self::Whole { status, content_type: "text/plain", body, retry_after: Some(pause) }
    }

    /// A status with a body.
    pub(crate) fn whole(status: u16, content_type: &'static str, body: Vec<u8>) -> Self {
        Self::Whole { status, content_type, body, retry_after: None }
    }
}

impl<'r> Responder<'r, 'static> for Reply {
    fn respond_to(self, _: &'r Request<'_>) -> rocket::response::Result<'static> {
        let mut response = Response::build();
        match self {
            Reply::Whole { status, content_type, body, retry_after } => {
                response.status(Status::new(status));
                response.header(Header::new("Content-Type", content_type));
                if let Some(pause) = retry_after {
                    let seconds = pause.as_millis().div_ceil(1000).max(1);
                    response.header(Header::new("Retry-After", seconds.to_string()));
                }
                response.sized_body(body.len(), Cursor::new(body));
            }
            Reply::Stream { content_type, headers, body } => {
                response.header(Header::new("Content-Type", content_type));
                for (name, value) in headers {
                    response.header(Header::new(name, value));
                }
                response.streamed_body(StreamReader::new(body));
            }
            // The HTTP library can't send such a header and drops the connection instead.
            Reply::Cut => {
                response.header(Header::new("X-Cut", "\n"));
            }
        }
        response.ok()
    }
}
