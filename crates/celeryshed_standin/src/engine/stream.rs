//! Stream of one completion.

use celeryshed_base::{ContentDigest, MonoTime, common_derives};
use celeryshed_wire::{CompletionChunk, EngineRequest, prefix_hashes};
use tokio::sync::mpsc::UnboundedSender;

use super::tokens::{TokenScript, prompt_tokens};

common_derives! { wire:
    /// Piece of a completion stream. A stream that ends without `Done` is incomplete.
    pub enum StreamPiece {
        /// One generated token.
        Chunk(CompletionChunk),
        /// End of a complete answer.
        Done,
    }
}

/// Reason why a completion is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// The request is invalid: `max_tokens` is 0 or the resumed answer is longer than `max_tokens`.
    #[error("request is invalid: {0}")]
    Invalid(String),
    /// The requested version isn't loaded, or none was requested and none is live.
    #[error("version is not loaded: {0}")]
    NotLoaded(String),
    /// All slots are taken and the queue is full.
    #[error("queue is full")]
    QueueFull,
    /// The engine is down after a crash.
    #[error("engine is down")]
    Down,
}

/// Phase of a stream that has a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StreamPhase {
    /// Waits until the adapter is loaded.
    AdapterLoading { until: MonoTime },
    /// Waits until the engine can process the prompt; prompts are processed one at a time.
    PrefillPending,
    /// The prompt is being processed.
    Prefill { until: MonoTime },
    /// Tokens are being generated.
    Decode,
}

/// Accepted request with its version and the sender of its answer.
#[derive(Debug)]
pub(super) struct EngineStream {
    /// Position in the order of arrival, starting at 0.
    pub(super) number: u64,
    pub(super) request: EngineRequest,
    pub(super) version: ContentDigest,
    pub(super) phase: StreamPhase,
    /// Whether the stream gets a token at the end of the current decode step.
    pub(super) in_step: bool,
    /// Number of tokens sent in this attempt, without those of a resumed answer.
    pub(super) sent: u32,
    script: TokenScript,
    next_index: u32,
    sender: UnboundedSender<StreamPiece>,
}

/// State of a stream after a decode step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TokenResult {
    Sent,
    Finished,
    ReceiverClosed,
}

impl EngineStream {
    pub(super) fn new(
        number: u64,
        request: EngineRequest,
        version: ContentDigest,
        sender: UnboundedSender<StreamPiece>,
    ) -> Self {
        let script = TokenScript::new(&version, request.adapter.as_ref(), &request.prompt);
        let next_index = request.resume_after.len() as u32;
        let phase = StreamPhase::PrefillPending;
        Self {
            number,
            request,
            version,
            phase,
            in_step: false,
            sent: 0,
            script,
            next_index,
            sender,
        }
    }

    /// Whether the tokens of the resumed answer are those that this version generates.
    pub(super) fn resumes_same_answer(&self) -> bool {
        let resumed = (0..).zip(&self.request.resume_after);
        resumed.into_iter().all(|(index, text)| self.script.text(index) == *text)
    }

    /// Number of tokens to process before the first new token: the prompt and the resumed answer.
    pub(super) fn context_tokens(&self) -> u64 {
        prompt_tokens(&self.request.prompt) + self.request.resume_after.len() as u64
    }

    pub(super) fn prefixes(&self) -> Vec<u64> {
        prefix_hashes(&self.request.prompt)
    }

    /// Scope of the stream's blocks in the prefix cache: a hash of the version and the adapter.
    pub(super) fn cache_scope(&self) -> u64 {
        let adapter = self.request.adapter.as_ref().map_or("", |adapter| adapter.as_str());
        let parts = [self.version.as_bytes().as_slice(), adapter.as_bytes()];
        ContentDigest::of_parts(&parts).leading_u64()
    }

    pub(super) fn is_receiver_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends the next token, followed by `Done` after the last one.
    pub(super) fn send_token(&mut self) -> TokenResult {
        if self.next_index >= self.request.max_tokens {
            return self.send_done();
        }
        let last = self.next_index + 1 == self.request.max_tokens;
        let chunk = CompletionChunk {
            version: self.version,
            index: self.next_index,
            text: self.script.text(self.next_index),
            finish_reason: last.then(|| "length".to_owned()),
        };
        self.next_index += 1;
        self.sent += 1;
        match self.sender.send(StreamPiece::Chunk(chunk)) {
            Err(_) => TokenResult::ReceiverClosed,
            Ok(()) if last => self.send_done(),
            Ok(()) => TokenResult::Sent,
        }
    }

    fn send_done(&self) -> TokenResult {
        match self.sender.send(StreamPiece::Done) {
            Ok(()) => TokenResult::Finished,
            Err(_) => TokenResult::ReceiverClosed,
        }
    }
}
