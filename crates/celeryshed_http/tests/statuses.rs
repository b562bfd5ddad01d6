//! Responses whose status no final response may have.

use std::time::Duration;

use bytes::Bytes;
use celeryshed_http::{HttpClient, HttpError};
use hyper::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Guards against an invalid status that is taken for a refusal, and against a connection that is
/// closed after it instead of reset: the peer may still work on the request.
#[tokio::test]
async fn invalid_status_is_no_response_and_resets_the_connection() {
    for status in ["000", "099", "101", "600", "700", "999"] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let client = HttpClient::new(&address, "application/json");
        let serving = async {
            let (mut connection, _from) = listener.accept().await.unwrap();
            let mut received = Vec::new();
            while !received.ends_with(b"\r\n\r\n") {
                assert_ne!(connection.read_buf(&mut received).await.unwrap(), 0);
            }
            let reply = format!("HTTP/1.1 {status} Invalid\r\nContent-Length: 2\r\n\r\n{{}}");
            connection.write_all(reply.as_bytes()).await.unwrap();
            connection.read(&mut [0; 1]).await
        };
        let calling = client.call(Method::GET, "/", Bytes::new(), TIMEOUT);
        let (end, outcome) = tokio::join!(serving, calling);
        let is_invalid =
            matches!(outcome, Err(HttpError::Status { .. } | HttpError::Exchange { .. }));
        assert!(is_invalid, "{status}: {outcome:?}");
        assert!(end.is_err(), "{status}: the connection was closed, not reset");
    }
}
