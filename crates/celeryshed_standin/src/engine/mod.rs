//! Stand-in of a model engine.
//!
//! The routes are those documented in `celeryshed_wire` for engines. Completions are refused with
//! 400 for an invalid request, 409 when the version isn't loaded and 429 when the queue is full,
//! each with a JSON object `{"error": TEXT}`. Weights are put chunk by chunk, the manifest as chunk
//! `4294967295` ([`celeryshed_wire::MANIFEST_CHUNK_INDEX`]); `Load` verifies the blake3 digest of
//! each chunk against the manifest before it switches. The stand-in keeps digests, not weights.
//!
//! A crash ends all streams without `[DONE]`: the HTTP library ends a body without a known length
//! cleanly, so that the missing marker is the only sign. While the engine is down, connections
//! are cut without a reply. A restarted engine has another `boot_id`, no weights, no fence and
//! starts its event sequence from 0.

mod adapters;
mod cache;
mod commands;
mod control;
mod core;
mod counts;
mod events;
mod load;
mod options;
mod queue;
mod routes;
mod stream;
mod tokens;
mod weights;

pub use commands::CommandOutcome;
pub use control::{EngineControl, RunningEngine};
pub use counts::{EngineCounts, EngineFaults, VersionSwitch};
pub use options::{EngineOptions, RawEngineOptions};
pub use stream::{Rejection, StreamPiece};
pub use tokens::{TokenScript, prompt_tokens, token_text};
