//! Stand-in of a model engine.
//!
//! The engine's routes are documented in `celeryshed_wire`. Completions are refused with status 400
//! for an invalid request and 409 for a version that isn't loaded, both with a JSON object
//! `{"error": TEXT}`, and with 429 as plain text when the queue is full.
//!
//! Weights are put chunk by chunk, and the manifest is put as chunk `4294967295`
//! ([`celeryshed_wire::MANIFEST_CHUNK_INDEX`]). Before a `Load` command switches the live version,
//! it compares the blake3 digest of each chunk with the manifest. The stand-in stores only the
//! digest and size of each chunk.
//!
//! A crash ends all streams without `[DONE]`. The HTTP library ends a body of unknown length as if
//! it were complete, so clients detect a crash only by the missing marker. While the engine is
//! down, connections are closed without a reply. A restarted engine has a new `boot_id`, no weights
//! and no fence, and its event sequence starts at 0.

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
