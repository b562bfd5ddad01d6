//! Connections that are established when the server closes.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use celeryshed_http::{ConnectionServer, ServerSettings};
use futures::stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use hyper::{Response, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

const CALLERS: usize = 20;
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
/// A request that leaves its connection open.
const KEPT_REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";
const EVENT_PAUSE: Duration = Duration::from_millis(400);

/// A server that refuses every request, as an entry does before it closes.
async fn run_server(listener: TcpListener, closing: watch::Receiver<bool>) -> ConnectionServer {
    let settings = ServerSettings {
        max_head_bytes: 8192,
        idle_timeout: Duration::from_secs(15),
        write_timeout: Duration::from_secs(15),
    };
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

/// Starts a server that answers with two events, one at once and one after `EVENT_PAUSE`.
async fn start_stream_server(closing: watch::Receiver<bool>) -> TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let settings = ServerSettings {
        max_head_bytes: 8192,
        idle_timeout: Duration::from_secs(15),
        write_timeout: Duration::from_secs(15),
    };
    let (_sender, settings) = watch::channel(settings);
    tokio::spawn(ConnectionServer::new(settings, closing).run(listener, |_request, _peer| async {
        let events = stream::unfold(0, |index| async move {
            match index {
                0 => {}
                1 => sleep(EVENT_PAUSE).await,
                _ => return None,
            }
            Some((Ok::<_, Infallible>(Frame::data(Bytes::from("event"))), index + 1))
        });
        let body: UnsyncBoxBody<_, _> = StreamBody::new(events).boxed_unsync();
        Response::new(body)
    }));
    TcpStream::connect(address).await.unwrap()
}

/// Reads the answer with two events.
async fn read_events(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    let mut buffer = [0; 4096];
    while !text.ends_with("0\r\n\r\n") {
        let read = timeout(Duration::from_secs(5), stream.read(&mut buffer)).await.unwrap();
        let Ok(length @ 1..) = read else { break };
        text.push_str(std::str::from_utf8(&buffer[..length]).unwrap());
    }
    text
}

/// Guards against requests that are cut off during a planned stop because their connection is
/// closed after a response that didn't say so: the head of a stream was sent before the stop.
#[tokio::test]
async fn request_after_stream_is_answered_while_server_closes() {
    let (closing_sender, closing) = watch::channel(false);
    let mut stream = start_stream_server(closing).await;
    stream.write_all(KEPT_REQUEST).await.unwrap();
    sleep(EVENT_PAUSE / 2).await;
    closing_sender.send_replace(true);
    let first = read_events(&mut stream).await;
    assert!(!first.contains("connection: close"), "{first}");
    let _ = stream.write_all(KEPT_REQUEST).await;
    let next = read_events(&mut stream).await;
    assert!(next.starts_with("HTTP/1.1 200"), "{next:?}");
    assert!(next.contains("connection: close"), "{next}");
    assert_eq!(answer(stream).await, "");
}

/// Guards against the same on a connection that is idle when the server closes, where a part of
/// the next request has arrived, or arrives at the same time.
#[tokio::test]
async fn request_in_parts_on_used_connection_is_answered_while_server_closes() {
    for first_part in [&KEPT_REQUEST[..0], &KEPT_REQUEST[..10]] {
        let (closing_sender, closing) = watch::channel(false);
        let mut stream = start_stream_server(closing).await;
        stream.write_all(KEPT_REQUEST).await.unwrap();
        assert!(read_events(&mut stream).await.starts_with("HTTP/1.1 200"));
        stream.write_all(first_part).await.unwrap();
        sleep(Duration::from_millis(50)).await;
        closing_sender.send_replace(true);
        sleep(Duration::from_millis(50)).await;
        let _ = stream.write_all(&KEPT_REQUEST[first_part.len()..]).await;
        let next = read_events(&mut stream).await;
        assert!(next.starts_with("HTTP/1.1 200"), "after {} bytes: {next:?}", first_part.len());
    }
}
