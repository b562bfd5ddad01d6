//! Client of a model engine.

use std::time::Duration;

use celeryshed_base::{AttemptId, ContentDigest};
use celeryshed_wire::{
    AttemptEventKind, AttemptFailure, CompletionChunk, CompletionWork, EngineRequest, FailureCause,
    PriorityClass, RunStatus,
};
use futures::StreamExt;
use tokio::time::timeout;

use super::runner::{EventSink, failure};
use super::sse::EventDecoder;

/// Data of the event that ends an engine's stream.
const END_MARKER: &str = "[DONE]";

/// One completion call to an engine.
#[derive(Debug)]
pub(super) struct EngineCall<'a> {
    pub(super) http: &'a reqwest::Client,
    pub(super) base_url: &'a str,
    pub(super) attempt_id: AttemptId,
    pub(super) priority: PriorityClass,
    pub(super) version: Option<ContentDigest>,
    /// Longest pause between two tokens.
    pub(super) token_gap: Duration,
    /// Longest wait for the first token.
    pub(super) first_token: Duration,
}

impl EngineCall<'_> {
    /// Runs the completion and sends its events; returns the number of tokens, including those of
    /// `resume_after`.
    pub(super) async fn run(
        &self,
        work: &CompletionWork,
        sink: &EventSink,
    ) -> Result<u32, AttemptFailure> {
        let response = self.send(work).await?;
        let mut progress = StreamProgress::new(work.resume_after.len() as u32, self.version);
        let mut body = response.bytes_stream();
        let mut decoder = EventDecoder::default();
        loop {
            let wait_limit = if progress.started { self.token_gap } else { self.first_token };
            let Ok(received) = timeout(wait_limit, body.next()).await else {
                return Err(progress.stream_failure("no token in time"));
            };
            match received {
                Some(Ok(bytes)) => decoder.push(&bytes),
                Some(Err(error)) => return Err(progress.stream_failure(&error.to_string())),
                None => {
                    return Err(progress.stream_failure("the stream ended without its end marker"));
                }
            }
            while let Some(data) = decoder.next_data() {
                if data == END_MARKER {
                    return progress.finish();
                }
                progress.accept(&data, sink).await?;
            }
        }
    }

    /// Asks the engine to stop the attempt; dropping the future of [`Self::run`] closes the
    /// connection as well.
    pub(super) async fn cancel(&self) {
        let url = format!("{}/v1/completions/{}/cancel", self.base_url, self.attempt_id);
        let _ = timeout(Duration::from_secs(1), self.http.post(url).send()).await;
    }

    async fn send(&self, work: &CompletionWork) -> Result<reqwest::Response, AttemptFailure> {
        let request = EngineRequest {
            attempt_id: self.attempt_id,
            prompt: work.prompt.clone(),
            max_tokens: work.max_tokens,
            adapter: work.adapter.clone(),
            version: self.version,
            priority: self.priority,
            resume_after: work.resume_after.clone(),
        };
        let url = format!("{}/v1/completions", self.base_url);
        let response = self.http.post(url).json(&request).send().await.map_err(send_failure)?;
        match response.status().as_u16() {
            200 => Ok(response),
            404 | 409 => Err(refusal(FailureCause::NotLive, &response)),
            429 | 503 => Err(refusal(FailureCause::Busy, &response)),
            status => {
                let detail = format!("the engine answered with status {status}");
                Err(failure(RunStatus::Unknown, FailureCause::EndpointFailed, &detail))
            }
        }
    }
}

fn refusal(cause: FailureCause, response: &reqwest::Response) -> AttemptFailure {
    let detail = format!("the engine refused with status {}", response.status().as_u16());
    failure(RunStatus::NotRun, cause, &detail)
}

/// Maps a failed request to `NotRun` only if no connection was made: otherwise the endpoint may
/// have received the request.
pub(super) fn send_failure(error: reqwest::Error) -> AttemptFailure {
    let (run_status, cause) = match error.is_connect() {
        true => (RunStatus::NotRun, FailureCause::EndpointUnreachable),
        false => (RunStatus::Unknown, FailureCause::EndpointFailed),
    };
    failure(run_status, cause, &error.to_string())
}

/// Position and version of one token stream.
#[derive(Debug)]
struct StreamProgress {
    next_index: u32,
    version: Option<ContentDigest>,
    started: bool,
    finished: bool,
}

impl StreamProgress {
    fn new(next_index: u32, version: Option<ContentDigest>) -> Self {
        Self { next_index, version, started: false, finished: false }
    }

    /// Checks one event and sends its token; the version must not change within a stream, and token
    /// indexes must be consecutive.
    async fn accept(&mut self, data: &str, sink: &EventSink) -> Result<(), AttemptFailure> {
        let chunk: CompletionChunk =
            serde_json::from_str(data).map_err(|error| self.stream_failure(&error.to_string()))?;
        if self.version.is_some_and(|version| version != chunk.version) {
            let detail = format!("the engine changed to version {}", chunk.version);
            return Err(self.stream_failure(&detail));
        }
        if !self.started {
            self.started = true;
            self.version = Some(chunk.version);
            sink.send(AttemptEventKind::Started { version: self.version }).await?;
        }
        if chunk.index != self.next_index {
            let detail = format!("token {} came instead of {}", chunk.index, self.next_index);
            return Err(self.stream_failure(&detail));
        }
        self.next_index += 1;
        self.finished = chunk.finish_reason.is_some();
        sink.send(AttemptEventKind::Token { index: chunk.index, text: chunk.text }).await
    }

    fn finish(&self) -> Result<u32, AttemptFailure> {
        match self.finished {
            true => Ok(self.next_index),
            false => Err(self.stream_failure("the stream ended before its last token")),
        }
    }

    fn stream_failure(&self, detail: &str) -> AttemptFailure {
        let run_status = if self.started { RunStatus::Ran } else { RunStatus::Unknown };
        failure(run_status, FailureCause::EndpointFailed, detail)
    }
}
