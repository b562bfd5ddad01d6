//! Connections that are established when the server closes.

use std::time::Duration;

use bytes::Bytes;
use celeryshed_http::{ConnectionServer, ServerSettings};
use http_body_util::Full;
use hyper::{Response, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

const CALLERS: usize = 20;
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

/// A server that refuses every request, as an entry does before it closes.
async fn run_server(listener: TcpListener, closing: watch::Receiver<bool>) -> ConnectionServer {
    let settings = ServerSettings { max_head_bytes: 8192, idle_timeout: Duration::from_secs(15) };
    let (_sender, settings) = watch::channel(settings);
    let server = ConnectionServer::new(settings, closing);
    server
        .clone()
        .run(listener, |_request, _peer| async {
            let mut response = Response::new(Full::<Bytes>::default());
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            response
        })
        .await;
    server
}

async fn answer(mut stream: TcpStream) -> String {
    let mut text = String::new();
    let read = timeout(Duration::from_secs(2), stream.read_to_string(&mut text)).await;
    read.expect("the connection ends").map_or_else(|error| error.to_string(), |_length| text)
}

/// Guards against requests that are cut off without an answer during a planned stop under load:
/// those in the accept queue, and those of which only a part has arrived when the server closes.
#[tokio::test]
async fn established_connections_are_answered() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut streams = Vec::new();
    for index in 0..CALLERS {
        let mut stream = TcpStream::connect(address).await.unwrap();
        // Every other caller has sent only a part of its request.
        let sent = if index % 2 == 0 { REQUEST } else { &REQUEST[..20] };
        stream.write_all(sent).await.unwrap();
        streams.push(stream);
    }
    let (_closing_sender, closing) = watch::channel(true);
    tokio::spawn(run_server(listener, closing));
    sleep(Duration::from_millis(50)).await;
    for (index, mut stream) in streams.into_iter().enumerate() {
        if index % 2 == 1 {
            // The connection may be reset if the server doesn't wait for the rest.
            let _ = stream.write_all(&REQUEST[20..]).await;
        }
        let text = answer(stream).await;
        assert!(text.starts_with("HTTP/1.1 503"), "caller {index}: {text:?}");
    }
}

/// A connection without any request doesn't keep the server open.
#[tokio::test]
async fn idle_connections_are_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (_closing_sender, closing) = watch::channel(true);
    let server = run_server(listener, closing).await;
    assert_eq!(answer(stream).await, "");
    sleep(Duration::from_millis(50)).await;
    assert_eq!(server.open_connections(), 0);
}
