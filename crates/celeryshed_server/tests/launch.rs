//! Guards launch and shutdown: address reports, occupied ports, and streams that run longer than
//! rocket's default grace period.

use std::net::SocketAddr;
use std::time::Duration;

use celeryshed_observe::MetricsRegistry;
use celeryshed_server::{HealthProbe, ReadyState, ServerOptions, health_routes, launch_server};
use rocket::response::stream::TextStream;
use rocket::{Build, Rocket, get, routes};

const TICKS: u32 = 16;
const TICK: Duration = Duration::from_millis(500);

#[get("/stream")]
fn stream() -> TextStream![String] {
    TextStream! {
        for tick in 0..TICKS {
            tokio::time::sleep(TICK).await;
            yield format!("{tick}\n");
        }
    }
}

/// Larger than the buffers of both sockets, so that a reader that pauses holds the answer up.
const LARGE_BODY: usize = 12 * 1024 * 1024;

#[get("/large")]
fn large() -> Vec<u8> {
    vec![7; LARGE_BODY]
}

fn server() -> Rocket<Build> {
    rocket::build()
        .manage(HealthProbe::new(|| ReadyState::Starting("no configuration".to_owned())))
        .manage(MetricsRegistry::install())
        .mount("/", health_routes())
        .mount("/", routes![stream, large])
}

fn options(listen: &str) -> ServerOptions {
    ServerOptions::new(listen.parse::<SocketAddr>().expect("an address"))
}

#[tokio::test]
async fn readiness_tells_why_not() {
    let running = launch_server(options("127.0.0.1:0"), server()).await.expect("launch");
    assert_ne!(running.address().port(), 0);
    let url = format!("http://{}/readyz", running.address());
    let reply = reqwest::get(url).await.expect("a reply");
    assert_eq!(reply.status().as_u16(), 503);
    assert_eq!(reply.text().await.expect("text"), "starting: no configuration\n");
    running.stop().await;
}

/// Clients that only read JSON must find a cause and a truthful `not_run` on unknown paths too.
#[tokio::test]
async fn unknown_paths_are_problems() {
    let running = launch_server(options("127.0.0.1:0"), server()).await.expect("launch");
    let url = format!("http://{}/nothing%22here", running.address());
    let reply = reqwest::get(url).await.expect("a reply");
    assert_eq!(reply.status().as_u16(), 404);
    assert_eq!(reply.headers()["content-type"], "application/problem+json");
    let problem: rocket::serde::json::Value = reply.json().await.expect("JSON");
    assert_eq!(problem["not_run"], true);
    assert_eq!(problem["detail"], "GET /nothing%22here ended with status 404");
    running.stop().await;
}

#[tokio::test]
async fn an_occupied_port_is_a_clear_error() {
    let running = launch_server(options("127.0.0.1:0"), server()).await.expect("launch");
    let taken = running.address().to_string();
    let error = launch_server(options(&taken), server()).await.err().expect("port is taken");
    assert!(error.to_string().starts_with(&format!("server can't listen on {taken}: ")), "{error}");
    running.stop().await;
}

/// Rocket's defaults cut this 8 s stream 2 s after the shutdown.
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_lets_a_long_stream_finish() {
    let running = launch_server(options("127.0.0.1:0"), server()).await.expect("launch");
    let url = format!("http://{}/stream", running.address());
    let reading = tokio::spawn(async move { reqwest::get(url).await?.text().await });
    tokio::time::sleep(TICK * 2).await;
    running.stop().await;
    let text = reading.await.expect("task").expect("whole stream");
    assert_eq!(text.lines().count(), TICKS as usize);
}

/// A process that exits when its handlers are done loses what a slow reader hasn't taken yet.
#[tokio::test(flavor = "multi_thread")]
async fn stop_waits_for_a_slow_reader() {
    let running = launch_server(options("127.0.0.1:0"), server()).await.expect("launch");
    let url = format!("http://{}/large", running.address());
    let mut reply = reqwest::get(url).await.expect("a reply");
    let stopping = tokio::spawn(running.stop());
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert!(!stopping.is_finished(), "the answer is not taken yet");
    let mut received = 0;
    while let Some(chunk) = reply.chunk().await.expect("whole answer") {
        received += chunk.len();
    }
    assert_eq!(received, LARGE_BODY);
    stopping.await.expect("stopped");
}
