//! Requests that are answered before their body has arrived.

mod support;

use std::time::Duration;

use support::{Deployment, Received, ScriptStep, ScriptedEndpoint, read_answer, request};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Length of a body that fits neither into the buffers of the entry nor into those of a socket.
const LARGE_BODY_BYTES: usize = 3_000_000;

/// Sends a request in two parts, and reads its answer.
async fn call_slowly(entry: &Deployment, text: &str) -> Result<Received, std::io::Error> {
    let mut stream = TcpStream::connect(entry.callers).await?;
    let (first, rest) = text.as_bytes().split_at(text.len() / 2);
    stream.write_all(first).await?;
    sleep(Duration::from_millis(100)).await;
    stream.write_all(rest).await?;
    Ok(read_answer(stream).await)
}

async fn check_denied(path: &str, key: &str, body_bytes: usize, status: u16) {
    let endpoint = ScriptedEndpoint::start("i-1", vec![vec![ScriptStep::Hang]]).await;
    let entry = Deployment::start(&[&endpoint]).await;
    let body = "x".repeat(body_bytes);
    let text = request("POST", path, "r1", "", &body).replace("key-1", key);
    let answer = timeout(Duration::from_secs(5), call_slowly(&entry, &text)).await.unwrap();
    let answer = answer.unwrap_or_else(|error| panic!("{path}: {error}"));
    assert_eq!(answer.status(), status, "{path}: {:?}", answer.text);
}

/// Guards against answers that a reset destroys: the entry closed the connection while the rest of
/// the body was still being sent.
#[tokio::test]
async fn request_without_route_is_answered_after_its_body() {
    check_denied("/none/a", "key-1", LARGE_BODY_BYTES, 404).await;
}

/// Guards against the same for an unknown key.
#[tokio::test]
async fn request_with_unknown_key_is_answered_after_its_body() {
    check_denied("/read/a", "key-2", LARGE_BODY_BYTES, 401).await;
}

/// Guards against the same for a body that is larger than allowed.
#[tokio::test]
async fn request_that_is_too_large_is_answered_after_its_body() {
    check_denied("/read/a", "key-1", 12 * 1024 * 1024, 413).await;
}

/// Guards against requests that are lost because their body arrives slowly: 400 tells the caller
/// not to send the request again, although it hasn't run.
#[tokio::test]
async fn request_with_slow_body_may_be_sent_again() {
    let endpoint = ScriptedEndpoint::start("i-1", vec![vec![ScriptStep::Hang]]).await;
    let entry = Deployment::start(&[&endpoint]).await;
    let text = request("POST", "/book/a", "r1", "x-limit-ms: 60000\r\n", "whole body");
    let stream = entry.connect(&text[..text.len() - 5]).await;
    let answer = timeout(Duration::from_secs(10), read_answer(stream)).await.unwrap();
    assert_eq!(answer.status(), 408, "{:?}", answer.text);
    assert_eq!(answer.header("connection"), Some("close"), "{:?}", answer.text);
    assert_eq!(endpoint.count(), 0);
}
