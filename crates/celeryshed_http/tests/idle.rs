//! Connections that are closed because they are idle, and those that aren't.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use celeryshed_http::{ConnectionServer, ServerSettings};
use futures::stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

const IDLE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time after which a caller that receives nothing is given up.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2000);
/// A limit that replaces [`IDLE_TIMEOUT`].
const SHORT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time that a streamed response takes.
const STREAM_TIME: Duration = Duration::from_millis(1600);
const EVENT_COUNT: u32 = 16;
const LARGE_BODY_BYTES: usize = 20_000_000;

type AnswerBody = UnsyncBoxBody<Bytes, Infallible>;

/// A running server and the settings that it follows; it closes when this is dropped.
struct RunningServer {
    address: SocketAddr,
    settings: watch::Sender<ServerSettings>,
    server: ConnectionServer,
    _closing: watch::Sender<bool>,
}

fn limits(idle_timeout: Duration) -> ServerSettings {
    ServerSettings { max_head_bytes: 8192, idle_timeout, write_timeout: WRITE_TIMEOUT }
}

/// Starts a server that streams its answers at `/stream`, and answers at once elsewhere; its answer
/// at `/large` doesn't fit into the buffers of a connection.
async fn start_server(idle_timeout: Duration) -> RunningServer {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (settings, settings_watch) = watch::channel(limits(idle_timeout));
    let (closing, closing_watch) = watch::channel(false);
    let server = ConnectionServer::new(settings_watch, closing_watch);
    tokio::spawn(server.clone().run(listener, |request, _peer| async move {
        Response::new(match request.uri().path() {
            "/stream" => streamed_body(),
            "/large" => large_body(),
            _ => whole_body(),
        })
    }));
    RunningServer { address, settings, server, _closing: closing }
}

fn whole_body() -> AnswerBody {
    Full::new(Bytes::from("whole")).boxed_unsync()
}

fn large_body() -> AnswerBody {
    let mut text = "x".repeat(LARGE_BODY_BYTES);
    text.push_str("end");
    Full::new(Bytes::from(text)).boxed_unsync()
}

fn streamed_body() -> AnswerBody {
    let events = stream::unfold(0, |index| async move {
        if index == EVENT_COUNT {
            return None;
        }
        sleep(STREAM_TIME / EVENT_COUNT).await;
        Some((Ok(Frame::data(Bytes::from("event"))), index + 1))
    });
    StreamBody::new(Box::pin(events)).boxed_unsync()
}

/// Sends a request and reads its answer, up to `end`.
async fn call(stream: &mut TcpStream, path: &str, end: &str) -> String {
    let request = format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n");
    // If the server has closed the connection, the answer is empty.
    let _ = stream.write_all(request.as_bytes()).await;
    read_until(stream, end).await
}

/// Reads until `end`, or until the connection ends.
async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut text = String::new();
    let mut buffer = vec![0; 65536];
    while !text.ends_with(end) {
        let read = timeout(Duration::from_secs(5), stream.read(&mut buffer)).await.unwrap();
        let Ok(length @ 1..) = read else { break };
        text.push_str(std::str::from_utf8(&buffer[..length]).unwrap());
    }
    text
}

/// Time until the server closes a connection on which nothing is sent.
async fn time_to_close(stream: &mut TcpStream) -> Duration {
    let started_at = Instant::now();
    assert_eq!(read_until(stream, "more").await, "");
    started_at.elapsed()
}

/// Guards against requests that meet the close of a connection that was in use until just before:
/// idle time was counted from the head of the last response, so that a stream longer than the
/// limit ended with a close that the caller hadn't been told of.
#[tokio::test]
async fn connection_is_open_after_long_stream() {
    let server = start_server(IDLE_TIMEOUT).await;
    for pause in [Duration::ZERO, IDLE_TIMEOUT / 2] {
        let mut stream = TcpStream::connect(server.address).await.unwrap();
        let streamed = call(&mut stream, "/stream", "0\r\n\r\n").await;
        assert!(!streamed.to_ascii_lowercase().contains("connection: close"), "{streamed}");
        sleep(pause).await;
        let next = call(&mut stream, "/", "whole").await;
        assert!(next.starts_with("HTTP/1.1 200"), "after a pause of {pause:?}: {next:?}");
    }
}

/// Idle connections are still closed after the limit: unused ones and used ones.
#[tokio::test]
async fn idle_connection_is_closed_after_limit() {
    let server = start_server(IDLE_TIMEOUT).await;
    let mut unused = TcpStream::connect(server.address).await.unwrap();
    let mut used = TcpStream::connect(server.address).await.unwrap();
    assert!(call(&mut used, "/", "whole").await.starts_with("HTTP/1.1 200"));
    for elapsed in [time_to_close(&mut unused).await, time_to_close(&mut used).await] {
        assert!(elapsed < IDLE_TIMEOUT * 3, "closed after {elapsed:?}");
    }
}

/// Guards against requests that are cut off because the idle time of their connection ends while
/// they arrive.
#[tokio::test]
async fn request_that_arrives_in_parts_is_answered() {
    let server = start_server(IDLE_TIMEOUT).await;
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    assert!(call(&mut stream, "/", "whole").await.starts_with("HTTP/1.1 200"));
    sleep(IDLE_TIMEOUT * 3 / 4).await;
    stream.write_all(b"GET / HTTP/1.1\r\n").await.unwrap();
    sleep(IDLE_TIMEOUT / 2).await;
    // The connection may be reset if the server doesn't wait for the rest.
    let _ = stream.write_all(b"Host: a\r\n\r\n").await;
    let answer = read_until(&mut stream, "whole").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
}

/// Guards against requests that meet a close because the limit was shortened: callers that don't
/// know of it yet use connections that have been idle for most of the former limit.
#[tokio::test]
async fn shortened_limit_spares_callers_that_know_the_former_one() {
    let server = start_server(IDLE_TIMEOUT).await;
    let mut before = TcpStream::connect(server.address).await.unwrap();
    let mut after = TcpStream::connect(server.address).await.unwrap();
    sleep(IDLE_TIMEOUT * 3 / 4).await;
    assert!(call(&mut before, "/", "whole").await.starts_with("HTTP/1.1 200"));
    server.settings.send_replace(limits(SHORT_TIMEOUT));
    sleep(SHORT_TIMEOUT / 2).await;
    assert!(call(&mut after, "/", "whole").await.starts_with("HTTP/1.1 200"));
    sleep(IDLE_TIMEOUT * 3 / 4).await;
    for (stream, period) in [(&mut before, "before"), (&mut after, "after")] {
        let next = call(stream, "/", "whole").await;
        assert!(next.starts_with("HTTP/1.1 200"), "idle since {period} the change: {next:?}");
    }
}

/// A shortened limit applies once the former one has passed, to new connections and to old ones.
#[tokio::test]
async fn shortened_limit_applies_after_former_one() {
    let server = start_server(IDLE_TIMEOUT).await;
    let mut old = TcpStream::connect(server.address).await.unwrap();
    server.settings.send_replace(limits(SHORT_TIMEOUT));
    sleep(IDLE_TIMEOUT * 3 / 4).await;
    assert!(call(&mut old, "/", "whole").await.starts_with("HTTP/1.1 200"));
    sleep(IDLE_TIMEOUT / 4).await;
    let mut new = TcpStream::connect(server.address).await.unwrap();
    for elapsed in [time_to_close(&mut old).await, time_to_close(&mut new).await] {
        assert!(elapsed < IDLE_TIMEOUT * 3 / 4, "closed after {elapsed:?}");
    }
}

/// A longer limit applies to connections that are already idle.
#[tokio::test]
async fn lengthened_limit_applies_at_once() {
    let server = start_server(SHORT_TIMEOUT).await;
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    assert!(call(&mut stream, "/", "whole").await.starts_with("HTTP/1.1 200"));
    server.settings.send_replace(limits(IDLE_TIMEOUT));
    sleep(SHORT_TIMEOUT * 2).await;
    let next = call(&mut stream, "/", "whole").await;
    assert!(next.starts_with("HTTP/1.1 200"), "{next:?}");
}

/// Guards against connections that stay open without end, and unanswered, because the head of their
/// first request is never complete.
#[tokio::test]
async fn unfinished_request_head_is_answered_with_408() {
    let server = start_server(IDLE_TIMEOUT).await;
    let mut unused = TcpStream::connect(server.address).await.unwrap();
    let mut used = TcpStream::connect(server.address).await.unwrap();
    assert!(call(&mut used, "/", "whole").await.starts_with("HTTP/1.1 200"));
    for stream in [&mut unused, &mut used] {
        stream.write_all(b"GET / HTTP/1.1\r\n").await.unwrap();
    }
    for stream in [&mut unused, &mut used] {
        let answer = read_until(stream, "more").await;
        assert!(answer.starts_with("HTTP/1.1 408"), "{answer:?}");
        assert!(answer.contains("connection: close"), "{answer}");
    }
}

/// Guards against requests that meet a close after a caller has received its last answer slowly: the
/// connection counted as idle while the server waited for the caller.
#[tokio::test]
async fn connection_is_open_after_slowly_received_answer() {
    let server = start_server(IDLE_TIMEOUT).await;
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    stream.write_all(b"GET /large HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
    sleep(IDLE_TIMEOUT * 3 / 2).await;
    let large = read_until(&mut stream, "end").await;
    assert!(large.len() > LARGE_BODY_BYTES, "{} bytes", large.len());
    let next = call(&mut stream, "/", "whole").await;
    assert!(next.starts_with("HTTP/1.1 200"), "{next:?}");
}

/// Guards against servers that close each connection before its first request is read, or spin,
/// because the limit is zero.
#[tokio::test]
async fn request_is_answered_although_limit_is_zero() {
    let server = start_server(Duration::ZERO).await;
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    sleep(Duration::from_millis(50)).await;
    let answer = call(&mut stream, "/", "whole").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    assert!(time_to_close(&mut stream).await < IDLE_TIMEOUT);
}

/// Guards against connections that stay open without end because their callers never receive the
/// rest of an answer.
#[tokio::test]
async fn connection_of_caller_that_stops_receiving_is_closed() {
    let server = start_server(IDLE_TIMEOUT).await;
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    stream.write_all(b"GET /large HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
    sleep(WRITE_TIMEOUT / 2).await;
    assert_eq!(server.server.open_connections(), 1);
    sleep(WRITE_TIMEOUT).await;
    assert_eq!(server.server.open_connections(), 0);
    let received = read_until(&mut stream, "end").await;
    assert!(received.len() < LARGE_BODY_BYTES, "{} bytes", received.len());
}

/// A caller that receives an answer in parts, with pauses below the limit, gets all of it.
#[tokio::test]
async fn answer_that_is_received_with_pauses_is_whole() {
    let server = start_server(IDLE_TIMEOUT).await;
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    stream.write_all(b"GET /large HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
    let mut part = vec![0; LARGE_BODY_BYTES / 3];
    for _ in 0..2 {
        sleep(WRITE_TIMEOUT * 2 / 3).await;
        stream.read_exact(&mut part).await.unwrap();
    }
    let rest = read_until(&mut stream, "end").await;
    assert!(rest.ends_with("end"), "{} bytes", rest.len());
}
