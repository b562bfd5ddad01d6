//! Requests through an entry and a sidecar to scripted endpoints, over loopback.

mod support;

use std::time::Duration;

use celeryshed_core::configuration::EndpointKind;
use serde_json::{Value, json};
use support::rig::{KEY, start_entry, start_side, version};
use support::scripted::*;

fn ask(stream: bool) -> Value {
    json!({"model": "copywriter", "prompt": "Write about celery", "max_tokens": 8, "stream": stream})
}

/// Guards the whole path: version header, every token once, usage and end marker.
#[tokio::test]
async fn streams_a_completion() {
    let engine = ScriptedServer::start(vec![whole_stream(version(1), 0..3)]).await;
    let side = start_side(EndpointKind::Engine, &engine.address, Some(version(1))).await;
    let entry = start_entry(&[&side], |_| {}).await;
    let client = reqwest::Client::new();
    let request = client.post(entry.url("/v1/completions")).bearer_auth(KEY).json(&ask(true));
    let response = request.send().await.unwrap();
    assert_eq!(response.status(), 200);
    let header = response.headers()["Celeryshed-Model-Version"].to_str().unwrap().to_owned();
    assert_eq!(header, version(1).to_string());
    let text = response.text().await.unwrap();
    for token in ["t0 ", "t1 ", "t2 "] {
        assert_eq!(text.matches(token).count(), 1, "{text}");
    }
    assert!(text.contains("\"completion_tokens\":3"), "{text}");
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
}

/// Guards the resume: an engine that dies mid-stream is followed by one with the same version,
/// from the next token on.
#[tokio::test]
async fn resumes_after_an_engine_died() {
    let dying = vec![stream_head(), token(version(1), 0, false), token(version(1), 1, false)];
    let first = ScriptedServer::start(vec![dying]).await;
    let second = ScriptedServer::start(vec![whole_stream(version(1), 2..5)]).await;
    let side_1 = start_side(EndpointKind::Engine, &first.address, Some(version(1))).await;
    let side_2 = start_side(EndpointKind::Engine, &second.address, Some(version(1))).await;
    let entry = start_entry(&[&side_1, &side_2], |_| {}).await;
    let request = reqwest::Client::new().post(entry.url("/v1/completions")).json(&ask(false));
    let body: Value = request.send().await.unwrap().json().await.unwrap();
    assert_eq!(body["choices"][0]["text"], "t0 t1 t2 t3 t4 ");
    assert_eq!(body["usage"]["completion_tokens"], 5);
    let resumed = second.requests.lock().unwrap()[0].clone();
    assert!(resumed.contains(r#""resume_after":["t0 ","t1 "]"#), "{resumed}");
}

/// Guards P1: with only another version left, the stream ends with an error event, no end marker.
#[tokio::test]
async fn never_mixes_versions() {
    let dying = vec![stream_head(), token(version(1), 0, false)];
    let first = ScriptedServer::start(vec![dying]).await;
    let second = ScriptedServer::start(vec![whole_stream(version(2), 0..5)]).await;
    let side_1 = start_side(EndpointKind::Engine, &first.address, Some(version(1))).await;
    let side_2 = start_side(EndpointKind::Engine, &second.address, Some(version(2))).await;
    let entry = start_entry(&[&side_1, &side_2], |_| {}).await;
    let request = reqwest::Client::new().post(entry.url("/v1/completions")).json(&ask(true));
    let text = request.send().await.unwrap().text().await.unwrap();
    assert!(text.contains("event: error") && text.contains("/problems/version-gone"), "{text}");
    assert!(!text.contains("[DONE]") && !text.contains("t1 "), "{text}");
    assert_eq!(second.request_count(), 0);
}

/// Guards P6 against the HTTP library's shutdown limits: a stream of 8 s, longer than rocket's
/// default grace and mercy (2 s and 3 s), survives the drain of both servers, which end soon after it.
#[tokio::test]
async fn draining_cuts_no_stream() {
    let mut script = vec![stream_head()];
    for index in 0..8 {
        script.push(token(version(1), index, index == 7));
        script.push(Step::Wait(Duration::from_secs(1)));
    }
    script.push(done());
    let engine = ScriptedServer::start(vec![script]).await;
    let side = start_side(EndpointKind::Engine, &engine.address, Some(version(1))).await;
    let entry = start_entry(&[&side], |_| {}).await;
    let request = reqwest::Client::new().post(entry.url("/v1/completions")).json(&ask(true));
    let response = request.send().await.unwrap();
    entry.drain.send_replace(celeryshed_entry::completions::DrainState::Draining);
    side.drain.send_replace(celeryshed_side::attempts::DrainState::Draining);
    let refused = reqwest::Client::new().post(entry.url("/v1/completions")).json(&ask(true));
    let refused = refused.send().await.unwrap();
    assert_eq!(refused.status(), 503);
    assert_eq!(refused.headers()["content-type"], "application/problem+json");
    let problem: Value = refused.json().await.unwrap();
    assert_eq!(problem["not_run"], true);
    let text = response.text().await.unwrap();
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    tokio::time::timeout(Duration::from_secs(5), entry.handle.idle()).await.unwrap();
    tokio::time::timeout(Duration::from_secs(5), side.handle.idle()).await.unwrap();
    for ended in [entry.served.ended, side.served.ended] {
        tokio::time::timeout(Duration::from_secs(5), ended).await.unwrap().unwrap();
    }
}

/// Guards the pass-through of plain services and the hand-over of bookings.
#[tokio::test]
async fn passes_calls_through() {
    let service = ScriptedServer::start(vec![plain_answer(200, "42 trays")]).await;
    let side = start_side(EndpointKind::Plain, &service.address, None).await;
    let entry = start_entry(&[&side], |_| {}).await;
    let client = reqwest::Client::new();
    let url = entry.url("/services/order-desk/trays/7?unit=tray&name=a%2Fb");
    let response = client.put(&url).body("count=2").send().await.unwrap();
    assert_eq!(response.status(), 200);
    assert_eq!(response.text().await.unwrap(), "42 trays");
    let seen = service.requests.lock().unwrap()[0].clone();
    assert!(seen.starts_with("PUT /trays/7?unit=tray&name=a%2Fb HTTP/1.1"), "{seen}");
    assert!(seen.ends_with("count=2"), "{seen}");
    let booking = client.post(&url).header("Idempotency-Key", "key-1").send().await.unwrap();
    assert_eq!(booking.status(), 201);
    assert_eq!(booking.text().await.unwrap(), "key-1");
    assert_eq!(service.request_count(), 1);
}

/// Guards the authentication: an unknown key is refused, not served as uncontracted.
#[tokio::test]
async fn refuses_an_unknown_key() {
    let entry = start_entry(&[], |_| {}).await;
    let client = reqwest::Client::new();
    let request = client.post(entry.url("/v1/completions")).bearer_auth("other").json(&ask(true));
    let response = request.send().await.unwrap();
    assert_eq!(response.status(), 401);
    let problem: Value = response.json().await.unwrap();
    assert_eq!(problem["not_run"], true);
    assert!(problem["request_id"].is_string());
}
