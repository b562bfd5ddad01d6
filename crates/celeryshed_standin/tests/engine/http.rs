//! HTTP interface of the engine.

use std::time::Duration;

use celeryshed_base::FenceNumber;
use celeryshed_standin::engine::{EngineOptions, RawEngineOptions, RunningEngine, TokenScript};
use celeryshed_wire::{
    CompletionChunk, EngineCommand, EngineCommandFailure, EngineCommandKind, EngineCommandReply,
    EngineLoad, EngineRequest, MANIFEST_CHUNK_INDEX,
};
use reqwest::{Client, Response};
use serde::Serialize;

use crate::versions::weights;
use crate::{raw_options, request, version};

struct Engine {
    running: RunningEngine,
    client: Client,
}

impl Engine {
    async fn launch(raw: RawEngineOptions) -> Self {
        let options: EngineOptions = raw.try_into().unwrap();
        let bind_addr = ([127, 0, 0, 1], 0).into();
        let running = RunningEngine::launch(options, bind_addr).await.unwrap();
        let client = Client::builder().no_proxy().timeout(Duration::from_secs(10));
        Self { running, client: client.build().unwrap() }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.running.address())
    }

    async fn post<T: Serialize>(&self, path: &str, body: &T) -> reqwest::Result<Response> {
        self.client.post(self.url(path)).json(body).send().await
    }

    async fn load(&self) -> reqwest::Result<EngineLoad> {
        self.client.get(self.url("/load")).send().await?.json().await
    }

    async fn complete(&self, request: &EngineRequest) -> String {
        self.post("/v1/completions", request).await.unwrap().text().await.unwrap()
    }
}

/// Returns the chunks of a body of server-sent events, and whether the body ends with `[DONE]`.
fn parse_events(body: &str) -> (Vec<CompletionChunk>, bool) {
    let events = body.split_terminator("\n\n").map(|event| event.strip_prefix("data: ").unwrap());
    let mut events: Vec<_> = events.collect();
    let done = events.pop_if(|event| *event == "[DONE]").is_some();
    (events.into_iter().map(|event| serde_json::from_str(event).unwrap()).collect(), done)
}

/// Guards against streams that clients can't parse or that lack `[DONE]`, and against wrong
/// statuses of rejected requests.
#[tokio::test]
async fn completions_are_server_sent_events() {
    let engine = Engine::launch(raw_options()).await;
    let reply = engine.post("/v1/completions", &request("prompt", 5)).await.unwrap();
    assert_eq!(reply.headers()["content-type"], "text/event-stream");
    let (chunks, done) = parse_events(&reply.text().await.unwrap());
    let text: String = chunks.iter().map(|chunk| chunk.text.as_str()).collect();
    assert_eq!(text, TokenScript::new(&version("v1"), None, "prompt").answer(5));
    assert!(done);
    assert_eq!(chunks[4].finish_reason.as_deref(), Some("length"));
    let unknown = EngineRequest { version: Some(version("v2")), ..request("prompt", 5) };
    assert_eq!(engine.post("/v1/completions", &unknown).await.unwrap().status(), 409);
    assert_eq!(engine.post("/v1/completions", &"no request").await.unwrap().status(), 400);
}

/// Guards against documented weight and command routes that don't work or answer with a wrong
/// status.
#[tokio::test]
async fn weights_are_put_and_loaded() {
    let engine = Engine::launch(RawEngineOptions { load_ms: 50, ..raw_options() }).await;
    let weights = weights(1);
    let kind = EngineCommandKind::Load { manifest: weights.digest, chunks: 3 };
    let command = EngineCommand { fence: FenceNumber(2), kind };
    let refused = engine.post("/commands", &command).await.unwrap();
    assert_eq!(refused.status(), 422);
    let failure: EngineCommandFailure = refused.json().await.unwrap();
    assert_eq!(failure.missing, [MANIFEST_CHUNK_INDEX]);

    let chunks = (0..).zip(&weights.chunks);
    for (index, content) in chunks.chain([(MANIFEST_CHUNK_INDEX, &weights.manifest)]) {
        let url = engine.url(&format!("/weights/{}/{index}", weights.digest));
        let reply = engine.client.put(url).body(content.clone()).send().await.unwrap();
        assert_eq!(reply.status(), 200, "chunk {index}");
    }
    let reply = engine.post("/commands", &command).await.unwrap();
    let reply: EngineCommandReply = reply.json().await.unwrap();
    assert_eq!(reply, EngineCommandReply { live: Some(weights.digest), fence: FenceNumber(2) });
    let stale = EngineCommand { fence: FenceNumber(1), ..command };
    assert_eq!(engine.post("/commands", &stale).await.unwrap().status(), 409);
    assert_eq!(engine.load().await.unwrap().slots, 16);
}

/// Guards against a cancelled or crashed stream that ends with `[DONE]` over HTTP.
#[tokio::test]
async fn incomplete_streams_have_no_end_marker() {
    let engine = Engine::launch(RawEngineOptions { restart_ms: 300, ..raw_options() }).await;
    let cancelled = request("cancelled", 1_000);
    let path = format!("/v1/completions/{}/cancel", cancelled.attempt_id);
    let cancel = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        engine.post(&path, &()).await.unwrap().text().await.unwrap()
    };
    let (body, reply) = tokio::join!(engine.complete(&cancelled), cancel);
    assert_eq!(reply, r#"{"cancelled":true}"#);
    let (chunks, done) = parse_events(&body);
    assert!(!chunks.is_empty() && !done);

    let (_, done) = parse_events(&engine.complete(&request("crash-engine", 5)).await);
    assert!(!done);
    assert!(engine.load().await.is_err(), "connections are closed while the engine is down");
    tokio::time::sleep(Duration::from_millis(350)).await;
    assert_eq!(engine.load().await.unwrap().live, None);
}

/// Guards against streams that stay open, and a port that stays bound, after the engine is stopped.
#[tokio::test]
async fn a_stopped_engine_ends_its_streams() {
    let engine = Engine::launch(raw_options()).await;
    let mut reply = engine.post("/v1/completions", &request("prompt", 1_000)).await.unwrap();
    assert!(reply.chunk().await.unwrap().is_some());
    let Engine { running, client } = engine;
    let address = running.address();
    running.stop().await;
    let rest = tokio::time::timeout(Duration::from_secs(2), reply.text()).await;
    assert!(rest.is_ok_and(|rest| rest.is_err() || !rest.unwrap().contains("[DONE]")));
    assert!(client.get(format!("http://{address}/load")).send().await.unwrap_err().is_connect());
    let relaunched = RunningEngine::launch(EngineOptions::default(), address).await.unwrap();
    assert_eq!(relaunched.address(), address);
}

/// Guards against control routes that don't work over HTTP.
#[tokio::test]
async fn faults_and_counts_work_over_http() {
    let engine = Engine::launch(raw_options()).await;
    let reply = engine.client.post(engine.url("/control/faults")).body(r#"{"crash":true}"#);
    assert_eq!(reply.send().await.unwrap().status(), 200);
    let counts = engine.client.get(engine.url("/control/counts")).send().await.unwrap();
    let counts = counts.text().await.unwrap();
    assert!(counts.contains(r#""crashes":1"#), "{counts}");
}
