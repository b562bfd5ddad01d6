//! Weights: fetches, verifies, stores and serves chunks, and has the engine load complete versions.
//!
//! [`spawn`] starts the tasks: one owns the chunks and the scheduler, one paces the transfers, one
//! registers the fence number, and one sends commands to the engine. [`routes`] serves chunks to
//! other sidecars.

mod engine;
mod fences;
mod fetch;
mod http;
mod manifest;
mod options;
mod pacer;
mod peers;
mod routes;
mod task;

#[cfg(test)]
mod tests;

pub use engine::{CompleteVersion, EngineError, EngineLoader, EngineState};
pub use http::{HttpEngineLoader, HttpPeerClient};
pub use manifest::{ManifestError, read_chunks};
pub use options::WeightsOptions;
pub use pacer::LinkPacer;
pub use peers::{ChunkStream, PeerClient, PeerError, PeerReply};
pub use routes::routes;
pub use task::{WeightsHandle, WeightsInputs, spawn};
