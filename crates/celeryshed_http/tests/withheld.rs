//! Requests that are sent only while a condition holds.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use celeryshed_http::{HttpClient, HttpError};
use hyper::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const TIMEOUT: Duration = Duration::from_secs(5);

/// Reads from a connection to the end of a request head without a body.
async fn read_request(connection: &mut TcpStream) {
    let mut received = Vec::new();
    while !received.ends_with(b"\r\n\r\n") {
        assert_ne!(connection.read_buf(&mut received).await.unwrap(), 0);
    }
}

/// Guards against a condition that is asked before the first of two connections only: the request
/// was sent again, on a new connection, when the condition no longer held.
#[tokio::test]
async fn repeat_on_a_new_connection_is_withheld_once_the_condition_fails() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = HttpClient::new(&listener.local_addr().unwrap().to_string(), "application/json");
    let serving = async {
        let (mut first, _from) = listener.accept().await.unwrap();
        read_request(&mut first).await;
        first.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.unwrap();
        read_request(&mut first).await;
        drop(first);
        let (mut second, _from) = listener.accept().await.unwrap();
        let mut received = Vec::new();
        second.read_to_end(&mut received).await.unwrap();
        assert_eq!(received, b"");
    };
    let calling = async {
        client.call(Method::GET, "/first", Bytes::new(), TIMEOUT).await.unwrap();
        let asked = AtomicU32::new(0);
        let may_send = || asked.fetch_add(1, Ordering::Relaxed) == 0;
        let outcome = client.call_if(Method::GET, "/second", Bytes::new(), TIMEOUT, may_send).await;
        assert!(matches!(outcome, Err(HttpError::Withheld { .. })), "{outcome:?}");
        assert_eq!(asked.load(Ordering::Relaxed), 2);
    };
    tokio::join!(serving, calling);
}
