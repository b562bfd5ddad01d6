//! Requests that are sent before the answer to an earlier one.

use std::time::Duration;

use bytes::Bytes;
use celeryshed_http::{ConnectionServer, ServerSettings};
use http_body_util::Full;
use hyper::Response;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Guards against requests that are dropped because they arrived with an earlier one, also where
/// the answers take longer than the idle limit.
#[tokio::test]
async fn requests_in_one_segment_are_all_answered() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let idle_timeout = Duration::from_millis(100);
    let settings = ServerSettings {
        max_head_bytes: 8192,
        idle_timeout,
        write_timeout: Duration::from_secs(15),
    };
    let (_sender, settings) = watch::channel(settings);
    let (_closing, closing_watch) = watch::channel(false);
    let server = ConnectionServer::new(settings, closing_watch);
    tokio::spawn(server.run(listener, |_request, _peer| async {
        sleep(Duration::from_millis(300)).await;
        Response::new(Full::new(Bytes::from("whole")))
    }));
    let request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    let last = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    let text = [request, request, last].concat();
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut answers = String::new();
    timeout(Duration::from_secs(5), stream.read_to_string(&mut answers)).await.unwrap().unwrap();
    assert_eq!(answers.matches("HTTP/1.1 200").count(), 3, "{answers}");
}
