//! One completion in the engine.

use celeryshed_base::{ContentDigest, MonoTime, common_derives};
use celeryshed_wire::{CompletionChunk, EngineRequest, prefix_hashes};
use tokio::sync::mpsc::UnboundedSender;

use super::tokens::{TokenScript, prompt_tokens};

common_derives! { wire:
    /// A piece of a completion; a stream that ends without `Done` was cut.
    pub enum StreamPiece {
        /// One token.
        Chunk(CompletionChunk),
        /// The answer is complete.
        Done,
    }
}

/// Why a completion isn't accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// The request makes no sense.
    #[error("request is invalid: {0}")]
    Invalid(String),
    /// The version isn't loaded.
    #[error("version is not loaded: {0}")]
    NotLoaded(String),
    /// The queue is full.
    #[error("queue is full")]
    QueueFull,
    /// The engine is down after a crash.
    #[error("engine is down")]
    Down,
}

/// Where a stream stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StreamPhase {
    /// Waits for its adapter.
    AdapterLoading { until: MonoTime },
    /// Waits until its prompt can be processed.
    PrefillPending,
    /// Its prompt is being processed.
    Prefill { until: MonoTime },
    /// Generates tokens.
    Decode,
}

/// A request with its version and the way back to its caller.
#[derive(Debug)]
pub(super) struct EngineStream {
    /// Order of arrival.
    pub(super) number: u64,
    pub(super) request: EngineRequest,
    pub(super) version: ContentDigest,
    pub(super) phase: StreamPhase,
    /// Whether it gets a token at the end of the current step.
    pub(super) in_step: bool,
    /// Tokens sent in this attempt.
    pub(super) sent: u32,
    script: TokenScript,
    next_index: u32,
    sender: UnboundedSender<StreamPiece>,
}

/// Result of one token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TokenResult {
    Sent,
    Finished,
    ReaderGone,
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

    /// Whether the resumed tokens are those that this version generates.
    pub(super) fn resumes_own_answer(&self) -> bool {
        let resumed = (0..).zip(&self.request.resume_after);
        resumed.into_iter().all(|(index, text)| self.script.text(index) == *text)
    }

    /// Tokens that must be processed before the first new one.
    pub(super) fn context_tokens(&self) -> u64 {
        prompt_tokens(&self.request.prompt) + self.request.resume_after.len() as u64
    }

    pub(super) fn prefixes(&self) -> Vec<u64> {
        prefix_hashes(&self.request.prompt)
    }

    /// Names the version and adapter in the prefix cache.
    pub(super) fn cache_scope(&self) -> u64 {
        let adapter = self.request.adapter.as_ref().map_or("", |adapter| adapter.as_str());
        let parts = [self.version.as_bytes().as_slice(), adapter.as_bytes()];
        ContentDigest::of_parts(&parts).leading_u64()
    }

    pub(super) fn reader_is_gone(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends the next token, and the end after the last one.
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
            Err(_) => TokenResult::ReaderGone,
            Ok(()) if last => self.send_done(),
            Ok(()) => TokenResult::Sent,
        }
    }

    fn send_done(&self) -> TokenResult {
        match self.sender.send(StreamPiece::Done) {
            Ok(()) => TokenResult::Finished,
            Err(_) => TokenResult::ReaderGone,
        }
    }
}
