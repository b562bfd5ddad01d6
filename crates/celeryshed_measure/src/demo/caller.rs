//! HTTP client for the callers in the demo, independent of the system's own clients.

use std::net::SocketAddr;
use std::time::Duration;

use celeryshed_base::ContentDigest;
use futures::StreamExt;
use serde_json::{Value, json};

use super::contracts::api_key;

/// Timeout of one request, including its streamed answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Response header with the digest of the model version that generated the answer.
const VERSION_HEADER: &str = "celeryshed-model-version";

/// How a completion ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum StreamEnd {
    /// Complete: the end marker arrived.
    Whole { version: ContentDigest, text: String },
    /// An explicit error event arrived after this many tokens.
    Error { tokens: usize, detail: String },
    /// Rejected with another status than 200; `not_run` is copied from the problem body.
    Refused { status: u16, not_run: Value },
    /// Ended with neither an end marker nor an error event.
    Broken { reason: String },
}

/// HTTP client with the API key of one team.
#[derive(Clone)]
pub(super) struct DemoCaller {
    http: reqwest::Client,
    team: String,
}

impl DemoCaller {
    pub(super) fn new(team: &str) -> reqwest::Result<Self> {
        let http = reqwest::Client::builder().no_proxy().timeout(CALL_TIMEOUT).build()?;
        Ok(Self { http, team: team.to_owned() })
    }

    /// Requests a streamed completion and reads the stream to its end.
    pub(super) async fn stream(&self, entry: SocketAddr, prompt: &str, tokens: u32) -> StreamEnd {
        match self.try_stream(entry, prompt, tokens).await {
            Ok(end) => end,
            Err(error) => StreamEnd::Broken { reason: error.to_string() },
        }
    }

    async fn try_stream(
        &self,
        entry: SocketAddr,
        prompt: &str,
        tokens: u32,
    ) -> reqwest::Result<StreamEnd> {
        let body = json!({
            "model": "copywriter", "prompt": prompt, "max_tokens": tokens, "stream": true,
        });
        let url = format!("http://{entry}/v1/completions");
        let request = self.http.post(url).bearer_auth(api_key(&self.team)).json(&body);
        let response = request.send().await?;
        let status = response.status().as_u16();
        if status != 200 {
            let problem: Value = response.json().await?;
            return Ok(StreamEnd::Refused { status, not_run: problem["not_run"].clone() });
        }
        let version = response.headers().get(VERSION_HEADER);
        let version = version.and_then(|value| value.to_str().ok()).unwrap_or_default();
        let Ok(version) = ContentDigest::try_from(version) else {
            return Ok(StreamEnd::Broken { reason: "no version header".to_owned() });
        };
        let mut received = Vec::new();
        let mut chunks = response.bytes_stream();
        while let Some(chunk) = chunks.next().await {
            received.extend_from_slice(&chunk?);
        }
        Ok(parse_events(version, &String::from_utf8_lossy(&received)))
    }

    /// Books a press run with the idempotency key `key`; returns the status and the body.
    pub(super) async fn book(
        &self,
        entry: SocketAddr,
        key: &str,
        order: &str,
    ) -> reqwest::Result<(u16, Value)> {
        let url = format!("http://{entry}/services/order-desk/press-runs");
        let request = self.http.post(url).bearer_auth(api_key(&self.team));
        let request = request.header("Idempotency-Key", key).json(&json!({ "order": order }));
        let response = request.send().await?;
        let status = response.status().as_u16();
        Ok((status, response.json().await?))
    }
}

/// Parses the server-sent events of a completion, up to the end marker or error event.
fn parse_events(version: ContentDigest, events: &str) -> StreamEnd {
    let mut text = String::new();
    let mut tokens = 0;
    let mut failed = false;
    for line in events.lines() {
        if line == "event: error" {
            failed = true;
        }
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if failed {
            return StreamEnd::Error { tokens, detail: data.to_owned() };
        }
        if data == "[DONE]" {
            return StreamEnd::Whole { version, text };
        }
        let chunk: Value = serde_json::from_str(data).unwrap_or_default();
        text.push_str(chunk["choices"][0]["text"].as_str().unwrap_or_default());
        tokens += 1;
    }
    StreamEnd::Broken { reason: format!("no end marker after {tokens} events") }
}
