//! Tests of launch and shutdown, and of the routes, catchers and metrics that every server has.

use std::net::SocketAddr;
use std::time::Duration;

use celeryshed_observe::MetricsRegistry;
use celeryshed_server::{HealthProbe, ReadyState, ServerOptions, health_routes, launch_server};
use rocket::response::stream::TextStream;
use rocket::{Build, Rocket, get, routes};

const TICK_COUNT: u32 = 16;
const TICK_INTERVAL: Duration = Duration::from_millis(500);

#[get("/stream")]
fn stream() -> TextStream![String] {
    TextStream! {
        for tick in 0..TICK_COUNT {
            tokio::time::sleep(TICK_INTERVAL).await;
            yield format!("{tick}\n");
        }
    }
}

/// Larger than the buffers of both sockets, so that the server can't send the whole answer while
/// the reader pauses.
const LARGE_BODY_BYTES: usize = 12 * 1024 * 1024;

#[get("/large")]
fn large() -> Vec<u8> {
    vec![7; LARGE_BODY_BYTES]
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
async fn readyz_gives_the_reason() {
    let running = launch_server(options("127.0.0.1:0"), server()).await.expect("launch");
    assert_ne!(running.address().port(), 0);
    let url = format!("http://{}/readyz", running.address());
    let reply = reqwest::get(url).await.expect("a reply");
    assert_eq!(reply.status().as_u16(), 503);
    assert_eq!(reply.text().await.expect("text"), "starting: no configuration\n");
    running.stop().await;
}

/// The error of a launch at a port in use named no cause, in most launches.
#[tokio::test]
async fn failed_launch_hides_its_cause() {
    let occupier = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = occupier.local_addr().expect("its address");
    for _ in 0..50 {
        let Err(error) = launch_server(ServerOptions::new(address), server()).await else {
            panic!("the port is in use");
        };
        assert!(error.reason.contains("in use"), "{error}");
    }
}

/// Guards against rocket's default HTML error pages: clients that parse JSON need the cause and a
/// correct `not_run` for unknown paths too.
#[tokio::test]
async fn unknown_paths_return_problem_details() {
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

/// Guards against paths as label values, with which callers could create any number of time series.
#[tokio::test]
async fn requests_are_counted_by_route_and_status() {
    let running = launch_server(options("127.0.0.1:0"), server()).await.expect("launch");
    let base = format!("http://{}", running.address());
    for path in ["/healthz", "/made/up/path"] {
        reqwest::get(format!("{base}{path}")).await.expect("a reply");
    }
    let text = reqwest::get(format!("{base}/metrics")).await.expect("a reply").text().await;
    let text = text.expect("text");
    let counted = "celeryshed_http_requests_total{route=\"/healthz\",status=\"200\"}";
    assert!(text.contains(counted), "{text}");
    assert!(text.contains("celeryshed_http_requests_total{route=\"none\",status=\"404\"}"));
    assert!(!text.contains("made"));
    running.stop().await;
}

#[tokio::test]
async fn occupied_port_error_names_the_address() {
    let running = launch_server(options("127.0.0.1:0"), server()).await.expect("launch");
    let occupied = running.address().to_string();
    let error = launch_server(options(&occupied), server()).await.err().expect("port is occupied");
    assert!(
        error.to_string().starts_with(&format!("server can't listen on {occupied}: ")),
        "{error}"
    );
    running.stop().await;
}

/// Guards against rocket's default grace period, which cuts this 8 s stream 2 s after the shutdown.
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_lets_a_long_stream_finish() {
    let running = launch_server(options("127.0.0.1:0"), server()).await.expect("launch");
    let url = format!("http://{}/stream", running.address());
    let reading = tokio::spawn(async move { reqwest::get(url).await?.text().await });
    tokio::time::sleep(TICK_INTERVAL * 2).await;
    running.stop().await;
    let text = reading.await.expect("task").expect("whole stream");
    assert_eq!(text.lines().count(), TICK_COUNT as usize);
}

/// Guards against a stop that waits only for handlers: a slow reader then loses the part of its
/// answer that is still in the server's buffers.
#[tokio::test(flavor = "multi_thread")]
async fn stop_waits_for_a_slow_reader() {
    let running = launch_server(options("127.0.0.1:0"), server()).await.expect("launch");
    let url = format!("http://{}/large", running.address());
    let mut reply = reqwest::get(url).await.expect("a reply");
    let stopping = tokio::spawn(running.stop());
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert!(!stopping.is_finished(), "the reader has not received the whole answer");
    let mut received = 0;
    while let Some(chunk) = reply.chunk().await.expect("whole answer") {
        received += chunk.len();
    }
    assert_eq!(received, LARGE_BODY_BYTES);
    stopping.await.expect("stopped");
}
