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

/// End marker of an engine's stream.
const DONE: &str = "[DONE]";

/// One completion at an engine.
#[derive(Debug)]
pub(super) struct EngineCall<'a> {
    pub(super) http: &'a reqwest::Client,
    pub(super) base_url: &'a str,
    pub(super) attempt_id: AttemptId,
    pub(super) priority: PriorityClass,
    pub(super) version: Option<ContentDigest>,
    pub(super) token_gap: Duration,
    pub(super) first_token: Duration,
}

impl EngineCall<'_> {
    /// Runs the completion and sends its events.
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
            let limit = if progress.started { self.token_gap } else { self.first_token };
            let Ok(part) = timeout(limit, body.next()).await else {
                return Err(progress.broken("no token in time"));
            };
            match part {
                Some(Ok(part)) => decoder.push(&part),
                Some(Err(error)) => return Err(progress.broken(&error.to_string())),
                None => return Err(progress.broken("the stream ended without its end marker")),
            }
            while let Some(data) = decoder.next_data() {
                if data == DONE {
                    return progress.finish();
                }
                progress.accept(&data, sink).await?;
            }
        }
    }

    /// Tells the engine to stop; the connection is closed as well.
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

/// Failure of a request to the endpoint: not run only when no connection was made.
pub(super) fn send_failure(error: reqwest::Error) -> AttemptFailure {
    let (not_run, cause) = match error.is_connect() {
        true => (RunStatus::NotRun, FailureCause::EndpointUnreachable),
        false => (RunStatus::Unknown, FailureCause::EndpointFailed),
    };
    failure(not_run, cause, &error.to_string())
}

/// What a stream has delivered.
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

    /// Checks one event and passes its token on; a stream keeps its version and has no gap.
    async fn accept(&mut self, data: &str, sink: &EventSink) -> Result<(), AttemptFailure> {
        let chunk: CompletionChunk =
            serde_json::from_str(data).map_err(|error| self.broken(&error.to_string()))?;
        if self.version.is_some_and(|version| version != chunk.version) {
            let detail = format!("the engine changed to version {}", chunk.version);
            return Err(self.broken(&detail));
        }
        if !self.started {
            self.started = true;
            self.version = Some(chunk.version);
            sink.send(AttemptEventKind::Started { version: self.version }).await?;
        }
        if chunk.index != self.next_index {
            let detail = format!("token {} came instead of {}", chunk.index, self.next_index);
            return Err(self.broken(&detail));
        }
        self.next_index += 1;
        self.finished = chunk.finish_reason.is_some();
        sink.send(AttemptEventKind::Token { index: chunk.index, text: chunk.text }).await
    }

    fn finish(&self) -> Result<u32, AttemptFailure> {
        match self.finished {
            true => Ok(self.next_index),
            false => Err(self.broken("the stream ended before its last token")),
        }
    }

    fn broken(&self, detail: &str) -> AttemptFailure {
        let not_run = if self.started { RunStatus::Ran } else { RunStatus::Unknown };
        failure(not_run, FailureCause::EndpointFailed, detail)
    }
}
