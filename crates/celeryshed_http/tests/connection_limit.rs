//! Servers at their limit of connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use celeryshed_http::{ConnectionServer, ServerSettings};
use http_body_util::{BodyExt, Full};
use hyper::Response;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};

const CONNECTION_LIMIT: usize = 3;
/// More than the buffers of a connection hold.
const LARGE_RESPONSE_BYTES: usize = 32 * 1024 * 1024;
const LONG_TIMEOUT: Duration = Duration::from_secs(60);

/// Requests at `/wait`.
#[derive(Default)]
struct WaitingRequests {
    begun: AtomicUsize,
    ended: Notify,
}

struct RunningServer {
    address: SocketAddr,
    server: ConnectionServer,
    waiting: Arc<WaitingRequests>,
    _settings: watch::Sender<ServerSettings>,
    _closing: watch::Sender<bool>,
}

async fn start_server(idle_timeout: Duration) -> RunningServer {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (settings, settings_watch) = watch::channel(ServerSettings {
        max_head_bytes: 8192,
        idle_timeout,
        write_timeout: LONG_TIMEOUT,
    });
    let (closing, closing_watch) = watch::channel(false);
    let server = ConnectionServer::new(settings_watch, closing_watch)
        .with_connection_limit(CONNECTION_LIMIT);
    let waiting = Arc::new(WaitingRequests::default());
    let shared = waiting.clone();
    tokio::spawn(server.clone().run(listener, move |request, _peer| {
        let waiting = shared.clone();
        async move {
            if request.uri().path() == "/wait" {
                let ended = waiting.ended.notified();
                waiting.begun.fetch_add(1, Ordering::Relaxed);
                ended.await;
            }
            // A handler that needs the whole body.
            let _ = request.into_body().collect().await;
            Response::new(Full::<Bytes>::from("whole"))
        }
    }));
    RunningServer { address, server, waiting, _settings: settings, _closing: closing }
}

/// Opens as many connections as the limit allows, with a request on each that waits.
async fn fill(running: &RunningServer) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for _ in 0..CONNECTION_LIMIT {
        streams.push(send(running.address, &request("/wait")).await);
    }
    while running.waiting.begun.load(Ordering::Relaxed) < CONNECTION_LIMIT {
        sleep(Duration::from_millis(5)).await;
    }
    streams
}

async fn send(address: SocketAddr, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    stream
}

fn request(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n")
}

async fn read_answer(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    while !text.ends_with("whole") {
        let mut part = [0; 512];
        let length = timeout(LONG_TIMEOUT, stream.read(&mut part)).await.unwrap().unwrap();
        if length == 0 {
            break;
        }
        text.push_str(std::str::from_utf8(&part[..length]).unwrap());
    }
    text
}

/// Guards against idle connections, and heads that never end, that keep other callers out.
#[tokio::test]
async fn idle_connections_keep_no_caller_out() {
    let running = start_server(LONG_TIMEOUT).await;
    let mut unfinished = send(running.address, "GET / HTTP/1.1\r\n").await;
    let mut kept = Vec::new();
    for _ in 1..CONNECTION_LIMIT {
        let mut stream = send(running.address, &request("/")).await;
        assert!(read_answer(&mut stream).await.starts_with("HTTP/1.1 200"));
        kept.push(stream);
    }
    let mut added = send(running.address, &request("/")).await;
    assert!(read_answer(&mut added).await.starts_with("HTTP/1.1 200"));
    assert!(read_answer(&mut unfinished).await.starts_with("HTTP/1.1 408"));
    for mut stream in kept {
        stream.write_all(request("/").as_bytes()).await.unwrap();
        assert!(read_answer(&mut stream).await.starts_with("HTTP/1.1 200"));
    }
}

/// Guards against connections that are closed for new ones while their requests are in progress.
#[tokio::test]
async fn connections_in_use_are_not_closed_at_the_limit() {
    let running = start_server(LONG_TIMEOUT).await;
    let mut waiting = fill(&running).await;
    let mut added = send(running.address, &request("/")).await;
    let early = timeout(Duration::from_millis(300), read_answer(&mut added)).await;
    assert!(early.is_err(), "there was no room");
    assert_eq!(running.server.open_connections(), CONNECTION_LIMIT);
    running.waiting.ended.notify_waiters();
    for stream in &mut waiting {
        assert!(read_answer(stream).await.starts_with("HTTP/1.1 200"));
    }
    assert!(read_answer(&mut added).await.starts_with("HTTP/1.1 200"));
}

/// Guards against connections that are closed as idle because of the time that they waited for room.
#[tokio::test]
async fn connection_isnt_idle_while_it_waits_for_room() {
    let idle_timeout = Duration::from_secs(2);
    let running = start_server(idle_timeout).await;
    let mut waiting = fill(&running).await;
    let mut added = send(running.address, "").await;
    sleep(idle_timeout + Duration::from_millis(500)).await;
    running.waiting.ended.notify_waiters();
    for stream in &mut waiting {
        assert!(read_answer(stream).await.starts_with("HTTP/1.1 200"));
    }
    while running.server.open_connections() == CONNECTION_LIMIT {
        waiting.pop();
        sleep(Duration::from_millis(50)).await;
    }
    sleep(Duration::from_millis(300)).await;
    added.write_all(request("/").as_bytes()).await.unwrap();
    assert!(read_answer(&mut added).await.starts_with("HTTP/1.1 200"));
}

/// Guards against a connection that is kept for ever because it was told to close for another one
/// just when it got a request, whose response its caller doesn't receive.
#[tokio::test]
async fn evicted_connection_ends_though_its_caller_receives_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (_settings, settings) = watch::channel(ServerSettings {
        max_head_bytes: 8192,
        idle_timeout: LONG_TIMEOUT,
        write_timeout: Duration::from_millis(300),
    });
    let (_closing, closing) = watch::channel(false);
    let server = ConnectionServer::new(settings, closing).with_connection_limit(1);
    tokio::spawn(server.clone().run(listener, |_request, _peer| async {
        Response::new(Full::<Bytes>::from(vec![b'x'; LARGE_RESPONSE_BYTES]))
    }));
    let mut kept = std::net::TcpStream::connect(address).unwrap();
    while server.open_connections() == 0 {
        sleep(Duration::from_millis(5)).await;
    }
    // The server sees the new connection first, and the request when it polls the former one.
    let added = std::net::TcpStream::connect(address).unwrap();
    std::io::Write::write_all(&mut kept, request("/").as_bytes()).unwrap();
    added.set_nonblocking(true).unwrap();
    let mut added = TcpStream::from_std(added).unwrap();
    added.write_all(request("/").as_bytes()).await.unwrap();
    let mut head = [0; 12];
    let read = timeout(Duration::from_secs(20), added.read_exact(&mut head)).await;
    assert!(read.is_ok_and(|read| read.is_ok()), "the place was never free");
    assert_eq!(&head, b"HTTP/1.1 200");
}

/// Guards against bodies that never end, which keep other callers out.
#[tokio::test]
async fn unfinished_bodies_keep_no_caller_out() {
    let running = start_server(LONG_TIMEOUT).await;
    let mut unfinished = Vec::new();
    for _ in 0..CONNECTION_LIMIT {
        let text = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nx";
        unfinished.push(send(running.address, text).await);
        sleep(Duration::from_millis(50)).await;
    }
    let mut added = send(running.address, &request("/")).await;
    let answer = timeout(Duration::from_secs(20), read_answer(&mut added)).await;
    assert!(answer.expect("an answer").starts_with("HTTP/1.1 200"));
    assert!(read_answer(&mut unfinished[0]).await.starts_with("HTTP/1.1 408"));
}
