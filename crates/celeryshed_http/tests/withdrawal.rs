//! How connections end when a request is withdrawn, and when it was answered.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use celeryshed_http::{HttpClient, HttpConnection};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Time after which a test's caller withdraws its request.
const PATIENCE: Duration = Duration::from_millis(100);
/// More than the socket buffers of both sides hold.
const LARGE_BODY_BYTES: usize = 32 * 1024 * 1024;

/// What an endpoint saw of one connection: the bytes received, and how the connection ended.
type EndpointView = (usize, io::Result<()>);

async fn read_to_end(stream: &mut TcpStream, received: usize) -> EndpointView {
    let mut received = received;
    let mut buffer = vec![0; 64 * 1024];
    loop {
        match stream.read(&mut buffer).await {
            Ok(0) => return (received, Ok(())),
            Ok(length) => received += length,
            Err(error) => return (received, Err(error)),
        }
    }
}

/// An endpoint that reads once, sends `answer`, and then reads on until the connection ends.
async fn start_endpoint(answer: &'static str) -> (SocketAddr, JoinHandle<EndpointView>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let view = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let received = stream.read(&mut [0; 4096]).await.unwrap();
        stream.write_all(answer.as_bytes()).await.unwrap();
        read_to_end(&mut stream, received).await
    });
    (address, view)
}

async fn view_of(endpoint: JoinHandle<EndpointView>) -> EndpointView {
    timeout(Duration::from_secs(5), endpoint).await.expect("the connection ends").unwrap()
}

fn assert_reset(end: io::Result<()>) {
    let kind = end.expect_err("the connection is reset").kind();
    assert_eq!(kind, io::ErrorKind::ConnectionReset);
}

fn request(body: Bytes) -> Request<Full<Bytes>> {
    Request::post("/").header("host", "a").body(Full::new(body)).unwrap()
}

async fn connect(address: SocketAddr) -> HttpConnection {
    HttpConnection::connect(&address.to_string(), CONNECT_LIMIT).await.unwrap()
}

#[tokio::test]
async fn request_withdrawn_before_its_answer_resets_the_connection() {
    let (address, endpoint) = start_endpoint("").await;
    let mut connection = connect(address).await;
    assert!(timeout(PATIENCE, connection.send(request(Bytes::new()))).await.is_err());
    drop(connection);
    assert_reset(view_of(endpoint).await.1);
}

#[tokio::test]
async fn stream_abandoned_after_an_event_resets_the_connection() {
    let (address, endpoint) =
        start_endpoint("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\na\n\n\n\r\n")
            .await;
    let mut connection = connect(address).await;
    let response = connection.send(request(Bytes::new())).await.unwrap();
    let mut body = response.into_body();
    assert!(body.frame().await.unwrap().unwrap().is_data());
    drop(body);
    drop(connection);
    assert_reset(view_of(endpoint).await.1);
}

#[tokio::test]
async fn call_that_times_out_resets_the_connection() {
    let (address, endpoint) = start_endpoint("").await;
    let client = HttpClient::new(&address.to_string(), "text/plain");
    assert!(client.call(Method::POST, "/order", Bytes::new(), PATIENCE).await.is_err());
    assert_reset(view_of(endpoint).await.1);
}

/// Bytes that the kernel has not taken yet would keep the connection open until they are written.
#[tokio::test]
async fn request_withdrawn_while_it_is_written_is_never_complete() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut connection = connect(listener.local_addr().unwrap()).await;
    let (mut stream, _) = listener.accept().await.unwrap();
    let sent = connection.send(request(vec![0; LARGE_BODY_BYTES].into()));
    assert!(timeout(PATIENCE, sent).await.is_err());
    drop(connection);
    sleep(PATIENCE).await;
    let view = timeout(Duration::from_secs(5), read_to_end(&mut stream, 0)).await;
    let (received, end) = view.expect("the connection ends");
    assert_reset(end);
    assert!(received < LARGE_BODY_BYTES, "{received} bytes arrived");
}

/// Guards against requests that run after their withdrawal, when a link that held them up is back:
/// they may then begin on a version that is no longer allowed.
#[tokio::test]
async fn withdrawn_request_does_not_arrive_after_the_link_is_back() {
    let (endpoint_address, endpoint) = start_endpoint("").await;
    let link = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let link_address = link.local_addr().unwrap();
    let (restore, restored) = oneshot::channel::<()>();
    let forwarding = tokio::spawn(async move {
        let (mut caller, _) = link.accept().await.unwrap();
        let mut onward = TcpStream::connect(endpoint_address).await.unwrap();
        restored.await.unwrap();
        // A reset discards what the link holds up; a close follows the bytes before it.
        if caller.take_error().unwrap().is_none() {
            let _ = tokio::io::copy(&mut caller, &mut onward).await;
        }
    });
    let mut connection = connect(link_address).await;
    assert!(timeout(PATIENCE, connection.send(request(Bytes::new()))).await.is_err());
    drop(connection);
    sleep(PATIENCE).await;
    restore.send(()).unwrap();
    forwarding.await.unwrap();
    let (received, _end) = view_of(endpoint).await;
    assert_eq!(received, 0, "the endpoint got the request");
}

#[tokio::test]
async fn answered_request_closes_the_connection_in_order() {
    for answer in [
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        "HTTP/1.1 204 No Content\r\n\r\n",
    ] {
        let (address, endpoint) = start_endpoint(answer).await;
        let mut connection = connect(address).await;
        let response = connection.send(request(Bytes::new())).await.unwrap();
        response.into_body().collect().await.unwrap();
        drop(connection);
        assert!(view_of(endpoint).await.1.is_ok(), "{answer}");
    }
}
