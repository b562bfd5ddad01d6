//! Streams whose relay ends, as their callers see them.

use std::time::Duration;

use bytes::Bytes;
use celeryshed_http::{ConnectionServer, ServerSettings};
use hyper::Response;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

use super::GatewayBody;

const EVENT: Bytes = Bytes::from_static(b"id: 1\ndata: one\n\n");
const LAST_CHUNK: &str = "0\r\n\r\n";

/// What a caller receives of a stream with one event, whose relay then panics on the path `/panic`.
async fn receive(path: &str) -> String {
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
    tokio::spawn(server.run(listener, |request, _peer| async move {
        let (events, body) = GatewayBody::events();
        tokio::spawn(async move {
            events.send(EVENT).await.unwrap();
            assert_ne!(request.uri().path(), "/panic", "a panic that the test expects");
            events.complete();
        });
        Response::new(body)
    }));
    let request = format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut received = Vec::new();
    // A reset ends the answer like a close.
    let _ = timeout(Duration::from_secs(5), stream.read_to_end(&mut received)).await.unwrap();
    String::from_utf8(received).unwrap()
}

/// Guards against a cut stream that looks complete, after a panic in its relay.
#[tokio::test]
async fn stream_is_broken_off_if_its_relay_panics() {
    let text = receive("/panic").await;
    assert!(!text.ends_with(LAST_CHUNK), "{text:?}");
}

/// Guards against complete streams that look cut.
#[tokio::test]
async fn complete_stream_ends_with_last_chunk() {
    let text = receive("/").await;
    assert!(text.contains("data: one") && text.ends_with(LAST_CHUNK), "{text:?}");
}
