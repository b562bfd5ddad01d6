//! What is counted when connections end. The only test in its process, which has one registry.

use std::time::Duration;

use bytes::Bytes;
use celeryshed_http::{ConnectionServer, ServerSettings};
use celeryshed_observe::MetricsRegistry;
use futures::stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

const IDLE_TIMEOUT: Duration = Duration::from_millis(300);

/// Body of an answer; the path `/broken` gets one that breaks off.
type AnswerBody = UnsyncBoxBody<Bytes, std::io::Error>;

fn body_of(path: &str) -> AnswerBody {
    if path == "/broken" {
        let frames = [Ok(Frame::data(Bytes::from("event"))), Err(std::io::Error::other("broken"))];
        return StreamBody::new(stream::iter(frames)).boxed_unsync();
    }
    Full::new(Bytes::from("whole")).map_err(|never| match never {}).boxed_unsync()
}

/// Guards against closes that leave no trace: each reason has a counter of its own.
#[tokio::test]
async fn ends_of_connections_are_counted_by_reason() {
    let registry = MetricsRegistry::install();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let settings = ServerSettings {
        max_head_bytes: 8192,
        idle_timeout: IDLE_TIMEOUT,
        write_timeout: Duration::from_secs(15),
    };
    let (_sender, settings) = watch::channel(settings);
    let (closing, closing_watch) = watch::channel(false);
    let server = ConnectionServer::new(settings, closing_watch);
    tokio::spawn(server.run(listener, |request, _peer| async move {
        match request.uri().path() {
            "/slow" => sleep(Duration::from_secs(5)).await,
            "/panic" => panic!("a panic that the test expects"),
            _ => {}
        }
        Response::new(body_of(request.uri().path()))
    }));
    let cases = [
        ("GET / HTTP/1.1\r\nHost: a\r\n\r\n", "idle"),
        ("GET / HTTP/1.1\r\n", "unfinished_head"),
        ("GET /broken HTTP/1.1\r\nHost: a\r\n\r\n", "answer_broken"),
        ("GET /panic HTTP/1.1\r\nHost: a\r\n\r\n", "handler_panicked"),
        ("no request\r\n\r\n", "invalid_request"),
        ("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n", "caller_left"),
    ];
    for (text, reason) in cases {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(text.as_bytes()).await.unwrap();
        if reason == "caller_left" {
            sleep(Duration::from_millis(50)).await;
        } else {
            let mut answer = Vec::new();
            // A reset ends the answer as well.
            let _ = timeout(Duration::from_secs(5), stream.read_to_end(&mut answer)).await.unwrap();
        }
        drop(stream);
        sleep(Duration::from_millis(50)).await;
        let line = format!("celeryshed_connections_closed_total{{reason=\"{reason}\"}} 1");
        assert!(registry.render().contains(&line), "{reason}: {}", registry.render());
    }
    let _kept = TcpStream::connect(address).await.unwrap();
    sleep(Duration::from_millis(50)).await;
    closing.send_replace(true);
    sleep(Duration::from_millis(400)).await;
    let line = "celeryshed_connections_closed_total{reason=\"closing\"} 1";
    assert!(registry.render().contains(line), "{}", registry.render());
}
