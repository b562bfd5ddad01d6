//! Handlers and bodies that panic.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use celeryshed_http::{ConnectionServer, RequestBody, ServerSettings};
use http_body_util::Full;
use hyper::body::{Body, Frame};
use hyper::{Request, Response};
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

/// A body that panics when it is sent, unless it is empty.
#[derive(Default)]
struct PanickingBody {
    panics: bool,
}

impl Body for PanickingBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        assert!(!self.panics, "a panic that the test expects");
        Poll::Ready(None)
    }
}

/// Sends a request for `path` on a new connection, and returns what arrives until its end.
async fn exchange(address: std::net::SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    // A reset ends the answer like a close.
    let _ = timeout(Duration::from_secs(5), stream.read_to_end(&mut bytes)).await.unwrap();
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Guards against panics that cost more than their connection: a lock that they poison, a place among
/// the open connections that stays taken, or an accept loop that ends.
#[tokio::test]
async fn panics_cost_their_connection_only() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let idle_timeout = Duration::from_secs(15);
    let write_timeout = idle_timeout;
    let settings = ServerSettings { max_head_bytes: 8192, idle_timeout, write_timeout };
    let (_sender, settings) = watch::channel(settings);
    let (_closing, closing_watch) = watch::channel(false);
    let server = ConnectionServer::new(settings, closing_watch).with_connection_limit(4);
    let handler = |request: Request<RequestBody>, _peer| {
        assert_ne!(request.uri().path(), "/call", "a panic that the test expects");
        let panics = request.uri().path() == "/body";
        async move { Response::new(PanickingBody { panics }) }
    };
    tokio::spawn(server.clone().run(listener, handler));
    for _ in 0..10 {
        let text = exchange(address, "/call").await;
        assert!(text.starts_with("HTTP/1.1 500"), "{text:?}");
        let text = exchange(address, "/body").await;
        assert!(!text.ends_with("0\r\n\r\n"), "a broken answer looks complete: {text:?}");
    }
    let text = exchange(address, "/sound").await;
    assert!(text.starts_with("HTTP/1.1 200"), "{text:?}");
    sleep(Duration::from_millis(50)).await;
    assert_eq!(server.open_connections(), 0);
}
