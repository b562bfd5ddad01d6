//! Callers, which use plain HTTP like any client.

use std::net::SocketAddr;
use std::time::Duration;

use celeryshed_base::ContentDigest;
use celeryshed_standin::engine::TokenScript;
use serde_json::{Value, json};

/// Timeout of each request.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Default deadline of bookings, which the entry enforces.
const BOOKING_DEADLINE: Duration = Duration::from_secs(20);

/// Body of a booking. The stand-in counts executions by body, because entries don't forward the key
/// itself.
pub fn booking_body(key: &str, order: &str) -> String {
    json!({ "key": key, "order": order }).to_string()
}

/// How a booking ended for its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum BookingReply {
    /// The service's answer.
    Answer(Value),
    /// A problem document with its status and its field `not_run`.
    Problem { status: u16, not_run: Value, body: Value },
    /// No complete reply.
    Broken(String),
}

impl BookingReply {
    /// Field `not_run` of a problem; `None` for other outcomes.
    pub fn not_run(&self) -> Option<&Value> {
        match self {
            Self::Problem { not_run, .. } => Some(not_run),
            Self::Answer(_) | Self::Broken(_) => None,
        }
    }
}

/// How a completion ended for its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamResult {
    /// The end marker arrived.
    Whole,
    /// An error event arrived.
    Error(Value),
    /// The entry refused the request with a problem document.
    Refused { status: u16, not_run: Value, body: Value },
    /// The stream ended without end marker or error event.
    Broken(String),
}

/// Client with the API key of one team.
#[derive(Clone)]
pub struct Caller {
    http: reqwest::Client,
    key: String,
}

/// A completion that is being read.
pub struct LiveStream {
    prompt: String,
    tokens: u32,
    /// Manifest digest of the version that answers.
    pub version: Option<ContentDigest>,
    /// Text received so far.
    pub text: String,
    /// Tokens received so far.
    pub received: u32,
    response: Option<reqwest::Response>,
    buffer: Vec<u8>,
    error_event: bool,
    result: Option<StreamResult>,
}

impl Caller {
    /// Creates a caller with an API key.
    pub fn new(key: &str) -> Self {
        let builder = reqwest::Client::builder().no_proxy().timeout(CALL_TIMEOUT);
        // A new connection for each call, as a load balancer may open.
        let http = builder.pool_max_idle_per_host(0).build().expect("a client can be built");
        Self { http, key: key.to_owned() }
    }

    /// Books `order` at `entry` under `key`, with the default deadline of these tests.
    pub async fn book(&self, entry: SocketAddr, key: &str, order: &str) -> BookingReply {
        self.book_within(entry, key, order, BOOKING_DEADLINE).await
    }

    /// Books `order` at `entry` under `key`; the entry gives up after `deadline`.
    pub async fn book_within(
        &self,
        entry: SocketAddr,
        key: &str,
        order: &str,
        deadline: Duration,
    ) -> BookingReply {
        let url = format!("http://{entry}/services/order-desk/press-runs");
        let request = self.http.post(url).bearer_auth(&self.key).header("Idempotency-Key", key);
        let request = request.header("Celeryshed-Deadline-Ms", deadline.as_millis().to_string());
        let response = match request.body(booking_body(key, order)).send().await {
            Ok(response) => response,
            Err(error) => return BookingReply::Broken(format!("{error:?}")),
        };
        let status = response.status().as_u16();
        match response.json::<Value>().await {
            Ok(body) if status == 200 => BookingReply::Answer(body),
            Ok(body) => BookingReply::Problem { status, not_run: body["not_run"].clone(), body },
            Err(error) => BookingReply::Broken(format!("{error:?}")),
        }
    }

    /// Posts `body` to `path`; returns status and body of the reply.
    pub async fn post(&self, entry: SocketAddr, path: &str, body: &str) -> (u16, Value) {
        let request = self.http.post(format!("http://{entry}{path}")).bearer_auth(&self.key);
        let request = request.header("Content-Type", "application/json").body(body.to_owned());
        let response = request.send().await.expect("a reply");
        let status = response.status().as_u16();
        (status, response.json().await.unwrap_or_default())
    }

    /// Starts a streamed completion and waits for the response headers.
    pub async fn stream(&self, entry: SocketAddr, prompt: &str, tokens: u32) -> LiveStream {
        let mut stream = LiveStream {
            prompt: prompt.to_owned(),
            tokens,
            version: None,
            text: String::new(),
            received: 0,
            response: None,
            buffer: Vec::new(),
            error_event: false,
            result: None,
        };
        let body = json!({
            "model": "copywriter", "prompt": prompt, "max_tokens": tokens, "stream": true,
        });
        let url = format!("http://{entry}/v1/completions");
        match self.http.post(url).bearer_auth(&self.key).json(&body).send().await {
            Ok(response) => stream.read_head(response).await,
            Err(error) => stream.result = Some(StreamResult::Broken(format!("{error:?}"))),
        }
        stream
    }

    /// Reads a whole streamed completion.
    pub async fn complete(&self, entry: SocketAddr, prompt: &str, tokens: u32) -> LiveStream {
        let mut stream = self.stream(entry, prompt, tokens).await;
        stream.finish().await;
        stream
    }

    /// Gets `path`; returns status and text, `None` when the call fails.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Option<(u16, String)> {
        let response = self.http.get(format!("http://{address}{path}")).send().await.ok()?;
        let status = response.status().as_u16();
        Some((status, response.text().await.ok()?))
    }

    /// Revision in `/status`; `None` if the process doesn't answer or has no configuration.
    pub async fn revision(&self, address: SocketAddr) -> Option<u64> {
        let (_, text) = self.get(address, "/status").await?;
        serde_json::from_str::<Value>(&text).ok()?["revision"].as_u64()
    }
}

impl LiveStream {
    async fn read_head(&mut self, response: reqwest::Response) {
        let status = response.status().as_u16();
        if status != 200 {
            let body: Value = response.json().await.unwrap_or_default();
            let not_run = body["not_run"].clone();
            self.result = Some(StreamResult::Refused { status, not_run, body });
            return;
        }
        let header = response.headers().get("celeryshed-model-version");
        let version = header.and_then(|value| value.to_str().ok()).unwrap_or_default();
        self.version = ContentDigest::try_from(version).ok();
        self.response = Some(response);
    }

    /// Reads until `count` tokens have arrived or the stream has ended.
    pub async fn read_tokens(&mut self, count: u32) {
        while self.result.is_none() && self.received < count {
            self.read_chunk().await;
        }
    }

    /// Reads to the end of the stream.
    pub async fn finish(&mut self) -> StreamResult {
        self.read_tokens(u32::MAX).await;
        self.result.clone().expect("the stream has ended")
    }

    async fn read_chunk(&mut self) {
        let Some(response) = &mut self.response else {
            return;
        };
        match response.chunk().await {
            Ok(Some(chunk)) => self.buffer.extend_from_slice(&chunk),
            Ok(None) => {
                let reason = format!("no end marker after {} tokens", self.received);
                self.result = Some(StreamResult::Broken(reason));
            }
            Err(error) => self.result = Some(StreamResult::Broken(format!("{error:?}"))),
        }
        while let Some(length) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.buffer.drain(..=length).collect();
            self.read_line(String::from_utf8_lossy(&line).trim_end());
        }
    }

    fn read_line(&mut self, line: &str) {
        self.error_event |= line == "event: error";
        let Some(data) = line.strip_prefix("data: ") else {
            return;
        };
        if data == "[DONE]" {
            self.result = Some(StreamResult::Whole);
            return;
        }
        let value: Value = serde_json::from_str(data).unwrap_or_default();
        if self.error_event {
            self.result = Some(StreamResult::Error(value));
            return;
        }
        let text = value["choices"][0]["text"].as_str().unwrap_or_default();
        self.received += u32::from(!text.is_empty());
        self.text.push_str(text);
    }

    /// Whether the text so far is a prefix of the answer of the version in the response header.
    pub fn is_one_version(&self) -> bool {
        let Some(version) = &self.version else {
            return self.text.is_empty();
        };
        self.text == TokenScript::new(version, None, &self.prompt).answer(self.received)
    }

    /// Whether the stream has ended with all tokens, all from one version.
    pub fn is_whole(&self) -> bool {
        self.result == Some(StreamResult::Whole)
            && self.received == self.tokens
            && self.is_one_version()
    }

    /// Whether the request was refused as not run.
    pub fn is_refused_as_not_run(&self) -> bool {
        matches!(&self.result, Some(StreamResult::Refused { not_run, .. }) if *not_run == json!(true))
    }

    /// Whether the stream ended with a refusal or an error event.
    pub fn ended_explicitly(&self) -> bool {
        matches!(self.result, Some(StreamResult::Refused { .. } | StreamResult::Error(_)))
    }

    /// Description for messages of failed assertions.
    pub fn describe(&self) -> String {
        format!(
            "{:?} after {} of {} tokens of version {:?}, one version: {}",
            self.result,
            self.received,
            self.tokens,
            self.version,
            self.is_one_version()
        )
    }
}
