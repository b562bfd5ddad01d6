//! Handlers that panic.

use std::time::Duration;

use bytes::Bytes;
use celeryshed_http::{ConnectionServer, ServerSettings};
use http_body_util::Full;
use hyper::Response;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Guards against requests without an answer, and connections that count as open for ever, after a
/// panic in a handler.
#[tokio::test]
async fn panic_in_handler_is_answered() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let settings = ServerSettings {
        max_head_bytes: 8192,
        idle_timeout: Duration::from_secs(15),
        write_timeout: Duration::from_secs(15),
    };
    let (_sender, settings) = watch::channel(settings);
    let (_closing, closing_watch) = watch::channel(false);
    let server = ConnectionServer::new(settings, closing_watch);
    tokio::spawn(server.clone().run(listener, |request, _peer| async move {
        assert_ne!(request.uri().path(), "/panic", "a panic that the test expects");
        Response::new(Full::<Bytes>::default())
    }));
    stream.write_all(b"GET /panic HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
    let mut text = String::new();
    timeout(Duration::from_secs(5), stream.read_to_string(&mut text)).await.unwrap().unwrap();
    assert!(text.starts_with("HTTP/1.1 500"), "{text:?}");
    sleep(Duration::from_millis(50)).await;
    assert_eq!(server.open_connections(), 0);
}
