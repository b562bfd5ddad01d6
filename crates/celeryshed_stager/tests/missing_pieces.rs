//! Other sidecars that lack the pieces of a version with which their endpoints are listed.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use celeryshed_http::{CallLimits, HttpClient};
use hyper::{Method, StatusCode};
use support::{FakeWeights, MODEL, piece_bytes, start_listed_sidecar, start_sidecar};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Other sidecars, each of which lacks all pieces.
const OTHERS: usize = 3;
/// Port of the sidecars for each other.
const PEER_PORT: u16 = 18092;
/// Time in which requests are counted.
const COUNTED_TIME: Duration = Duration::from_secs(3);

/// Starts a sidecar that answers each request with 404, and counts those for pieces.
async fn start_empty_sidecar(ip: &str, asked: Arc<AtomicUsize>) {
    let listener = TcpListener::bind((ip, PEER_PORT)).await.unwrap();
    tokio::spawn(async move {
        loop {
            let Ok((mut stream, _)) = listener.accept().await else { continue };
            let asked = asked.clone();
            tokio::spawn(async move {
                let mut head = [0; 4096];
                let length = stream.read(&mut head).await.unwrap_or(0);
                if head[..length].starts_with(b"GET /piece?") {
                    asked.fetch_add(1, Ordering::Relaxed);
                }
                // The sidecar may have closed the connection.
                let _ = stream.write_all(b"HTTP/1.1 404 -\r\nContent-Length: 0\r\n\r\n").await;
            });
        }
    });
}

/// Guards against a sidecar that asks others for all their pieces without a pause, although they answer
/// that they have none.
#[tokio::test]
async fn sidecars_that_lack_pieces_are_asked_seldom() {
    let asked = Arc::new(AtomicUsize::new(0));
    let pid = std::process::id();
    let ips: Vec<String> = (0..OTHERS)
        .map(|other| format!("127.{}.{}.{}", 1 + pid % 250, 1 + (pid / 250) % 250, 200 + other))
        .collect();
    for ip in &ips {
        start_empty_sidecar(ip, asked.clone()).await;
    }
    let weights = FakeWeights::new(1, []);
    let others = |_own: &str| ips.iter().map(|ip| format!("{ip}:18094 2")).collect();
    start_listed_sidecar(&weights, &[2], others);
    while asked.load(Ordering::Relaxed) == 0 {
        sleep(Duration::from_millis(5)).await;
    }
    weights.hold_origin();
    sleep(COUNTED_TIME).await;
    // Two requests at a time to each sidecar, once a second.
    let most = OTHERS * 2 * (1 + COUNTED_TIME.as_secs() as usize);
    assert!(asked.load(Ordering::Relaxed) <= most, "{asked:?}");
}

/// Guards against a sidecar that counts as having no pieces, and so isn't asked for any, because its
/// endpoint was slow to send one.
#[tokio::test]
async fn late_read_counts_as_a_missing_piece() {
    let weights = FakeWeights::new(1, [(0, piece_bytes(1, 0))]);
    let sidecar = start_sidecar(&weights, 1);
    sleep(Duration::from_millis(500)).await;
    weights.delay_reads(1);
    let client = HttpClient::new(&sidecar.to_string(), "application/msgpack");
    let target = format!("/piece?model={MODEL}&version=1&piece=0");
    for expected in [StatusCode::SERVICE_UNAVAILABLE, StatusCode::OK] {
        let limits = CallLimits::from(Duration::from_secs(5));
        let reply = client.call(Method::GET, &target, Bytes::new(), limits).await.unwrap();
        assert_eq!(reply.status, expected);
    }
}
