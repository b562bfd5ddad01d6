//! Tests of the model engine. Most call its control handle in paused time; module `http` uses HTTP.

mod batching;
mod faults;
mod http;
mod versions;

use celeryshed_base::{AttemptId, ContentDigest};
use celeryshed_standin::engine::{EngineControl, RawEngineOptions, StreamPiece};
use celeryshed_wire::{CompletionChunk, EngineRequest, PriorityClass};
use tokio::sync::mpsc::UnboundedReceiver;

/// Seed of the random choice of lost cache events.
const SEED: u64 = 11;

fn version(name: &str) -> ContentDigest {
    ContentDigest::of(name.as_bytes())
}

/// Default options with [`SEED`], where version `v1` is live after the launch.
fn raw_options() -> RawEngineOptions {
    let initial_version = Some(version("v1").to_string());
    RawEngineOptions { initial_version, seed: SEED, ..RawEngineOptions::default() }
}

fn start(raw: RawEngineOptions) -> EngineControl {
    EngineControl::start(raw.try_into().unwrap()).0
}

fn request(prompt: &str, max_tokens: u32) -> EngineRequest {
    EngineRequest {
        attempt_id: AttemptId::random(),
        prompt: prompt.to_owned(),
        max_tokens,
        adapter: None,
        version: None,
        priority: PriorityClass::Contracted,
        resume_after: Vec::new(),
    }
}

/// Received answer; `done` is false if the stream ended without `Done`.
#[derive(Debug, PartialEq)]
struct Received {
    chunks: Vec<CompletionChunk>,
    done: bool,
}

impl Received {
    fn text(&self) -> String {
        self.chunks.iter().map(|chunk| chunk.text.as_str()).collect()
    }
}

async fn receive(mut pieces: UnboundedReceiver<StreamPiece>) -> Received {
    let mut received = Received { chunks: Vec::new(), done: false };
    while let Some(piece) = pieces.recv().await {
        match piece {
            StreamPiece::Chunk(chunk) => received.chunks.push(chunk),
            StreamPiece::Done => received.done = true,
        }
    }
    received
}
