//! Requests through an entry and sidecars to scripted endpoints, over loopback HTTP.

mod support;

use std::time::Duration;

use celeryshed_core::configuration::EndpointKind;
use serde_json::{Value, json};
use support::rig::{KEY, start_entry, start_side, version};
use support::scripted::*;

fn completion_body(stream: bool) -> Value {
    json!({"model": "copywriter", "prompt": "Write about celery", "max_tokens": 8, "stream": stream})
}

/// Guards against a streamed reply without its version header, usage counts or end marker, or with
/// lost or repeated tokens.
#[tokio::test]
async fn streams_a_completion() {
    let engine = ScriptedServer::start(vec![whole_stream(version(1), 0..3)]).await;
    let side = start_side(EndpointKind::Engine, &engine.address, Some(version(1))).await;
    let entry = start_entry(&[&side], |_| {}).await;
    let client = reqwest::Client::new();
    let request =
        client.post(entry.url("/v1/completions")).bearer_auth(KEY).json(&completion_body(true));
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

/// Guards against a gap or repetition in the answer when an engine fails in the middle of a stream
/// and another one with the same version resumes.
#[tokio::test]
async fn resumes_after_an_engine_failure() {
    let failing = vec![stream_head(), token(version(1), 0, false), token(version(1), 1, false)];
    let first = ScriptedServer::start(vec![failing]).await;
    let second = ScriptedServer::start(vec![whole_stream(version(1), 2..5)]).await;
    let side_1 = start_side(EndpointKind::Engine, &first.address, Some(version(1))).await;
    let side_2 = start_side(EndpointKind::Engine, &second.address, Some(version(1))).await;
    let entry = start_entry(&[&side_1, &side_2], |_| {}).await;
    let request =
        reqwest::Client::new().post(entry.url("/v1/completions")).json(&completion_body(false));
    let body: Value = request.send().await.unwrap().json().await.unwrap();
    assert_eq!(body["choices"][0]["text"], "t0 t1 t2 t3 t4 ");
    assert_eq!(body["usage"]["completion_tokens"], 5);
    let resumed = second.requests.lock().unwrap()[0].clone();
    assert!(resumed.contains(r#""resume_after":["t0 ","t1 "]"#), "{resumed}");
}

/// Guards against an answer mixed from two versions (P1): if only engines with another version are
/// left, the stream ends with an error event and without an end marker.
#[tokio::test]
async fn never_mixes_versions() {
    let failing = vec![stream_head(), token(version(1), 0, false)];
    let first = ScriptedServer::start(vec![failing]).await;
    let second = ScriptedServer::start(vec![whole_stream(version(2), 0..5)]).await;
    let side_1 = start_side(EndpointKind::Engine, &first.address, Some(version(1))).await;
    let side_2 = start_side(EndpointKind::Engine, &second.address, Some(version(2))).await;
    let entry = start_entry(&[&side_1, &side_2], |_| {}).await;
    let request =
        reqwest::Client::new().post(entry.url("/v1/completions")).json(&completion_body(true));
    let text = request.send().await.unwrap().text().await.unwrap();
    assert!(text.contains("event: error") && text.contains("/problems/version-gone"), "{text}");
    assert!(!text.contains("[DONE]") && !text.contains("t1 "), "{text}");
    assert_eq!(second.request_count(), 0);
}

/// Guards against streams cut by a drain (P6). Rocket's default shutdown periods, grace (2 s) and
/// mercy (3 s), would cut this stream of 8 s. Both servers stop soon after the stream ends.
#[tokio::test]
async fn drain_lets_streams_finish() {
    let mut script = vec![stream_head()];
    for index in 0..8 {
        script.push(token(version(1), index, index == 7));
        script.push(Step::Wait(Duration::from_secs(1)));
    }
    script.push(done());
    let engine = ScriptedServer::start(vec![script]).await;
    let side = start_side(EndpointKind::Engine, &engine.address, Some(version(1))).await;
    let entry = start_entry(&[&side], |_| {}).await;
    let request =
        reqwest::Client::new().post(entry.url("/v1/completions")).json(&completion_body(true));
    let response = request.send().await.unwrap();
    entry.drain.send_replace(celeryshed_entry::completions::DrainState::Draining);
    side.drain.send_replace(celeryshed_side::attempts::DrainState::Draining);
    let refused =
        reqwest::Client::new().post(entry.url("/v1/completions")).json(&completion_body(true));
    let refused = refused.send().await.unwrap();
    assert_eq!(refused.status(), 503);
    assert_eq!(refused.headers()["content-type"], "application/problem+json");
    let problem: Value = refused.json().await.unwrap();
    assert_eq!(problem["not_run"], true);
    // The entry refuses the booking without looking up its key, so that it may have run earlier.
    let booking = reqwest::Client::new().post(entry.url("/services/order-desk/press-runs"));
    let booking = booking.header("Idempotency-Key", "0196b0a0-0000-7000-8000-000000000001");
    let problem: Value = booking.send().await.unwrap().json().await.unwrap();
    assert_eq!(problem["not_run"], "unknown");
    let text = response.text().await.unwrap();
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    tokio::time::timeout(Duration::from_secs(5), entry.handle.wait_until_idle()).await.unwrap();
    tokio::time::timeout(Duration::from_secs(5), side.handle.wait_until_idle()).await.unwrap();
    for ended in [entry.served.ended, side.served.ended] {
        tokio::time::timeout(Duration::from_secs(5), ended).await.unwrap().unwrap();
    }
}

/// Guards against calls whose method, path, query or body is changed on the way to a plain service,
/// and against calls with a key that bypass the bookings.
#[tokio::test]
async fn forwards_calls_unchanged() {
    let service = ScriptedServer::start(vec![plain_answer(200, "42 trays")]).await;
    let side = start_side(EndpointKind::Plain, &service.address, None).await;
    let entry = start_entry(&[&side], |_| {}).await;
    let client = reqwest::Client::new();
    let url = entry.url("/services/order-desk/trays/7?unit=tray&name=a%2Fb");
    let response = client.put(&url).body("count=2").send().await.unwrap();
    assert_eq!(response.status(), 200);
    assert_eq!(response.text().await.unwrap(), "42 trays");
    let received = service.requests.lock().unwrap()[0].clone();
    assert!(received.starts_with("PUT /trays/7?unit=tray&name=a%2Fb HTTP/1.1"), "{received}");
    assert!(received.ends_with("count=2"), "{received}");
    let booking = client.post(&url).header("Idempotency-Key", "key-1").send().await.unwrap();
    assert_eq!(booking.status(), 201);
    assert_eq!(booking.text().await.unwrap(), "key-1");
    assert_eq!(service.request_count(), 1);
}

/// Guards against a status that no answer may have, such as 000 or 600, as the answer to a call: the
/// service may have run it.
#[tokio::test]
async fn invalid_status_of_a_service_is_not_forwarded() {
    let client = reqwest::Client::new();
    for status in ["000 None", "101 Switching Protocols", "600 Above", "999 Above"] {
        let answer = format!("HTTP/1.1 {status}\r\nContent-Length: 5\r\n\r\nhello");
        let service = ScriptedServer::start(vec![vec![Step::Send(answer)]]).await;
        let side = start_side(EndpointKind::Plain, &service.address, None).await;
        let entry = start_entry(&[&side], |_| {}).await;
        let response = client.post(entry.url("/services/order-desk/trays")).send().await.unwrap();
        assert_eq!(response.status(), 502, "{status}");
        let problem: Value = response.json().await.unwrap();
        assert_eq!(problem["not_run"], "unknown", "{status}");
        assert_eq!(service.request_count(), 1, "{status}");
    }
}

/// Guards against a request that crashes more than two endpoints. The first crash makes the request
/// a suspect before its failure is passed on. The second crash quarantines the request, and further
/// resends are refused.
#[tokio::test]
async fn two_crashes_quarantine_a_request() {
    let crash = vec![Step::Restart];
    let (mut engines, mut sides) = (Vec::new(), Vec::new());
    for _ in 0..4 {
        let engine = ScriptedServer::start(vec![crash.clone()]).await;
        sides.push(start_side(EndpointKind::Engine, &engine.address, Some(version(1))).await);
        engines.push(engine);
    }
    let entry = start_entry(&sides.iter().collect::<Vec<_>>(), |_| {}).await;
    // The sidecars need this time to read the boot ids of their engines.
    tokio::time::sleep(Duration::from_millis(700)).await;
    let client = reqwest::Client::new();
    for resend in 0..12 {
        let request =
            client.post(entry.url("/v1/completions")).bearer_auth(KEY).json(&completion_body(true));
        let response = request.send().await.unwrap();
        let crashes: usize = engines.iter().map(ScriptedServer::request_count).sum();
        assert!(crashes <= 2, "{crashes} crashes after {resend} resends");
        if resend == 11 {
            assert_eq!(response.status(), 422);
            assert_eq!(crashes, 2);
            let problem: Value = response.json().await.unwrap();
            assert_eq!(problem["not_run"], true);
        }
    }
    assert_eq!(entry.handle.recent_crashes().await.len(), 2);
}

/// Guards against an unknown API key whose request is served as uncontracted.
#[tokio::test]
async fn refuses_an_unknown_key() {
    let entry = start_entry(&[], |_| {}).await;
    let client = reqwest::Client::new();
    let request =
        client.post(entry.url("/v1/completions")).bearer_auth("other").json(&completion_body(true));
    let response = request.send().await.unwrap();
    assert_eq!(response.status(), 401);
    let problem: Value = response.json().await.unwrap();
    assert_eq!(problem["not_run"], true);
    assert!(problem["request_id"].is_string());
}

/// Guards against a stream that is cut because its caller reads slowly. The answer of 10 MB exceeds
/// the socket buffers.
#[tokio::test]
async fn slow_reader_gets_the_whole_answer() {
    let engine = ScriptedServer::start(vec![whole_stream(version(1), 0..60_000)]).await;
    let side = start_side(EndpointKind::Engine, &engine.address, Some(version(1))).await;
    let entry = start_entry(&[&side], |_| {}).await;
    let body = json!({
        "model": "copywriter",
        "prompt": "Write about celery",
        "max_tokens": 60_000,
        "stream": true,
    });
    let request = reqwest::Client::new().post(entry.url("/v1/completions")).json(&body);
    let response = request.send().await.unwrap();
    // Longer than `CompletionOptions::event_gap_timeout`.
    tokio::time::sleep(Duration::from_secs(6)).await;
    let text = response.text().await.unwrap();
    assert!(text.ends_with("data: [DONE]\n\n"), "{}", &text[text.len() - 300..]);
    assert!(text.contains("\"completion_tokens\":60000"));
    assert_eq!(engine.request_count(), 1);
}

/// Guards against a late answer that is returned to the next call on the same connection, after its
/// own call passed the deadline.
#[tokio::test]
async fn late_answer_is_not_given_to_the_next_call() {
    let mut late = plain_answer(200, "late");
    late.insert(0, Step::Wait(Duration::from_millis(600)));
    let service = ScriptedServer::start(vec![late, plain_answer(200, "own")]).await;
    let side = start_side(EndpointKind::Plain, &service.address, None).await;
    let entry = start_entry(&[&side], |_| {}).await;
    let client = reqwest::Client::new();
    let url = entry.url("/services/order-desk/trays");
    let timed_out = client.post(&url).header("Celeryshed-Deadline-Ms", "300").send().await.unwrap();
    assert_eq!(timed_out.status(), 504);
    let problem: Value = timed_out.json().await.unwrap();
    assert_eq!(problem["not_run"], "unknown");
    for _ in 0..4 {
        let answer = client.post(&url).send().await.unwrap();
        assert_eq!(answer.text().await.unwrap(), "own");
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
}

/// Guards against requests that run at a draining sidecar (P5), or fail instead of being retried at
/// another one.
#[tokio::test]
async fn draining_sidecar_runs_no_new_requests() {
    let first = ScriptedServer::start(vec![whole_stream(version(1), 0..2)]).await;
    let second = ScriptedServer::start(vec![whole_stream(version(1), 0..2)]).await;
    let side_1 = start_side(EndpointKind::Engine, &first.address, Some(version(1))).await;
    let side_2 = start_side(EndpointKind::Engine, &second.address, Some(version(1))).await;
    let entry = start_entry(&[&side_1, &side_2], |_| {}).await;
    side_1.drain.send_replace(celeryshed_side::attempts::DrainState::Draining);
    for _ in 0..3 {
        let request =
            reqwest::Client::new().post(entry.url("/v1/completions")).json(&completion_body(false));
        let response = request.send().await.unwrap();
        assert_eq!(response.status(), 200);
    }
    assert_eq!((first.request_count(), second.request_count()), (0, 3));
}
